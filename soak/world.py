"""Start edges, servers, store and proxies, and inject a seeded schedule of faults into them."""

import asyncio
import contextlib
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
from soak.faults import OverlappingFaults
from soak.keys import KeyRing
from soak.proxy import LinkFault, Proxy
from soak.records import Disturbance, Records, StatedLimit
from soak.standins import ServerStandIn, StoreStandIn

__all__ = ["SoakWorld"]

ROOT = Path(__file__).parent.parent
SERVICES = ("svc-0", "svc-1", "svc-2")
ZONES = ("za", "zb")
STARTUP_WAIT_S = 3.0
STOP_GRACE_S = 6.0
LIMITED_SERVERS = 4
LIMITS_PER_S = (0.5, 4.0)
LIMIT_DURATIONS_S = (5.0, 9.0)
LIMITS_PAUSE_S = 1.0
# Part of the store's faults from which it comes back from a copy, and the age of the copy.
RESTORE_RATIO = 0.3
RESTORE_AGES_S = (0.0, 9.0)


# Part of the starts of an edge that get signals before they are done, or find a port taken.
EARLY_SIGNAL_RATIO = 0.3
TAKEN_PORT_RATIO = 0.3
TAKEN_PORT_S = 0.8
HANDLER_WAIT_S = 5.0
# Edges are cut off from the store in turn, all but one at a time; a configuration follows at once.
STORE_CUT_PAUSES_S = (1.0, 3.0)
STORE_CUTS_S = (1.0, 4.0)
CHANGE_DELAY_S = 0.2
KEY_CHANGE_PAUSES_S = (0.2, 1.5)


@attrs.define(eq=False)
class _Edge:
    name: str
    zone: str
    addresses: wire.EdgeAddresses
    store_proxy: Proxy
    process: asyncio.subprocess.Process | None = None
    starting: asyncio.Lock = attrs.Factory(asyncio.Lock)
    faults: OverlappingFaults[str] = attrs.Factory(OverlappingFaults)


class SoakWorld:
    """One deployment on loopback: edges as processes, everything else in this process."""

    def __init__(
        self,
        seed: int,
        out_dir: Path,
        edges: int,
        servers: int,
        callers: int,
        has_unread_logs: bool = False,
    ) -> None:
        """Assign ports and create the parts; nothing listens yet.

        Logs and settings of the edges are written to `out_dir`. With `has_unread_logs` the
        edges' stdout is a pipe that nobody reads.
        """
        self.records = Records()
        self._has_unread_logs = has_unread_logs
        self._unread_pipe_fds: tuple[int, ...] = ()
        self._rng = Random(seed)
        self._limits_rng = Random(seed)  # keeps the other faults of a seed as they were
        self._restores_rng = Random(seed)
        self._starts_rng = Random(seed)
        self._store_cuts_rng = Random(seed)
        self._keys_rng = Random(seed)
        self._keys = KeyRing(self.records, self._keys_rng)
        self._out_dir = out_dir
        ports = iter(free_ports(2 + 7 * edges + 2 * servers * 4))
        self._store_port, self._store_proxy_port = next(ports), next(ports)
        self._store = StoreStandIn(self._store_port)
        self._store_proxy = Proxy(self._store_proxy_port, self._store_port)
        self._edges = [
            _Edge(
                f"edge-{n}",
                ZONES[n % 2],
                _assign_addresses(ports),
                Proxy(next(ports), self._store_proxy_port),
            )
            for n in range(edges)
        ]
        self._expected_ends: set[asyncio.subprocess.Process] = set()
        self._ports = ports
        self._servers: dict[str, ServerStandIn] = {}
        self._proxies: dict[str, Proxy] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._added_server_count = 0
        self._routes_version = 0
        self._initial_server_count, self._caller_count = servers, callers

    async def run(self, seconds: float) -> None:
        """Run callers and faults for `seconds`; kill the edge processes before returning."""
        await self._store.start()
        await self._store_proxy.start()
        for number in range(self._initial_server_count):
            await self._add_server(SERVICES[number % len(SERVICES)])
        await self._change_routes()
        try:
            for edge in self._edges:
                await edge.store_proxy.start()
                await self._replace_process(edge, None)
            await asyncio.sleep(STARTUP_WAIT_S)
            end_s = time.monotonic() + seconds
            await asyncio.gather(
                *self._make_callers(end_s),
                self._inject_faults(end_s - 2.0),
                self._limit(end_s),
                self._cut_store_links(end_s - 2.0),
                self._replace_keys(end_s - 2.0),
            )
        finally:
            self._record_own_ends()
            await asyncio.gather(*(_kill_process(process) for process in self._processes))
            self._store_proxy.close()
            for edge in self._edges:
                edge.store_proxy.close()
            for descriptor in self._unread_pipe_fds:
                os.close(descriptor)

    def _make_callers(self, end_s: float) -> list[Awaitable[None]]:
        directory_addresses = [edge.addresses.directory_address for edge in self._edges]
        edge_names = {edge.addresses.caller_address: edge.name for edge in self._edges}
        coroutines: list[Awaitable[None]] = []
        for number in range(self._caller_count):
            rng = Random(self._rng.random())
            caller = Caller(f"c{number}", directory_addresses, self.records, rng, self._keys)
            caller.set_edge_names(edge_names)
            coroutines.append(caller.run(end_s))
        return coroutines

    async def _inject_faults(self, until_s: float) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._stop_edge,
            self._kill_edge,
            self._pause_edge,
            self._inject_store_fault,
            self._inject_link_fault,
            self._crash_server,
            self._drain_server,
            self._degrade_server,
            self._change_routes,
            self._drain_zone,
        ]
        tasks: set[asyncio.Future[None]] = set()
        while time.monotonic() < until_s:
            fault = self._rng.choice(faults)
            tasks.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._rng.choice((0.2, 0.8, 2.0)))
        await asyncio.gather(*tasks)

    def _record_fault(
        self, scope: str, kind: str, duration_s: float, *, is_planned: bool = False
    ) -> None:
        now_s = time.monotonic()
        self.records.disturbances.append(
            Disturbance(scope, kind, now_s, now_s + duration_s, is_planned)
        )

    # edges

    async def _replace_process(
        self, edge: _Edge, ended_process: asyncio.subprocess.Process | None
    ) -> None:
        """Start an edge again unless an overlapping fault has already replaced `ended_process`."""
        async with edge.starting:
            if edge.process is ended_process:
                await self._disturb_start(edge)
                assert edge.process is not None
                self._processes.append(edge.process)

    def _record_own_ends(self) -> None:
        for process in self._processes:
            if process.returncode is not None and process not in self._expected_ends:
                self.records.own_ends.append(
                    f"process {process.pid} by itself with {process.returncode}"
                )

    async def _disturb_start(self, edge: _Edge) -> None:
        """Hold a port of an edge for a moment, or signal its process while it starts."""
        has_taken_port = self._starts_rng.random() < TAKEN_PORT_RATIO
        has_signals = self._starts_rng.random() < EARLY_SIGNAL_RATIO
        if has_taken_port:
            host, _, port = edge.addresses.readiness_address.rpartition(":")
            holder = await asyncio.start_server(lambda _, writer: writer.close(), host, int(port))
            asyncio.get_running_loop().call_later(TAKEN_PORT_S, holder.close)
        await self._start_edge(edge)
        assert edge.process is not None
        if has_signals and await _has_handler(edge.process.pid, signal.SIGHUP):
            for _ in range(3):
                self._signal(edge, signal.SIGHUP)
                await asyncio.sleep(0.05)

    async def _start_edge(self, edge: _Edge) -> None:
        settings = self._out_dir / f"{edge.name}.conf"
        seeds = [other.addresses.peer_address for other in self._edges[:3]]
        store_address = f"127.0.0.1:{edge.store_proxy.port}"
        settings.write_text(
            wire.settings_text(
                edge.name, edge.zone, edge.addresses, seeds, store_address, STOP_GRACE_S
            )
        )
        with (self._out_dir / f"{edge.name}.log").open("ab") as log:
            edge.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/edge.py"),
                stdout=self._open_unread_pipe() if self._has_unread_logs else log,
                stderr=log,
                env={**os.environ, **wire.settings_environment(settings)},
            )

    def _open_unread_pipe(self) -> int:
        """Return the write end of a pipe that nobody reads.

        Its buffer holds 64 KiB. The read end stays open, so that writes fill it
        instead of failing.
        """
        if not self._unread_pipe_fds:
            self._unread_pipe_fds = os.pipe()
        return self._unread_pipe_fds[1]

    def _signal(self, edge: _Edge, signal_number: int) -> bool:
        """Send a signal to an edge's process; return False if it is not running."""
        if edge.process is None or edge.process.returncode is not None:
            return False
        edge.process.send_signal(signal_number)
        return True

    async def _stop_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        process = edge.process
        if process is None or not self._signal(edge, signal.SIGTERM):
            return
        self._expected_ends.add(process)
        self._record_fault(edge.name, "stop", STOP_GRACE_S, is_planned=True)
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                code = await process.wait()
            if code not in (0, -signal.SIGKILL):
                self.records.own_ends.append(f"{edge.name} in a stop with {code}")
        except TimeoutError:
            self._record_fault(edge.name, "stop took too long", 1.0)
            await _kill_process(process)
        await self._replace_process(edge, process)

    async def _kill_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        process = edge.process
        if process is None or not self._signal(edge, signal.SIGKILL):
            return
        self._expected_ends.add(process)
        self._record_fault(edge.name, "kill", 1.0)
        await process.wait()
        await asyncio.sleep(0.3)
        await self._replace_process(edge, process)

    async def _pause_edge(self) -> None:
        edge = self._rng.choice(self._edges)
        pause_s = self._rng.uniform(0.3, 2.5)
        if self._signal(edge, signal.SIGSTOP):
            self._record_fault(edge.name, "pause", pause_s)
            with edge.faults.inject("pause"):
                await asyncio.sleep(pause_s)
            if "pause" not in edge.faults:
                self._signal(edge, signal.SIGCONT)

    # store and links

    async def _inject_store_fault(self) -> None:
        duration_s = self._rng.uniform(0.5, 3.0)
        kind = self._rng.choice(("down", "silent", "slow", "forget", "reset"))
        if self._restores_rng.random() < RESTORE_RATIO:
            kind = "restore"
        self._record_fault("store", kind, duration_s)
        if kind == "forget":
            self._store.compact_history()
        if kind == "reset":
            self._store_proxy.reset_all()
        with self._store.faults.inject("down" if kind == "restore" else kind):
            await asyncio.sleep(duration_s)
        if kind == "restore":
            await self._store.restore(self._restores_rng.uniform(*RESTORE_AGES_S))

    async def _cut_store_links(self, until_s: float) -> None:
        """Cut edges off from the store, and change the routes while they can't hear of it."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self._store_cuts_rng.uniform(*STORE_CUT_PAUSES_S))
            count = self._store_cuts_rng.randint(1, len(self._edges) - 1)
            cut_s = self._store_cuts_rng.uniform(*STORE_CUTS_S)
            with contextlib.ExitStack() as cuts:
                for edge in self._store_cuts_rng.sample(self._edges, count):
                    self._record_fault(edge.name, "store link", cut_s)
                    cuts.enter_context(edge.store_proxy.faults.inject(LinkFault.SILENCE))
                await asyncio.sleep(CHANGE_DELAY_S)
                await self._change_routes()
                await asyncio.sleep(cut_s - CHANGE_DELAY_S)
            for edge in self._edges:
                if LinkFault.SILENCE not in edge.store_proxy.faults:
                    edge.store_proxy.reset_all()

    async def _inject_link_fault(self) -> None:
        name = self._rng.choice(sorted(self._proxies))
        proxy = self._proxies[name]
        duration_s = self._rng.uniform(0.3, 2.0)
        self._record_fault(name, "link", duration_s)
        fault = self._rng.choice(
            (LinkFault.DELAY, LinkFault.SILENCE, LinkFault.CUT_ANSWERS, LinkFault.NONE)
        )
        if fault is LinkFault.NONE:
            proxy.reset_all()
        with proxy.faults.inject(fault):
            await asyncio.sleep(duration_s)
        if fault in (LinkFault.SILENCE, LinkFault.CUT_ANSWERS):
            proxy.reset_all()

    # servers and configuration

    async def _add_server(self, service: str) -> None:
        self._added_server_count += 1
        name = f"i-{self._added_server_count}"
        port, proxy_port = next(self._ports), next(self._ports)
        zone = ZONES[self._added_server_count % 2]
        rng = Random(self._rng.random())
        server = ServerStandIn(name, service, zone, port, proxy_port, self.records, rng)
        self._servers[name] = server
        self._proxies[name] = Proxy(proxy_port, port)
        await server.start()
        await self._proxies[name].start()
        await server.register(self._store)

    def _select_server(self) -> ServerStandIn | None:
        ready = [
            server
            for server in self._servers.values()
            if not server.is_draining and not server.is_down
        ]
        return self._rng.choice(ready) if len(ready) > len(SERVICES) * 2 else None

    async def _crash_server(self) -> None:
        server = self._select_server()
        if server is None:
            return
        duration_s = self._rng.uniform(0.3, 2.0)
        self._record_fault(server.name, "crash", duration_s)
        server.crash()
        server.is_down = True
        await asyncio.sleep(duration_s)
        server.started_ms = int(time.time() * 1000)
        await server.start()
        server.is_down = False
        await server.register(self._store)

    async def _drain_server(self) -> None:
        server = self._select_server()
        if server is None or self._added_server_count >= 4 * self._initial_server_count:
            return
        await self._add_server(server.service)
        server.is_draining = True
        await server.register(self._store)
        self.records.drains[server.name] = time.monotonic()
        await asyncio.sleep(5.0)
        await self._store.delete(wire.SERVERS_COLLECTION, server.name)

    async def _degrade_server(self) -> None:
        server = self._select_server()
        if server is None:
            return
        duration_s = self._rng.uniform(0.5, 3.0)
        self._record_fault(server.name, "spoil", duration_s)
        is_slow = self._rng.random() < 0.5
        with server.faults.inject("spoil"), server.faults.inject("slow" if is_slow else ""):
            await asyncio.sleep(duration_s)

    async def _limit(self, until_s: float) -> None:
        """Let servers state limits of requests per second, in turn, while callers send."""
        while time.monotonic() < until_s:
            limited = self._limits_rng.sample(list(self._servers.values()), LIMITED_SERVERS)
            duration_s = self._limits_rng.uniform(*LIMIT_DURATIONS_S)
            start_s = time.monotonic()
            for server in limited:
                server.limit_per_s = self._limits_rng.uniform(*LIMITS_PER_S)
            await asyncio.sleep(min(duration_s, until_s - start_s))
            for server in limited:
                assert server.limit_per_s is not None
                end_s = time.monotonic()
                self.records.limits.append(
                    StatedLimit(server.name, server.limit_per_s, start_s, end_s)
                )
                server.limit_per_s = None
            await asyncio.sleep(LIMITS_PAUSE_S)

    async def _change_routes(self) -> None:
        self._routes_version += 1
        service = SERVICES[self._routes_version % len(SERVICES)]
        # Versions increase but are not consecutive.
        keys = self._keys.valid()
        document = wire.routes_document(self._routes_version * 3, service, SERVICES, keys)
        await self._store.put(*wire.ROUTES_KEY, document)
        self.records.routes.append((time.monotonic(), service))

    async def _replace_keys(self, until_s: float) -> None:
        """Replace keys of organisations in turn; callers go on using some that were removed."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self._keys_rng.uniform(*KEY_CHANGE_PAUSES_S))
            self._keys.replace_key()
            await self._change_routes()

    async def _drain_zone(self) -> None:
        zone = self._rng.choice(ZONES)
        await self._store.put(wire.ZONE_DRAINS_COLLECTION, zone, {})
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        await self._store.delete(wire.ZONE_DRAINS_COLLECTION, zone)


def _assign_addresses(ports: Iterator[int]) -> wire.EdgeAddresses:
    caller_address, readiness_address, peer_address, directory_address = (
        f"127.0.0.1:{next(ports)}" for _ in range(4)
    )
    return wire.EdgeAddresses(
        caller_address,
        readiness_address,
        peer_address,
        directory_address,
        (next(ports), next(ports)),
    )


async def _has_handler(pid: int, number: signal.Signals) -> bool:
    """Return true once a process catches a signal, false if it doesn't in time."""
    for _ in range(int(HANDLER_WAIT_S / 0.01)):
        try:
            status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        except OSError:
            return False
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        if int(caught.split()[1], 16) & (1 << (number - 1)):
            return True
        await asyncio.sleep(0.01)
    return False


async def _kill_process(process: asyncio.subprocess.Process) -> None:
    """Kill a process and wait for its end, unless it has already ended."""
    if process.returncode is None:
        process.kill()
        await process.wait()
