"""Track one registered backend server: its load, work time and failures."""

import math

import attrs

from berylchute.sharedobjects import ServerEntry
from berylchute.tokenbucket import TokenBucket
from berylchute.upstream import ConnectionPool

__all__ = [
    "PAUSE_MAX_S",
    "ReportedLoad",
    "Server",
    "WorkTime",
    "parse_pause_s",
    "parse_rate_limit",
]

# Shortest time over which the weight of a reported load falls to zero. Services that work longer,
# or have a queue, take longer to work off what they reported.
REPORTED_LOAD_DECAY_S = 0.6
# A reported pace is ignored after this time: the load of other processes on a server's host
# changes several times a second.
PACE_AGE_MAX_S = 0.3
# Weight of one answer in the moving average of a server's usual work time, if it took less or more
# than the average. About five short answers set the average, and the slow ones among ten hardly
# change it.
WORK_TIME_FALL_WEIGHT = 0.2
WORK_TIME_RISE_WEIGHT = 0.02
# Weight of one answer in the mean work time of a service.
WORK_TIME_WEIGHT = 0.02
# A server is likely to be late if its pace is at least SLOW_PACE_PERCENT and its work takes more
# than SERVER_TIME_RATIO_MAX of the latency objective; the rest is the round trip to the caller.
# Avoiding servers by their mean time instead gives worse results (docs/MEASUREMENTS.md).
SLOW_PACE_PERCENT = 150
SERVER_TIME_RATIO_MAX = 0.8
# Backoff after a failure, doubled with each further one. A restart takes fractions of a second, and
# one lost request in 3 s is enough to detect the end of a longer outage.
FAILURE_BACKOFF_S = 0.3
FAILURE_BACKOFF_MAX_S = 3.0
# A request without an answer says something about its server after this time, and after this
# multiple of the service's mean work time.
SILENCE_MIN_S = 1.0
SILENCE_WORK_RATIO = 2.0
# A longer pause that a server asks for ends after this time: the header may be wrong.
PAUSE_MAX_S = 60.0
# Failures beyond this one don't lengthen the backoff.
BACKOFF_DOUBLINGS_MAX = 8


@attrs.frozen
class ReportedLoad:
    """The load that a server reported: requests, slots, and its work time (`pace`).

    `pace` is in percent of the usual work time: above 100, the server is slow.
    """

    running: int
    waiting: int
    slots: int
    pace: int = 100

    @classmethod
    def parse(cls, value: bytes | None) -> "ReportedLoad | None":
        """Return the load in the value of a load header, None if it is missing or malformed."""
        if value is None:
            return None
        try:
            numbers = [int(part) for part in value.split(b",")]
            return cls(*numbers[:4])
        except (ValueError, TypeError):
            return None


def parse_rate_limit(value: bytes | None) -> float | None:
    """Return the requests per second in the value of a limit header, None if there is none."""
    try:
        limit_per_s = float(value or b"")
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0.0 else None


def parse_pause_s(value: bytes) -> float | None:
    """Return the seconds in a Retry-After header of a server, None if it is none or malformed."""
    try:
        pause_s = float(value)
    except ValueError:
        return None
    return min(pause_s, PAUSE_MAX_S) if math.isfinite(pause_s) and pause_s > 0.0 else None


@attrs.define
class WorkTime:
    """Mean work time of a service's servers without the wait in their queues, 0 if unknown."""

    mean_s: float = 0.0

    def record(self, seconds: float, load: ReportedLoad) -> None:
        """Record the time of an answer that carried a load."""
        work_s = seconds / (1.0 + load.waiting / max(1, load.slots))
        self.mean_s += (WORK_TIME_WEIGHT if self.mean_s else 1.0) * (work_s - self.mean_s)


@attrs.define(eq=False)
class Server:
    """A registered server and its state as this process sees it.

    Times ending in `_at_s` or `_until_s` are times of the process's clock. `is_replaced` is set
    when the server is no longer registered or another process runs at its address, `is_leaving`
    when an answer said that it leaves; both hold for the life of its process. The server asked for
    no requests until `paused_until_s`. `failures`
    counts those since the last answer, `failed_at_s` is the time of the first of them, and
    `has_lost_connection` means that one of them was more than a time-out. `work_time` is shared by
    the servers of a service. `rate_limit_per_s` is the limit that the last answer, received at
    `rate_limit_at_s`, stated, else None; `limit_ended_at_s` is the time of the first answer without
    it. `bucket` limits this process to its share of the limit. `sends` counts this process's
    requests to the server, the last one at `sent_at_s`.
    """

    entry: ServerEntry
    pool: ConnectionPool
    cold_until_s: float = 0.0
    in_flight: int = 0
    reported: ReportedLoad | None = None
    reported_at_s: float = -math.inf
    in_flight_at_report: int = 0
    answered_at_s: float = -math.inf
    failures: int = 0
    has_lost_connection: bool = False
    failed_at_s: float = 0.0
    work_time: WorkTime = attrs.Factory(WorkTime)
    backoff_until_s: float = 0.0
    is_replaced: bool = False
    is_leaving: bool = False
    paused_until_s: float = -math.inf
    next_cold_send_s: float = 0.0
    rate_limit_per_s: float | None = None
    rate_limit_at_s: float = -math.inf
    limit_ended_at_s: float = -math.inf
    bucket: TokenBucket | None = None
    sends: int = 0
    sent_at_s: float = -math.inf
    usual_work_s: float = 0.0

    def load(self, now_s: float) -> float:
        """Estimate the number of requests at the server.

        Counts those of this process and, with a weight that falls over time, those that other
        members had there when the server last reported its load. The weight falls in the time
        in which the server works off what it reported.
        """
        if self.reported is None:
            return self.in_flight
        total = self.reported.running + self.reported.waiting
        others = total - self.in_flight_at_report
        drain_s = self.work_time.mean_s * total / max(1, self.reported.slots)
        decay_s = max(REPORTED_LOAD_DECAY_S, self.work_time.mean_s, drain_s)
        weight = max(0.0, 1.0 - (now_s - self.reported_at_s) / decay_s)
        return self.in_flight + max(0.0, others) * weight

    def pace(self, now_s: float) -> int:
        """Return the reported pace in percent; 100 if none was reported recently."""
        if self.reported is None or now_s - self.reported_at_s > PACE_AGE_MAX_S:
            return 100
        return self.reported.pace

    def is_likely_late(self, goal_s: float, now_s: float) -> bool:
        """Return whether the server's pace is likely to make answers exceed `goal_s`."""
        pace = self.pace(now_s)
        return (
            pace >= SLOW_PACE_PERCENT
            and self.usual_work_s * pace / 100.0 > SERVER_TIME_RATIO_MAX * goal_s
        )

    def record_work_time(self, seconds: float, now_s: float) -> None:
        """Record the time of an answer, divided by the pace; call after `record_load`."""
        usual_s = seconds * 100.0 / max(1, self.pace(now_s))
        if not self.usual_work_s:
            self.usual_work_s = usual_s
            return
        # Requests for objects that the server does not hold take several times longer; the average
        # is for those that it holds.
        weight = WORK_TIME_FALL_WEIGHT if usual_s < self.usual_work_s else WORK_TIME_RISE_WEIGHT
        self.usual_work_s += weight * (usual_s - self.usual_work_s)

    def record_load(self, load: ReportedLoad, now_s: float) -> None:
        """Record the load that the server reported with an answer."""
        self.reported, self.reported_at_s, self.in_flight_at_report = load, now_s, self.in_flight

    def may_have_restarted(self, opened_s: float) -> bool:
        """Return whether the server may have restarted, given an answer after failures.

        It has not if the connection of the answer was opened before the first failure. Nor has it
        if requests only timed out and it reports many: a restarted server has none at first.
        """
        if not self.failures or opened_s < self.failed_at_s:
            return False
        if self.has_lost_connection or self.reported is None:
            return True
        return 2 * (self.reported.running + self.reported.waiting) < self.reported.slots

    def record_success(self, now_s: float) -> None:
        """Record an answer: reset the failure count and end the backoff."""
        self.answered_at_s = now_s
        self.failures = 0
        self.has_lost_connection = False
        self.backoff_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Count a failure and start the backoff, which doubles with each failure."""
        doublings = min(self.failures, BACKOFF_DOUBLINGS_MAX)
        backoff_s = min(FAILURE_BACKOFF_MAX_S, FAILURE_BACKOFF_S * 2.0**doublings)
        if not self.failures:
            self.failed_at_s = now_s
        self.failures += 1
        self.has_lost_connection = True
        self.backoff_until_s = now_s + backoff_s

    def record_timeout(self, sent_s: float, now_s: float) -> None:
        """Count a request without an answer as a failure, unless others were answered since.

        Requests with a timeout that the server's usual work may exceed say nothing about it.
        """
        silence_min_s = max(SILENCE_MIN_S, SILENCE_WORK_RATIO * self.work_time.mean_s)
        if self.answered_at_s < sent_s and now_s - sent_s >= silence_min_s:
            has_lost_connection = self.has_lost_connection
            self.record_failure(now_s)
            self.has_lost_connection = has_lost_connection

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is warming up and limited to its cold rate."""
        return now_s < self.cold_until_s
