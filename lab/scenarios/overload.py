"""Measure goodput below, at and above the capacity of the servers."""

from lab.caller import CallerSpec
from lab.launcher import Deployment
from lab.load import LoadResult
from lab.scenario import (
    Figures,
    Options,
    Report,
    at_least,
    at_most,
    cap_use_figures,
    correctness_figures,
    latency_figures,
    ratio,
    start_deployment,
    start_passthrough,
)
from lab.workload import run_load

__all__ = ["overload"]

RUN_S = 6.0
DEADLINE_MS = 2000
LOAD_STEPS = (0.8, 1.0, 2.0)
BASELINE_LOAD_STEPS = (1.0, 2.0)
# Low enough that twice this rate uses far less CPU time than the machine's processors have.
CAPACITY_PER_S = 300.0
LOG_NORMAL_MEAN_RATIO = 1.046  # mean over median of the service time: exp(0.3^2 / 2)


def _lookup_slots(options: Options) -> int:
    lists = options.load_lists()
    service = options.workload.lookup_service
    return sum(item.slots for item in lists.backend_servers if item.service == service)


def _goodput_per_s(result: LoadResult) -> float:
    limit_s = DEADLINE_MS / 1000
    good_count = sum(item.outcome == "ok" and item.latency_s <= limit_s for item in result.records)
    return good_count / result.duration_s


def _run_load_steps(
    deployment: Deployment,
    options: Options,
    name: str,
    steps: tuple[float, ...],
    caller: CallerSpec | None,
) -> tuple[Figures, list[float]]:
    figures: Figures = {}
    goodputs_per_s = []
    deployment.reset_servers()
    run_load(
        deployment, f"{name}-warm", [options.workload.lookup_kind(50.0)], 2.0, caller=caller, seed=9
    ).wait()
    for step in steps:
        kind = options.workload.lookup_kind(CAPACITY_PER_S * step, deadline_ms=DEADLINE_MS)
        load = run_load(
            deployment, f"{name}-{step:g}x", [kind], RUN_S, caller=caller, seed=options.seed
        )
        result = load.wait()
        goodputs_per_s.append(_goodput_per_s(result))
        figures |= latency_figures(f"{step:g}x", result) | correctness_figures(deployment, result)
        figures[f"{step:g}x_goodput_per_s"] = round(goodputs_per_s[-1], 1)
    figures |= cap_use_figures(deployment)
    figures["goodput_ratio"] = ratio(goodputs_per_s[-1], max(goodputs_per_s))
    return figures, goodputs_per_s


def overload(options: Options) -> Report:
    """Return the ratio of goodput at twice the capacity to its peak over all steps."""
    lookup_ms = 1000 * _lookup_slots(options) / CAPACITY_PER_S / LOG_NORMAL_MEAN_RATIO
    profiles = options.workload.server_profiles(lookup_ms=lookup_ms)
    with start_deployment(options.load_lists(), profiles, options) as deployment:
        figures, goodputs_per_s = _run_load_steps(deployment, options, "entry", LOAD_STEPS, None)
        passthrough_caller = start_passthrough(deployment, "round_robin")
        baseline, _ = _run_load_steps(
            deployment, options, "bare", BASELINE_LOAD_STEPS, passthrough_caller
        )
    figures["service_ms"] = round(lookup_ms, 1)
    # The rate of answers if all servers are always busy; an upper bound of the peak.
    figures["capacity_per_s"] = CAPACITY_PER_S
    figures["peak_over_capacity"] = ratio(max(goodputs_per_s), CAPACITY_PER_S)
    targets = (
        at_least("goodput_ratio", figures["goodput_ratio"], 0.95),
        at_most("over_cap", figures["over_cap"], 0.0),
    )
    return Report("overload", options.deployment, options.seed, figures, baseline, targets)
