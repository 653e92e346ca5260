"""Run the shifts of which this host is the runner."""

import logging
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b

import anyio

from berylchute import shifts
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import StoreConflict, StoreError
from berylchute.shares import link_resource
from berylchute.shifts import SHIFTS_KEY, Observation, Shift, ShiftController, ShiftSet
from berylchute.types import (
    Clock,
    MemberState,
    MemberStatus,
    MemberView,
    ObjectStore,
    StoredObject,
)

__all__ = ["ShiftRunner", "build_observation", "free_slots_key", "select_runner"]

POLL_S = 0.5

logger = logging.getLogger(__name__)


def free_slots_key(service: str, region: str) -> str:
    """Return the key in a member's `free_units` for a service's free slots in a region."""
    return f"{service}/{region}"


def select_runner(shift_id: str, statuses: Sequence[MemberStatus]) -> str:
    """Return the host id of the shift's runner by rendezvous hashing; empty if no host is live.

    Candidates are the live entry hosts.
    """
    live_host_ids = [
        status.record.host_id
        for status in statuses
        if status.state is MemberState.LIVE and status.record.position
    ]
    return max(
        live_host_ids,
        key=lambda host_id: blake2b(f"{shift_id}/{host_id}".encode(), digest_size=8).digest(),
        default="",
    )


def build_observation(
    shift: Shift,
    configuration: Configuration,
    statuses: Sequence[MemberStatus],
    observer: ServerObserver,
    now_s: float,
    report_age_s: float = 0.0,
) -> Observation:
    """Return the load of both regions from the members' reports and this host's latencies.

    `report_age_s` is how long ago the reports may have been received.
    """
    region_of = {zone.name: zone.region for zone in configuration.availability_zones}
    capacity_slots = dict.fromkeys((shift.from_region, shift.to_region), 0)
    latencies_s: dict[str, list[float]] = {region: [] for region in capacity_slots}
    for server in configuration.backend_servers:
        region = region_of[server.availability_zone]
        if server.service == shift.service and region in capacity_slots:
            capacity_slots[region] += server.slots
            # The observer receives a new configuration slightly later than this task, so it may
            # not know the server yet.
            if observer.is_known(server.name):
                latencies_s[region].append(observer.latency_s(server.name, now_s))
    live_free_units = [
        status.record.free_units for status in statuses if status.state is MemberState.LIVE
    ]
    free_slots = {
        region: sum(
            units.get(free_slots_key(shift.service, region), 0) for units in live_free_units
        )
        for region in capacity_slots
    }
    from_latency_s, to_latency_s = (
        _median(latencies_s[r]) for r in (shift.from_region, shift.to_region)
    )
    return Observation(
        observed_s=now_s - report_age_s,
        from_slots_in_use=max(0, capacity_slots[shift.from_region] - free_slots[shift.from_region]),
        to_free_slots=free_slots[shift.to_region],
        to_capacity_slots=capacity_slots[shift.to_region],
        link_free_ratio=_link_free_ratio(shift, configuration, live_free_units),
        latency_ratio=to_latency_s / from_latency_s if from_latency_s > 0.0 else 1.0,
    )


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


def _link_free_ratio(
    shift: Shift, configuration: Configuration, live_free_units: Sequence[Mapping[str, int]]
) -> float:
    """Return the lower free ratio of both directions; a direction without reports counts as 1."""
    free_ratios = [1.0]
    for link in configuration.links:
        if {link.from_region, link.to_region} != {shift.from_region, shift.to_region}:
            continue
        key = link_resource(link.from_region, link.to_region)
        reported_units = [units[key] for units in live_free_units if key in units]
        if reported_units:
            free_ratios.append(sum(reported_units) / max(1, link.rate_bytes_per_s // 1_000_000))
    return min(free_ratios)


class ShiftRunner:
    """Write the steps of shifts by conditional updates, so that an outdated step is rejected."""

    def __init__(
        self,
        host_id: str,
        store: ObjectStore,
        members: MemberView,
        observer: ServerObserver,
        shift_set: ShiftSet,
        clock: Clock,
        apply_object: Callable[[StoredObject], bool],
    ) -> None:
        """Run shifts as `host_id`; `apply_object` gets each object that was read or written."""
        self._host_id = host_id
        self._store = store
        self._members = members
        self._observer = observer
        self._shift_set = shift_set
        self._clock = clock
        self._apply_object = apply_object
        self._controller = ShiftController(host_id)
        self._report_age_s = 0.0

    async def run(self, get_configuration: Callable[[], Configuration | None]) -> None:
        """Make the steps that are due, every POLL_S, until cancelled.

        `get_configuration` returns the active configuration, or None before the first.
        """
        polled_s = self._clock.now_s()
        while True:
            # After a pause of this process, the reports may be as old as the pause.
            now_s = self._clock.now_s()
            self._report_age_s, polled_s = max(0.0, now_s - polled_s - POLL_S), now_s
            configuration = get_configuration()
            if configuration is not None and self._runs_active_shift():
                try:
                    await self.step(configuration)
                except StoreError as error:
                    logger.warning("shift steps not written, retrying at the next poll: %s", error)
            await anyio.sleep(POLL_S)

    async def step(self, configuration: Configuration) -> None:
        """Decide on the stored shifts and write the changed ones; raise StoreError.

        After a StoreConflict nothing is written; the next call decides anew.
        """
        stored = await self._store.get(SHIFTS_KEY)
        if stored is None:
            return
        # The update is conditional on the version read here, so it fails after another runner's
        # step or a cancellation.
        declared = shifts.decode(stored.value)
        decided = tuple(self._decide(shift, configuration) for shift in declared)
        if decided == declared:
            self._apply_object(stored)
            return
        try:
            written = await self._store.put(SHIFTS_KEY, shifts.encode(decided), stored.version)
        except StoreConflict:
            return
        self._apply_object(written)

    def _runs_active_shift(self) -> bool:
        statuses = self._members.list_members()
        return any(
            shift.is_active and select_runner(shift.id, statuses) == self._host_id
            for shift in self._shift_set.shifts
        )

    def _decide(self, shift: Shift, configuration: Configuration) -> Shift:
        statuses, now_s = self._members.list_members(), self._clock.now_s()
        if not shift.is_active or select_runner(shift.id, statuses) != self._host_id:
            return shift
        observation = build_observation(
            shift, configuration, statuses, self._observer, now_s, self._report_age_s
        )
        return self._controller.decide(shift, observation, now_s) or shift
