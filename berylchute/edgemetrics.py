"""Define the metrics of the edge program."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["EdgeMetrics"]

# From a request that is refused at once to the longest time budget of 10 s.
_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 3, 5, 10)


class EdgeMetrics:
    """Hold the metrics of one process in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
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
        self.retries = Counter(
            "berylchute_edge_retries_total",
            "Repeated sends by the reason of the repeat.",
            ("reason",),
            registry=self.registry,
        )
        self.sent = Counter(
            "berylchute_edge_sends_total", "Sends to backend servers.", registry=self.registry
        )
        self._seconds = Histogram(
            "berylchute_edge_request_seconds",
            "Time from the arrival of a request to the end of its answer, by outcome.",
            ("outcome",),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._children: dict[tuple[str, str], Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when metrics are asked for."""
        Gauge(name, meaning, registry=self.registry).set_function(read)

    def note_end(self, service: str, outcome: str, reason: str, total_s: float) -> None:
        """Count one finished request."""
        child = self._children.get((service, outcome))
        if child is None:
            child = self._requests.labels(service, outcome)
            self._children[service, outcome] = child
        child.inc()
        histogram = self._histograms.get(outcome)
        if histogram is None:
            histogram = self._histograms[outcome] = self._seconds.labels(outcome)
        histogram.observe(total_s)
        if reason and outcome != "answered":
            self._refusals.labels(reason.partition(",")[0]).inc()

    def render(self) -> bytes:
        """Return the text exposition."""
        return generate_latest(self.registry)
