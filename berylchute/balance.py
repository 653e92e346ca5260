"""Track backend servers and set their weights by comparison with their siblings."""

import math
import statistics
from collections.abc import Iterable
from typing import Literal

import attrs

from berylchute.config import Configuration
from berylchute.regionindex import compile_one_way_delays_s

__all__ = ["LoadReport", "ServerObserver", "ServerSnapshot"]

# Assumed until siblings have answered; low, so that servers without samples get requests.
INITIAL_LATENCY_S = 0.001
LATENCY_MIN_S = 0.0001
# Lower bound of the time within the server, as a part of the latency, for the case that the
# configured round trip is too long.
SERVER_TIME_RATIO_MIN = 0.2
# Time constant with which a latency peak decays. With a shorter one the peak that a noisy
# neighbour causes is gone before the next request.
PEAK_DECAY_S = 2.0
# Time constant with which the mean of a server without requests returns to the median. Without
# it, a server that was slow once would get no requests again under light load.
MEAN_DECAY_S = 10.0
PEAK_GAIN_MIN = 0.05
# With exponential service times, this gain and SLOW_RATIO leave four standard deviations before a
# healthy server counts as slow.
LOG_MEAN_GAIN = 0.08
SLOW_START_S = 10.0
SLOW_RATIO = 3.0
# A median over fewer samples or siblings is unreliable.
SAMPLES_MIN = 8
SIBLINGS_MIN = 3
SAMPLE_AGE_MAX_S = 10.0
WEIGHT_UPDATE_INTERVAL_S = 0.25
WEIGHT_MIN = 0.1
WEIGHT_RISE_FACTOR = 1.3
EJECTION_S = 2.0
EJECTION_MAX_S = 30.0
FAILURES_TO_EJECT = 3
# At most this part of the siblings has its weight lowered for slowness, and at most this part of
# a service's servers is ejected. This still allows ejecting one whole region out of three.
LOWERED_RATIO_MAX = 0.5
REPORT_AGE_MAX_S = 15.0
# A reported load above this raises the score.
BUSY_LOAD_RATIO = 0.5
DRAINING_SCORE_FACTOR = 4.0
# A server that shed a request is likely to stay full for a few service times.
SHED_PENALTY_S = 0.1
SHED_SCORE_FACTOR = 4.0


@attrs.frozen
class LoadReport:
    """The answer of a server's health endpoint; `load` is 0 to 1."""

    state: Literal["ready", "draining", "cold"]
    load: float
    free_slots: int


@attrs.frozen
class ServerSnapshot:
    """The state of one server as observed by this host, for `explain` and metrics.

    `latency_s` excludes the configured round trip.
    """

    server: str
    in_flight: int
    latency_s: float
    weight: float
    ejected: bool


@attrs.define(eq=False)
class _ServerStats:
    name: str
    started_s: float
    round_trip_s: float
    group: "_Group"
    peak_s: float = 0.0
    mean_s: float = 0.0
    samples: int = 0
    in_flight: int = 0
    consecutive_failures: int = 0
    sampled_s: float = 0.0
    weight: float = 1.0
    ejected_until_s: float = -math.inf
    ejections: int = 0
    shed_until_s: float = -math.inf
    report: LoadReport | None = None
    reported_s: float = 0.0

    def add_sample(self, latency_s: float, now_s: float) -> None:
        """Add a latency, less the round trip, to the peak EWMA and the logarithmic mean."""
        server_time_s = max(
            latency_s - self.round_trip_s, SERVER_TIME_RATIO_MIN * latency_s, LATENCY_MIN_S
        )
        if self.samples == 0:
            self.peak_s = self.mean_s = server_time_s
        else:
            age_s = max(0.0, now_s - self.sampled_s)
            gain = max(PEAK_GAIN_MIN, 1.0 - math.exp(-age_s / PEAK_DECAY_S))
            peak_s = self.latency_s(now_s)
            self.peak_s = (
                server_time_s
                if server_time_s > peak_s
                else peak_s + gain * (server_time_s - peak_s)
            )
            # A logarithmic mean limits the effect of a single straggler.
            self.mean_s *= (server_time_s / self.mean_s) ** max(
                LOG_MEAN_GAIN, 1.0 / (self.samples + 1)
            )
        self.samples += 1
        self.sampled_s = now_s

    def latency_s(self, now_s: float) -> float:
        """Return the peak-EWMA latency; without samples it decays to the mean, then the median."""
        if self.samples == 0:
            return self.group.median_s or INITIAL_LATENCY_S
        age_s = now_s - self.sampled_s
        if age_s <= 0.0:
            return self.peak_s
        baseline_s = self.mean_s
        if baseline_s > self.group.median_s > 0.0:
            median_s = self.group.median_s
            baseline_s = median_s + (baseline_s - median_s) * math.exp(-age_s / MEAN_DECAY_S)
        if self.peak_s <= baseline_s:
            return self.peak_s
        return baseline_s + (self.peak_s - baseline_s) * math.exp(-age_s / PEAK_DECAY_S)

    def effective_weight(self, now_s: float) -> float:
        """Return the weight: 0 while ejected, rising to the full one during a slow start."""
        if self.ejected_until_s > now_s:
            return 0.0
        age_s = now_s - self.started_s
        if age_s >= SLOW_START_S:
            return self.weight
        return self.weight * max(WEIGHT_MIN, age_s / SLOW_START_S)

    def penalty(self, now_s: float) -> float:
        """Return the score factor, at least 1, for shed requests and the load report."""
        factor = SHED_SCORE_FACTOR if self.shed_until_s > now_s else 1.0
        report = self.report
        # An old report is ignored because it may no longer be true.
        if report is None or now_s - self.reported_s > REPORT_AGE_MAX_S:
            return factor
        if report.state == "draining":
            return factor * DRAINING_SCORE_FACTOR
        return factor * (1.0 + max(0.0, min(1.0, report.load) - BUSY_LOAD_RATIO))


@attrs.define(eq=False)
class _Group:
    """The siblings of a server: those of its service and region, or of all regions if too few."""

    servers: list[_ServerStats] = attrs.field(factory=list)
    median_s: float = 0.0
    evaluated_s: float = -math.inf

    def count_lowered(self, excluding: _ServerStats, now_s: float) -> int:
        return sum(
            server is not excluding and (server.weight < 1.0 or server.ejected_until_s > now_s)
            for server in self.servers
        )

    def count_ejected(self, excluding: _ServerStats, now_s: float) -> int:
        return sum(
            server is not excluding and server.ejected_until_s > now_s for server in self.servers
        )


class ServerObserver:
    """Track in-flight attempts, latency, failures and load reports of every backend server."""

    def __init__(self, availability_zone: str = "", region: str = "") -> None:
        """Set the host's own zone and region, from which the round trips are computed."""
        self._availability_zone = availability_zone
        self._region = region
        self._servers: dict[str, _ServerStats] = {}
        self._service_groups: dict[str, _Group] = {}
        self._service_of: dict[str, str] = {}

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Replace the servers; those added after the first call get a slow start."""
        started_s = now_s if self._servers else now_s - SLOW_START_S
        previous, previous_service = self._servers, self._service_of
        round_trips_s = self._round_trips_s(configuration)
        region_of = {zone.name: zone.region for zone in configuration.availability_zones}
        self._servers = {}
        self._service_of = {}
        self._service_groups = {service.name: _Group() for service in configuration.services}
        groups: dict[tuple[str, str], _Group] = {}
        for configured in configuration.backend_servers:
            name, service = configured.name, configured.service
            service_group = self._service_groups.setdefault(service, _Group())
            group = groups.setdefault((service, region_of[configured.availability_zone]), _Group())
            round_trip_s = round_trips_s[configured.availability_zone]
            server = previous.get(name)
            if server is None or previous_service[name] != service:
                server = _ServerStats(name, started_s, round_trip_s, group)
            server.round_trip_s, server.group = round_trip_s, group
            self._servers[name] = server
            self._service_of[name] = service
            service_group.servers.append(server)
            group.servers.append(server)
        self._merge_small_groups()

    def record_sent(self, server: str, now_s: float) -> None:
        """Record that an attempt was sent."""
        if stats := self._servers.get(server):
            stats.in_flight += 1

    def record_answer(self, server: str, latency_s: float, now_s: float) -> None:
        """Record a complete answer and its latency in seconds; ends one attempt in flight."""
        if stats := self._servers.get(server):
            stats.in_flight = max(0, stats.in_flight - 1)
            stats.consecutive_failures = 0
            stats.add_sample(latency_s, now_s)
            self._update_weights(stats, now_s)

    def record_failure(self, server: str, now_s: float, *, was_sent: bool) -> None:
        """Record a refused connection or broken exchange; several in a row eject the server.

        `was_sent` is true if `record_sent` was called for the attempt.
        """
        stats = self._servers.get(server)
        if stats is None:
            return
        if was_sent:
            stats.in_flight = max(0, stats.in_flight - 1)
        stats.consecutive_failures += 1
        # A server with a reduced weight is ejected again at its first failure.
        allowed = FAILURES_TO_EJECT if stats.weight == 1.0 else 1
        if stats.consecutive_failures >= allowed and stats.ejected_until_s <= now_s:
            self._eject(stats, now_s)

    def record_shed(self, server: str, now_s: float) -> None:
        """Record that the server shed the request; its score is raised for SHED_PENALTY_S."""
        if stats := self._servers.get(server):
            stats.in_flight = max(0, stats.in_flight - 1)
            stats.shed_until_s = now_s + SHED_PENALTY_S

    def record_cancel(self, server: str, elapsed_s: float, now_s: float) -> None:
        """Record an attempt that was cancelled or timed out after `elapsed_s` without an answer."""
        stats = self._servers.get(server)
        if stats is None:
            return
        stats.in_flight = max(0, stats.in_flight - 1)
        # The full latency is at least the elapsed time. One below the mean carries no information.
        if elapsed_s - stats.round_trip_s > stats.mean_s:
            stats.add_sample(elapsed_s, now_s)
            self._update_weights(stats, now_s)

    def record_report(self, server: str, report: LoadReport, now_s: float) -> None:
        """Record a load report; it may raise the server's score but not lower it."""
        if stats := self._servers.get(server):
            was_cold = stats.report is not None and stats.report.state == "cold"
            if report.state == "cold" and not was_cold:
                stats.started_s = now_s
            stats.report = report
            stats.reported_s = now_s

    def restart_slow_start(self, servers: Iterable[str], now_s: float) -> None:
        """Begin a new slow start of servers with cold caches or new traffic from a shift."""
        for name in servers:
            if stats := self._servers.get(name):
                stats.started_s = now_s

    def score(self, server: str, now_s: float) -> tuple[float, float]:
        """Return the score in seconds (lower is better) and the weight of a server.

        The score is peak-EWMA latency x (in flight + 1), raised by shed requests and load reports.
        """
        stats = self._servers[server]
        score_s = stats.latency_s(now_s) * (stats.in_flight + 1)
        if stats.report is not None or stats.shed_until_s > now_s:
            score_s *= stats.penalty(now_s)
        return score_s, stats.effective_weight(now_s)

    def is_known(self, server: str) -> bool:
        """Return whether the current configuration includes the server."""
        return server in self._servers

    def latency_s(self, server: str, now_s: float) -> float:
        """Return the peak-EWMA latency in seconds, excluding the configured round trip."""
        return self._servers[server].latency_s(now_s)

    def weight(self, server: str, now_s: float) -> float:
        """Return the weight from 0 (ejected) to 1 (full load)."""
        return self._servers[server].effective_weight(now_s)

    def is_slow(self, server: str) -> bool:
        """Return whether the mean latency plus round trip exceeds SLOW_RATIO x the service median.

        The mean is compared because one straggler raises the peak of a healthy server that much.
        """
        stats = self._servers[server]
        median_s = self._service_groups[self._service_of[server]].median_s
        total_s = stats.mean_s + stats.round_trip_s
        return stats.samples >= SAMPLES_MIN and total_s > SLOW_RATIO * median_s > 0.0

    def in_flight(self, server: str) -> int:
        """Return the number of attempts from this host in flight at the server."""
        return self._servers[server].in_flight

    def snapshot(self, server: str, now_s: float) -> ServerSnapshot:
        """Return the observed state of one server."""
        stats = self._servers[server]
        return ServerSnapshot(
            server=server,
            in_flight=stats.in_flight,
            latency_s=stats.latency_s(now_s),
            weight=stats.effective_weight(now_s),
            ejected=stats.ejected_until_s > now_s,
        )

    def _round_trips_s(self, configuration: Configuration) -> dict[str, float]:
        """Return the configured round trip to each availability zone; 0 where unknown."""
        delays_s = compile_one_way_delays_s(configuration, self._region)
        zone_round_trip_s = 2 * configuration.availability_zone_one_way_ms / 1000
        return {
            zone.name: 2 * delays_s.get(zone.region, 0.0)
            + (
                0.0
                if zone.name == self._availability_zone or not self._region
                else zone_round_trip_s
            )
            for zone in configuration.availability_zones
        }

    def _merge_small_groups(self) -> None:
        for name, server in self._servers.items():
            if len(server.group.servers) < SIBLINGS_MIN:
                server.group = self._service_groups[self._service_of[name]]

    def _update_weights(self, server: _ServerStats, now_s: float) -> None:
        """Lower the weight of servers slower than their siblings and raise that of the others."""
        group = server.group
        if now_s - group.evaluated_s < WEIGHT_UPDATE_INTERVAL_S:
            return
        group.evaluated_s = now_s
        service_group = self._service_groups[self._service_of[server.name]]
        service_group.median_s = (
            _median_s(service_group.servers, with_round_trip=True) or service_group.median_s
        )
        if group is not service_group:
            group.median_s = _median_s(group.servers, with_round_trip=False) or group.median_s
        if group.median_s == 0.0:
            return
        for sibling in group.servers:
            if sibling.samples >= SAMPLES_MIN and sibling.ejected_until_s <= now_s:
                self._adjust_weight(sibling, now_s)

    def _adjust_weight(self, server: _ServerStats, now_s: float) -> None:
        group = server.group
        is_recent = server.sampled_s > now_s - SAMPLE_AGE_MAX_S
        if not is_recent or server.mean_s <= SLOW_RATIO * group.median_s:
            server.weight = min(1.0, server.weight * WEIGHT_RISE_FACTOR)
            if server.weight == 1.0:
                server.ejections = 0
            return
        lowered = group.count_lowered(server, now_s) + 1
        if server.weight == 1.0 and lowered > len(group.servers) * LOWERED_RATIO_MAX:
            return
        if server.weight / 2 < WEIGHT_MIN:
            self._eject(server, now_s)
        else:
            server.weight /= 2

    def _eject(self, server: _ServerStats, now_s: float) -> None:
        """Eject the server for a time that doubles with each ejection, and discard its samples."""
        service_group = self._service_groups[self._service_of[server.name]]
        ejected = service_group.count_ejected(server, now_s) + 1
        if ejected > len(service_group.servers) * LOWERED_RATIO_MAX:
            return
        server.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2**server.ejections)
        server.ejections += 1
        server.weight = WEIGHT_MIN
        server.samples = 0
        server.consecutive_failures = 0


def _median_s(servers: Iterable[_ServerStats], *, with_round_trip: bool) -> float:
    """Return the median of the mean latencies; 0 with too few servers."""
    means_s = [
        server.mean_s + (server.round_trip_s if with_round_trip else 0.0)
        for server in servers
        if server.samples >= SAMPLES_MIN
    ]
    return statistics.median(means_s) if len(means_s) >= SIBLINGS_MIN else 0.0
