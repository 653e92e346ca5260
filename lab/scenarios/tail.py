"""Measure tail latency of look-ups with some slowed servers and during long uploads."""

import time
from typing import Literal

from lab.caller import CallerSpec
from lab.launcher import Deployment
from lab.load import LoadKind, LoadResult
from lab.scenario import (
    Figures,
    Options,
    Report,
    at_most,
    cap_use_figures,
    correctness_figures,
    latency_figures,
    ratio,
    start_deployment,
    start_passthrough,
)
from lab.workload import run_load

__all__ = ["mixed_sizes", "slowed_servers"]

LOOKUP_RATE_PER_S = 300.0
UNDISTURBED_S = 8.0
DISTURBED_S = 12.0
SLOW_SERVER_RATIO = 0.1
SLOW_FACTOR = 10.0
REPORT_DELAY_S = 10.0
# With round robin, a server that takes ten times as long is then about 70% utilized.
SLOWED_LOOKUP_MS = 40.0
UPLOAD_LOAD_RATIO = 0.7
UPLOAD_MS = 900.0
UPLOAD_BYTES = 4_000_000
UPLOAD_MS_PER_MB = 10.0


def _select_slow_servers(deployment: Deployment, service: str) -> list[str]:
    names = [item.name for item in deployment.lists.backend_servers if item.service == service]
    return names[:: round(1 / SLOW_SERVER_RATIO)]


def _measure_slowed(
    deployment: Deployment, options: Options, name: str, caller: CallerSpec | None
) -> tuple[LoadResult, LoadResult, Figures]:
    kind = options.workload.lookup_kind(LOOKUP_RATE_PER_S)
    slow_names = _select_slow_servers(deployment, options.workload.lookup_service)
    # In both systems, the first calls after a start have to open connections.
    run_load(deployment, f"{name}-warm", [kind], 3.0, caller=caller, seed=9).wait()
    calm = run_load(
        deployment, f"{name}-calm", [kind], UNDISTURBED_S, caller=caller, seed=options.seed
    ).wait()
    deployment.reset_servers()
    deployment.set_server_behaviour(slow_names, slow_factor=SLOW_FACTOR)
    load = run_load(
        deployment, f"{name}-slowed", [kind], DISTURBED_S, caller=caller, seed=options.seed
    )
    slowed = load.wait()
    deployment.set_server_behaviour(slow_names, slow_factor=1.0)
    stats = deployment.server_stats()
    started = sum(row["started"] for row in stats)
    figures = latency_figures("calm", calm) | latency_figures("slowed", slowed)
    figures |= cap_use_figures(deployment) | correctness_figures(deployment, slowed)
    figures["p99_ratio"] = ratio(slowed.percentile_ms(99), calm.percentile_ms(99))
    figures["slowed_p99_after_3_s_ms"] = slowed.filter_records(after_s=3.0).percentile_ms(99)
    figures["hedge_share"] = round(max(0, started - len(slowed.records)) / len(slowed.records), 4)
    started_on_slow = sum(row["started"] for row in stats if row["name"] in slow_names)
    figures["slow_server_share"] = round(started_on_slow / max(1, started), 4)
    return calm, slowed, figures


def slowed_servers(options: Options) -> Report:
    """Compare p99 while 10% of the servers are 10x slower and reports 10 s late with p99 before."""
    profiles = options.workload.server_profiles(lookup_ms=SLOWED_LOOKUP_MS)

    def delay_reports(deployment: Deployment) -> None:
        deployment.set_server_behaviour(None, report_delay_s=REPORT_DELAY_S)

    with start_deployment(
        options.load_lists(), profiles, options, prepare_servers=delay_reports
    ) as deployment:
        _, _, figures = _measure_slowed(deployment, options, "entry", None)
        passthrough_caller = start_passthrough(deployment, "round_robin")
        _, _, baseline = _measure_slowed(deployment, options, "bare", passthrough_caller)
    targets = (
        at_most("p99_ratio", figures["p99_ratio"], 1.5),
        at_most("hedge_share", figures["hedge_share"], 0.05),
    )
    return Report("slowed_servers", options.deployment, options.seed, figures, baseline, targets)


def _upload_kind(deployment: Deployment, options: Options) -> LoadKind:
    slots = sum(
        item.slots
        for item in deployment.lists.backend_servers
        if item.service == options.workload.upload_service
    )
    # The mean of the log-normal service time exceeds its median by the factor exp(0.3^2 / 2).
    service_s = (UPLOAD_MS * 1.046 + UPLOAD_MS_PER_MB * UPLOAD_BYTES / 1e6) / 1000
    return options.workload.upload_kind(UPLOAD_LOAD_RATIO * slots / service_s, UPLOAD_BYTES)


def _measure_mixed(
    deployment: Deployment, options: Options, name: str, caller: CallerSpec | None
) -> Figures:
    lookup = options.workload.lookup_kind(LOOKUP_RATE_PER_S)
    upload = _upload_kind(deployment, options)
    run_load(deployment, f"{name}-warm", [lookup], 3.0, caller=caller, seed=9).wait()
    alone = run_load(
        deployment, f"{name}-alone", [lookup], UNDISTURBED_S, caller=caller, seed=options.seed
    ).wait()
    deployment.reset_servers()
    # Separate processes send the uploads, as sending megabytes would delay the look-ups.
    uploads = run_load(
        deployment, f"{name}-uploads", [upload], DISTURBED_S + 2, caller=caller, seed=options.seed
    )
    time.sleep(2.0)
    lookups = run_load(
        deployment, f"{name}-beside", [lookup], DISTURBED_S - 2, caller=caller, seed=options.seed
    )
    beside = lookups.wait()
    upload_result = uploads.wait()
    figures = latency_figures("alone", alone) | latency_figures("beside", beside)
    figures |= latency_figures("upload", upload_result) | cap_use_figures(deployment)
    figures["p99_ratio"] = ratio(beside.percentile_ms(99), alone.percentile_ms(99))
    return figures


def mixed_sizes(options: Options) -> Report:
    """Compare p99 of look-ups during uploads at 70% load with their p99 without uploads."""
    policy: Literal["first_in_first_out"] = "first_in_first_out"
    profiles = options.workload.server_profiles(upload_ms=UPLOAD_MS)
    with start_deployment(options.load_lists(), profiles, options) as deployment:
        figures = _measure_mixed(deployment, options, "entry", None)
        passthrough_caller = start_passthrough(deployment, policy)
        baseline = _measure_mixed(deployment, options, "bare", passthrough_caller)
    targets = (at_most("p99_ratio", figures["p99_ratio"], 1.2),)
    return Report("mixed_sizes", options.deployment, options.seed, figures, baseline, targets)
