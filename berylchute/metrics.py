"""Define the Prometheus metrics of the processes."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from berylchute.node import NodeCounts
from berylchute.tracing import STAGES, RequestRecord
from berylchute.types import MemberState

__all__ = ["CONTENT_TYPE_LATEST", "Metrics"]

# From 0.5 ms, below which the time of a stage is irrelevant, to the longest deadline of 60 s.
_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60)


class _NodeCollector(Collector):
    """Collect the counts of the node tasks when metrics are scraped."""

    def __init__(self, read_counts: Callable[[], NodeCounts]) -> None:
        self._read_counts = read_counts

    def collect(self) -> Iterable[Metric]:
        """Return metrics of peer messages, store calls, members and the configuration version."""
        counts = self._read_counts()
        peers = counts.peers
        messages = CounterMetricFamily(
            "berylchute_peer_messages", "Messages between hosts by direction.", None, ("direction",)
        )
        sizes = CounterMetricFamily(
            "berylchute_peer_bytes", "Bytes of messages between hosts.", None, ("direction",)
        )
        for direction in ("sent", "received"):
            messages.add_metric([direction], getattr(peers, f"{direction}_messages"))
            sizes.add_metric([direction], getattr(peers, f"{direction}_bytes"))
        dropped = CounterMetricFamily(
            "berylchute_peer_dropped_messages", "Messages dropped by reason.", None, ("reason",)
        )
        for reason in ("queue_full", "peer_full", "invalid"):
            dropped.add_metric([reason], getattr(peers, f"dropped_{reason}"))
        dropped.add_metric(["subscriber_full"], counts.dropped_subscriber_full)
        members = GaugeMetricFamily(
            "berylchute_members_count", "Members known to this process by state.", None, ("state",)
        )
        for state in MemberState:
            members.add_metric([state.value], counts.members.get(state.value, 0))
        return [messages, sizes, dropped, members, *_store_metrics(counts)]


def _store_metrics(counts: NodeCounts) -> list[Metric]:
    return [
        CounterMetricFamily(
            "berylchute_store_calls", "Calls to the object store.", counts.store_calls
        ),
        CounterMetricFamily(
            "berylchute_store_call_failures",
            "Calls to the object store that ended without an answer.",
            counts.store_failures,
        ),
        GaugeMetricFamily(
            "berylchute_config_version_number",
            "Store version of the configuration in force.",
            counts.config_version,
        ),
    ]


class Metrics:
    """Metrics of one process in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.get_node_counts: Callable[[], NodeCounts] = NodeCounts
        self.registry.register(_NodeCollector(lambda: self.get_node_counts()))
        self.requests = self._counter(
            "berylchute_requests_total",
            "Finished requests by service, kind and outcome.",
            ("service", "kind", "outcome"),
        )
        self.refusals = self._counter(
            "berylchute_refusals_total", "Refused requests by refusal code.", ("code",)
        )
        self.retries = self._counter(
            "berylchute_retries_total", "Retried attempts by the reason of the retry.", ("reason",)
        )
        self.hedges = self._counter(
            "berylchute_hedges_total",
            "Hedged attempts by result (won, lost, failed, shed, no_slot, no_budget).",
            ("result",),
        )
        self.cancellations = self._counter(
            "berylchute_cancellations_total",
            "Cancellations sent to backend servers by result (confirmed, unconfirmed).",
            ("result",),
        )
        self.idempotency_decisions = self._counter(
            "berylchute_idempotency_decisions_total",
            "Decisions on requests with an idempotency key.",
            ("decision",),
        )
        self.in_flight = self._gauge(
            "berylchute_requests_in_flight_count", "Requests that this host is answering."
        )
        self.idempotency_records = self._gauge(
            "berylchute_idempotency_records_count", "Idempotency records that this host keeps."
        )
        self.stage_seconds = self._histogram(
            "berylchute_stage_seconds", "Time of requests in each stage.", ("kind", "stage")
        )
        self.request_seconds = self._histogram(
            "berylchute_request_seconds",
            "Time from the arrival of a request to the end of its answer.",
            ("kind",),
        )
        # Labelled children are cached because looking them up costs more than updating them.
        self._stage_children: dict[str, tuple[Histogram, ...]] = {}
        self._request_children: dict[str, Histogram] = {}
        self._outcome_children: dict[tuple[str, str, str], Counter] = {}

    def _counter(self, name: str, description: str, labels: tuple[str, ...]) -> Counter:
        return Counter(name, description, labels, registry=self.registry)

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(name, description, registry=self.registry)

    def _histogram(self, name: str, description: str, labels: tuple[str, ...]) -> Histogram:
        return Histogram(name, description, labels, buckets=_BUCKETS_S, registry=self.registry)

    def record_request(self, record: RequestRecord) -> None:
        """Record the outcome and the stages of one finished request."""
        labels = (record.service, record.kind, record.outcome)
        outcome_counter = self._outcome_children.get(labels)
        if outcome_counter is None:
            outcome_counter = self._outcome_children[labels] = self.requests.labels(*labels)
        outcome_counter.inc()
        if record.code:
            self.refusals.labels(record.code).inc()
        kind = record.kind
        request_histogram = self._request_children.get(kind)
        if request_histogram is None:
            request_histogram = self._request_children[kind] = self.request_seconds.labels(kind)
            self._stage_children[kind] = tuple(
                self.stage_seconds.labels(kind, name) for name in STAGES
            )
        request_histogram.observe(record.ended_s - record.started_s)
        for stage_histogram, seconds in zip(
            self._stage_children[kind], record.stage_s, strict=True
        ):
            # Zeros of stages that a request did not enter would skew the histograms.
            if seconds > 0.0:
                stage_histogram.observe(seconds)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text exposition format."""
        return generate_latest(self.registry)
