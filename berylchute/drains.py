"""Store declared drains and report which targets are draining."""

from enum import StrEnum

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = ["DRAINS_KEY", "Drain", "DrainSet", "DrainState", "DrainTarget", "decode", "encode"]

DRAINS_KEY = "drains"
# `drain list` shows stopped drains; the bound keeps the object below the store's 1 MB limit.
STOPPED_DRAINS_MAX = 100


class DrainTarget(StrEnum):
    """What a drain takes out of service."""

    SERVER = "server"
    HOST = "host"
    AVAILABILITY_ZONE = "availability_zone"
    REGION = "region"


class DrainState(StrEnum):
    """Whether a drain is active."""

    DRAINING = "draining"
    STOPPED = "stopped"


@attrs.frozen
class Drain:
    """A declared drain; `id` is also the edit id of its declaration."""

    id: str
    target: DrainTarget
    name: str
    state: DrainState = DrainState.DRAINING
    author: str = ""
    declared_at: str = ""


def decode(value: bytes | None) -> tuple[Drain, ...]:
    """Return the drains in a stored value (None: no object); raise ConfigError if malformed."""
    if value is None:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Drain, ...])
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{DRAINS_KEY}: {error}") from error


def encode(drains: tuple[Drain, ...]) -> bytes:
    """Return the value to store, without the oldest stopped drains beyond STOPPED_DRAINS_MAX."""
    stopped = [drain for drain in drains if drain.state is DrainState.STOPPED]
    dropped_ids = {drain.id for drain in stopped[:-STOPPED_DRAINS_MAX]}
    return msgspec.json.encode([drain for drain in drains if drain.id not in dropped_ids])


def declare(drains: tuple[Drain, ...], drain: Drain) -> tuple[Drain, ...]:
    """Return the drains with `drain` added; a drain whose id is present is left unchanged."""
    if any(known.id == drain.id for known in drains):
        return drains
    return (*drains, drain)


def stop(drains: tuple[Drain, ...], drain_id: str) -> tuple[Drain, ...]:
    """Return the drains with `drain_id` stopped; raise ConfigError if there is none."""
    if all(drain.id != drain_id for drain in drains):
        raise ConfigError(f"drain {drain_id!r} does not exist")
    return tuple(
        attrs.evolve(drain, state=DrainState.STOPPED) if drain.id == drain_id else drain
        for drain in drains
    )


class DrainSet:
    """Answer drain queries from the last accepted object and from the servers' health reports.

    Implements `routing.DrainView`.
    """

    def __init__(self) -> None:
        self._draining_targets: frozenset[tuple[str, str]] = frozenset()
        self._reported_servers: frozenset[str] = frozenset()

    def update_from_object(self, value: bytes) -> None:
        """Replace the drains by a stored value.

        Raises ConfigError and keeps the old ones if the value is malformed.
        """
        self._draining_targets = frozenset(
            (drain.target.value, drain.name)
            for drain in decode(value)
            if drain.state is DrainState.DRAINING
        )

    def set_reported_servers(self, servers: frozenset[str]) -> None:
        """Replace the names of the servers that report themselves as draining."""
        self._reported_servers = servers

    def is_draining(self, target: str, name: str) -> bool:
        """Return whether `name` is draining; `target` is a value of DrainTarget."""
        if (target, name) in self._draining_targets:
            return True
        return target == "server" and name in self._reported_servers
