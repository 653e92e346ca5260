"""Hold host positions by conditional updates of the `claims` object."""

import logging
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Protocol

import anyio
import attrs
import msgspec

from berylchute.config import decode_json
from berylchute.exceptions import ConfigError, StoreConflict, StoreError
from berylchute.splits import Claim, ClaimTable, ShareGate
from berylchute.types import Clock, MemberView, ObjectStore, Position, StoredObject

__all__ = [
    "CLAIMS_KEY",
    "ClaimIdentity",
    "ClaimTask",
    "ObjectView",
    "decode_claims",
    "encode_claims",
    "plan_claim",
]

_LOG = logging.getLogger(__name__)

CLAIMS_KEY = "claims"
TICK_S = 0.1
# Claims of all hosts meet in one object at start: retries spread over this time.
RETRY_S = 0.5
# The platform's list lags by seconds, so that reading it more often tells nothing new.
PLATFORM_READ_S = 5.0
# One host that writes the claims again serves all, so that each waits a random part of this.
TOUCH_SPREAD_S = 1.0


class ObjectView(Protocol):
    """Read the replica of the store's objects."""

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known object of a key."""
        ...


def decode_claims(value: bytes) -> ClaimTable:
    """Return the claims in JSON bytes; raise ConfigError if they cannot be decoded."""
    try:
        return msgspec.json.decode(value, type=ClaimTable)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"claims: {error}") from error


def encode_claims(table: ClaimTable) -> bytes:
    """Return the claims as JSON bytes."""
    return msgspec.json.encode(table)


def plan_claim(
    table: ClaimTable,
    position: Position,
    host_id: str,
    incarnation: int,
    platform_hosts: Mapping[str, str],
) -> ClaimTable | None:
    """Return the table with this host at `position`; None if it holds it or must not claim it."""
    held = table.find(position)
    if held is None:
        return ClaimTable((*table.claims, Claim(position, host_id, incarnation, True)))
    if held.host_id == host_id or platform_hosts.get(held.host_id) != "gone":
        return None
    claim = Claim(position, host_id, incarnation, False)
    return ClaimTable(tuple(claim if c.position == position else c for c in table.claims))


@attrs.frozen
class ClaimIdentity:
    """Who claims; `position` is a configured host position."""

    host_id: str
    position: Position
    incarnation: int


class ClaimTask:
    """Feed a `ShareGate` and claim its position in the store."""

    def __init__(
        self,
        identity: ClaimIdentity,
        gate: ShareGate,
        store: ObjectStore,
        objects: ObjectView,
        members: MemberView,
        clock: Clock,
        rng: Random,
        publish: Callable[[StoredObject], object],
        report_settled: Callable[[int], None],
        list_hosts: Callable[[], Awaitable[Mapping[str, str]]] | None = None,
    ) -> None:
        """Set the parts; `publish` takes objects that this task wrote into the replica."""
        self._identity = identity
        self._gate = gate
        self._store = store
        self._objects = objects
        self._members = members
        self._clock = clock
        self._rng = rng
        self._publish = publish
        self._report_settled = report_settled
        self._list_hosts = list_hosts or store.list_hosts
        self._reported = 0
        self._next_store_s = 0.0
        self._next_platform_s = 0.0
        self._touch_s: float | None = None

    async def run(self) -> None:
        """Follow configuration, claims and members until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_store)
            while True:
                self.follow()
                await anyio.sleep(TICK_S)

    def follow(self) -> None:
        """Bring the gate up to date with the replica and the members; never waits."""
        now_s = self._clock.now_s()
        self._observe(self._objects.get("config"), self._objects.get(CLAIMS_KEY), now_s)
        self._gate.tick(self._members.statuses(), now_s)
        if self._gate.settled_version != self._reported:
            self._reported = self._gate.settled_version
            self._report_settled(self._reported)

    async def step(self) -> None:
        """Read the platform's list or write a claim if one is due; log store errors."""
        now_s = self._clock.now_s()
        config = self._objects.get("config")
        if config is None or not self._identity.position or now_s < self._next_store_s:
            return
        try:
            if self._needs_platform(now_s):
                self._next_platform_s = now_s + PLATFORM_READ_S
                self._gate.observe_platform(await self._list_hosts(), self._clock.now_s())
            if self._needs_write():
                await self._write()
        except StoreError as error:
            # After a lost answer the next read shows whether the write took effect.
            _LOG.warning("claim of position %s: %s", self._identity.position, error)
            self._delay()

    async def _follow_store(self) -> None:
        while True:
            await self.step()
            await anyio.sleep(TICK_S)

    def _observe(
        self, config: StoredObject | None, claims: StoredObject | None, now_s: float
    ) -> None:
        try:
            if config is not None and config.version > self._gate.config_version:
                self._gate.observe_config(config.version, decode_json(config.value))
            if claims is not None and claims.version > self._gate.claims_version:
                self._gate.observe_claims(claims.version, decode_claims(claims.value), now_s)
        except ConfigError as error:
            _LOG.error("object ignored: %s", error)

    def _needs_platform(self, now_s: float) -> bool:
        return now_s >= self._next_platform_s and bool(self._gate.waits_for)

    def _needs_write(self) -> bool:
        return not self._gate.holds_position or self._is_touch_due()

    def _is_touch_due(self) -> bool:
        now_s = self._clock.now_s()
        if not (self._gate.is_active and self._gate.wants_touch):
            self._touch_s = None
            return False
        if self._touch_s is None:
            self._touch_s = now_s + self._rng.uniform(0.0, TOUCH_SPREAD_S)
        return now_s >= self._touch_s

    async def _write(self) -> None:
        """Claim the position, or write the claims again to show that none were added since."""
        # Reads may be old; the expected version makes a write from an old read fail.
        current = await self._store.get(CLAIMS_KEY)
        table = decode_claims(current.value) if current is not None else ClaimTable()
        identity = self._identity
        held = table.find(identity.position)
        if held is not None and held.host_id == identity.host_id:
            if not self._gate.wants_touch:
                self._publish_read(current)
                return
            wanted: ClaimTable | None = table
        else:
            hosts = await self._list_hosts() if held is not None else {}
            wanted = plan_claim(
                table, identity.position, identity.host_id, identity.incarnation, hosts
            )
        if wanted is None:
            self._next_store_s = self._clock.now_s() + PLATFORM_READ_S * self._rng.uniform(0.5, 1.0)
            self._publish_read(current)
            return
        expected = current.version if current is not None else 0
        try:
            written = await self._store.put(CLAIMS_KEY, encode_claims(wanted), expected)
        except StoreConflict:
            self._delay()
            return
        self._publish(written)
        self.follow()

    def _publish_read(self, current: StoredObject | None) -> None:
        if current is not None:
            self._publish(current)

    def _delay(self) -> None:
        self._next_store_s = self._clock.now_s() + self._rng.uniform(0.02, RETRY_S)
