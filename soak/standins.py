"""Stand in for the platform's store and its backend servers, with faults to switch on."""

import asyncio
import itertools
import time
from random import Random
from typing import Any
from urllib.parse import parse_qs

import attrs
import msgspec

from berylchute.callers import Answer, CallerServer, Pending
from berylchute.dialect import Dialect
from berylchute.node import MonotonicClock
from soak.records import Records, Run

__all__ = ["ServerStandIn", "StoreStandIn", "answer_body"]

# The store's and the servers' own HTTP side must not take any header out.
PLAIN = Dialect(request_id=b"request-id", deadline_ms=b"-", expected_server=b"-")
JSON = ((b"Content-Type", b"application/json"),)


def answer_body(request_id: str, body: bytes) -> bytes:
    """Return the only right body of an answer."""
    return f"{request_id}:{len(body)}:".encode() + body[:64] * 3


class StoreStandIn:
    """Hold objects by kind and name; answer lists and watches."""

    def __init__(self, port: int) -> None:
        self._address = f"127.0.0.1:{port}"
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._log: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._revision = 10
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_down = False
        self.is_silent = False
        self.slow_s = 0.0

    async def start(self) -> None:
        """Listen."""
        await CallerServer(self._handle, MonotonicClock(), PLAIN).start(self._address)

    async def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Write an object."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision}
        item = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = item
        await self._note(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._note(kind, item, deleted=True)

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        self._oldest = self._revision

    async def _note(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._log.append((self._revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    def _handle(self, pending: Pending) -> None:
        task = asyncio.create_task(self._answer(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, pending: Pending) -> None:
        if self.is_silent:
            return
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.is_down:
            pending.respond(Answer(503))
            return
        kind = pending.request.path.rpartition("/")[2]
        query = parse_qs(pending.request.target.partition(b"?")[2].decode())
        if "watch" not in query:
            items = list(self._objects.get(kind, {}).values())
            body = {"items": items, "has-more": False, "at-rev": self._revision}
            pending.respond(Answer(200, JSON, msgspec.json.encode(body)))
            return
        after = int(query["watch"][0])
        if after < self._oldest:
            pending.respond(Answer(410))
            return
        events = await self._wait(kind, after, int(query["wait-ms"][0]) / 1000.0)
        if not self.is_silent:
            body = {"events": events, "at-rev": max(after, self._revision)}
            pending.respond(Answer(200, JSON, msgspec.json.encode(body)))

    async def _wait(self, kind: str, after: int, wait_s: float) -> list[dict[str, Any]]:
        def found() -> list[dict[str, Any]]:
            return [
                {"object": item, "deleted": deleted}
                for revision, name, item, deleted in self._log
                if name == kind and revision > after
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(found()))
        except TimeoutError:
            return []
        return found()


@attrs.define(eq=False)
class ServerStandIn:
    """One backend server; requests are `sleep`ed and answered with a body made from their id."""

    name: str
    service: str
    zone: str
    port: int
    store_port: int
    records: Records
    rng: Random
    slots: int = 8
    running: int = 0
    lose_ratio: float = 0.0
    spoil_ratio: float = 0.0
    is_slow: bool = False
    is_draining: bool = False
    is_down: bool = False
    born_ms: int = attrs.Factory(lambda: int(time.time() * 1000))
    _http: CallerServer | None = None
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _stamps: Any = attrs.Factory(itertools.count)

    async def start(self) -> None:
        """Listen."""
        self._http = CallerServer(self._handle, MonotonicClock(), PLAIN)
        await self._http.start(f"127.0.0.1:{self.port}")

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        assert self._http is not None
        self._http.stop_listening()
        for connection in list(self._http.connections):
            connection.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def register(self, store: StoreStandIn) -> None:
        """Write the server's entry."""
        spec = {
            "address": f"127.0.0.1:{self.store_port}",
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 8},
            "born": self.born_ms,
        }
        state = "draining" if self.is_draining else "ready"
        await store.put("servers", self.name, spec, {"state": state, "seq": 1})

    def _handle(self, pending: Pending) -> None:
        task = asyncio.create_task(self._serve(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def cancel() -> None:
            task.cancel()

        pending.cancel = cancel

    async def _serve(self, pending: Pending) -> None:
        request = pending.request
        headers = {name.lower(): value for name, value in request.headers}
        load = (b"Server-Load", b"%d,0,%d,100" % (self.running, self.slots))
        identity = (b"Request-Id", request.request_id.encode())
        if headers.get(b"expect-instance") != self.name.encode():
            pending.respond(Answer(421, (identity,)))
            return
        if self.running >= self.slots:
            pending.respond(Answer(503, (identity, load, (b"Not-Run", b"1"))))
            return
        run = Run(request.request_id, self.name, self.service, time.monotonic())
        self.records.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06) * (8.0 if self.is_slow else 1.0))
        finally:
            self.running -= 1
        self._respond(pending, (identity, load))

    def _respond(self, pending: Pending, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        request = pending.request
        stamp = (b"Server-Stamp", f"{self.name}.{next(self._stamps)}".encode())
        body = answer_body(request.request_id, request.body)
        chance = self.rng.random()
        if chance < self.lose_ratio:
            pending.connection.transport.abort()
        elif chance < self.lose_ratio + self.spoil_ratio:
            # Cut short: the length says more than what follows.
            pending.connection.transport.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                % (headers[0][1], len(body) + 9, body)
            )
            pending.connection.transport.abort()
        else:
            pending.respond(Answer(200, (*headers, stamp), body))
            if chance > 1.0 - self.spoil_ratio:
                # A second answer to the same request, often where the next one is due.
                late = (
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: x\r\n"
                    b"Content-Length: 5\r\n\r\nextra" % headers[0][1]
                )
                transport = pending.connection.transport
                delay_s = self.rng.uniform(0.0, 0.2)
                asyncio.get_running_loop().call_later(delay_s, transport.write, late)
