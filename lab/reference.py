"""Print the reference tables of docs/metrics.md from the code: `python -m lab.reference`."""

from berylchute.edgemetrics import EdgeMetrics
from berylchute.metrics import Metrics

__all__ = ["metric_rows"]


def metric_rows() -> list[str]:
    """Return one Markdown table row per metric that the programs export, sorted by name."""
    rows = []
    collected = [*Metrics().registry.collect(), *EdgeMetrics().registry.collect()]
    for metric in collected:
        name = f"{metric.name}_total" if metric.type == "counter" else metric.name
        rows.append(f"| `{name}` | {metric.type} | {metric.documentation} |")
    return sorted(rows)


if __name__ == "__main__":
    print("\n".join(metric_rows()))
