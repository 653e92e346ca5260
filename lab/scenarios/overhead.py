"""Compare the throughput of one entry host with that of a minimal pass-through proxy."""

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
# Keeps one Python process busy and stays below every cap of the first region.
CONCURRENCY = 24


def _keep_one_host(lists: Configuration) -> Configuration:
    return attrs.evolve(lists, host_positions=lists.host_positions[:1])


def _measure_throughput(
    deployment: Deployment, options: Options, name: str, process: str, caller: CallerSpec
) -> tuple[float, Figures]:
    kind = options.workload.lookup_kind(concurrency=CONCURRENCY)
    load = run_load(deployment, name, [kind], RUN_S, caller=caller, seed=options.seed, processes=3)
    cpu_before_s = deployment.processes[process].cpu_s()
    result = load.wait()
    cpu_used_s = deployment.processes[process].cpu_s() - cpu_before_s
    figures = latency_figures(name, result)
    # Unlike throughput, CPU time per call hardly depends on other load of the machine.
    figures[f"{name}_cpu_ms_per_call"] = round(1000 * cpu_used_s / max(1, len(result.records)), 3)
    return result.goodput_per_s(), figures


def overhead(options: Options) -> Report:
    """Alternate runs of host and proxy, so that other load of the machine affects both."""
    profiles = options.workload.server_profiles(lookup_ms=1.0)
    lists = _keep_one_host(options.load_lists())
    entry_rates: list[float] = []
    passthrough_rates: list[float] = []
    figures: Figures = {}
    baseline: Figures = {}
    with start_deployment(lists, profiles, options, has_network_delays=False) as deployment:
        position = lists.host_positions[0].name
        entry_caller = CallerSpec(fixed_urls=(deployment.host_urls[position],))
        passthrough_name = f"passthrough-{position}"
        passthrough_caller = start_passthrough(deployment, "round_robin")
        for number in range(2):
            rate_per_s, details = _measure_throughput(
                deployment, options, f"entry{number}", position, entry_caller
            )
            entry_rates.append(rate_per_s)
            figures |= details
            rate_per_s, details = _measure_throughput(
                deployment, options, f"bare{number}", passthrough_name, passthrough_caller
            )
            passthrough_rates.append(rate_per_s)
            baseline |= details
    figures["throughput_per_s"] = round(sum(entry_rates) / len(entry_rates), 1)
    baseline["throughput_per_s"] = round(sum(passthrough_rates) / len(passthrough_rates), 1)
    throughput_ratio = ratio(figures["throughput_per_s"], baseline["throughput_per_s"])
    figures["throughput_ratio"] = throughput_ratio
    targets = (at_least("throughput_ratio", throughput_ratio, 0.7),)
    return Report("overhead", options.deployment, options.seed, figures, baseline, targets)
