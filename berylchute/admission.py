"""Queue the requests of one service by deadline and refuse early under overload."""

import math
from bisect import insort
from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from typing import Literal

import attrs

from berylchute.types import ResourceId

__all__ = [
    "AdmissionQueue",
    "QueueRefusal",
    "QueueRefusalReason",
    "QueuedRequest",
    "ShortReserve",
    "Size",
]

Size = Literal["short", "long"]

SHORT_RESERVE_RATIO = 0.2
QUEUE_LENGTH_MAX = 256
# Weight of a new sample in the running means of service time and of start interval.
SAMPLE_WEIGHT = 0.1
# A request is refused if less than the mean service time plus this many mean absolute deviations
# is left until its deadline. With 0, half of the requests would end late.
DEADLINE_DEVIATIONS = 2.0
# Means decay after this time without a sample. Otherwise a mean that refuses all requests would
# get no new sample and never change.
MEAN_DECAY_S = 2.0


class QueueRefusalReason(StrEnum):
    """Why a queued request was refused before it ran."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    EXPIRED = "expired"


@attrs.frozen
class QueuedRequest:
    """A queued request; the lowest `plan_priority` is refused first."""

    request_id: str
    plan: str
    plan_priority: int
    kind: str
    size: Size
    deadline_s: float
    enqueued_s: float


@attrs.frozen
class QueueRefusal:
    """A refused request, which has not run."""

    request: QueuedRequest
    reason: QueueRefusalReason


@attrs.define(eq=False)
class _Entry:
    request: QueuedRequest
    order: tuple[float, int]
    may_redirect: bool = False
    was_tried: bool = False


def _order(entry: _Entry) -> tuple[float, int]:
    return entry.order


@attrs.define
class _DecayingMean:
    """Running mean and mean absolute deviation that decay without new samples."""

    mean: float = 0.0
    deviation: float = 0.0
    sampled_s: float | None = None

    def add(self, value: float, now_s: float) -> None:
        if self.sampled_s is None:
            self.mean = value
        self.deviation += SAMPLE_WEIGHT * (abs(value - self.mean) - self.deviation)
        self.mean += SAMPLE_WEIGHT * (value - self.mean)
        self.sampled_s = now_s

    def read(self, now_s: float, deviations: float = 0.0) -> float:
        if self.sampled_s is None:
            return 0.0
        value = self.mean + deviations * self.deviation
        age_s = now_s - self.sampled_s
        return value if age_s <= MEAN_DECAY_S else value * math.exp(1.0 - age_s / MEAN_DECAY_S)


@attrs.define
class AdmissionQueue:
    """A bounded queue of the requests of one service, earliest deadline first."""

    service: str
    length_max: int = QUEUE_LENGTH_MAX
    _entries: list[_Entry] = attrs.field(factory=list, init=False)
    _enqueued_count: int = attrs.field(default=0, init=False)
    _displaced_count: int = attrs.field(default=0, init=False)
    _service_time_s: dict[str, _DecayingMean] = attrs.field(factory=dict, init=False)
    _start_interval_s: _DecayingMean = attrs.field(factory=_DecayingMean, init=False)
    _last_start_s: float | None = attrs.field(default=None, init=False)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests in the order in which they start."""
        return iter([entry.request for entry in self._entries])

    def enqueue(self, request: QueuedRequest, now_s: float) -> tuple[QueueRefusal, ...]:
        """Queue a request; return the refusals that result, possibly of this request."""
        refusals = list(self.refuse_expired(now_s))
        entry = _Entry(request, (request.deadline_s, self._enqueued_count))
        if self._is_late(entry, now_s):
            return (*refusals, QueueRefusal(request, QueueRefusalReason.DEADLINE_UNREACHABLE))
        insort(self._entries, entry, key=_order)
        self._enqueued_count += 1
        if len(self._entries) > self.length_max:
            refusals.append(self._refuse_lowest(QueueRefusalReason.QUEUE_FULL, self._entries))
        else:
            refusals.extend(self._refuse_unreachable(now_s))
        return tuple(refusals)

    def refuse_expired(self, now_s: float) -> tuple[QueueRefusal, ...]:
        """Remove and return the requests that can no longer be answered before their deadline."""
        expired = [entry for entry in self._entries if self._is_late(entry, now_s)]
        for entry in expired:
            self._remove(entry)
        return tuple(QueueRefusal(entry.request, QueueRefusalReason.EXPIRED) for entry in expired)

    def start_next(
        self, now_s: float, try_start: Callable[[QueuedRequest, bool], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that `try_start(request, may_redirect)` accepts.

        `may_redirect` is true for a displaced request, which may go to another region.
        """
        while True:
            displaced_before = self._displaced_count
            failed_keys: set[tuple[str, str, bool]] = set()
            for entry in tuple(self._entries):
                key = (entry.request.plan, entry.request.kind, entry.may_redirect)
                # Requests with the same key fail for the same reason, so retrying each would cost
                # a routing decision per queued request. A new request is tried once because its
                # longer expected wait may send it to another region.
                if key in failed_keys and entry.was_tried:
                    continue
                entry.was_tried = True
                if try_start(entry.request, entry.may_redirect):
                    self._record_start(now_s)
                    self._remove(entry)
                    return entry.request
                failed_keys.add(key)
            # `try_start` may have displaced a request that could not start above but may now.
            if self._displaced_count == displaced_before:
                return None

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return False if it is not queued."""
        for entry in self._entries:
            if entry.request.request_id == request_id:
                self._remove(entry)
                return True
        return False

    def displace(self, request_id: str) -> QueuedRequest | None:
        """Swap the request's place with that of the first earlier request of a lower plan.

        Return the displaced request, which may go to another region from then on, or None.
        """
        displacing = next((e for e in self._entries if e.request.request_id == request_id), None)
        if displacing is None:
            return None
        for entry in self._entries:
            if entry is displacing:
                return None
            is_lower_plan = entry.request.plan_priority < displacing.request.plan_priority
            if is_lower_plan and not entry.may_redirect:
                entry.order, displacing.order = displacing.order, entry.order
                entry.may_redirect = True
                entry.was_tried = False
                self._displaced_count += 1
                self._entries.sort(key=_order)
                return entry.request
        return None

    def count_lower_plans(self, request: QueuedRequest) -> int:
        """Return the number of earlier requests of lower plans that may be displaced."""
        count = 0
        for entry in self._entries:
            if entry.request.request_id == request.request_id:
                break
            count += entry.request.plan_priority < request.plan_priority and not entry.may_redirect
        return count

    def record_finish(self, kind: str, service_time_s: float, now_s: float) -> None:
        """Record the time in seconds from start to end of a request of this kind."""
        self._service_time_s.setdefault(kind, _DecayingMean()).add(service_time_s, now_s)

    def expected_wait_s(self, deadline_s: float, now_s: float) -> float:
        """Return the expected time in the queue, in seconds, of a request with this deadline."""
        ahead = sum(entry.order[0] <= deadline_s for entry in self._entries)
        return ahead * self._start_interval_s.read(now_s)

    def _expected_service_s(self, request: QueuedRequest, now_s: float) -> float:
        mean_s = self._service_time_s.get(request.kind)
        return 0.0 if mean_s is None else mean_s.read(now_s, DEADLINE_DEVIATIONS)

    def _is_late(self, entry: _Entry, start_s: float) -> bool:
        """Return whether a request that starts at `start_s` is expected to miss its deadline."""
        return (
            start_s + self._expected_service_s(entry.request, start_s) >= entry.request.deadline_s
        )

    def _remove(self, entry: _Entry) -> None:
        self._entries.remove(entry)
        if not self._entries:
            # An interval that includes idle time does not measure the service rate.
            self._last_start_s = None

    def _record_start(self, now_s: float) -> None:
        if self._last_start_s is not None:
            self._start_interval_s.add(now_s - self._last_start_s, now_s)
        self._last_start_s = now_s

    def _refuse_lowest(self, reason: QueueRefusalReason, entries: Sequence[_Entry]) -> QueueRefusal:
        """Refuse, of the requests with the lowest plan priority, that with the latest deadline."""
        refused = min(entries, key=lambda e: (e.request.plan_priority, -e.request.deadline_s))
        self._remove(refused)
        return QueueRefusal(refused.request, reason)

    def _refuse_unreachable(self, now_s: float) -> Iterator[QueueRefusal]:
        """Refuse requests until every queued one is expected to end before its deadline."""
        interval_s = self._start_interval_s.read(now_s)
        while interval_s > 0.0:
            start_s = now_s
            for index, entry in enumerate(self._entries):
                if index and self._is_late(entry, start_s):
                    ahead = self._entries[: index + 1]
                    yield self._refuse_lowest(QueueRefusalReason.DEADLINE_UNREACHABLE, ahead)
                    break
                start_s += interval_s
            else:
                return


@attrs.define
class ShortReserve:
    """Reserve the last units of a resource on this host for short kinds."""

    fraction: float = SHORT_RESERVE_RATIO
    _in_use: dict[ResourceId, int] = attrs.field(factory=dict, init=False)

    def record_start(self, resource: ResourceId) -> None:
        """Count a unit of the resource as in use."""
        self._in_use[resource] = self._in_use.get(resource, 0) + 1

    def record_end(self, resource: ResourceId) -> None:
        """Count a unit of the resource as free again."""
        self._in_use[resource] = max(0, self._in_use.get(resource, 0) - 1)

    def reserved_units(self, total_units: int) -> int:
        """Return the units that long kinds must leave free; 0 for a single unit."""
        return math.ceil(total_units * self.fraction) if total_units > 1 else 0

    def allows(self, size: Size, resource: ResourceId, free_units: int) -> bool:
        """Return whether a request of this size may acquire one of the free units."""
        if free_units < 1:
            return False
        if size == "short":
            return True
        total = free_units + self._in_use.get(resource, 0)
        return free_units - 1 >= self.reserved_units(total)
