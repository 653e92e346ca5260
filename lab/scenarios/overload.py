"""Measure goodput above capacity."""

from lab.caller import CallerSpec
from lab.launcher import Deployment
from lab.load import LoadResult
from lab.scenario import (
    Figures,
    Options,
    Report,
    at_least,
    at_most,
    call_figures,
    cap_figures,
    latency_figures,
    ratio,
    start_deployment,
    start_passthrough,
)
from lab.workload import run_load

__all__ = ["overload"]

RUN_S = 6.0
DEADLINE_MS = 2000
STEPS = (0.8, 1.0, 2.0)
BASELINE_STEPS = (1.0, 2.0)
# Long enough that twice the servers' capacity needs far less than the machine's processors.
CAPACITY_PER_S = 300.0
LOG_NORMAL_MEAN = 1.046  # mean over median of the service time: exp(0.3^2 / 2)


def _lookup_slots(options: Options) -> int:
    lists = options.lists()
    service = options.workload.lookup_service
    return sum(item.slots for item in lists.backend_servers if item.service == service)


def _goodput(result: LoadResult) -> float:
    limit_s = DEADLINE_MS / 1000
    good = sum(item.outcome == "ok" and item.latency_s <= limit_s for item in result.records)
    return good / result.duration_s


def _steps(
    deployment: Deployment,
    options: Options,
    name: str,
    steps: tuple[float, ...],
    caller: CallerSpec | None,
) -> tuple[Figures, list[float]]:
    figures: Figures = {}
    goodputs = []
    deployment.reset_servers()
    run_load(
        deployment, f"{name}-warm", [options.workload.lookup(50.0)], 2.0, caller=caller, seed=9
    ).wait()
    for step in steps:
        kind = options.workload.lookup(CAPACITY_PER_S * step, deadline_ms=DEADLINE_MS)
        load = run_load(
            deployment, f"{name}-{step:g}x", [kind], RUN_S, caller=caller, seed=options.seed
        )
        result = load.wait()
        goodputs.append(_goodput(result))
        figures |= latency_figures(f"{step:g}x", result) | call_figures(deployment, result)
        figures[f"{step:g}x_goodput_per_s"] = round(goodputs[-1], 1)
    figures |= cap_figures(deployment)
    figures["goodput_ratio"] = ratio(goodputs[-1], max(goodputs))
    return figures, goodputs


def overload(options: Options) -> Report:
    """Return goodput at twice the capacity over its peak."""
    lookup_ms = 1000 * _lookup_slots(options) / CAPACITY_PER_S / LOG_NORMAL_MEAN
    profiles = options.workload.profiles(lookup_ms=lookup_ms)
    with start_deployment(options.lists(), profiles, options) as deployment:
        figures, goodputs = _steps(deployment, options, "entry", STEPS, None)
        other = start_passthrough(deployment, "round_robin")
        baseline, _ = _steps(deployment, options, "bare", BASELINE_STEPS, other)
    figures["service_ms"] = round(lookup_ms, 1)
    # All servers busy all the time would answer this many; it bounds the peak.
    figures["capacity_per_s"] = CAPACITY_PER_S
    figures["peak_over_capacity"] = ratio(max(goodputs), CAPACITY_PER_S)
    targets = (
        at_least("goodput_ratio", figures["goodput_ratio"], 0.95),
        at_most("over_cap", figures["over_cap"], 0.0),
    )
    return Report("overload", options.deployment, options.seed, figures, baseline, targets)
