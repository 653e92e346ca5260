"""Compare the throughput of one entry host with a bare pass-through."""

import attrs

from berylchute.config import Configuration
from lab.caller import CallerSpec
from lab.launcher import Deployment
from lab.scenario import (
    Figures,
    Options,
    Report,
    at_least,
    latency_figures,
    ratio,
    start_deployment,
    start_passthrough,
)
from lab.workload import run_load

__all__ = ["overhead"]

RUN_S = 6.0
# Enough to keep one Python process busy, and below every cap of the first region.
CONCURRENCY = 24


def _one_host(lists: Configuration) -> Configuration:
    return attrs.evolve(lists, host_positions=lists.host_positions[:1])


def _throughput(
    deployment: Deployment, options: Options, name: str, process: str, caller: CallerSpec
) -> tuple[float, Figures]:
    kind = options.workload.lookup(concurrency=CONCURRENCY)
    load = run_load(deployment, name, [kind], RUN_S, caller=caller, seed=options.seed, processes=3)
    before_s = deployment.processes[process].cpu_s()
    result = load.wait()
    used_s = deployment.processes[process].cpu_s() - before_s
    figures = latency_figures(name, result)
    # Unlike throughput, CPU time per call hardly depends on other work on the machine.
    figures[f"{name}_cpu_ms_per_call"] = round(1000 * used_s / max(1, len(result.records)), 3)
    return result.goodput_per_s(), figures


def overhead(options: Options) -> Report:
    """Return throughput of both in alternate runs, so that both meet the same machine."""
    profiles = options.workload.profiles(lookup_ms=1.0)
    lists = _one_host(options.lists())
    ours: list[float] = []
    bare: list[float] = []
    figures: Figures = {}
    baseline: Figures = {}
    with start_deployment(lists, profiles, options, delays=False) as deployment:
        position = lists.host_positions[0].name
        own = CallerSpec(fixed_urls=(deployment.host_urls[position],))
        bare_name = f"passthrough-{position}"
        other = start_passthrough(deployment, "round_robin")
        for number in range(2):
            value, details = _throughput(deployment, options, f"entry{number}", position, own)
            ours.append(value)
            figures |= details
            value, details = _throughput(deployment, options, f"bare{number}", bare_name, other)
            bare.append(value)
            baseline |= details
    figures["throughput_per_s"] = round(sum(ours) / len(ours), 1)
    baseline["throughput_per_s"] = round(sum(bare) / len(bare), 1)
    quotient = ratio(figures["throughput_per_s"], baseline["throughput_per_s"])
    figures["throughput_ratio"] = quotient
    targets = (at_least("throughput_ratio", quotient, 0.7),)
    return Report("overhead", options.deployment, options.seed, figures, baseline, targets)
