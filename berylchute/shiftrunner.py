"""Run the shifts for which this host is the runner."""

import logging
from collections.abc import Callable, Sequence
from hashlib import blake2b

import anyio

from berylchute import shifts
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import StoreConflict, StoreError
from berylchute.shares import link_resource
from berylchute.shifts import SHIFTS_KEY, Observation, Shift, ShiftDriver, ShiftSet
from berylchute.types import (
    Clock,
    MemberState,
    MemberStatus,
    MemberView,
    ObjectStore,
    StoredObject,
)

__all__ = ["ShiftRunner", "choose_runner", "headroom_key", "observe"]

POLL_S = 0.5

logger = logging.getLogger(__name__)


def headroom_key(service: str, region: str) -> str:
    """Return the key of a service's free slots in a region in a member's `free_units`."""
    return f"{service}/{region}"


def choose_runner(shift_id: str, statuses: Sequence[MemberStatus]) -> str:
    """Return the host id of the live entry host with the highest hash; empty when none lives."""
    live = [
        status.record.host_id
        for status in statuses
        if status.state is MemberState.LIVE and status.record.position
    ]
    return max(
        live,
        key=lambda host_id: blake2b(f"{shift_id}/{host_id}".encode(), digest_size=8).digest(),
        default="",
    )


def observe(
    shift: Shift,
    configuration: Configuration,
    statuses: Sequence[MemberStatus],
    observer: ServerObserver,
    now_s: float,
) -> Observation:
    """Return what the members' reports and the own observation say of both regions."""
    region_of = {zone.name: zone.region for zone in configuration.availability_zones}
    capacity = dict.fromkeys((shift.from_region, shift.to_region), 0)
    latencies_s: dict[str, list[float]] = {region: [] for region in capacity}
    for server in configuration.backend_servers:
        region = region_of[server.availability_zone]
        if server.service == shift.service and region in capacity:
            capacity[region] += server.slots
            # The observer takes a new configuration a moment later than this task sees it.
            if observer.is_known(server.name):
                latencies_s[region].append(observer.latency_s(server.name, now_s))
    live = [status.record.free_units for status in statuses if status.state is MemberState.LIVE]
    free = {
        region: sum(units.get(headroom_key(shift.service, region), 0) for units in live)
        for region in capacity
    }
    from_s, to_s = (_median(latencies_s[r]) for r in (shift.from_region, shift.to_region))
    return Observation(
        observed_s=now_s,
        from_in_use=max(0, capacity[shift.from_region] - free[shift.from_region]),
        to_free=free[shift.to_region],
        to_capacity=capacity[shift.to_region],
        link_free_share=_link_free_share(shift, configuration, statuses),
        latency_ratio=to_s / from_s if from_s > 0.0 else 1.0,
    )


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


def _link_free_share(
    shift: Shift, configuration: Configuration, statuses: Sequence[MemberStatus]
) -> float:
    """Return the smaller free share of both directions; 1 where no member reports it."""
    shares = [1.0]
    for link in configuration.links:
        if {link.from_region, link.to_region} != {shift.from_region, shift.to_region}:
            continue
        key = link_resource(link.from_region, link.to_region)
        reported = [s.record.free_units[key] for s in statuses if key in s.record.free_units]
        if reported:
            shares.append(sum(reported) / max(1, link.rate_bytes_per_s // 1_000_000))
    return min(shares)


class ShiftRunner:
    """Write the steps of shifts by conditional updates; an update that comes late fails."""

    def __init__(
        self,
        host_id: str,
        store: ObjectStore,
        members: MemberView,
        observer: ServerObserver,
        shift_set: ShiftSet,
        clock: Clock,
        accept: Callable[[StoredObject], bool],
    ) -> None:
        """Wire the parts; `accept` takes an object that the store accepted."""
        self._host_id = host_id
        self._store = store
        self._members = members
        self._observer = observer
        self._shift_set = shift_set
        self._clock = clock
        self._accept = accept
        self._driver = ShiftDriver(host_id)

    async def run(self, in_force: Callable[[], Configuration | None]) -> None:
        """Make due steps until cancelled."""
        while True:
            configuration = in_force()
            if configuration is not None and self._mine():
                try:
                    await self.step(configuration)
                except StoreError as error:
                    logger.warning("shift step not written: %s", error)
            await anyio.sleep(POLL_S)

    async def step(self, configuration: Configuration) -> None:
        """Decide on the stored shifts and write what changes; raise StoreError."""
        stored = await self._store.get(SHIFTS_KEY)
        if stored is None:
            return
        # The decision rests on the stored version: a step of another runner or a cancellation
        # after this read makes the conditional update fail.
        declared = shifts.decode(stored.value)
        decided = tuple(self._decide(shift, configuration) for shift in declared)
        if decided == declared:
            self._accept(stored)
            return
        try:
            accepted = await self._store.put(SHIFTS_KEY, shifts.encode(decided), stored.version)
        except StoreConflict:
            return
        self._accept(accepted)

    def _mine(self) -> bool:
        statuses = self._members.statuses()
        return any(
            shift.is_active and choose_runner(shift.id, statuses) == self._host_id
            for shift in self._shift_set.shifts
        )

    def _decide(self, shift: Shift, configuration: Configuration) -> Shift:
        statuses, now_s = self._members.statuses(), self._clock.now_s()
        if not shift.is_active or choose_runner(shift.id, statuses) != self._host_id:
            return shift
        seen = observe(shift, configuration, statuses, self._observer, now_s)
        return self._driver.decide(shift, seen, now_s) or shift
