"""Observe backend servers and weigh them against their siblings."""

import math
import statistics
from collections.abc import Iterable
from typing import Literal

import attrs

from berylchute.config import Configuration
from berylchute.topology import compile_delays

__all__ = ["LoadReport", "ServerObserver", "ServerSnapshot"]

# Assumed until siblings have answered; low, so that unknown servers are tried.
INITIAL_LATENCY_S = 0.001
LATENCY_MIN_S = 0.0001
# Bounds the error from a configured distance that is too long.
OWN_FRACTION_MIN = 0.2
# A peak counts for about this long; shorter forgets a noisy neighbour between two requests.
PEAK_DECAY_S = 2.0
# A server that gets no requests is taken for an average one again after about this time;
# otherwise one that was slow once would never be tried again under light load.
FORGET_S = 10.0
GAIN_MIN = 0.05
# With exponential service times these leave four standard deviations to a false judgement.
LOG_GAIN = 0.08
SLOW_START_S = 10.0
SLOW_RATIO = 3.0
# Fewer samples or siblings give no usable median.
SAMPLES_MIN = 8
SIBLINGS_MIN = 3
SAMPLE_AGE_MAX_S = 10.0
JUDGE_INTERVAL_S = 0.25
WEIGHT_MIN = 0.1
WEIGHT_RISE = 1.3
EJECTION_S = 2.0
EJECTION_MAX_S = 30.0
FAILURES_TO_EJECT = 3
# At most this part of the siblings gets less than its full share for slowness, and at most this
# part of a service is ejected in total; a whole region of three can be lost.
LOWERED_FRACTION_MAX = 0.5
REPORT_AGE_MAX_S = 15.0
BUSY_LOAD = 0.5
DRAINING_FACTOR = 4.0
# A server that shed a request is probably still full for a few service times.
SHED_MEMORY_S = 0.1
SHED_FACTOR = 4.0


@attrs.frozen
class LoadReport:
    """A server's own statement at its health endpoint; `load` is 0 to 1."""

    state: Literal["ready", "draining", "cold"]
    load: float
    free_slots: int


@attrs.frozen
class ServerSnapshot:
    """What this host has observed of one server, for `explain` and metrics.

    `latency_s` is without the configured round trip.
    """

    server: str
    in_flight: int
    latency_s: float
    weight: float
    ejected: bool


@attrs.define(eq=False)
class _Server:
    name: str
    started_s: float
    round_trip_s: float
    group: "_Group"
    peak_s: float = 0.0
    mean_s: float = 0.0
    samples: int = 0
    in_flight: int = 0
    failures: int = 0
    sampled_s: float = 0.0
    weight: float = 1.0
    ejected_until_s: float = -math.inf
    ejections: int = 0
    shed_until_s: float = -math.inf
    report: LoadReport | None = None
    reported_s: float = 0.0

    def add_sample(self, latency_s: float, now_s: float) -> None:
        """Count a latency, less the round trip, in the peak-EWMA and the logarithmic mean."""
        own_s = max(latency_s - self.round_trip_s, OWN_FRACTION_MIN * latency_s, LATENCY_MIN_S)
        if self.samples == 0:
            self.peak_s = self.mean_s = own_s
        else:
            age_s = max(0.0, now_s - self.sampled_s)
            gain = max(GAIN_MIN, 1.0 - math.exp(-age_s / PEAK_DECAY_S))
            peak_s = self.latency_s(now_s)
            self.peak_s = own_s if own_s > peak_s else peak_s + gain * (own_s - peak_s)
            # The logarithm keeps a single straggler from looking like a slow server.
            self.mean_s *= (own_s / self.mean_s) ** max(LOG_GAIN, 1.0 / (self.samples + 1))
        self.samples += 1
        self.sampled_s = now_s

    def latency_s(self, now_s: float) -> float:
        """Return the peak-EWMA latency; without new samples it nears the mean, then the median."""
        if self.samples == 0:
            return self.group.median_s or INITIAL_LATENCY_S
        age_s = now_s - self.sampled_s
        if age_s <= 0.0:
            return self.peak_s
        rest_s = self.mean_s
        if rest_s > self.group.median_s > 0.0:
            median_s = self.group.median_s
            rest_s = median_s + (rest_s - median_s) * math.exp(-age_s / FORGET_S)
        if self.peak_s <= rest_s:
            return self.peak_s
        return rest_s + (self.peak_s - rest_s) * math.exp(-age_s / PEAK_DECAY_S)

    def share(self, now_s: float) -> float:
        """Return the weight, 0 while ejected, rising during a slow start."""
        if self.ejected_until_s > now_s:
            return 0.0
        age_s = now_s - self.started_s
        if age_s >= SLOW_START_S:
            return self.weight
        return self.weight * max(WEIGHT_MIN, age_s / SLOW_START_S)

    def penalty(self, now_s: float) -> float:
        """Return a factor of at least 1 from shed requests and the load report."""
        factor = SHED_FACTOR if self.shed_until_s > now_s else 1.0
        report = self.report
        # An old report loses its effect because it may no longer hold.
        if report is None or now_s - self.reported_s > REPORT_AGE_MAX_S:
            return factor
        if report.state == "draining":
            return factor * DRAINING_FACTOR
        return factor * (1.0 + max(0.0, min(1.0, report.load) - BUSY_LOAD))


@attrs.define(eq=False)
class _Group:
    """Siblings: the servers of a service in one region, or in all where a region has few."""

    servers: list[_Server] = attrs.field(factory=list)
    median_s: float = 0.0
    judged_s: float = -math.inf

    def count_lowered(self, but: _Server, now_s: float) -> int:
        return sum(
            server is not but and (server.weight < 1.0 or server.ejected_until_s > now_s)
            for server in self.servers
        )

    def count_ejected(self, but: _Server, now_s: float) -> int:
        return sum(server is not but and server.ejected_until_s > now_s for server in self.servers)


class ServerObserver:
    """Track in-flight requests, latency, failures and reports of every backend server."""

    def __init__(self, availability_zone: str = "", region: str = "") -> None:
        """Observe from a host in this zone and region; round trips depend on it."""
        self._availability_zone = availability_zone
        self._region = region
        self._servers: dict[str, _Server] = {}
        self._services: dict[str, _Group] = {}
        self._service_of: dict[str, str] = {}

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Follow the configured servers; those added after the first call start slowly."""
        started_s = now_s if self._servers else now_s - SLOW_START_S
        known, known_service = self._servers, self._service_of
        round_trips_s = self._round_trips_s(configuration)
        region_of = {zone.name: zone.region for zone in configuration.availability_zones}
        self._servers = {}
        self._service_of = {}
        self._services = {service.name: _Group() for service in configuration.services}
        groups: dict[tuple[str, str], _Group] = {}
        for configured in configuration.backend_servers:
            name, service = configured.name, configured.service
            whole = self._services.setdefault(service, _Group())
            group = groups.setdefault((service, region_of[configured.availability_zone]), _Group())
            round_trip_s = round_trips_s[configured.availability_zone]
            server = known.get(name)
            if server is None or known_service[name] != service:
                server = _Server(name, started_s, round_trip_s, group)
            server.round_trip_s, server.group = round_trip_s, group
            self._servers[name] = server
            self._service_of[name] = service
            whole.servers.append(server)
            group.servers.append(server)
        self._join_small_groups()

    def record_sent(self, server: str, now_s: float) -> None:
        """Record that an attempt was sent."""
        if found := self._servers.get(server):
            found.in_flight += 1

    def record_answer(self, server: str, latency_s: float, now_s: float) -> None:
        """Record a complete answer and its latency in seconds; ends one attempt in flight."""
        if found := self._servers.get(server):
            found.in_flight = max(0, found.in_flight - 1)
            found.failures = 0
            found.add_sample(latency_s, now_s)
            self._judge(found, now_s)

    def record_failure(self, server: str, now_s: float, *, was_sent: bool) -> None:
        """Record a refused connection or broken exchange; several in a row eject the server."""
        found = self._servers.get(server)
        if found is None:
            return
        if was_sent:
            found.in_flight = max(0, found.in_flight - 1)
        found.failures += 1
        # A server on probation is ejected again at its first failure.
        allowed = FAILURES_TO_EJECT if found.weight == 1.0 else 1
        if found.failures >= allowed and found.ejected_until_s <= now_s:
            self._eject(found, now_s)

    def record_shed(self, server: str, now_s: float) -> None:
        """Record that the server shed the request as not run; it ranks last for a short time."""
        if found := self._servers.get(server):
            found.in_flight = max(0, found.in_flight - 1)
            found.shed_until_s = now_s + SHED_MEMORY_S

    def record_cancel(self, server: str, elapsed_s: float, now_s: float) -> None:
        """Record a cancelled or timed-out attempt without an answer after `elapsed_s`."""
        found = self._servers.get(server)
        if found is None:
            return
        found.in_flight = max(0, found.in_flight - 1)
        # The answer would have taken longer; a shorter time says nothing about the server.
        if elapsed_s - found.round_trip_s > found.mean_s:
            found.add_sample(elapsed_s, now_s)
            self._judge(found, now_s)

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
        score_s = found.latency_s(now_s) * (found.in_flight + 1)
        if found.report is not None or found.shed_until_s > now_s:
            score_s *= found.penalty(now_s)
        return score_s, found.share(now_s)

    def is_known(self, server: str) -> bool:
        """Tell whether the configuration last set names the server."""
        return server in self._servers

    def latency_s(self, server: str, now_s: float) -> float:
        """Return the peak-EWMA latency in seconds, without the configured round trip."""
        return self._servers[server].latency_s(now_s)

    def weight(self, server: str, now_s: float) -> float:
        """Return the share, 0 (ejected) to 1, of the load that the server should get."""
        return self._servers[server].share(now_s)

    def is_slow(self, server: str) -> bool:
        """Return whether the mean latency, round trip included, is far above the service's median.

        The mean decides: the peak of a healthy server passes that mark with each straggler.
        """
        found = self._servers[server]
        median_s = self._services[self._service_of[server]].median_s
        total_s = found.mean_s + found.round_trip_s
        return found.samples >= SAMPLES_MIN and total_s > SLOW_RATIO * median_s > 0.0

    def in_flight(self, server: str) -> int:
        """Return the attempts of this host that the server has not ended."""
        return self._servers[server].in_flight

    def snapshot(self, server: str, now_s: float) -> ServerSnapshot:
        """Return what has been observed of one server."""
        found = self._servers[server]
        return ServerSnapshot(
            server=server,
            in_flight=found.in_flight,
            latency_s=found.latency_s(now_s),
            weight=found.share(now_s),
            ejected=found.ejected_until_s > now_s,
        )

    def _round_trips_s(self, configuration: Configuration) -> dict[str, float]:
        """Return the configured round trip to each availability zone; 0 where unknown."""
        delays_s = compile_delays(configuration, self._region)
        near_s = 2 * configuration.availability_zone_one_way_ms / 1000
        return {
            zone.name: 2 * delays_s.get(zone.region, 0.0)
            + (0.0 if zone.name == self._availability_zone or not self._region else near_s)
            for zone in configuration.availability_zones
        }

    def _join_small_groups(self) -> None:
        for name, server in self._servers.items():
            if len(server.group.servers) < SIBLINGS_MIN:
                server.group = self._services[self._service_of[name]]

    def _judge(self, server: _Server, now_s: float) -> None:
        """Lower the weight of servers slower than their siblings, raise that of the others."""
        group = server.group
        if now_s - group.judged_s < JUDGE_INTERVAL_S:
            return
        group.judged_s = now_s
        whole = self._services[self._service_of[server.name]]
        whole.median_s = _median_s(whole.servers, with_round_trip=True) or whole.median_s
        if group is not whole:
            group.median_s = _median_s(group.servers, with_round_trip=False) or group.median_s
        if group.median_s == 0.0:
            return
        for sibling in group.servers:
            if sibling.samples >= SAMPLES_MIN and sibling.ejected_until_s <= now_s:
                self._adjust(sibling, now_s)

    def _adjust(self, server: _Server, now_s: float) -> None:
        group = server.group
        is_recent = server.sampled_s > now_s - SAMPLE_AGE_MAX_S
        if not is_recent or server.mean_s <= SLOW_RATIO * group.median_s:
            server.weight = min(1.0, server.weight * WEIGHT_RISE)
            if server.weight == 1.0:
                server.ejections = 0
            return
        lowered = group.count_lowered(server, now_s) + 1
        if server.weight == 1.0 and lowered > len(group.servers) * LOWERED_FRACTION_MAX:
            return
        if server.weight / 2 < WEIGHT_MIN:
            self._eject(server, now_s)
        else:
            server.weight /= 2

    def _eject(self, server: _Server, now_s: float) -> None:
        """Send the server nothing for a time that doubles; then judge it by new samples only."""
        whole = self._services[self._service_of[server.name]]
        ejected = whole.count_ejected(server, now_s) + 1
        if ejected > len(whole.servers) * LOWERED_FRACTION_MAX:
            return
        server.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2**server.ejections)
        server.ejections += 1
        server.weight = WEIGHT_MIN
        server.samples = 0
        server.failures = 0


def _median_s(servers: Iterable[_Server], *, with_round_trip: bool) -> float:
    """Return the median of the mean latencies, 0 with too few servers."""
    means_s = [
        server.mean_s + (server.round_trip_s if with_round_trip else 0.0)
        for server in servers
        if server.samples >= SAMPLES_MIN
    ]
    return statistics.median(means_s) if len(means_s) >= SIBLINGS_MIN else 0.0
