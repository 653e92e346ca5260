"""Measure how much of the unused capacity one busy host reaches through lending.

Runs the pure core on a virtual clock at the delays of both deployments, beside fixed shares.
"""

import argparse
import json
import time
from pathlib import Path

from berylchute.config import Configuration, decode_toml
from berylchute.shares import base_shares, region_resource, server_resource
from berylchute.types import Position, ResourceUnits
from lab.lending_world import SimHost, World

EXAMPLES = Path(__file__).parent.parent / "examples"
STEP_S = 0.005
LENDING_TICK_S = 0.025


def delays_of(config: Configuration, first: Position, second: Position) -> float:
    """Return the one-way delay between two positions in ms."""
    zone = {p.name: p.availability_zone for p in config.host_positions}
    ends = {config.region_of(zone[first]), config.region_of(zone[second])}
    if len(ends) == 1:
        return 0.1 if zone[first] == zone[second] else config.availability_zone_one_way_ms
    return next(d.one_way_ms for d in config.distances if {d.from_region, d.to_region} == ends)


def requests_of(config: Configuration) -> list[list[ResourceUnits]]:
    """Return the units of one request per slot of every server, in turns over the servers."""
    region = {zone.name: zone.region for zone in config.availability_zones}
    wanted = []
    for turn in range(max(server.slots for server in config.backend_servers)):
        for server in config.backend_servers:
            if turn < server.slots:
                place = region[server.availability_zone]
                units = [server_resource(server.name), region_resource(place)]
                wanted.append([ResourceUnits(resource, 1) for resource in units])
    return wanted


class Run:
    """One busy host that wants every slot of every server; all others are idle."""

    def __init__(
        self, config: Configuration, busy: Position, run_s: float, lends: bool, loss: float = 0.0
    ) -> None:
        shares = base_shares(config)
        seed = list(shares).index(busy)
        self.world = World(shares, lambda a, b: delays_of(config, a, b), loss=loss, seed=seed)
        self.host: SimHost = self.world.hosts[busy]
        self._requests = requests_of(config)
        self._run_s = run_s
        self._lends = lends
        self.messages = 0
        self.over_cap = 0

    def run(self, for_s: float) -> float:
        """Offer the load for some time; return the part of all slots in use at the end."""
        next_tick_s = 0.0
        used = 0
        while self.world.now_s < for_s:
            self._offer()
            used = sum(self.world.in_use(r) for r in self.world.caps if r.startswith("server:"))
            self.over_cap += len(self.world.over_cap())
            if self._lends and self.world.now_s >= next_tick_s:
                next_tick_s += LENDING_TICK_S
                for host in self.world.hosts.values():
                    before = len(self.world.flights)
                    self.world.tick(host)
                    self.messages += len(self.world.flights) - before
            self.world.advance(STEP_S)
            self.world.deliver_due()
        return used / len(self._requests)

    def _offer(self) -> None:
        """Start what is not running yet; the rest stays as noted demand."""
        running: dict[str, int] = {}
        for work in self.world.running:
            name = work.hold.units[0].resource
            running[name] = running.get(name, 0) + 1
        for units in self._requests:
            name = units[0].resource
            if running.get(name, 0) > 0:
                running[name] -= 1
            else:
                self.world.acquire(self.host, units, self._run_s)


def measure(deployment: str, run_s: float, for_s: float, loss: float) -> dict[str, object]:
    """Return the figures of one deployment: the worst and mean host, and fixed shares."""
    text = (EXAMPLES / deployment / "lists.toml").read_text(encoding="utf-8")
    config = decode_toml(text)
    reached, fixed, over_cap, messages = [], [], 0, []
    for position in config.host_positions:
        run = Run(config, position.name, run_s, lends=True, loss=loss)
        reached.append(run.run(for_s))
        over_cap += run.over_cap
        messages.append(run.messages)
        fixed.append(Run(config, position.name, run_s, lends=False).run(2 * STEP_S))
    return {
        "deployment": deployment,
        "hosts": len(config.host_positions),
        "request_s": run_s,
        "after_s": for_s,
        "loss": loss,
        "reach_min": round(min(reached), 3),
        "reach_mean": round(sum(reached) / len(reached), 3),
        "fixed_mean": round(sum(fixed) / len(fixed), 3),
        "over_cap": over_cap,
        "messages_mean": round(sum(messages) / len(messages), 1),
    }


def main() -> None:
    """Print one JSON line per deployment, request length and time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["cooperativa", "turnback"])
    parser.add_argument("--after", type=float, nargs="+", default=[0.1, 0.25, 0.5, 1.0])
    parser.add_argument("--loss", type=float, default=0.0, help="part of messages dropped")
    options = parser.parse_args()
    started_s = time.perf_counter()
    for deployment in [options.deployment] if options.deployment else ["cooperativa", "turnback"]:
        for run_s in (2.0, 60.0):
            for for_s in options.after:
                print(json.dumps(measure(deployment, run_s, for_s, options.loss)))
    print(json.dumps({"elapsed_s": round(time.perf_counter() - started_s, 1)}))


if __name__ == "__main__":
    main()
