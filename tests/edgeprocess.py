"""Start the edge program as a process of its own, with a store and a backend server beside it."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import attrs

from lab.processes import free_ports
from soak import wire
from soak.records import Records
from soak.standins import ServerStandIn, StoreStandIn

__all__ = ["EdgeProcess", "Handle", "start_world"]

ROOT = Path(__file__).parent.parent
WAIT_S = 20.0
GRACE_S = 6.0
BODY_BYTES_MAX = 2**26


@attrs.define(eq=False)
class EdgeProcess:
    """One edge program; `startup_code` runs in its interpreter before the program's script."""

    folder: Path
    addresses: wire.EdgeAddresses
    store_address: str
    memory_mb: float = 300.0
    max_fds: int | None = None
    startup_code: str = ""
    store: StoreStandIn | None = None
    grace_s: float = GRACE_S
    seeds: Sequence[str] = ()
    contracts: str = ""
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its output goes to `log`."""
        settings = self.write_settings()
        (self.folder / "sitecustomize.py").write_text(self.startup_code)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/edge.py"),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **wire.settings_environment(settings),
                    "PYTHONPATH": str(self.folder),
                },
            )

    def write_settings(self) -> Path:
        """Write the settings file anew and return its path."""
        settings = self.folder / "settings.conf"
        text = wire.settings_text(
            "edge-1", "za", self.addresses, self.seeds, self.store_address, grace_s=self.grace_s
        )
        text += f"contracts={self.contracts}\n"
        text += f"limits.memory-mb={self.memory_mb:g}\n"
        if self.max_fds is not None:
            text += f"limits.max-fds={self.max_fds}\n"
        settings.write_text(text)
        return settings

    async def configure(
        self, number: int, keys: Mapping[str, Sequence[str]], **changes: object
    ) -> None:
        """Put a configuration with organisations and their keys into the store."""
        assert self.store is not None
        routes = dict(wire.routes_document(number, "svc-0", ["svc-0"], keys))
        routes["limits"] = {**routes["limits"], "max-body-bytes": BODY_BYTES_MAX}
        routes["routes"] = [{**route, "timeout-s": 6.0, **changes} for route in routes["routes"]]
        await self.store.put(*wire.ROUTES_KEY, routes)

    @property
    def log(self) -> Path:
        """Return the file with the output of the process."""
        return self.folder / "edge.log"

    @property
    def running(self) -> asyncio.subprocess.Process:
        """Return the process; only valid after `start`."""
        assert self.process is not None
        return self.process

    async def wait_exit(self) -> int:
        """Return the exit code, negative after the end by a signal."""
        async with asyncio.timeout(WAIT_S):
            return await self.running.wait()

    async def wait_ready(self) -> None:
        """Return once the process answers that it is ready; fail if it ends."""
        async with asyncio.timeout(WAIT_S):
            while not (await self._get_ready()).startswith(b"HTTP/1.1 200"):
                assert self.running.returncode is None, self.log.read_text()
                await asyncio.sleep(0.05)

    async def wait_log(self, text: str) -> None:
        """Return once a text is in the log, which is written at intervals."""
        async with asyncio.timeout(WAIT_S):
            while text not in self.log.read_text():
                await asyncio.sleep(0.05)

    async def _get_ready(self) -> bytes:
        try:
            reader, writer = await self.connect(self.addresses.readiness_address)
        except OSError:
            return b""
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return answer

    async def connect(self, address: str = "") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the callers' address, or to another one of the process."""
        host, _, port = (address or self.addresses.caller_address).rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def peak_memory_mb(self) -> float:
        """Return the highest resident memory so far in megabytes of 10**6 bytes."""
        status = Path(f"/proc/{self.running.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024 / 1e6


Handle = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


@asynccontextmanager
async def start_world(
    folder: Path,
    *,
    servers: int = 1,
    startup_code: str = "",
    handle: Handle | None = None,
    slots: int = 99,
) -> AsyncIterator[tuple[EdgeProcess, list[ServerStandIn]]]:
    """Start a store and servers, and yield them with a process that is not started yet.

    With `handle`, four more servers of the same service, each with `slots`, serve their
    connections with it.
    """
    ports = iter(free_ports(7 + servers))
    addresses = wire.EdgeAddresses(
        *(f"127.0.0.1:{next(ports)}" for _ in range(4)), (next(ports), next(ports))
    )
    store_port = next(ports)
    store = StoreStandIn(store_port)
    await store.start()
    stand_ins = []
    for number in range(servers):
        port = next(ports)
        server = ServerStandIn(f"i-{number}", "svc-0", "za", port, port, Records(), Random(number))
        await server.start()
        await server.register(store)
        stand_ins.append(server)
    listeners = []
    for number in range(4 if handle else 0):
        assert handle is not None
        listener = await asyncio.start_server(handle, "127.0.0.1", 0)
        listeners.append(listener)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        document = wire.server_document(
            "svc-0", address, "za", slots=slots, started_ms=1, is_draining=False
        )
        await store.put(wire.SERVERS_COLLECTION, f"h-{number}", *document)
    edge = EdgeProcess(
        folder, addresses, f"127.0.0.1:{store_port}", startup_code=startup_code, store=store
    )
    await edge.configure(1, {})
    try:
        yield edge, stand_ins
    finally:
        for listener in listeners:
            listener.close()
        if edge.process is not None and edge.process.returncode is None:
            edge.process.kill()
            await edge.process.wait()
