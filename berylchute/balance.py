"""Observe backend servers and weigh them against their siblings."""

import math
import statistics
from collections.abc import Iterable
from typing import Literal

import attrs

from berylchute.config import Configuration

__all__ = ["LoadReport", "ServerObserver", "ServerSnapshot"]

# Assumed until the first answer; low, so that unknown servers are tried.
INITIAL_LATENCY_S = 0.001
LATENCY_MIN_S = 0.0001
# A peak counts for about this long; shorter forgets a noisy neighbour between two requests.
PEAK_DECAY_S = 2.0
GAIN_MIN = 0.05
LOG_GAIN = 0.2
SLOW_START_S = 10.0
# Fewer samples or siblings give no usable median.
SAMPLES_MIN = 3
SIBLINGS_MIN = 3
SLOW_RATIO = 2.5
SAMPLE_AGE_MAX_S = 10.0
JUDGE_INTERVAL_S = 0.25
WEIGHT_MIN = 0.1
WEIGHT_RISE = 1.3
EJECTION_S = 2.0
EJECTION_MAX_S = 30.0
FAILURES_TO_EJECT = 3
# At most this part of a service's servers gets less than its full share.
LOWERED_FRACTION_MAX = 0.5
REPORT_AGE_MAX_S = 15.0
BUSY_LOAD = 0.5
DRAINING_FACTOR = 4.0


@attrs.frozen
class LoadReport:
    """A server's own statement at its health endpoint; `load` is 0 to 1."""

    state: Literal["ready", "draining", "cold"]
    load: float
    free_slots: int


@attrs.frozen
class ServerSnapshot:
    """What this host has observed of one server, for `explain` and metrics."""

    server: str
    in_flight: int
    latency_s: float
    weight: float
    ejected: bool


@attrs.define
class _Server:
    name: str
    service: str
    started_s: float
    latency_s: float = INITIAL_LATENCY_S
    log_mean: float = 0.0
    samples: int = 0
    in_flight: int = 0
    failures: int = 0
    sampled_s: float = 0.0
    weight: float = 1.0
    ejected_until_s: float = 0.0
    ejections: int = 0
    report: LoadReport | None = None
    reported_s: float = 0.0


class ServerObserver:
    """Track in-flight requests, latency, failures and reports of every backend server."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: dict[str, _Server] = {}
        self._siblings: dict[str, list[_Server]] = {}
        self._judged_s: dict[str, float] = {}
        self._median_s: dict[str, float] = {}

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Follow the configured servers; those added after the first call start slowly."""
        first = not self._servers
        started_s = now_s - SLOW_START_S if first else now_s
        known = self._servers
        self._servers = {}
        self._siblings = {service.name: [] for service in configuration.services}
        for configured in configuration.backend_servers:
            server = known.get(configured.name)
            if server is None or server.service != configured.service:
                server = _Server(configured.name, configured.service, started_s)
            self._servers[server.name] = server
            self._siblings.setdefault(server.service, []).append(server)

    def record_sent(self, server: str, now_s: float) -> None:
        """Record that an attempt was sent."""
        if found := self._servers.get(server):
            found.in_flight += 1

    def record_answer(self, server: str, latency_s: float, now_s: float) -> None:
        """Record a complete answer and its latency in seconds; ends one attempt in flight."""
        if found := self._servers.get(server):
            found.in_flight = max(0, found.in_flight - 1)
            found.failures = 0
            _add_sample(found, latency_s, now_s)
            self._judge(found.service, now_s)

    def record_failure(self, server: str, now_s: float, *, was_sent: bool) -> None:
        """Record a refused connection, broken exchange or shed request."""
        found = self._servers.get(server)
        if found is None:
            return
        if was_sent:
            found.in_flight = max(0, found.in_flight - 1)
        found.failures += 1
        if found.failures >= FAILURES_TO_EJECT and found.ejected_until_s <= now_s:
            self._eject(found, now_s)

    def record_cancel(self, server: str, elapsed_s: float, now_s: float) -> None:
        """Record a cancelled or timed-out attempt without an answer after `elapsed_s`."""
        found = self._servers.get(server)
        if found is None:
            return
        found.in_flight = max(0, found.in_flight - 1)
        # The answer would have taken longer; a shorter time says nothing about the server.
        if elapsed_s > found.latency_s or elapsed_s > math.exp(found.log_mean):
            _add_sample(found, elapsed_s, now_s)
            self._judge(found.service, now_s)

    def record_report(self, server: str, report: LoadReport, now_s: float) -> None:
        """Record a load report; it can only lower the server's rank."""
        if found := self._servers.get(server):
            was_cold = found.report is not None and found.report.state == "cold"
            if report.state == "cold" and not was_cold:
                found.started_s = now_s
            found.report = report
            found.reported_s = now_s

    def restart_slowly(self, servers: Iterable[str], now_s: float) -> None:
        """Let the servers start again with a small, rising share (cold caches, shifts)."""
        for name in servers:
            if found := self._servers.get(name):
                found.started_s = now_s

    def score(self, server: str, now_s: float) -> tuple[float, float]:
        """Return the score in seconds (lower is better) and the weight of a server.

        The score is peak-EWMA latency x (in flight + 1), raised by bad load reports.
        """
        found = self._servers[server]
        score_s = _decayed_s(found, now_s) * (found.in_flight + 1)
        if found.report is not None:
            score_s *= _report_factor(found.report, now_s - found.reported_s)
        return score_s, _weight(found, now_s)

    def latency_s(self, server: str, now_s: float) -> float:
        """Return the peak-EWMA latency in seconds."""
        return _decayed_s(self._servers[server], now_s)

    def weight(self, server: str, now_s: float) -> float:
        """Return the share, 0 (ejected) to 1, of the load that the server should get."""
        return _weight(self._servers[server], now_s)

    def median_s(self, service: str) -> float:
        """Return the median of the mean latencies of a service's servers; 0 while unknown."""
        return self._median_s.get(service, 0.0)

    def in_flight(self, server: str) -> int:
        """Return the attempts of this host that the server has not ended."""
        return self._servers[server].in_flight

    def snapshot(self, server: str, now_s: float) -> ServerSnapshot:
        """Return what has been observed of one server."""
        return ServerSnapshot(
            server=server,
            in_flight=self.in_flight(server),
            latency_s=self.latency_s(server, now_s),
            weight=self.weight(server, now_s),
            ejected=self._servers[server].ejected_until_s > now_s,
        )

    def _judge(self, service: str, now_s: float) -> None:
        """Lower the weight of servers slower than their siblings, raise that of the others."""
        if now_s - self._judged_s.get(service, -math.inf) < JUDGE_INTERVAL_S:
            return
        self._judged_s[service] = now_s
        siblings = self._siblings[service]
        judged = [server for server in siblings if server.samples >= SAMPLES_MIN]
        if len(judged) < SIBLINGS_MIN:
            return
        median_log = statistics.median(server.log_mean for server in judged)
        slow_log = median_log + math.log(SLOW_RATIO)
        self._median_s[service] = math.exp(median_log)
        for server in judged:
            if server.ejected_until_s > now_s:
                continue
            if server.log_mean > slow_log and server.sampled_s > now_s - SAMPLE_AGE_MAX_S:
                self._weaken(server, now_s)
            else:
                server.weight = min(1.0, server.weight * WEIGHT_RISE)
                if server.weight == 1.0:
                    server.ejections = 0

    def _weaken(self, server: _Server, now_s: float) -> None:
        if server.weight == 1.0 and not self._may_lower(server, now_s):
            return
        server.weight /= 2
        if server.weight < WEIGHT_MIN:
            self._eject(server, now_s)

    def _eject(self, server: _Server, now_s: float) -> None:
        if not self._may_lower(server, now_s):
            return
        server.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2**server.ejections)
        server.ejections += 1
        server.weight = WEIGHT_MIN
        # After readmission the server is judged by new samples only.
        server.samples = 0
        server.failures = 0

    def _may_lower(self, server: _Server, now_s: float) -> bool:
        """Return whether one more sibling may get a lower share."""
        siblings = self._siblings[server.service]
        lowered = sum(
            other is not server and (other.weight < 1.0 or other.ejected_until_s > now_s)
            for other in siblings
        )
        return lowered + 1 <= len(siblings) * LOWERED_FRACTION_MAX


def _decayed_s(server: _Server, now_s: float) -> float:
    """Return the peak-EWMA latency, decaying towards the mean while nothing is sampled."""
    if server.samples == 0:
        return server.latency_s
    floor_s = math.exp(server.log_mean)
    if server.latency_s <= floor_s:
        return server.latency_s
    age_s = max(0.0, now_s - server.sampled_s)
    return floor_s + (server.latency_s - floor_s) * math.exp(-age_s / PEAK_DECAY_S)


def _add_sample(server: _Server, latency_s: float, now_s: float) -> None:
    log_latency = math.log(max(latency_s, LATENCY_MIN_S))
    current_s = _decayed_s(server, now_s)
    if server.samples == 0:
        server.latency_s = latency_s
        server.log_mean = log_latency
    else:
        elapsed_s = max(0.0, now_s - server.sampled_s)
        gain = max(GAIN_MIN, 1.0 - math.exp(-elapsed_s / PEAK_DECAY_S))
        is_peak = latency_s > current_s
        server.latency_s = latency_s if is_peak else current_s + gain * (latency_s - current_s)
        # The logarithm keeps a single straggler from looking like a slow server.
        server.log_mean += LOG_GAIN * (log_latency - server.log_mean)
    server.samples += 1
    server.sampled_s = now_s


def _weight(server: _Server, now_s: float) -> float:
    if server.ejected_until_s > now_s:
        return 0.0
    age_s = now_s - server.started_s
    if age_s >= SLOW_START_S:
        return server.weight
    return server.weight * max(WEIGHT_MIN, age_s / SLOW_START_S)


def _report_factor(report: LoadReport, age_s: float) -> float:
    """Return at least 1; an old report loses its effect because it may no longer hold."""
    if age_s > REPORT_AGE_MAX_S:
        return 1.0
    if report.state == "draining":
        return DRAINING_FACTOR
    return 1.0 + max(0.0, min(1.0, report.load) - BUSY_LOAD)
