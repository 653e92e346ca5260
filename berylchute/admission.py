"""Queue requests of one service by deadline and refuse early under overload."""

import math
from bisect import insort
from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from typing import Literal

import attrs

from berylchute.types import ResourceId

__all__ = [
    "AdmissionQueue",
    "QueuedRequest",
    "Refusal",
    "RefusalReason",
    "ShortReserve",
    "Size",
]

Size = Literal["short", "long"]

SHORT_RESERVE_FRACTION = 0.2
QUEUE_LENGTH_MAX = 256
# Weight of a new sample in the running means of service time and start interval.
SMOOTHING = 0.1
# Deviations above the mean that a request needs left; with none half of them would end late.
DEVIATIONS = 2.0
# Means fade without new samples; a mean that refuses all work would otherwise never change.
FADE_S = 2.0


class RefusalReason(StrEnum):
    """Why a request leaves the queue without having run."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    EXPIRED = "expired"


@attrs.frozen
class QueuedRequest:
    """A request that waits; a higher `plan_priority` is refused later."""

    request_id: str
    plan: str
    plan_priority: int
    kind: str
    size: Size
    deadline_s: float
    enqueued_s: float


@attrs.frozen
class Refusal:
    """A request refused as not run."""

    request: QueuedRequest
    reason: RefusalReason


@attrs.define(eq=False)
class _Entry:
    request: QueuedRequest
    order: tuple[float, int]
    may_move: bool = False
    tried: bool = False


def _order(entry: _Entry) -> tuple[float, int]:
    return entry.order


@attrs.define
class _FadingMean:
    """Running mean and mean absolute deviation that fade while nothing is sampled."""

    mean: float = 0.0
    deviation: float = 0.0
    sampled_s: float | None = None

    def add(self, value: float, now_s: float) -> None:
        if self.sampled_s is None:
            self.mean = value
        self.deviation += SMOOTHING * (abs(value - self.mean) - self.deviation)
        self.mean += SMOOTHING * (value - self.mean)
        self.sampled_s = now_s

    def read(self, now_s: float, deviations: float = 0.0) -> float:
        if self.sampled_s is None:
            return 0.0
        value = self.mean + deviations * self.deviation
        age_s = now_s - self.sampled_s
        return value if age_s <= FADE_S else value * math.exp(1.0 - age_s / FADE_S)


@attrs.define
class AdmissionQueue:
    """Hold a bounded number of requests of one service, earliest deadline first."""

    service: str
    length_max: int = QUEUE_LENGTH_MAX
    _entries: list[_Entry] = attrs.field(factory=list, init=False)
    _count: int = attrs.field(default=0, init=False)
    _displaced: int = attrs.field(default=0, init=False)
    _service_s: dict[str, _FadingMean] = attrs.field(factory=dict, init=False)
    _interval_s: _FadingMean = attrs.field(factory=_FadingMean, init=False)
    _last_start_s: float | None = attrs.field(default=None, init=False)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the requests that wait, in the order in which they start."""
        return iter([entry.request for entry in self._entries])

    def offer(self, request: QueuedRequest, now_s: float) -> tuple[Refusal, ...]:
        """Queue a request; return the refusals this causes, perhaps of the request itself."""
        refusals = list(self.drop_expired(now_s))
        entry = _Entry(request, (request.deadline_s, self._count))
        if self._is_late(entry, now_s):
            return (*refusals, Refusal(request, RefusalReason.DEADLINE_UNREACHABLE))
        insort(self._entries, entry, key=_order)
        self._count += 1
        if len(self._entries) > self.length_max:
            refusals.append(self._refuse_lowest(RefusalReason.QUEUE_FULL, self._entries))
        else:
            refusals.extend(self._refuse_unreachable(now_s))
        return tuple(refusals)

    def drop_expired(self, now_s: float) -> tuple[Refusal, ...]:
        """Remove and return the requests that can no longer be answered in time."""
        expired = [entry for entry in self._entries if self._is_late(entry, now_s)]
        for entry in expired:
            self._remove(entry)
        return tuple(Refusal(entry.request, RefusalReason.EXPIRED) for entry in expired)

    def take(
        self, now_s: float, try_start: Callable[[QueuedRequest, bool], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request for which `try_start(request, may_move)` is true.

        `may_move` is true for a request that was displaced and may go to the next region.
        """
        while True:
            displaced = self._displaced
            blocked: set[tuple[str, str, bool]] = set()
            for entry in tuple(self._entries):
                key = (entry.request.plan, entry.request.kind, entry.may_move)
                # Requests alike fail alike; trying each would cost a decision per request that
                # waits. A new one is tried once because its longer wait may make it move.
                if key in blocked and entry.tried:
                    continue
                entry.tried = True
                if try_start(entry.request, entry.may_move):
                    self._record_start(now_s)
                    self._remove(entry)
                    return entry.request
                blocked.add(key)
            # `try_start` may have displaced a request passed over before; it may go on now.
            if self._displaced == displaced:
                return None

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller has gone; False when it does not wait."""
        for entry in self._entries:
            if entry.request.request_id == request_id:
                self._remove(entry)
                return True
        return False

    def displace(self, request_id: str) -> QueuedRequest | None:
        """Exchange places with the first request of a lower plan that starts earlier.

        The displaced request is returned and may go to the next region from then on.
        """
        own = next((e for e in self._entries if e.request.request_id == request_id), None)
        if own is None:
            return None
        for entry in self._entries:
            if entry is own:
                return None
            lower = entry.request.plan_priority < own.request.plan_priority
            if lower and not entry.may_move:
                entry.order, own.order = own.order, entry.order
                entry.may_move = True
                entry.tried = False
                self._displaced += 1
                self._entries.sort(key=_order)
                return entry.request
        return None

    def count_lower_plans(self, request: QueuedRequest) -> int:
        """Return how many requests of lower plans start earlier and may be displaced."""
        count = 0
        for entry in self._entries:
            if entry.request.request_id == request.request_id:
                break
            count += entry.request.plan_priority < request.plan_priority and not entry.may_move
        return count

    def record_finish(self, kind: str, service_time_s: float, now_s: float) -> None:
        """Record how long a request of a kind took from its start, in seconds."""
        self._service_s.setdefault(kind, _FadingMean()).add(service_time_s, now_s)

    def expected_wait_s(self, deadline_s: float, now_s: float) -> float:
        """Return the expected wait in seconds of a request with this deadline."""
        ahead = sum(entry.order[0] <= deadline_s for entry in self._entries)
        return ahead * self._interval_s.read(now_s)

    def _needed_s(self, request: QueuedRequest, now_s: float) -> float:
        found = self._service_s.get(request.kind)
        return 0.0 if found is None else found.read(now_s, DEVIATIONS)

    def _is_late(self, entry: _Entry, start_s: float) -> bool:
        return start_s + self._needed_s(entry.request, start_s) >= entry.request.deadline_s

    def _remove(self, entry: _Entry) -> None:
        self._entries.remove(entry)
        if not self._entries:
            # An interval that spans an idle time would say nothing about the service.
            self._last_start_s = None

    def _record_start(self, now_s: float) -> None:
        if self._last_start_s is not None:
            self._interval_s.add(now_s - self._last_start_s, now_s)
        self._last_start_s = now_s

    def _refuse_lowest(self, reason: RefusalReason, entries: Sequence[_Entry]) -> Refusal:
        """Refuse the lowest plan priority and, within it, the latest deadline."""
        victim = min(entries, key=lambda e: (e.request.plan_priority, -e.request.deadline_s))
        self._remove(victim)
        return Refusal(victim.request, reason)

    def _refuse_unreachable(self, now_s: float) -> Iterator[Refusal]:
        """Refuse work until every request that waits can expect to end in time."""
        interval_s = self._interval_s.read(now_s)
        while interval_s > 0.0:
            start_s = now_s
            for index, entry in enumerate(self._entries):
                if index and self._is_late(entry, start_s):
                    ahead = self._entries[: index + 1]
                    yield self._refuse_lowest(RefusalReason.DEADLINE_UNREACHABLE, ahead)
                    break
                start_s += interval_s
            else:
                return


@attrs.define
class ShortReserve:
    """Keep the last units of a resource on this host for short kinds."""

    fraction: float = SHORT_RESERVE_FRACTION
    _in_use: dict[ResourceId, int] = attrs.field(factory=dict, init=False)

    def record_start(self, resource: ResourceId) -> None:
        """Count a unit of the resource as in use."""
        self._in_use[resource] = self._in_use.get(resource, 0) + 1

    def record_end(self, resource: ResourceId) -> None:
        """Count a unit of the resource as free again."""
        self._in_use[resource] = max(0, self._in_use.get(resource, 0) - 1)

    def reserved_units(self, total_units: int) -> int:
        """Return the units that long kinds leave free; one unit alone is open to both."""
        return math.ceil(total_units * self.fraction) if total_units > 1 else 0

    def allows(self, size: Size, resource: ResourceId, free_units: int) -> bool:
        """Return whether a request of this size may take one of the free units."""
        if free_units < 1:
            return False
        if size == "short":
            return True
        total = free_units + self._in_use.get(resource, 0)
        return free_units - 1 >= self.reserved_units(total)
