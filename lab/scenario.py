"""Define the report of a scenario and helpers that several scenarios use."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Literal, Protocol

import attrs
import msgspec

from berylchute.config import Configuration
from lab.backend import Profile
from lab.caller import CallerSpec
from lab.launcher import Deployment, read_example_lists
from lab.load import LoadResult
from lab.passthrough import PassThroughSpec
from lab.processes import free_ports
from lab.workload import WORKLOADS, Workload, add_client_blocks

__all__ = [
    "Figures",
    "Options",
    "Report",
    "Scenario",
    "Target",
    "at_least",
    "at_most",
    "cap_use_figures",
    "correctness_figures",
    "latency_figures",
    "ratio",
    "start_deployment",
    "start_passthrough",
]

Figures = dict[str, float]


@attrs.frozen
class Options:
    """Arguments of one measurement."""

    deployment: str
    seed: int

    @property
    def workload(self) -> Workload:
        """Return the services, paths and customers that the load uses."""
        return WORKLOADS[self.deployment]

    def load_lists(self) -> Configuration:
        """Read the deployment's example lists and give every zone the lab's client blocks."""
        return add_client_blocks(read_example_lists(self.deployment))


@attrs.frozen
class Target:
    """A bound, and the measured value that is compared with it."""

    name: str
    value: float
    bound: float
    op: Literal["<=", ">=", "=="]
    met: bool


@attrs.frozen
class Report:
    """The result of one scenario and its baseline, printed as JSON."""

    scenario: str
    deployment: str
    seed: int
    figures: Figures
    baseline: Figures
    targets: tuple[Target, ...]

    def to_json(self) -> str:
        """Return the report as one line of JSON."""
        return msgspec.json.encode(self).decode()


class Scenario(Protocol):
    """Run a scenario and its baseline."""

    def __call__(self, options: Options) -> Report:
        """Return the figures of both, and the targets."""
        ...


def at_most(name: str, value: float, bound: float) -> Target:
    """Return a target with an upper bound."""
    return Target(name, value, bound, "<=", value <= bound)


def at_least(name: str, value: float, bound: float) -> Target:
    """Return a target with a lower bound."""
    return Target(name, value, bound, ">=", value >= bound)


def ratio(value: float, base: float) -> float:
    """Return a quotient rounded to four digits; infinity if `base` is 0."""
    return round(value / base, 4) if base else float("inf")


def latency_figures(prefix: str, result: LoadResult) -> Figures:
    """Return call counts by outcome and latency figures of a load result."""
    figures: Figures = {
        f"{prefix}_calls": len(result.records),
        f"{prefix}_ok_share": round(result.ok_ratio(), 5),
        f"{prefix}_p50_ms": round(result.percentile_ms(50), 2),
        f"{prefix}_p99_ms": round(result.percentile_ms(99), 2),
        f"{prefix}_load_lag_max_ms": round(result.lag_max_s * 1000, 1),
    }
    for kind in sorted({item.kind for item in result.records}):
        for name, count in result.filter_records([kind]).outcomes().items():
            if name != "ok":
                figures[f"{prefix}_{kind}_{name}"] = count
    return figures | _tail_stage_figures(prefix, result)


def _tail_stage_figures(prefix: str, result: LoadResult) -> Figures:
    """Return the mean time per stage over the slowest 1% of the answered calls."""
    answered = sorted(
        (item for item in result.records if item.outcome == "ok" and item.stages),
        key=lambda item: item.latency_s,
    )
    slowest = answered[-max(1, len(answered) // 100) :]
    totals: Figures = {}
    for item in slowest:
        for part in item.stages.split(","):
            name, _, rest = part.strip().partition(";dur=")
            totals[name] = totals.get(name, 0.0) + float(rest or 0)
    return {
        f"{prefix}_tail_{name}_ms": round(total / len(slowest), 2) for name, total in totals.items()
    }


def cap_use_figures(deployment: Deployment) -> Figures:
    """Return the highest ratio of use to cap, for servers and regions, and the number over cap."""
    servers = [row["peak"] / row["slots"] for row in deployment.server_stats()]
    caps = {item.name: item.concurrent for item in deployment.lists.regions}
    regions = [peak / caps[name] for name, peak in deployment.region_peaks().items()]
    return {
        "server_peak": round(max(servers, default=0.0), 4),
        "region_peak": round(max(regions, default=0.0), 4),
        "over_cap": sum(value > 1 for value in [*servers, *regions]),
    }


def correctness_figures(
    deployment: Deployment, result: LoadResult, lost_runs: Mapping[str, int] | None = None
) -> Figures:
    """Return counts of double runs, wrong answers and requests that ran although they were refused.

    `lost_runs` are runs by call identity on servers that no longer respond.
    """
    run_counts = Counter(deployment.run_counts())
    run_counts.update(lost_runs or {})
    non_idempotent = [item for item in result.records if item.kind not in ("lookup", "upload")]
    return {
        "double_runs": sum(run_counts.get(item.identity, 0) > 1 for item in non_idempotent),
        "wrong_answers": sum(item.outcome == "wrong" for item in result.records),
        "false_not_run": sum(
            item.outcome == "refused" and item.only_not_run and run_counts.get(item.identity, 0) > 0
            for item in result.records
        ),
    }


def start_deployment(
    lists: Configuration,
    profiles: Mapping[str, Profile],
    options: Options,
    *,
    has_network_delays: bool = True,
    prepare_servers: Callable[[Deployment], None] | None = None,
) -> Deployment:
    """Start every process of a deployment; the caller must stop it."""
    deployment = Deployment(
        lists, profiles, has_network_delays=has_network_delays, seed=options.seed
    )
    try:
        deployment.start_store()
        deployment.start_servers()
        if prepare_servers is not None:
            prepare_servers(deployment)
        deployment.start_hosts()
        deployment.start_locator()
        deployment.wait_until_converged()
    except BaseException:
        deployment.stop()
        raise
    return deployment


def start_passthrough(
    deployment: Deployment,
    policy: Literal["round_robin", "first_in_first_out"],
    positions: Sequence[str] | None = None,
) -> CallerSpec:
    """Start pass-through proxies for a deployment's servers; return callers that use only them."""
    lists = deployment.lists
    servers: dict[str, tuple[str, ...]] = {}
    slots: dict[str, int] = {}
    for item in lists.backend_servers:
        servers[item.service] = (*servers.get(item.service, ()), item.address)
        slots[item.service] = slots.get(item.service, 0) + item.slots
    selected_positions = [
        p.name for p in lists.host_positions if positions is None or p.name in positions
    ]
    slots_per_host = {
        name: max(1, count // len(selected_positions)) for name, count in slots.items()
    }
    urls = []
    for position in selected_positions:
        spec = PassThroughSpec(free_ports(1)[0], position, servers, slots_per_host, policy)
        name = f"passthrough-{position}"
        path = deployment.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        deployment.start_process(name, ["-m", "lab.passthrough", "--spec", str(path)])
        url = f"http://127.0.0.1:{spec.port}"
        deployment.wait_for_http(name, url, status=404)
        urls.append(url)
    return CallerSpec(fixed_urls=tuple(urls))
