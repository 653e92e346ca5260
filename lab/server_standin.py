"""Serve many backend server stand-ins from one process, with a control port.

`POST /control` takes `{"servers": [names] or null, "set": {fields of Behaviour}}`; `POST /reset`
clears the counts; `GET /stats`, `/runs` and `/links` return counts, runs per call, and bytes sent
between regions per second.
"""

import argparse
import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import attrs
import msgspec

from lab.asgi import Receive, Scope, Send, read_body, respond, respond_json, serve
from lab.backend import DelayModel, ServerSpec, StandInServer

__all__ = ["Control", "ProcessSpec", "main"]

SAMPLE_INTERVAL_S = 0.05


@attrs.frozen
class ProcessSpec:
    """Contents of the JSON spec file of one process."""

    control_port: int
    world: DelayModel
    servers: tuple[ServerSpec, ...]


@attrs.frozen
class _Change:
    servers: tuple[str, ...] | None
    set: Mapping[str, float | bool]


class Control:
    """Change the behaviour and return the counts of all servers of the process."""

    def __init__(self, servers: tuple[StandInServer, ...]) -> None:
        self._servers = servers
        self._region_peaks: Counter[str] = Counter()

    async def sample_forever(self) -> None:
        """Record loads for delayed reports and the peak concurrency per region at each interval."""
        while True:
            now_s = time.monotonic()
            in_flight: Counter[str] = Counter()
            for server in self._servers:
                server.record_load(now_s)
                in_flight[server.spec.region] += server.in_flight
            for region, count in in_flight.items():
                self._region_peaks[region] = max(self._region_peaks[region], count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one control request; respond with 404 for an unknown path."""
        path = scope["path"]
        if path == "/control":
            self._apply_change(msgspec.json.decode(await read_body(receive), type=_Change))
            await respond_json(send, {})
        elif path == "/reset":
            for server in self._servers:
                server.reset()
            self._region_peaks.clear()
            await respond_json(send, {})
        elif path == "/stats":
            await respond_json(send, self._stats())
        elif path == "/runs":
            runs: Counter[str] = Counter()
            for server in self._servers:
                runs.update(server.runs)
            await respond_json(send, runs)
        elif path == "/links":
            await respond_json(send, self._links())
        else:
            await respond(send, 404)

    def _apply_change(self, change: _Change) -> None:
        for server in self._servers:
            if change.servers is None or server.spec.name in change.servers:
                server.set_behaviour(change.set)

    def _stats(self) -> dict[str, object]:
        rows = [
            {
                "name": server.spec.name,
                "service": server.spec.service,
                "region": server.spec.region,
                "slots": server.spec.slots,
                "offered": server.in_flight,
                **attrs.asdict(server.totals),
            }
            for server in self._servers
        ]
        return {"servers": rows, "region_peaks": self._region_peaks}

    def _links(self) -> list[list[int | str]]:
        totals: Counter[tuple[int, str, str]] = Counter()
        for server in self._servers:
            totals.update(server.link_bytes)
        return [
            [second, from_region, to_region, size_bytes]
            for (second, from_region, to_region), size_bytes in totals.items()
        ]


async def _run(spec: ProcessSpec) -> None:
    servers = tuple(StandInServer(item, spec.world) for item in spec.servers)
    control = Control(servers)
    sampler = asyncio.create_task(control.sample_forever())
    server_apps = [(server, server.spec.port) for server in servers]
    await serve([(control, spec.control_port), *server_apps])
    sampler.cancel()


def main() -> None:
    """Run the servers of a spec file until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    spec = msgspec.json.decode(parser.parse_args().spec.read_bytes(), type=ProcessSpec)
    asyncio.run(_run(spec))


if __name__ == "__main__":
    main()
