"""Start edges, servers, store and proxies, and play a seeded schedule of faults on them."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from random import Random

import attrs

from lab.processes import free_ports
from soak import wire
from soak.callers import Caller
from soak.proxy import LinkFault, Proxy
from soak.records import Disturbance, Records
from soak.standins import ServerStandIn, StoreStandIn

__all__ = ["SoakWorld"]

ROOT = Path(__file__).parent.parent
SERVICES = ("svc-0", "svc-1", "svc-2")
ZONES = ("za", "zb")
START_S = 3.0
STOP_GRACE_S = 6.0


@attrs.define(eq=False)
class _Edge:
    name: str
    zone: str
    addresses: wire.EdgeAddresses
    process: asyncio.subprocess.Process | None = None
    starting: asyncio.Lock = attrs.Factory(asyncio.Lock)


class SoakWorld:
    """One deployment on loopback."""

    def __init__(
        self,
        seed: int,
        out: Path,
        edges: int,
        servers: int,
        callers: int,
        blocks_logs: bool = False,
    ) -> None:
        """Lay out ports and parts; with `blocks_logs` nobody reads what the edges log."""
        self.records = Records()
        self._blocks_logs = blocks_logs
        self._pipe: tuple[int, ...] = ()
        self._rng = Random(seed)
        self._out = out
        ports = iter(free_ports(2 + 6 * edges + 2 * servers * 4))
        self._store_port, self._store_proxy_port = next(ports), next(ports)
        self._store = StoreStandIn(self._store_port)
        self._store_proxy = Proxy(self._store_proxy_port, self._store_port)
        self._edges = [_Edge(f"edge-{n}", ZONES[n % 2], _addresses(ports)) for n in range(edges)]
        self._ports = ports
        self._servers: dict[str, ServerStandIn] = {}
        self._proxies: dict[str, Proxy] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._server_count = 0
        self._version = 0
        self._servers_wanted, self._callers_wanted = servers, callers

    async def run(self, seconds: float) -> None:
        """Play the soak; the processes are ended before it returns."""
        await self._store.start()
        await self._store_proxy.start()
        for number in range(self._servers_wanted):
            await self._add_server(SERVICES[number % len(SERVICES)])
        await self._change_routes()
        try:
            for edge in self._edges:
                await self._replace_process(edge, None)
            await asyncio.sleep(START_S)
            end_s = time.monotonic() + seconds
            await asyncio.gather(*self._callers(end_s), self._play_faults(end_s - 2.0))
        finally:
            await asyncio.gather(*(_end(process) for process in self._processes))
            self._store_proxy.close()
            for descriptor in self._pipe:
                os.close(descriptor)

    def _callers(self, end_s: float) -> list[Awaitable[None]]:
        directories = [edge.addresses.directory for edge in self._edges]
        names = {edge.addresses.callers: edge.name for edge in self._edges}
        runs: list[Awaitable[None]] = []
        for number in range(self._callers_wanted):
            rng = Random(self._rng.random())
            caller = Caller(f"c{number}", directories, self.records, rng)
            caller.name_edges(names)
            runs.append(caller.run(end_s))
        return runs

    async def _play_faults(self, until_s: float) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._stop_edge,
            self._kill_edge,
            self._pause_edge,
            self._store_fault,
            self._link_fault,
            self._crash_server,
            self._drain_server,
            self._spoil_server,
            self._change_routes,
            self._evacuate,
        ]
        running: set[asyncio.Future[None]] = set()
        while time.monotonic() < until_s:
            fault = self._rng.choice(faults)
            running.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._rng.choice((0.2, 0.8, 2.0)))
        await asyncio.gather(*running)

    def _disturb(self, scope: str, kind: str, for_s: float, *, is_planned: bool = False) -> None:
        now_s = time.monotonic()
        self.records.disturbances.append(Disturbance(scope, kind, now_s, now_s + for_s, is_planned))

    # edges

    async def _replace_process(self, edge: _Edge, ended: asyncio.subprocess.Process | None) -> None:
        """Start an edge in place of a process that ended, unless another fault has done so."""
        async with edge.starting:
            if edge.process is ended:
                await self._start_edge(edge)
                assert edge.process is not None
                self._processes.append(edge.process)

    async def _start_edge(self, edge: _Edge) -> None:
        settings = self._out / f"{edge.name}.conf"
        seeds = [other.addresses.peers for other in self._edges[:3]]
        store = f"127.0.0.1:{self._store_proxy_port}"
        settings.write_text(
            wire.settings_text(edge.name, edge.zone, edge.addresses, seeds, store, STOP_GRACE_S)
        )
        with (self._out / f"{edge.name}.log").open("ab") as log:
            edge.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/edge.py"),
                stdout=self._unread_pipe() if self._blocks_logs else log,
                stderr=log,
                env={**os.environ, **wire.settings_environment(settings)},
            )

    def _unread_pipe(self) -> int:
        """Return the writing end of a pipe that takes 64 KiB; its reading end stays open."""
        if not self._pipe:
            self._pipe = os.pipe()
        return self._pipe[1]

    def _signal(self, edge: _Edge, number: int) -> bool:
        """Send a signal to an edge's process if it runs."""
        if edge.process is None or edge.process.returncode is not None:
            return False
        edge.process.send_signal(number)
        return True

    async def _stop_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        process = edge.process
        if process is None or not self._signal(edge, signal.SIGTERM):
            return
        self._disturb(edge.name, "stop", STOP_GRACE_S, is_planned=True)
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                await process.wait()
        except TimeoutError:
            self._disturb(edge.name, "stop took too long", 1.0)
            await _end(process)
        await self._replace_process(edge, process)

    async def _kill_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        process = edge.process
        if process is None or not self._signal(edge, signal.SIGKILL):
            return
        self._disturb(edge.name, "kill", 1.0)
        await process.wait()
        await asyncio.sleep(0.3)
        await self._replace_process(edge, process)

    async def _pause_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        pause_s = self._rng.uniform(0.3, 2.5)
        if self._signal(edge, signal.SIGSTOP):
            self._disturb(edge.name, "pause", pause_s)
            await asyncio.sleep(pause_s)
            self._signal(edge, signal.SIGCONT)

    # store and links

    async def _store_fault(self) -> None:
        for_s = self._rng.uniform(0.5, 3.0)
        kind = self._rng.choice(("down", "silent", "slow", "forget", "reset"))
        self._disturb("store", kind, for_s)
        self._store.is_down = kind == "down"
        self._store.is_silent = kind == "silent"
        self._store.slow_s = 0.2 if kind == "slow" else 0.0
        if kind == "forget":
            self._store.forget_history()
        if kind == "reset":
            self._store_proxy.reset_all()
        await asyncio.sleep(for_s)
        self._store.is_down = self._store.is_silent = False
        self._store.slow_s = 0.0

    async def _link_fault(self) -> None:
        name = self._rng.choice(sorted(self._proxies))
        proxy = self._proxies[name]
        for_s = self._rng.uniform(0.3, 2.0)
        self._disturb(name, "link", for_s)
        proxy.fault = self._rng.choice(
            (LinkFault.DELAY, LinkFault.SILENCE, LinkFault.CUT_ANSWERS, LinkFault.NONE)
        )
        if proxy.fault is LinkFault.NONE:
            proxy.reset_all()
        await asyncio.sleep(for_s)
        if proxy.fault in (LinkFault.SILENCE, LinkFault.CUT_ANSWERS):
            proxy.reset_all()
        proxy.fault = LinkFault.NONE

    # servers and configuration

    async def _add_server(self, service: str) -> None:
        self._server_count += 1
        name = f"i-{self._server_count}"
        port, outside = next(self._ports), next(self._ports)
        zone = ZONES[self._server_count % 2]
        rng = Random(self._rng.random())
        server = ServerStandIn(name, service, zone, port, outside, self.records, rng)
        self._servers[name] = server
        self._proxies[name] = Proxy(outside, port)
        await server.start()
        await self._proxies[name].start()
        await server.register(self._store)

    def _pick_server(self) -> ServerStandIn | None:
        ready = [
            server
            for server in self._servers.values()
            if not server.is_draining and not server.is_down
        ]
        return self._rng.choice(ready) if len(ready) > len(SERVICES) * 2 else None

    async def _crash_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        for_s = self._rng.uniform(0.3, 2.0)
        self._disturb(server.name, "crash", for_s)
        server.crash()
        server.is_down = True
        await asyncio.sleep(for_s)
        server.started_ms = int(time.time() * 1000)
        await server.start()
        server.is_down = False
        await server.register(self._store)

    async def _drain_server(self) -> None:
        server = self._pick_server()
        if server is None or self._server_count >= 4 * self._servers_wanted:
            return
        await self._add_server(server.service)
        server.is_draining = True
        await server.register(self._store)
        self.records.drains[server.name] = time.monotonic()
        await asyncio.sleep(5.0)
        await self._store.delete(wire.SERVERS, server.name)

    async def _spoil_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        for_s = self._rng.uniform(0.5, 3.0)
        self._disturb(server.name, "spoil", for_s)
        server.lose_ratio, server.spoil_ratio = 0.2, 0.2
        server.is_slow = self._rng.random() < 0.5
        await asyncio.sleep(for_s)
        server.lose_ratio = server.spoil_ratio = 0.0
        server.is_slow = False

    async def _change_routes(self) -> None:
        self._version += 1
        service = SERVICES[self._version % len(SERVICES)]
        # Versions increase in uneven steps.
        document = wire.routes_document(self._version * 3, service, SERVICES)
        await self._store.put(*wire.ROUTES, document)
        self.records.routes.append((time.monotonic(), service))

    async def _evacuate(self) -> None:
        zone = self._rng.choice(ZONES)
        await self._store.put(wire.ZONE_DRAINS, zone, {})
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        await self._store.delete(wire.ZONE_DRAINS, zone)


def _addresses(ports: Iterator[int]) -> wire.EdgeAddresses:
    callers, ready, peers, directory = (f"127.0.0.1:{next(ports)}" for _ in range(4))
    return wire.EdgeAddresses(callers, ready, peers, directory, (next(ports), next(ports)))


async def _end(process: asyncio.subprocess.Process) -> None:
    """Kill a process that the soak started, if it still runs."""
    if process.returncode is None:
        process.kill()
        await process.wait()
