"""Declare drains and answer which targets drain."""

from enum import StrEnum

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = ["DRAINS_KEY", "Drain", "DrainSet", "DrainState", "DrainTarget", "decode", "encode"]

DRAINS_KEY = "drains"
# Stopped drains are kept for `drain list`; the store holds values up to 1 MB.
STOPPED_KEPT_MAX = 100


class DrainTarget(StrEnum):
    """What a drain takes out of use."""

    SERVER = "server"
    HOST = "host"
    AVAILABILITY_ZONE = "availability_zone"
    REGION = "region"


class DrainState(StrEnum):
    """Whether a drain is in force."""

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
    """Return the declared drains in an object's value; raise ConfigError."""
    if value is None:
        return ()
    try:
        return msgspec.json.decode(value, type=tuple[Drain, ...])
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{DRAINS_KEY}: {error}") from error


def encode(drains: tuple[Drain, ...]) -> bytes:
    """Return an object's value; the oldest stopped drains beyond the bound are dropped."""
    stopped = [drain for drain in drains if drain.state is DrainState.STOPPED]
    dropped = {drain.id for drain in stopped[:-STOPPED_KEPT_MAX]}
    return msgspec.json.encode([drain for drain in drains if drain.id not in dropped])


def declare(drains: tuple[Drain, ...], drain: Drain) -> tuple[Drain, ...]:
    """Return the drains with one more; a drain declared already stays as it is."""
    if any(known.id == drain.id for known in drains):
        return drains
    return (*drains, drain)


def stop(drains: tuple[Drain, ...], drain_id: str) -> tuple[Drain, ...]:
    """Return the drains with one stopped; raise ConfigError when it does not exist."""
    if all(drain.id != drain_id for drain in drains):
        raise ConfigError(f"drain {drain_id!r} does not exist")
    return tuple(
        attrs.evolve(drain, state=DrainState.STOPPED) if drain.id == drain_id else drain
        for drain in drains
    )


class DrainSet:
    """Answer drain queries from the last accepted object and the servers' own reports.

    Implements `routing.DrainView`.
    """

    def __init__(self) -> None:
        self._draining: frozenset[tuple[str, str]] = frozenset()
        self._reported: frozenset[str] = frozenset()

    def replace(self, value: bytes) -> None:
        """Take an accepted object; raise ConfigError and keep the old drains if it is broken."""
        self._draining = frozenset(
            (drain.target.value, drain.name)
            for drain in decode(value)
            if drain.state is DrainState.DRAINING
        )

    def set_reported(self, servers: frozenset[str]) -> None:
        """Replace the servers that said themselves that they drain."""
        self._reported = servers

    def is_draining(self, target: str, name: str) -> bool:
        """Return whether `name` of type server, host, availability_zone or region drains."""
        if (target, name) in self._draining:
            return True
        return target == "server" and name in self._reported
