"""A server whose entry is removed just after a waiting watch was cut gets requests for too long."""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-3"))
from harness import (
    BOUNDS,
    Edge,
    Message,
    Record,
    Registered,
    Store,
    answer,
    encode_request,
    manifest,
    read_answer,
    read_head,
    run_case,
)

SERVICE = "libro-anticipos"
ZONES = {"xela-a": "occidente", "xela-b": "occidente"}
MACHINES, SERVERS = 4, 6
PING_S = 1.5
WORK_S = 0.1
DRAIN_S = float(BOUNDS["drain-s"])
# The leaving server serves for drain-s after the removal of its entry, and a little longer.
LITTLE_LONGER_S = 0.25
DEMAND_PER_S = 160.0


class CuttingStore(Store):
    """A store that can cut the watches that are waiting."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self._waiting: dict[asyncio.StreamWriter, float] = {}

    async def call(self, message: Message, writer: asyncio.StreamWriter) -> tuple[int, Any]:
        if "watch=" in message.target and "/servers?" in message.target:
            self._waiting[writer] = time.monotonic()
        try:
            return await super().call(message, writer)
        finally:
            self._waiting.pop(writer, None)

    async def wait_for_watches(self, count: int) -> None:
        """Return once that many machines wait, as they do before most changes."""
        while len(self._waiting) < count:
            await asyncio.sleep(0.002)

    def cut_watches(self) -> int:
        count = len(self._waiting)
        for writer in list(self._waiting):
            writer.close()
        return count


class Server:
    """One backend server."""

    def __init__(self, store: Store, record: Record, name: str, zone: str) -> None:
        self._store, self._record, self.name, self._zone = store, record, name, zone
        self.arrivals: list[tuple[float, str]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.entry: Registered

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % self._listener.sockets[0].getsockname()[1]
        self.entry = Registered(self._store, self.name, SERVICE, address, self._zone, 8)
        self.entry.write()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                await reader.readexactly(message.length)
                request_id = message.header("Request-Id")
                self.arrivals.append((self._record.now_s(), request_id))
                await asyncio.sleep(WORK_S)
                headers = [("Request-Id", request_id), ("Server-Stamp", f"s.{request_id}")]
                headers.append(("Server-Load", "1,0,8"))
                writer.write(answer(200, headers, b"ok"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def exit(self) -> None:
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def play(folder: Path, record: Record, trouble: bool, started: list[Edge]) -> bool:
    store = CuttingStore(record)
    await store.start()
    zones = list(ZONES)
    servers = [Server(store, record, f"i-{n}", zones[n % 2]) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    route = {"name": "post", "path-prefix": "/post/", "kind": "unsafe", "service": SERVICE}
    store.put("config", "main", manifest(3, [{**route, "timeout-s": 3.0}], [SERVICE]))
    left: set[str] = set()

    async def ping() -> None:
        number = 0
        while True:
            await asyncio.sleep(PING_S / SERVERS)
            number += 1
            server = servers[number % SERVERS]
            if server.name not in left:
                server.entry.write()

    pings = asyncio.create_task(ping())
    edges = [
        Edge(folder, f"front-{zones[n % 2]}-{n}", zones[n % 2], store.address, ZONES)
        for n in range(MACHINES)
    ]
    for edge in edges:
        edge.seeds = [other.control for other in edges[:3]]
        started.append(edge)
        await edge.start()
    for edge in edges:
        await edge.wait_ready()
    await asyncio.sleep(8.0)

    rng = random.Random(3)
    sent: dict[str, float] = {}
    statuses: dict[int, int] = {}
    stop = asyncio.Event()

    async def send(number: int) -> None:
        request_id = f"q-{number}"
        headers = [
            ("Request-Id", request_id),
            ("Deadline-Ms", "3000"),
            ("Cookie", f"Affinity-Key={rng.randrange(1000)}"),
        ]
        host, _, port = rng.choice(edges).front.rpartition(":")
        status = 0
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            sent[request_id] = record.now_s()
            writer.write(encode_request("POST", f"/post/{number}", headers, b"x" * 100))
            status, _, _ = await asyncio.wait_for(read_answer(reader), 3.0)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        statuses[status] = statuses.get(status, 0) + 1
        if status != 200:
            record.write(f"caller got {status} for {request_id}, sent at {sent[request_id]:.3f}")

    async def traffic() -> None:
        begun_s, number, tasks = record.now_s(), 0, []
        while not stop.is_set():
            await asyncio.sleep(max(0.0, begun_s + number / DEMAND_PER_S - record.now_s()))
            tasks.append(asyncio.create_task(send(number)))
            number += 1
        await asyncio.gather(*tasks)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(5.0)
    leaver = servers[0]
    if trouble:
        await store.wait_for_watches(MACHINES)
        record.write(f"the store cuts {store.cut_watches()} watches that wait")
        await asyncio.sleep(0.05)
    left.add(leaver.name)
    leaver.entry.remove()
    removed_s = record.now_s()
    record.write(f"the entry of {leaver.name} is removed; acknowledged by the store")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    record.write(f"{leaver.name} exits")
    leaver.exit()
    await asyncio.sleep(2.0)
    stop.set()
    await flow
    pings.cancel()
    late = [
        (at_s, request_id)
        for at_s, request_id in leaver.arrivals
        if sent[request_id] > removed_s + DRAIN_S
    ]
    for at_s, request_id in late:
        after_s = sent[request_id] - removed_s
        record.write(f"{request_id} reached {leaver.name}, sent {after_s:.3f} s after the removal")
    last_s = max((at_s for at_s, _ in leaver.arrivals), default=removed_s) - removed_s
    record.write(f"last request at {leaver.name} {last_s:.3f} s after the removal")
    record.write(f"statuses: {statuses}; late requests: {len(late)}")
    return not late


run_case(play)
