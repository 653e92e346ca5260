"""Read the record of hosts at the start, and let one member keep it up to date.

Load handled: a thousand hosts that start together (one cheap read each), hosts that restart in
series (one write in a while), and a store that is down, refuses some hosts or keeps nothing.
"""

import logging
import math
from collections.abc import Callable
from random import Random
from typing import Protocol

import anyio
import attrs

from berylchute.discovery import MemberDiscovery
from berylchute.exceptions import ConfigError, StoreError
from berylchute.fleetrecord.record import (
    FleetRecord,
    decode_record,
    encode_record,
    update_record,
)
from berylchute.types import Clock, MemberState, MemberView

__all__ = ["FleetRecordKeeper", "RecordStore", "StoredRecord"]

_LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 1.0
# Delays after a failed read, or one that found no record, doubled from the first to the last.
RETRY_FIRST_S = 4.0
RETRY_MAX_S = 60.0
# New hosts must be in the record before they may be cut off; other changes only leave a part of
# shared bounds unused.
ADDED_WRITE_PERIOD_S = 5.0
WRITE_PERIOD_S = 60.0
# A host that this process never heard of may have left before it started.
READ_AGAIN_S = 120.0


@attrs.frozen
class StoredRecord:
    """The JSON value of the record and its revision in the store."""

    value: object
    revision: int


class RecordStore(Protocol):
    """Access to the record in the store; calls have a timeout and raise StoreError."""

    async def read_record(self, *, may_be_stale: bool) -> StoredRecord | None:
        """Return the record, None if there is none; a stale read costs less."""
        ...

    async def write_record(self, value: object, revision: int) -> None:
        """Replace the record of a revision; create it if that is 0."""
        ...


class FleetRecordKeeper:
    """Pass the record of hosts to `discovery`, and write it while this member has to.

    The live member with the lowest host id that watches the store writes. A record counts only as
    it was read from the store.
    """

    def __init__(
        self,
        store: RecordStore,
        discovery: MemberDiscovery,
        members: MemberView,
        own_host_id: str,
        clock: Clock,
        rng: Random,
        now_ms: Callable[[], int],
    ) -> None:
        """Create a keeper; `now_ms` returns Unix time."""
        self._store = store
        self._discovery = discovery
        self._members = members
        self._own_host_id = own_host_id
        self._clock = clock
        self._rng = rng
        self._now_ms = now_ms
        self._record = FleetRecord()
        self._revision: int | None = None
        self._has_found_none = False
        self._retry_delay_s = RETRY_FIRST_S
        self._next_call_s = self._next_search_s = -math.inf
        self._read_at_s = -math.inf
        self._wrote_at_s = -math.inf

    async def run(self) -> None:
        """Read and write the record until cancelled."""
        while True:
            now_s = self._clock.now_s()
            if now_s >= self._next_call_s:
                try:
                    await self._step(now_s)
                except StoreError as error:
                    self._revision = None
                    self._next_call_s = self._retry_at_s()
                    _LOG.info(
                        "record of hosts not read or written, next call in up to %g s: %s",
                        self._retry_delay_s,
                        error,
                    )
            await anyio.sleep(CHECK_PERIOD_S)

    async def _step(self, now_s: float) -> None:
        if self._is_writer():
            if self._revision is None:
                await self._read(may_be_stale=False)
            await self._write_changes(now_s)
        elif self._wants_read(now_s):
            await self._read(may_be_stale=True)
            if not self._record.hosts:
                self._next_search_s = self._retry_at_s()

    def _is_writer(self) -> bool:
        if not self._discovery.is_complete():
            return False
        watching = [
            status.record.host_id
            for status in self._members.list_members()
            if status.state is MemberState.LIVE
            and status.record.watching
            and not status.record.leaving
        ]
        return min(watching, default="") == self._own_host_id

    def _wants_read(self, now_s: float) -> bool:
        """Return whether the record is missing here, or may name hosts that have left."""
        if not self._record.hosts:
            # Members that find each other need no record until they start again.
            is_needless = self._has_found_none and self._discovery.is_complete()
            return not is_needless and now_s >= self._next_search_s
        is_old = now_s - self._read_at_s >= READ_AGAIN_S
        return is_old and self._discovery.has_assumed(self._members.list_members())

    async def _read(self, *, may_be_stale: bool) -> None:
        stored = await self._store.read_record(may_be_stale=may_be_stale)
        self._read_at_s = self._clock.now_s()
        had_record = bool(self._record.hosts)
        self._record = _decode_or_empty(stored)
        self._has_found_none = stored is None
        if not may_be_stale:
            self._revision = stored.revision if stored else 0
        if self._record.hosts:
            if not had_record:
                _LOG.info("record of %d hosts read", len(self._record.hosts))
            self._retry_delay_s = RETRY_FIRST_S
            self._discovery.set_recorded(
                {host_id: host.region for host_id, host in self._record.hosts.items()},
                {host_id: host.capacity for host_id, host in self._record.hosts.items()},
            )

    async def _write_changes(self, now_s: float) -> None:
        record = update_record(self._record, self._members.list_members(), self._now_ms())
        is_extended = not record.hosts.keys() <= self._record.hosts.keys()
        period_s = ADDED_WRITE_PERIOD_S if is_extended else WRITE_PERIOD_S
        if record == self._record or now_s - self._wrote_at_s < period_s:
            return
        self._wrote_at_s = now_s
        assert self._revision is not None
        await self._store.write_record(encode_record(record), self._revision)
        await self._read(may_be_stale=False)
        if self._record != record:
            raise StoreError("the record of hosts isn't the one that was written")

    def _retry_at_s(self) -> float:
        delay_s = self._retry_delay_s * self._rng.uniform(0.5, 1.0)
        self._retry_delay_s = min(RETRY_MAX_S, 2.0 * self._retry_delay_s)
        return self._clock.now_s() + delay_s


def _decode_or_empty(stored: StoredRecord | None) -> FleetRecord:
    """Return the record, an empty one if it can't be read, so that a writer replaces it."""
    try:
        return decode_record(stored.value) if stored else FleetRecord()
    except ConfigError as error:
        _LOG.warning("taking the record of hosts for empty: %s", error)
        return FleetRecord()
