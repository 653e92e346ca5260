"""Simulated platform store and backend servers, with faults that a test can enable."""

import asyncio
import itertools
import time
from collections.abc import Coroutine, Iterable, Mapping
from random import Random
from typing import Any

import attrs

from berylchute.callers import (
    CallerAnswer,
    CallerRequest,
    CallerServer,
    Header,
    PendingRequest,
)
from berylchute.node import MonotonicClock
from soak import wire
from soak.faults import OverlappingFaults
from soak.proxy import reset_connection
from soak.records import Records, Run

__all__ = ["ServerStandIn", "StoreStandIn", "expected_body"]

SLOW_STORE_S = 0.2
ABORT_RATIO = MALFORMED_RATIO = 0.2
ENDLESS_RATIO = 0.1


def expected_body(request_id: str, body: bytes | bytearray) -> bytes:
    """Return the response body that a caller must get for its request id and body."""
    return f"{request_id}:{len(body)}:".encode() + body[:64] * 3


@attrs.frozen
class _Change:
    revision: int
    kind: str
    item: Mapping[str, Any]
    is_deletion: bool
    at_s: float


class StoreStandIn:
    """In-memory object store that serves lists and watches over HTTP.

    Faults: `down` responds with 503, `silent` sends no response, `slow` delays responses.
    """

    def __init__(self, port: int) -> None:
        self._address = f"127.0.0.1:{port}"
        self.objects: dict[str, dict[str, Mapping[str, Any]]] = {}
        self._changes: list[_Change] = []
        self._oldest_revision = 0
        self._change_condition = asyncio.Condition()
        self.revision = 10
        self._era = 1
        self._tasks: set[asyncio.Task[None]] = set()
        self.faults: OverlappingFaults[str] = OverlappingFaults()

    async def start(self) -> None:
        """Start listening on `port` of loopback."""
        await CallerServer(self._handle, MonotonicClock(), wire.UNFILTERED_HEADER_NAMES).start(
            self._address
        )

    async def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Create or replace an object and notify watches."""
        item = wire.make_object(name, self.revision + 1, spec, status)
        await self._record_change(kind, item, is_deletion=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists, and notify watches."""
        item = self.objects.get(kind, {}).get(name)
        if item is not None:
            await self._record_change(kind, item, is_deletion=True)

    async def restore(self, age_s: float) -> None:
        """Go back to the state of `age_s` before; then all writers write again what was lost."""
        copied_s = time.monotonic() - age_s
        lost = [change for change in self._changes if change.at_s > copied_s]
        self._changes = [change for change in self._changes if change.at_s <= copied_s]
        self.revision -= len(lost)
        self._era += 1
        self.objects.clear()
        for change in self._changes:
            self._apply(change)
        written_again = {(change.kind, change.item["metadata"]["name"]): change for change in lost}
        for (kind, name), change in written_again.items():
            if change.is_deletion:
                await self.delete(kind, name)
            else:
                await self.put(kind, name, change.item["spec"], change.item["status"])

    def compact_history(self) -> None:
        """Refuse watches from revisions before the current one with status 410."""
        self._oldest_revision = self.revision

    async def _record_change(self, kind: str, item: Mapping[str, Any], is_deletion: bool) -> None:
        self.revision += 1
        change = _Change(self.revision, kind, item, is_deletion, time.monotonic())
        self._changes.append(change)
        self._apply(change)
        async with self._change_condition:
            self._change_condition.notify_all()

    def _apply(self, change: _Change) -> None:
        objects = self.objects.setdefault(change.kind, {})
        objects[change.item["metadata"]["name"]] = change.item
        if change.is_deletion:
            del objects[change.item["metadata"]["name"]]

    def _answer(self, status: int, body: bytes = b"") -> CallerAnswer:
        return CallerAnswer(status, wire.store_headers(self._era), body)

    def _handle(self, pending: PendingRequest) -> None:
        task = asyncio.create_task(self._respond(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, pending: PendingRequest) -> None:
        if "silent" in self.faults:
            return
        if "slow" in self.faults:
            await asyncio.sleep(SLOW_STORE_S)
        if "down" in self.faults:
            pending.respond(self._answer(503))
            return
        write = wire.StoreWrite.from_request(pending.request)
        if write is not None or wire.is_object_path(pending.request):
            pending.respond(await self._answer_object(pending.request, write))
            return
        query = wire.StoreQuery.from_request(pending.request)
        if query.watch_revision is None:
            items = list(self.objects.get(query.collection, {}).values())
            pending.respond(self._answer(200, wire.encode_list(items, self.revision)))
            return
        if not self._oldest_revision <= query.watch_revision <= self.revision:
            pending.respond(self._answer(410))
            return
        changes = await self._wait_for_changes(query, query.watch_revision)
        if "silent" not in self.faults:
            body = wire.encode_watch(changes, max(query.watch_revision, self.revision))
            pending.respond(self._answer(200, body))

    async def _answer_object(
        self, request: CallerRequest, write: wire.StoreWrite | None
    ) -> CallerAnswer:
        """Answer a call for a single object: a read, or a write of one revision."""
        kind, name = (write.kind, write.name) if write else wire.object_path(request)
        item = self.objects.get(kind, {}).get(name)
        if write is not None:
            revision = item["metadata"]["revision"] if item else 0
            if write.revision != revision:
                return self._answer(409, wire.encode_object(item or {}))
            await self.put(kind, name, write.spec)
            item = self.objects[kind][name]
        return self._answer(200, wire.encode_object(item)) if item else self._answer(404)

    async def _wait_for_changes(
        self, query: wire.StoreQuery, watch_revision: int
    ) -> list[tuple[Mapping[str, Any], bool]]:
        def select_changes() -> list[tuple[Mapping[str, Any], bool]]:
            return [
                (change.item, change.is_deletion)
                for change in self._changes
                if change.kind == query.collection and change.revision > watch_revision
            ]

        try:
            async with asyncio.timeout(query.wait_s), self._change_condition:
                await self._change_condition.wait_for(lambda: bool(select_changes()))
        except TimeoutError:
            return []
        return select_changes()


@attrs.define(eq=False)
class ServerStandIn:
    """One backend server; it responds after a random delay with a body made from the request.

    Faults: `slow` takes longer. With `spoil`, ABORT_RATIO of the requests get an aborted
    connection, MALFORMED_RATIO a truncated response, as many a second response after a valid one,
    and ENDLESS_RATIO bytes that never end, in a head or in a body. `proxy_port` is the port of the
    proxy in front of the server. `limit_per_s` is the limit of requests that it states, if any.
    """

    name: str
    service: str
    zone: str
    port: int
    proxy_port: int
    records: Records
    rng: Random
    slots: int = 8
    in_flight: int = 0
    limit_per_s: float | None = None
    faults: OverlappingFaults[str] = attrs.Factory(OverlappingFaults)
    is_draining: bool = False
    is_down: bool = False
    started_ms: int = attrs.Factory(lambda: int(time.time() * 1000))
    _http: CallerServer | None = None
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _stamps: Any = attrs.Factory(itertools.count)

    async def start(self) -> None:
        """Start listening on `port` of loopback."""
        self._http = CallerServer(self._handle, MonotonicClock(), wire.UNFILTERED_HEADER_NAMES)
        await self._http.start(f"127.0.0.1:{self.port}")

    def crash(self) -> None:
        """Stop listening, abort all connections and cancel the requests in flight."""
        assert self._http is not None
        self._http.stop_listening()
        for connection in list(self._http.connections):
            reset_connection(connection.transport)
        for task in list(self._tasks):
            task.cancel()

    async def register(self, store: StoreStandIn) -> None:
        """Publish the server's address, slots and state in the store."""
        spec, status = wire.server_document(
            self.service,
            f"127.0.0.1:{self.proxy_port}",
            self.zone,
            slots=self.slots,
            started_ms=self.started_ms,
            is_draining=self.is_draining,
        )
        await store.put(wire.SERVERS_COLLECTION, self.name, spec, status)

    def _handle(self, pending: PendingRequest) -> None:
        task = self._start_task(self._serve(pending))

        def cancel() -> None:
            task.cancel()

        pending.cancel = cancel

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _write_without_end(self, pending: PendingRequest, headers: Iterable[Header]) -> None:
        """Write header lines or a body without a length until the client closes."""
        transport = pending.connection.transport
        head = _encode_head(headers)
        is_head = self.rng.random() < 0.5
        transport.write(head if is_head else head + b"\r\n")
        part = b"X-More: x\r\n" * 3000 if is_head else b"x" * 30_000
        while not transport.is_closing():
            if transport.get_write_buffer_size() < len(part):
                transport.write(part)
            await asyncio.sleep(0.002)

    async def _serve(self, pending: PendingRequest) -> None:
        request = pending.request
        request_id, in_flight = request.request_id, self.in_flight
        if wire.expected_server(request) != self.name.encode():
            pending.respond(CallerAnswer(421, wire.response_headers(request_id)))
            return
        if in_flight >= self.slots:
            headers = wire.response_headers(
                request_id, in_flight=in_flight, slots=self.slots, is_not_run=True
            )
            pending.respond(CallerAnswer(503, headers))
            return
        run = Run(
            request.request_id,
            self.name,
            self.service,
            time.monotonic(),
            wire.organisation(request),
            wire.has_api_key(request),
        )
        self.records.runs.append(run)
        self.in_flight += 1
        try:
            await asyncio.sleep(
                self.rng.uniform(0.005, 0.06) * (8.0 if "slow" in self.faults else 1.0)
            )
        finally:
            self.in_flight -= 1
        self._respond(pending, in_flight)

    def _respond(self, pending: PendingRequest, in_flight: int) -> None:
        request = pending.request
        stamp = f"{self.name}.{next(self._stamps)}"
        headers = wire.response_headers(
            request.request_id,
            stamp=stamp,
            in_flight=in_flight,
            slots=self.slots,
            limit_per_s=self.limit_per_s,
        )
        body = expected_body(request.request_id, request.body)
        draw = self.rng.random()
        if "spoil" not in self.faults:
            pending.respond(CallerAnswer(200, headers, body))
        elif draw < ABORT_RATIO:
            reset_connection(pending.connection.transport)
        elif draw < ABORT_RATIO + MALFORMED_RATIO:
            # A truncated response: Content-Length is larger than the body.
            pending.connection.transport.write(_encode_response(headers, body, len(body) + 9))
            reset_connection(pending.connection.transport)
        elif draw < ABORT_RATIO + MALFORMED_RATIO + ENDLESS_RATIO:
            self._start_task(self._write_without_end(pending, headers))
        else:
            pending.respond(CallerAnswer(200, headers, body))
            if draw > 1.0 - MALFORMED_RATIO:
                # A second response to the same request, often while the next request on the
                # connection waits for its own.
                extra_response = _encode_response(headers, b"extra", 5)
                transport = pending.connection.transport
                delay_s = self.rng.uniform(0.0, 0.2)
                asyncio.get_running_loop().call_later(delay_s, transport.write, extra_response)


def _encode_head(headers: Iterable[Header]) -> bytes:
    return b"".join([b"HTTP/1.1 200 OK\r\n", *(b"%s: %s\r\n" % header for header in headers)])


def _encode_response(headers: Iterable[Header], body: bytes, declared_bytes: int) -> bytes:
    return _encode_head(headers) + b"Content-Length: %d\r\n\r\n" % declared_bytes + body
