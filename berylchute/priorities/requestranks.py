"""Apply admission by rank to the requests in flight, and report reserves and refusals.

Handles load: see `admission` and `returnschedule`.
"""

from random import Random
from typing import Protocol

from berylchute.attempts import ActiveRequest
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.priorities.admission import RankAdmission, RequestClass, ReserveChange
from berylchute.priorities.returnschedule import ReturnSchedule
from berylchute.retryafter import choose_delay_s
from berylchute.selection import Selection
from berylchute.types import Clock

__all__ = ["EqualRanks", "Ranks", "RequestRanks", "make_ranks"]


class Ranks(Protocol):
    """What the rank of a request changes."""

    def full_ratio(self, active: ActiveRequest) -> float | None:
        """Return the ratio of load to slots from which a server is full, None for the usual one."""

    def record_selection(self, active: ActiveRequest, selection: Selection) -> None:
        """Count the result of a request's first selection."""

    def refuse(self, active: ActiveRequest, remaining_s: float, earliest_s: float) -> float:
        """Count a refused request; return the delay after which its caller should return."""

    def update(self) -> None:
        """Let shortages end without requests; call it periodically."""


class EqualRanks:
    """No difference between ranks; returns are drawn at random."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def full_ratio(self, active: ActiveRequest) -> float | None:
        """Return None: the usual ratio holds for all ranks."""
        return None

    def record_selection(self, active: ActiveRequest, selection: Selection) -> None:
        """Do nothing."""

    def refuse(self, active: ActiveRequest, remaining_s: float, earliest_s: float) -> float:
        """Return a random delay, at least `earliest_s`."""
        return choose_delay_s(remaining_s, self._rng, earliest_s=earliest_s)

    def update(self) -> None:
        """Do nothing."""


class RequestRanks:
    """Admission and scheduled returns of all services of one process."""

    def __init__(self, clock: Clock, rng: Random, log: EventLog, metrics: EdgeMetrics) -> None:
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._admission = RankAdmission(report=self._report)
        self._schedules: dict[str, ReturnSchedule] = {}
        metrics.read_full_ratios = self._admission.ratios

    def full_ratio(self, active: ActiveRequest) -> float | None:
        """Return the ratio of load to slots from which a server is full for a request."""
        return self._admission.full_ratio(
            _class_of(active), self._clock.now_s(), self._rng, is_return=active.is_return
        )

    def record_selection(self, active: ActiveRequest, selection: Selection) -> None:
        """Count the result of a request's first selection."""
        if not active.attempts:
            now_s = self._clock.now_s()
            self._admission.record_selection(_class_of(active), selection, now_s)

    def refuse(self, active: ActiveRequest, remaining_s: float, earliest_s: float) -> float:
        """Count a refused request; return the delay after which its caller should return."""
        request_class = _class_of(active)
        self._metrics.record_rank_refusal(request_class.rank, active.reason)
        schedule = self._schedules.get(active.service)
        if schedule is None:
            schedule = self._schedules[active.service] = ReturnSchedule()
        return schedule.schedule(
            remaining_s,
            self._admission.return_room_per_s(request_class),
            self._admission.position(request_class),
            self._clock.now_s(),
            self._rng,
            earliest_s=earliest_s,
        )

    def update(self) -> None:
        """Let shortages end without requests; call it periodically."""
        self._admission.update(self._clock.now_s())

    def _report(self, change: ReserveChange) -> None:
        self._log.event(
            "reserve",
            service=change.service,
            short=change.is_short,
            full_ratios={str(rank): ratio for rank, ratio in change.ratios.items()},
        )


def make_ranks(
    *, is_enabled: bool, clock: Clock, rng: Random, log: EventLog, metrics: EdgeMetrics
) -> Ranks:
    """Return the admission by rank, or one without a difference between ranks."""
    return RequestRanks(clock, rng, log, metrics) if is_enabled else EqualRanks(rng)


def _class_of(active: ActiveRequest) -> RequestClass:
    name = active.organisation.name if active.organisation else ""
    return RequestClass(active.service, active.priority, name)
