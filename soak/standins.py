"""Stand in for the platform's store and its backend servers, with faults to switch on."""

import asyncio
import itertools
import time
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

import attrs

from berylchute.callers import Answer, CallerServer, Header, Pending
from berylchute.node import MonotonicClock
from soak import wire
from soak.records import Records, Run

__all__ = ["ServerStandIn", "StoreStandIn", "answer_body"]

JSON = ((b"Content-Type", b"application/json"),)


def answer_body(request_id: str, body: bytes) -> bytes:
    """Return the only right body of an answer."""
    return f"{request_id}:{len(body)}:".encode() + body[:64] * 3


@attrs.frozen
class _Change:
    revision: int
    kind: str
    item: Mapping[str, Any]
    is_deletion: bool


class StoreStandIn:
    """Hold objects by kind and name; answer lists and watches."""

    def __init__(self, port: int) -> None:
        self._address = f"127.0.0.1:{port}"
        self._objects: dict[str, dict[str, Mapping[str, Any]]] = {}
        self._log: list[_Change] = []
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._revision = 10
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_down = False
        self.is_silent = False
        self.slow_s = 0.0

    async def start(self) -> None:
        """Listen."""
        await CallerServer(self._handle, MonotonicClock(), wire.PLAIN).start(self._address)

    async def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Write an object."""
        self._revision += 1
        item = wire.stored_item(name, self._revision, spec, status)
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

    async def _note(self, kind: str, item: Mapping[str, Any], deleted: bool) -> None:
        self._log.append(_Change(self._revision, kind, item, deleted))
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
        query = wire.StoreQuery.of(pending.request)
        if query.after is None:
            items = list(self._objects.get(query.collection, {}).values())
            pending.respond(Answer(200, JSON, wire.list_answer(items, self._revision)))
            return
        if query.after < self._oldest:
            pending.respond(Answer(410))
            return
        changes = await self._wait(query, query.after)
        if not self.is_silent:
            body = wire.watch_answer(changes, max(query.after, self._revision))
            pending.respond(Answer(200, JSON, body))

    async def _wait(
        self, query: wire.StoreQuery, after: int
    ) -> list[tuple[Mapping[str, Any], bool]]:
        def found() -> list[tuple[Mapping[str, Any], bool]]:
            return [
                (change.item, change.is_deletion)
                for change in self._log
                if change.kind == query.collection and change.revision > after
            ]

        try:
            async with asyncio.timeout(query.wait_s), self._changed:
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
    outside_port: int
    records: Records
    rng: Random
    slots: int = 8
    running: int = 0
    lose_ratio: float = 0.0
    spoil_ratio: float = 0.0
    is_slow: bool = False
    is_draining: bool = False
    is_down: bool = False
    started_ms: int = attrs.Factory(lambda: int(time.time() * 1000))
    _http: CallerServer | None = None
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _stamps: Any = attrs.Factory(itertools.count)

    async def start(self) -> None:
        """Listen."""
        self._http = CallerServer(self._handle, MonotonicClock(), wire.PLAIN)
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
        spec, status = wire.server_document(
            self.service,
            f"127.0.0.1:{self.outside_port}",
            self.zone,
            slots=self.slots,
            started_ms=self.started_ms,
            is_draining=self.is_draining,
        )
        await store.put(wire.SERVERS, self.name, spec, status)

    def _handle(self, pending: Pending) -> None:
        task = asyncio.create_task(self._serve(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def cancel() -> None:
            task.cancel()

        pending.cancel = cancel

    async def _serve(self, pending: Pending) -> None:
        request = pending.request
        request_id, running = request.request_id, self.running
        if wire.expected_server(request) != self.name.encode():
            pending.respond(Answer(421, wire.answer_headers(request_id)))
            return
        if running >= self.slots:
            headers = wire.answer_headers(
                request_id, running=running, slots=self.slots, is_not_run=True
            )
            pending.respond(Answer(503, headers))
            return
        run = Run(request.request_id, self.name, self.service, time.monotonic())
        self.records.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06) * (8.0 if self.is_slow else 1.0))
        finally:
            self.running -= 1
        self._respond(pending, running)

    def _respond(self, pending: Pending, running: int) -> None:
        request = pending.request
        stamp = f"{self.name}.{next(self._stamps)}"
        headers = wire.answer_headers(
            request.request_id, stamp=stamp, running=running, slots=self.slots
        )
        body = answer_body(request.request_id, request.body)
        chance = self.rng.random()
        if chance < self.lose_ratio:
            pending.connection.transport.abort()
        elif chance < self.lose_ratio + self.spoil_ratio:
            # Cut short: the length says more than what follows.
            pending.connection.transport.write(_raw_answer(headers, body, len(body) + 9))
            pending.connection.transport.abort()
        else:
            pending.respond(Answer(200, headers, body))
            if chance > 1.0 - self.spoil_ratio:
                # A second answer to the same request, often where the next one is due.
                late = _raw_answer(headers, b"extra", 5)
                transport = pending.connection.transport
                delay_s = self.rng.uniform(0.0, 0.2)
                asyncio.get_running_loop().call_later(delay_s, transport.write, late)


def _raw_answer(headers: Iterable[Header], body: bytes, told_length: int) -> bytes:
    lines = [b"HTTP/1.1 200 OK", *(b"%s: %s" % header for header in headers)]
    lines.append(b"Content-Length: %d" % told_length)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
