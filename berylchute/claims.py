"""Claim a host position by conditional updates of the `claims` object in the store."""

import logging
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Protocol

import anyio
import attrs
import msgspec

from berylchute.config import decode_json
from berylchute.exceptions import ConfigError, StoreConflict, StoreError
from berylchute.sharecontrol import Claim, ClaimTable, ShareController
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
TICK_INTERVAL_S = 0.1
# At startup all hosts update the same object, so retries are spread over this time.
RETRY_DELAY_MAX_S = 0.5
# The platform's host list lags by seconds, so reading it more often gives nothing new.
PLATFORM_READ_INTERVAL_S = 5.0
# A rewrite by one host is enough for all, so each host waits a random part of this time.
REWRITE_JITTER_MAX_S = 1.0


class ObjectView(Protocol):
    """Read access to this process's replica of the store's objects."""

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known object of a key; None if there is none."""
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
    """Return the claims with `position` assigned to this host; None if there is nothing to claim.

    A position that another host holds may be claimed only after `platform_hosts`, which maps host
    ids to states, lists that host as gone.
    """
    existing_claim = table.find(position)
    if existing_claim is None:
        return ClaimTable((*table.claims, Claim(position, host_id, incarnation, True)))
    if existing_claim.host_id == host_id or platform_hosts.get(existing_claim.host_id) != "gone":
        return None
    claim = Claim(position, host_id, incarnation, False)
    return ClaimTable(tuple(claim if c.position == position else c for c in table.claims))


@attrs.frozen
class ClaimIdentity:
    """The process that claims `position`, a configured host position."""

    host_id: str
    position: Position
    incarnation: int


class ClaimTask:
    """Update a `ShareController` and claim its position in the store."""

    def __init__(
        self,
        identity: ClaimIdentity,
        controller: ShareController,
        store: ObjectStore,
        objects: ObjectView,
        members: MemberView,
        clock: Clock,
        rng: Random,
        apply_object: Callable[[StoredObject], object],
        report_settled: Callable[[int], None],
        list_hosts: Callable[[], Awaitable[Mapping[str, str]]] | None = None,
    ) -> None:
        """Create the task; `run` starts it.

        `apply_object` puts an object that was read or written here into the replica.
        `report_settled` receives each new settled version. `list_hosts` maps host ids to the
        platform's states and defaults to the store's list.
        """
        self._identity = identity
        self._controller = controller
        self._store = store
        self._objects = objects
        self._members = members
        self._clock = clock
        self._rng = rng
        self._apply_object = apply_object
        self._report_settled = report_settled
        self._list_hosts = list_hosts or store.list_hosts
        self._reported_version = 0
        self._undecodable_versions: dict[str, int] = {}
        self._next_write_s = 0.0
        self._next_platform_s = 0.0
        self._rewrite_s: float | None = None

    async def run(self) -> None:
        """Update the shares and claim the position until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_store_steps)
            while True:
                self.update_shares()
                await anyio.sleep(TICK_INTERVAL_S)

    def update_shares(self) -> None:
        """Update the shares from the replica and the members; does no I/O."""
        now_s = self._clock.now_s()
        self._update_controller(self._objects.get("config"), self._objects.get(CLAIMS_KEY), now_s)
        self._controller.tick(self._members.list_members(), now_s)
        if self._controller.settled_version != self._reported_version:
            self._reported_version = self._controller.settled_version
            self._report_settled(self._reported_version)

    async def sync_store(self) -> None:
        """Read the platform's host list or write the claims if due; log errors and retry later."""
        now_s = self._clock.now_s()
        config = self._objects.get("config")
        if config is None or not self._identity.position or now_s < self._next_write_s:
            return
        try:
            if self._needs_platform_read(now_s):
                self._next_platform_s = now_s + PLATFORM_READ_INTERVAL_S
                self._controller.observe_platform(await self._list_hosts(), self._clock.now_s())
            if self._needs_write():
                await self._write_claims()
        except (StoreError, ConfigError) as error:
            # If the response was lost, the next read shows whether the write took effect.
            _LOG.warning(
                "updating the claim of position %s failed, will retry: %s",
                self._identity.position,
                error,
            )
            self._schedule_retry()

    async def _run_store_steps(self) -> None:
        while True:
            await self.sync_store()
            await anyio.sleep(TICK_INTERVAL_S)

    def _update_controller(
        self, config: StoredObject | None, claims: StoredObject | None, now_s: float
    ) -> None:
        if config is not None and config.version > self._controller.config_version:
            try:
                self._controller.observe_config(config.version, decode_json(config.value))
            except ConfigError as error:
                self._log_undecodable(config, error)
        if claims is not None and claims.version > self._controller.claims_version:
            try:
                self._controller.observe_claims(claims.version, decode_claims(claims.value), now_s)
            except ConfigError as error:
                self._log_undecodable(claims, error)

    def _log_undecodable(self, stored: StoredObject, error: ConfigError) -> None:
        """Log an object that cannot be decoded, once for each version."""
        if self._undecodable_versions.get(stored.key) != stored.version:
            self._undecodable_versions[stored.key] = stored.version
            _LOG.error(
                "cannot decode %s version %d, keeping the former one: %s",
                stored.key,
                stored.version,
                error,
            )

    def _needs_platform_read(self, now_s: float) -> bool:
        return now_s >= self._next_platform_s and bool(self._controller.unsettled_hosts)

    def _needs_write(self) -> bool:
        return not self._controller.holds_position or self._is_rewrite_due()

    def _is_rewrite_due(self) -> bool:
        now_s = self._clock.now_s()
        if not (self._controller.is_active and self._controller.needs_claims_rewrite):
            self._rewrite_s = None
            return False
        if self._rewrite_s is None:
            self._rewrite_s = now_s + self._rng.uniform(0.0, REWRITE_JITTER_MAX_S)
        return now_s >= self._rewrite_s

    async def _write_claims(self) -> None:
        """Claim the position, or rewrite the claims unchanged.

        A rewrite gives the claims a newer version, which shows that no claim was added meanwhile.
        """
        # A read may be stale; the expected version makes a write based on it fail.
        current = await self._store.get(CLAIMS_KEY)
        table = decode_claims(current.value) if current is not None else ClaimTable()
        identity = self._identity
        existing_claim = table.find(identity.position)
        if existing_claim is not None and existing_claim.host_id == identity.host_id:
            if not self._controller.needs_claims_rewrite:
                self._publish_current(current)
                return
            new_table: ClaimTable | None = table
        else:
            hosts = await self._list_hosts() if existing_claim is not None else {}
            new_table = plan_claim(
                table, identity.position, identity.host_id, identity.incarnation, hosts
            )
        if new_table is None:
            self._next_write_s = self._clock.now_s() + PLATFORM_READ_INTERVAL_S * self._rng.uniform(
                0.5, 1.0
            )
            self._publish_current(current)
            return
        expected = current.version if current is not None else 0
        try:
            written = await self._store.put(CLAIMS_KEY, encode_claims(new_table), expected)
        except StoreConflict:
            self._schedule_retry()
            return
        self._apply_object(written)
        self.update_shares()

    def _publish_current(self, current: StoredObject | None) -> None:
        if current is not None:
            self._apply_object(current)

    def _schedule_retry(self) -> None:
        self._next_write_s = self._clock.now_s() + self._rng.uniform(0.02, RETRY_DELAY_MAX_S)
