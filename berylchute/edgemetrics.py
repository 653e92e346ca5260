"""Define the metrics of the edge program."""

from collections.abc import Callable, Iterable, Mapping

import attrs
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from berylchute.allotments.metrics import AllotmentMetrics
from berylchute.callerlimits import CallerState, caller_metrics
from berylchute.types import MemberState

__all__ = ["EdgeMetrics", "EdgeState"]

# From a request that is refused at once to the longest time budget of 10 s.
_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 3, 5, 10)


@attrs.frozen
class EdgeState:
    """The state of the edge program when metrics are collected.

    `object_ages_s` maps each shared object to the time since this process applied its last change.
    `store_calls`, `store_failures` and `store_malformed` count by collection, `region_sends` by
    service, region of the server and reason why the first server of the key was not selected.
    """

    requests_in_flight: int = 0
    routes_number: int = 0
    servers: int = 0
    limited_servers: int = 0
    members: Mapping[str, int] = attrs.field(factory=dict)
    store_silence_s: float = 0.0
    object_ages_s: Mapping[str, float] = attrs.field(factory=dict)
    store_calls: Mapping[str, int] = attrs.field(factory=dict)
    store_failures: Mapping[str, int] = attrs.field(factory=dict)
    store_malformed: Mapping[str, int] = attrs.field(factory=dict)
    region_sends: Mapping[tuple[str, str, str], int] = attrs.field(factory=dict)
    connections_opened: int = 0
    log_lines_dropped_full: int = 0
    log_lines_dropped_rate: int = 0
    log_lines_dropped_unwritable: int = 0
    callers: CallerState = CallerState()


class _StateCollector(Collector):
    """Read the state of the edge program at each collection."""

    def __init__(
        self,
        read: Callable[[], EdgeState],
        read_ratios: Callable[[], Mapping[str, Mapping[int, float]]],
    ) -> None:
        self._read = read
        self._read_ratios = read_ratios

    def collect(self) -> Iterable[Metric]:
        """Return gauges of the current state, and counters kept by other objects."""
        state = self._read()
        members = GaugeMetricFamily(
            "berylchute_edge_members_count", "Members known by state.", None, ("state",)
        )
        for name in MemberState:
            members.add_metric([name.value], state.members.get(name.value, 0))
        dropped = CounterMetricFamily(
            "berylchute_edge_log_lines_dropped",
            "Log lines dropped by reason (buffer_full, over_rate, unwritable).",
            None,
            ("reason",),
        )
        dropped.add_metric(["buffer_full"], state.log_lines_dropped_full)
        dropped.add_metric(["over_rate"], state.log_lines_dropped_rate)
        dropped.add_metric(["unwritable"], state.log_lines_dropped_unwritable)
        ages = GaugeMetricFamily(
            "berylchute_edge_object_age_seconds",
            "Time since this process took the last change of a shared object.",
            None,
            ("object",),
        )
        for key, age_s in state.object_ages_s.items():
            ages.add_metric([key], age_s)
        ratios = GaugeMetricFamily(
            "berylchute_edge_full_load_ratio",
            "Ratio of load to slots from which a server is full for new callers, by rank.",
            None,
            ("service", "rank"),
        )
        for service, by_rank in self._read_ratios().items():
            for rank, ratio in by_rank.items():
                ratios.add_metric([service, str(rank)], ratio)
        return [
            members,
            dropped,
            ages,
            ratios,
            *_gauges(state),
            *_counters(state),
            *caller_metrics(state.callers),
        ]


def _gauges(state: EdgeState) -> list[Metric]:
    return [
        GaugeMetricFamily(
            "berylchute_edge_requests_in_flight_count",
            "Requests that this process carries now.",
            state.requests_in_flight,
        ),
        GaugeMetricFamily(
            "berylchute_edge_routes_number",
            "Number of the route table in force; 0 before one is known.",
            state.routes_number,
        ),
        GaugeMetricFamily(
            "berylchute_edge_servers_count",
            "Backend servers known to this process.",
            state.servers,
        ),
        GaugeMetricFamily(
            "berylchute_edge_limited_servers_count",
            "Backend servers that state a limit of requests per second.",
            state.limited_servers,
        ),
        GaugeMetricFamily(
            "berylchute_edge_store_silence_seconds",
            "Time since the store last answered this process.",
            state.store_silence_s,
        ),
    ]


def _counters(state: EdgeState) -> list[Metric]:
    calls = CounterMetricFamily(
        "berylchute_edge_store_calls", "Calls to the store by collection.", None, ("collection",)
    )
    failures = CounterMetricFamily(
        "berylchute_edge_store_call_failures",
        "Calls to the store that ended without a usable answer, by collection.",
        None,
        ("collection",),
    )
    malformed = CounterMetricFamily(
        "berylchute_edge_store_objects_malformed",
        "Objects of the store, or parts of them, that can't be used, at each time they are read.",
        None,
        ("collection",),
    )
    for family, counts in (
        (calls, state.store_calls),
        (failures, state.store_failures),
        (malformed, state.store_malformed),
    ):
        for collection, count in counts.items():
            family.add_metric([collection], count)
    region_sends = CounterMetricFamily(
        "berylchute_edge_region_sends",
        "Sends by service, region of the server and why the key's first server was skipped.",
        None,
        ("service", "region", "skip_reason"),
    )
    for labels, count in state.region_sends.items():
        region_sends.add_metric(labels, count)
    return [
        calls,
        failures,
        malformed,
        region_sends,
        CounterMetricFamily(
            "berylchute_edge_server_connections",
            "Connections opened to backend servers.",
            state.connections_opened,
        ),
    ]


class EdgeMetrics:
    """The metrics of one process, in their own registry.

    `read_state` and `read_full_ratios`, by service and rank, are called at each collection and may
    be replaced.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.read_state: Callable[[], EdgeState] = EdgeState
        self.read_full_ratios: Callable[[], Mapping[str, Mapping[int, float]]] = dict
        self.registry.register(
            _StateCollector(lambda: self.read_state(), lambda: self.read_full_ratios())
        )
        self._requests = Counter(
            "berylchute_edge_requests_total",
            "Finished requests by service and outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self._refusals = Counter(
            "berylchute_edge_refusals_total",
            "Requests that ended without an answer of a server, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self._rank_refusals = Counter(
            "berylchute_edge_rank_refusals_total",
            "Refused requests by rank and reason, if the rank decides who is served.",
            ("rank", "reason"),
            registry=self.registry,
        )
        self.retries = Counter(
            "berylchute_edge_retries_total",
            "Repeated sends by the reason of the repeat.",
            ("reason",),
            registry=self.registry,
        )
        self.sends = Counter(
            "berylchute_edge_sends_total", "Sends to backend servers.", registry=self.registry
        )
        self.limited_sends = Counter(
            "berylchute_edge_limited_sends_total",
            "Sends to backend servers that state a limit of requests per second.",
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            "berylchute_edge_request_seconds",
            "Time from the arrival of a request to the end of its answer.",
            ("service", "kind", "outcome"),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._server_seconds = Histogram(
            "berylchute_edge_server_seconds",
            "Time from a send to the end of the server's answer, by its status or error code.",
            ("service", "result"),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.allotments = AllotmentMetrics(self.registry)
        # Caches of metrics by label values: a lookup by labels takes longer than counting.
        self._request_counters: dict[tuple[str, str], Counter] = {}
        self._request_histograms: dict[tuple[str, str, str], Histogram] = {}
        self._server_histograms: dict[tuple[str, str], Histogram] = {}

    def record_attempt(self, service: str, result: str, seconds: float) -> None:
        """Record one finished send; `result` is a status or an error code."""
        histogram = self._server_histograms.get((service, result))
        if histogram is None:
            histogram = self._server_seconds.labels(service, result)
            self._server_histograms[service, result] = histogram
        histogram.observe(seconds)

    def record_outcome(
        self, service: str, kind: str, outcome: str, reason: str, total_s: float
    ) -> None:
        """Record one finished request; `reason` is empty if no attempt failed.

        Only the part of `reason` before a comma becomes a label.
        """
        counter = self._request_counters.get((service, outcome))
        if counter is None:
            counter = self._requests.labels(service, outcome)
            self._request_counters[service, outcome] = counter
        counter.inc()
        histogram = self._request_histograms.get((service, kind, outcome))
        if histogram is None:
            histogram = self._request_seconds.labels(service, kind, outcome)
            self._request_histograms[service, kind, outcome] = histogram
        histogram.observe(total_s)
        if reason and outcome != "answered":
            self._refusals.labels(reason.partition(",")[0]).inc()

    def record_rank_refusal(self, rank: int, reason: str) -> None:
        """Count a refused request; only the part of `reason` before a comma becomes a label."""
        self._rank_refusals.labels(str(rank), reason.partition(",")[0]).inc()

    def render(self) -> bytes:
        """Encode all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
