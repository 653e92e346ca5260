"""Measure how much unused capacity one busy host gets through lending.

Runs the lending code without I/O, on a virtual clock with the delays of both deployments, and
compares it with fixed shares.
"""

import argparse
import json
import time
from pathlib import Path

from berylchute.config import Configuration, decode_toml
from berylchute.shares import base_shares, region_resource, server_resource
from berylchute.types import Position, ResourceUnits
from lab.lending_world import LendingSimulation, SimHost

EXAMPLES = Path(__file__).parent.parent / "examples"
STEP_S = 0.005
LENDING_TICK_S = 0.025


def one_way_delay_ms(config: Configuration, first: Position, second: Position) -> float:
    """Return the one-way network delay between the hosts at two positions."""
    zone_by_position = {p.name: p.availability_zone for p in config.host_positions}
    regions = {
        config.region_of(zone_by_position[first]),
        config.region_of(zone_by_position[second]),
    }
    if len(regions) == 1:
        return (
            0.1
            if zone_by_position[first] == zone_by_position[second]
            else config.availability_zone_one_way_ms
        )
    return next(d.one_way_ms for d in config.distances if {d.from_region, d.to_region} == regions)


def requests_for_all_slots(config: Configuration) -> list[list[ResourceUnits]]:
    """Return the units of one request per slot of every server, alternating between servers."""
    region_by_zone = {zone.name: zone.region for zone in config.availability_zones}
    requests = []
    for slot_index in range(max(server.slots for server in config.backend_servers)):
        for server in config.backend_servers:
            if slot_index < server.slots:
                region = region_by_zone[server.availability_zone]
                units = [server_resource(server.name), region_resource(region)]
                requests.append([ResourceUnits(resource, 1) for resource in units])
    return requests


class BusyHostRun:
    """One busy host that demands every slot of every server; all other hosts are idle."""

    def __init__(
        self,
        config: Configuration,
        busy_position: Position,
        request_s: float,
        has_lending: bool,
        loss_ratio: float = 0.0,
    ) -> None:
        shares = base_shares(config)
        seed = list(shares).index(busy_position)
        self.simulation = LendingSimulation(
            shares, lambda a, b: one_way_delay_ms(config, a, b), loss_ratio=loss_ratio, seed=seed
        )
        self.busy_host: SimHost = self.simulation.hosts[busy_position]
        self._requests = requests_for_all_slots(config)
        self._request_s = request_s
        self._has_lending = has_lending
        self.sent_messages = 0
        self.over_cap = 0

    def run(self, duration_s: float) -> float:
        """Offer the load for a virtual duration; return the ratio of slots in use at its end."""
        next_tick_s = 0.0
        used_slots = 0
        while self.simulation.now_s < duration_s:
            self._start_missing_requests()
            used_slots = sum(
                self.simulation.count_units_in_use(r)
                for r in self.simulation.caps
                if r.startswith("server:")
            )
            self.over_cap += len(self.simulation.find_over_cap())
            if self._has_lending and self.simulation.now_s >= next_tick_s:
                next_tick_s += LENDING_TICK_S
                for host in self.simulation.hosts.values():
                    in_flight_before = len(self.simulation.in_flight_messages)
                    self.simulation.tick(host)
                    self.sent_messages += len(self.simulation.in_flight_messages) - in_flight_before
            self.simulation.advance(STEP_S)
            self.simulation.deliver_due_messages()
        return used_slots / len(self._requests)

    def _start_missing_requests(self) -> None:
        """Start the requests that are not running; record those without free units as demand."""
        running_by_resource: dict[str, int] = {}
        for request in self.simulation.running_requests:
            name = request.reservation.units[0].resource
            running_by_resource[name] = running_by_resource.get(name, 0) + 1
        for units in self._requests:
            name = units[0].resource
            if running_by_resource.get(name, 0) > 0:
                running_by_resource[name] -= 1
            else:
                self.simulation.acquire(self.busy_host, units, self._request_s)


def measure(
    deployment: str, request_s: float, duration_s: float, loss_ratio: float
) -> dict[str, object]:
    """Return the ratio of slots that a busy host reaches, and the ratio with fixed shares."""
    text = (EXAMPLES / deployment / "lists.toml").read_text(encoding="utf-8")
    config = decode_toml(text)
    reached_ratios, fixed_ratios, over_cap, messages_per_host = [], [], 0, []
    for position in config.host_positions:
        run = BusyHostRun(config, position.name, request_s, has_lending=True, loss_ratio=loss_ratio)
        reached_ratios.append(run.run(duration_s))
        over_cap += run.over_cap
        messages_per_host.append(run.sent_messages)
        fixed_ratios.append(
            BusyHostRun(config, position.name, request_s, has_lending=False).run(2 * STEP_S)
        )
    return {
        "deployment": deployment,
        "hosts": len(config.host_positions),
        "request_s": request_s,
        "after_s": duration_s,
        "loss": loss_ratio,
        "reach_min": round(min(reached_ratios), 3),
        "reach_mean": round(sum(reached_ratios) / len(reached_ratios), 3),
        "fixed_mean": round(sum(fixed_ratios) / len(fixed_ratios), 3),
        "over_cap": over_cap,
        "messages_mean": round(sum(messages_per_host) / len(messages_per_host), 1),
    }


def main() -> None:
    """Print one JSON line per deployment, request duration and simulated time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["cooperativa", "turnback"])
    parser.add_argument("--after", type=float, nargs="+", default=[0.1, 0.25, 0.5, 1.0])
    parser.add_argument("--loss", type=float, default=0.0, help="ratio of dropped messages")
    options = parser.parse_args()
    started_s = time.perf_counter()
    for deployment in [options.deployment] if options.deployment else ["cooperativa", "turnback"]:
        for request_s in (2.0, 60.0):
            for duration_s in options.after:
                print(json.dumps(measure(deployment, request_s, duration_s, options.loss)))
    print(json.dumps({"elapsed_s": round(time.perf_counter() - started_s, 1)}))


if __name__ == "__main__":
    main()
