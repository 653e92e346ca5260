"""Measure the CPU time of routing decisions and locator look-ups, and the block table's size."""

import gc
import random
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from berylchute.admission import ShortReserve
from berylchute.balance import ServerObserver
from berylchute.blocks import BlockTable
from berylchute.config import (
    Allowance,
    AvailabilityZone,
    BackendServer,
    Configuration,
    Distance,
    HostPosition,
    Plan,
    Region,
    Service,
    decode_toml,
)
from berylchute.ledger import Ledger
from berylchute.regionindex import compile_one_way_delays_s
from berylchute.routing import Router, RouteRequest
from berylchute.shares import resource_caps
from berylchute.spillover import QuickerFirst

__all__ = ["EXAMPLES", "StubViews", "large_configuration", "run"]

EXAMPLES = Path(__file__).parent.parent / "examples"
ROUTING_US_MAX = 50.0
LOOKUP_US_MAX = 5.0
BLOCK_BYTES_MAX = 8.0
BATCHES = 30
CALLS_PER_BATCH = 500
REGIONS, ZONES, SITES, BLOCKS = 44, 163, 2_000, 1_000_000
PLANS, SERVICES, SERVERS_PER_SITE = 8, 6, 4


class StubViews:
    """Views of a deployment without drains, traffic shifts or delays at links."""

    def is_draining(self, target: str, name: str) -> bool:
        """Return False, as nothing is draining."""
        return False

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        """Return no weights, as no shift is running."""
        return {}

    def wait_s(self, link: str, size_bytes: int, now_s: float) -> float:
        """Return 0, as no request waits for a link."""
        return 0.0


def large_configuration() -> Configuration:
    """Return a configuration with 44 regions, 163 zones and servers at 2,000 sites."""
    zones = [AvailabilityZone(f"z{n}", f"r{n % REGIONS}") for n in range(ZONES)]
    servers = [
        BackendServer(f"b{n}", f"s{n % SERVICES}", f"z{n % ZONES}", f"127.0.0.1:{n}", 9)
        for n in range(SITES * SERVERS_PER_SITE)
    ]
    return Configuration(
        plans=tuple(Plan(f"p{n}", n) for n in range(PLANS)),
        customers=(),
        allowances=tuple(
            Allowance(f"p{p}", f"r{r}", f"s{s}", 1000)
            for p in range(PLANS)
            for r in range(REGIONS)
            for s in range(SERVICES)
        ),
        regions=tuple(Region(f"r{n}", 4000) for n in range(REGIONS)),
        availability_zones=tuple(zones),
        services=tuple(Service(f"s{n}") for n in range(SERVICES)),
        kinds=(),
        backend_servers=tuple(servers),
        host_positions=(HostPosition("h0", "z0"),),
        distances=tuple(
            Distance(f"r{a}", f"r{b}", 5.0 + (a - b)) for a in range(REGIONS) for b in range(a)
        ),
    )


@attrs.define
class _RoutingBenchmark:
    """A benchmark of a router in the first zone, whose region is either free or full."""

    config: Configuration
    rng: random.Random

    def measure_us(self, *, is_region_full: bool) -> list[float]:
        """Return the mean CPU time of a decision for each batch, in microseconds."""
        zone = self.config.availability_zones[0]
        caps = dict(resource_caps(self.config))
        region_of = {z.name: z.region for z in self.config.availability_zones}
        for server in self.config.backend_servers:
            if is_region_full and region_of[server.availability_zone] == zone.region:
                caps[f"server:{server.name}"] = 0
        observer, views = ServerObserver(zone.name, zone.region), StubViews()
        observer.configure(self.config, 0.0)
        delays_s = compile_one_way_delays_s(self.config, zone.region)
        for server in self.config.backend_servers:
            round_trip_s = 2 * delays_s[region_of[server.availability_zone]]
            for n in range(10):
                latency_s = round_trip_s + self.rng.uniform(0.01, 0.03)
                observer.record_sent(server.name, n * 0.3)
                observer.record_answer(server.name, latency_s, n * 0.3)
        router = Router(
            zone.name, zone.region, observer, Ledger(caps), views, views, views, ShortReserve(),
            QuickerFirst(),
        )  # fmt: skip
        router.configure(self.config, {})
        # A long expected wait makes the router try the next region, which is its longest code path.
        requests = [
            RouteRequest(plan.name, service.name, "short", 1e6, expected_wait_s=1e3)
            for plan in self.config.plans
            for service in self.config.services
        ]
        return _time_us(lambda n: router.route(requests[n % len(requests)], 4.0, self.rng))


def _time_us(call: Callable[[int], Any]) -> list[float]:
    """Return the mean CPU time of a call for each batch, without the time of other processes."""
    times_us: list[float] = []
    for _ in range(BATCHES):
        start_s = time.thread_time()
        for n in range(CALLS_PER_BATCH):
            call(n)
        times_us.append((time.thread_time() - start_s) / CALLS_PER_BATCH * 1e6)
    return times_us


def _measure_block_table(rng: random.Random) -> tuple[list[float], float]:
    """Return microseconds per look-up of an address text for each batch, and bytes per block."""
    starts = rng.sample(range(1 << 24), BLOCKS)
    table = BlockTable(
        (f"{start >> 16}.{start >> 8 & 255}.{start & 255}.0/24", rng.randrange(SITES))
        for start in starts
    )
    addresses = [
        f"{start >> 16}.{start >> 8 & 255}.{start & 255}.{rng.randrange(256)}"
        for start in rng.sample(starts, CALLS_PER_BATCH)
    ]
    return _time_us(lambda n: table.find_site(addresses[n])), table.size_bytes() / BLOCKS


def _target(name: str, value: float, bound: float) -> dict[str, Any]:
    return {"name": name, "value": value, "bound": bound, "op": "<=", "met": value <= bound}


def _time_figures(name: str, times_us: Sequence[float]) -> dict[str, float]:
    return {
        f"{name}_median_us": round(statistics.median(times_us), 2),
        f"{name}_min_us": round(min(times_us), 2),
        f"{name}_max_us": round(max(times_us), 2),
    }


def run(deployment: str, seed: int) -> dict[str, Any]:
    """Return the report as a dictionary; `routing_us` is the largest median of the four cases."""
    rng = random.Random(seed)
    path = EXAMPLES / deployment / "lists.toml"
    example_config = decode_toml(path.read_text(encoding="utf-8"))
    figures: dict[str, float] = {}
    medians_us: list[float] = []
    gc.collect()
    for size, config in (("today", example_config), ("sites_2000", large_configuration())):
        for case, is_region_full in (("free", False), ("full", True)):
            times_us = _RoutingBenchmark(config, rng).measure_us(is_region_full=is_region_full)
            figures |= _time_figures(f"routing_{size}_{case}", times_us)
            medians_us.append(statistics.median(times_us))
    lookup_us, bytes_per_block = _measure_block_table(rng)
    figures |= _time_figures("lookup", lookup_us) | {"blocks": BLOCKS, "sites": SITES}
    return {
        "scenario": "decide",
        "deployment": deployment,
        "seed": seed,
        "figures": figures,
        "baseline": {},
        "targets": [
            _target("routing_us", round(max(medians_us), 2), ROUTING_US_MAX),
            _target("lookup_us", round(statistics.median(lookup_us), 2), LOOKUP_US_MAX),
            _target("block_bytes", round(bytes_per_block, 2), BLOCK_BYTES_MAX),
        ],
    }
