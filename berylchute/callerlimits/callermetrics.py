"""Define the metrics of what callers hold and what they are refused for.

Load handled: callers that fill the memory or the connections, of which an operator must learn which
part is full and why.
"""

from collections.abc import Mapping

import attrs
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

from berylchute.callerlimits.causes import Cause
from berylchute.callerlimits.dropping import BodyStage

__all__ = ["CallerState", "caller_metrics"]


@attrs.frozen
class CallerState:
    """What callers hold now, and what they have been refused for since the start."""

    refusals: Mapping[Cause, int] = attrs.field(factory=dict)
    held_bytes: Mapping[BodyStage, int] = attrs.field(factory=dict)
    holders_dropped: int = 0
    connections: int = 0
    connections_max: int = 0


def caller_metrics(state: CallerState) -> list[Metric]:
    """Return the metrics; all causes and stages appear from the start."""
    refusals = CounterMetricFamily(
        "berylchute_edge_caller_refusals",
        "Requests refused and connections closed by limits on callers, by cause.",
        None,
        ("cause",),
    )
    for cause in Cause:
        refusals.add_metric([cause.value], state.refusals.get(cause, 0))
    held = GaugeMetricFamily(
        "berylchute_edge_memory_held_bytes",
        "Memory account: estimated bytes held by stage of a request or an answer.",
        None,
        ("stage",),
    )
    for stage in BodyStage:
        held.add_metric([stage.name.lower()], state.held_bytes.get(stage, 0))
    return [
        refusals,
        held,
        CounterMetricFamily(
            "berylchute_edge_memory_dropped",
            "Incomplete requests and answers that were dropped because the account was full.",
            state.holders_dropped,
        ),
        GaugeMetricFamily(
            "berylchute_edge_caller_connections_count",
            "Open connections of callers, at all addresses of this process.",
            state.connections,
        ),
        GaugeMetricFamily(
            "berylchute_edge_caller_connections_max_count",
            "Connections of callers above which others are closed or refused.",
            state.connections_max,
        ),
    ]
