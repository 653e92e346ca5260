"""Measure how much unused share a busy host borrows, and whether a shift exceeds caps."""

import time
from collections import Counter
from typing import Any

import attrs
import msgspec

from berylchute.config import Configuration
from berylchute.shares import base_shares
from lab.caller import CallerSpec
from lab.launcher import Deployment
from lab.load import LoadResult
from lab.processes import send_json, send_request
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
)
from lab.workload import caller_spec, run_load

__all__ = ["lending", "shift"]

LENDING_RUN_S = 8.0
LENDING_SERVICE_MS = 1500.0
DEMAND_OVER_CAPACITY = 1.25
REACH_AT_S = 1.0
SAMPLE_PERIOD_S = 0.05

SHIFT_RUN_S = 36.0
SHIFT_AT_S = 8.0
SHIFT_UPLOADS_PER_S = 3.0
SHIFT_UPLOAD_BYTES = 2_000_000
# Two thirds of the first region's uploads fill the link, so a shift of all of them must be held.
SHIFT_LINK_BYTES_PER_S = 4_000_000
COLD_FACTOR = 3.0
COLD_S = 10.0


def _offered_requests(deployment: Deployment, service: str) -> int:
    return sum(row["offered"] for row in deployment.server_stats() if row["service"] == service)


def lending(options: Options) -> Report:
    """Send demand for the whole capacity of one service to one host; all others are idle."""
    workload = options.workload
    service = workload.lookup_service
    lists = options.load_lists()
    slots = sum(item.slots for item in lists.backend_servers if item.service == service)
    profiles = workload.server_profiles(lookup_ms=LENDING_SERVICE_MS)
    kind = workload.lookup_kind(concurrency=int(slots * DEMAND_OVER_CAPACITY), deadline_ms=5000)
    samples: list[tuple[float, int]] = []
    with start_deployment(lists, profiles, options) as deployment:
        position = lists.host_positions[0].name
        caller = CallerSpec(fixed_urls=(deployment.host_urls[position],))
        load = run_load(deployment, "busy", [kind], LENDING_RUN_S, caller=caller, seed=options.seed)
        time.sleep(max(0.0, load.start_s - time.monotonic()))
        while (at_s := time.monotonic() - load.start_s) < LENDING_RUN_S:
            samples.append((at_s, _offered_requests(deployment, service)))
            time.sleep(SAMPLE_PERIOD_S)
        result = load.wait()
        figures = latency_figures("busy", result) | cap_use_figures(deployment)
        figures |= correctness_figures(deployment, result)
    shares = base_shares(lists)[position]
    base_share_units = sum(
        shares.get(f"server:{item.name}", 0)
        for item in lists.backend_servers
        if item.service == service
    )
    figures |= _reach_figures(samples, slots)
    targets = (
        at_least("reach", figures["reach"], 0.9),
        at_most("over_cap", figures["over_cap"], 0.0),
    )
    # With fixed shares, a host can use only its own share, even if all others are idle.
    baseline: Figures = {
        "base_share_units": base_share_units,
        "reach": ratio(base_share_units, slots),
    }
    return Report("lending", options.deployment, options.seed, figures, baseline, targets)


def _reach_figures(samples: list[tuple[float, int]], slots: int) -> Figures:
    def peak_until(limit_s: float) -> float:
        return ratio(max((count for at_s, count in samples if at_s <= limit_s), default=0), slots)

    reached = [at_s for at_s, count in samples if count >= 0.9 * slots]
    return {
        "slots": slots,
        "reach": peak_until(REACH_AT_S),
        "reach_at_2_s": peak_until(2.0),
        "reach_at_end": peak_until(LENDING_RUN_S),
        "reached_90_percent_at_s": round(reached[0], 2) if reached else -1.0,
    }


def _limit_link_rates(lists: Configuration) -> Configuration:
    links = tuple(
        attrs.evolve(item, rate_bytes_per_s=SHIFT_LINK_BYTES_PER_S) for item in lists.links
    )
    return attrs.evolve(lists, links=links)


def _started_by_region(deployment: Deployment, service: str) -> Counter[str]:
    started: Counter[str] = Counter()
    for row in deployment.server_stats():
        if row["service"] == service:
            started[row["region"]] += row["started"]
    return started


def _add_shift(deployment: Deployment, service: str) -> None:
    origin, target = (item.name for item in deployment.lists.regions[:2])
    value = [
        {
            "id": "lab-shift",
            "service": service,
            "from_region": origin,
            "to_region": target,
            "target_percent": 100,
            "step_percent": 20,
            "state": "running",
            "current_percent": 0,
            "reason": "",
            "runner": "",
        }
    ]
    url = f"{deployment.store_url}/objects/shifts"
    response = send_request("PUT", url, msgspec.json.encode(value), {"If-None-Match": "*"})
    if response.status != 200:
        raise RuntimeError(f"store rejected the shift with status {response.status}")


def _link_peak_and_bytes(rows: list[list[Any]]) -> tuple[float, float]:
    """Return the highest ratio of a link's bytes in a second to its rate, and the largest total."""
    seconds: Counter[tuple[int, str, str]] = Counter()
    totals: Counter[tuple[str, str]] = Counter()
    for second, origin, target, size in rows:
        seconds[second, origin, target] += size
        totals[origin, target] += size
    peak = max(seconds.values(), default=0)
    return round(peak / SHIFT_LINK_BYTES_PER_S, 4), max(totals.values(), default=0)


def _shift_figures(deployment: Deployment, result: LoadResult) -> Figures:
    before = attrs.evolve(
        result, records=tuple(r for r in result.records if r.arrival_s < SHIFT_AT_S)
    )
    during = result.filter_records(after_s=SHIFT_AT_S)
    figures = latency_figures("all", result) | cap_use_figures(deployment)
    figures |= correctness_figures(deployment, result)
    figures["link_peak"], figures["link_busiest_bytes"] = _link_peak_and_bytes(
        deployment.region_link_rows()
    )
    for kind in ("lookup", "upload"):
        figures[f"{kind}_p99_before_ms"] = before.filter_records([kind]).percentile_ms(99)
        figures[f"{kind}_p99_during_ms"] = during.filter_records([kind]).percentile_ms(99)
    rows = send_json("GET", f"{deployment.store_url}/objects/shifts")
    figures["shift_percent_at_end"] = rows[0]["current_percent"]
    return figures


def shift(options: Options) -> Report:
    """Shift all uploads of one region to another with cold caches, over links with a low rate."""
    workload = options.workload
    lists = _limit_link_rates(options.load_lists())
    origin, target = (item.name for item in lists.regions[:2])
    zones = [item.name for item in lists.availability_zones if item.region == origin]
    with start_deployment(lists, workload.server_profiles(), options) as deployment:
        kinds = [
            workload.lookup_kind(120.0),
            workload.upload_kind(SHIFT_UPLOADS_PER_S, SHIFT_UPLOAD_BYTES),
        ]
        caller = caller_spec(deployment, zones)
        load = run_load(deployment, "shift", kinds, SHIFT_RUN_S, caller=caller, seed=options.seed)
        time.sleep(max(0.0, load.start_s + SHIFT_AT_S - time.monotonic()))
        cold_servers = [
            item.name
            for item in lists.backend_servers
            if lists.region_of(item.availability_zone) == target
        ]
        deployment.set_server_behaviour(cold_servers, cold_factor=COLD_FACTOR, cold_s=COLD_S)
        before = _started_by_region(deployment, workload.upload_service)
        _add_shift(deployment, workload.upload_service)
        result = load.wait()
        figures = _shift_figures(deployment, result)
        started_after_shift = _started_by_region(deployment, workload.upload_service)
        started_after_shift.subtract(before)
        # The link peaks are meaningless if no uploads followed the shift.
        figures["moved_share"] = ratio(started_after_shift[target], started_after_shift.total())
    targets = (
        at_most("link_peak", figures["link_peak"], 1.0),
        at_most("region_peak", figures["region_peak"], 1.0),
    )
    return Report("shift", options.deployment, options.seed, figures, {}, targets)
