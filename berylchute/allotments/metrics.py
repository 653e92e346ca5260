"""Define the metrics of allotments."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Histogram
from prometheus_client.metrics_core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from berylchute.allotments.holder import AllotmentCounts

__all__ = ["AllotmentMetrics"]

# Up to the longest wait of 0.1 s; longer ones show a busy event loop.
_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.3)


class AllotmentMetrics(Collector):
    """Counts and waits of the allotments of one process; `counts` may be replaced."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.counts = AllotmentCounts()
        self._wait_seconds = Histogram(
            "berylchute_edge_allotment_wait_seconds",
            "Time that requests waited for a token of their organisation.",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        registry.register(self)

    def record_wait(self, seconds: float) -> None:
        """Record the wait of a request for the owner's answer."""
        self._wait_seconds.observe(seconds)

    def collect(self) -> Iterable[Metric]:
        """Return the counters."""
        decisions = CounterMetricFamily(
            "berylchute_edge_allotment_decisions",
            "Requests of limited organisations by decision (granted, fell_back, denied).",
            None,
            ("decision",),
        )
        decisions.add_metric(["granted"], self.counts.granted)
        decisions.add_metric(["fell_back"], self.counts.fell_back)
        decisions.add_metric(["denied"], self.counts.denied)
        expired = CounterMetricFamily(
            "berylchute_edge_allotment_tokens_expired",
            "Tokens of organisations that expired unused at this host.",
            self.counts.expired,
        )
        return [decisions, expired]
