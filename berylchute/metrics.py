"""Define every prometheus metric of the programs."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from berylchute.node import NodeCounts
from berylchute.tracing import STAGES, RequestRecord
from berylchute.types import MemberState

__all__ = ["CONTENT_TYPE_LATEST", "Metrics"]

# From half a millisecond, below which stages do not matter, to the longest deadline of 60 s.
_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60)


class _NodeCollector(Collector):
    """Read the counts of the node tasks when metrics are asked for."""

    def __init__(self, read: Callable[[], NodeCounts]) -> None:
        self._read = read

    def collect(self) -> Iterable[Metric]:
        """Return the metrics of peers, store calls, members and the configuration."""
        counts = self._read()
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
    """Hold the metrics of one process in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.read_node: Callable[[], NodeCounts] = NodeCounts
        self.registry.register(_NodeCollector(lambda: self.read_node()))
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
            "Hedged attempts by result (won, lost, failed, no_slot, no_budget).",
            ("result",),
        )
        self.cancellations = self._counter(
            "berylchute_cancellations_total",
            "Cancellations sent to backend servers by result (confirmed, unconfirmed).",
            ("result",),
        )
        self.repeats = self._counter(
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
        # Label look-ups cost more than the updates, so the children are kept per kind.
        self._stages: dict[str, tuple[Histogram, ...]] = {}
        self._totals: dict[str, Histogram] = {}
        self._outcomes: dict[tuple[str, str, str], Counter] = {}

    def _counter(self, name: str, meaning: str, labels: tuple[str, ...]) -> Counter:
        return Counter(name, meaning, labels, registry=self.registry)

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, registry=self.registry)

    def _histogram(self, name: str, meaning: str, labels: tuple[str, ...]) -> Histogram:
        return Histogram(name, meaning, labels, buckets=_BUCKETS_S, registry=self.registry)

    def take(self, record: RequestRecord) -> None:
        """Count one finished request."""
        labels = (record.service, record.kind, record.outcome)
        outcome = self._outcomes.get(labels)
        if outcome is None:
            outcome = self._outcomes[labels] = self.requests.labels(*labels)
        outcome.inc()
        if record.code:
            self.refusals.labels(record.code).inc()
        kind = record.kind
        total = self._totals.get(kind)
        if total is None:
            total = self._totals[kind] = self.request_seconds.labels(kind)
            self._stages[kind] = tuple(self.stage_seconds.labels(kind, name) for name in STAGES)
        total.observe(record.ended_s - record.started_s)
        for child, seconds in zip(self._stages[kind], record.stage_s, strict=True):
            # Stages that a request did not enter would drown the others in zeros.
            if seconds > 0.0:
                child.observe(seconds)

    def render(self) -> bytes:
        """Return the text exposition."""
        return generate_latest(self.registry)
