"""Provide fake backend servers for the connections that httpcore opens."""

import re
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import attrs
from anyio.abc import ByteStream, ObjectReceiveStream, ObjectSendStream

from berylchute.config import RequestKind
from berylchute.exchange import HttpExchanger, ServerTarget
from berylchute.forwardedrequest import AttemptEnd, ForwardedRequest, Placement
from berylchute.identity import Caller
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.serverstreams import StreamBackend
from berylchute.tracing import RequestRecord

# A chunk that closes the connection instead of being sent.
CLOSE = b"\0close"


@attrs.define
class Call:
    """One request as a fake server received it."""

    server: int
    connection: int
    method: str
    target: str
    attempt_id: str
    body: bytes


Script = Callable[[Call], list[bytes]]


def answer(call: Call, body: bytes = b"ok", status: int = 200, extra: str = "") -> bytes:
    """Return a complete HTTP answer that echoes the id of the attempt."""
    return (
        f"HTTP/1.1 {status} X\r\nBerylchute-Request-Id: {call.attempt_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class _Connection(ByteStream):
    def __init__(self, servers: "FakeServers", server: int, number: int) -> None:
        self._servers = servers
        self._server = server
        self._number = number
        self._received = b""
        self._send: ObjectSendStream[bytes]
        self._receive: ObjectReceiveStream[bytes]
        self._send, self._receive = anyio.create_memory_object_stream[bytes](100)

    async def send(self, item: bytes) -> None:
        self._received += item
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        text = head.decode("latin-1")
        length = re.search(r"(?i)content-length: (\d+)", text)
        if length and len(body) < int(length[1]):
            return
        if re.search(r"(?i)transfer-encoding: chunked", text) and not body.endswith(b"0\r\n\r\n"):
            return
        self._received = b""
        method, target, _ = text.split("\r\n")[0].split(" ")
        found = re.search(r"(?i)berylchute-request-id: (\S+)", text)
        assert found is not None
        call = Call(self._server, self._number, method, target, found[1], body)
        for chunk in self._servers.handle(call):
            await self._send.send(chunk)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        chunk = await self._receive.receive()
        if chunk == CLOSE:
            raise anyio.EndOfStream
        return chunk

    async def send_eof(self) -> None:
        raise NotImplementedError

    async def aclose(self) -> None:
        self._servers.closed.add(self._number)


class FakeServers:
    """Servers 1, 2, ... with scripted answers; a server without a script refuses connections."""

    def __init__(self, scripts: Mapping[int, Script]) -> None:
        self.scripts = dict(scripts)
        self.calls: list[Call] = []
        self.cancelled: list[str] = []
        self.closed: set[int] = set()
        self._connections = 0

    async def connect(self, host: str, port: int) -> ByteStream:
        if port not in self.scripts:
            raise ConnectionRefusedError(port)
        self._connections += 1
        return _Connection(self, port, self._connections)

    def handle(self, call: Call) -> list[bytes]:
        if call.method == "DELETE" and call.target.startswith("/requests/"):
            self.cancelled.append(call.target.removeprefix("/requests/"))
            return [answer(call, b"", 204)]
        self.calls.append(call)
        return self.scripts[call.server](call)

    def exchanger(self, clock: Any) -> HttpExchanger:
        """Return an exchanger that connects to these servers."""
        return HttpExchanger(clock, StreamBackend(self.connect))


class FakePlacer:
    """Place requests on servers 1, 2, ... in order, and record how attempts ended."""

    def __init__(self, servers: int) -> None:
        self.servers = servers
        self.ends: list[tuple[str, AttemptEnd, bool]] = []
        self.confirmed: list[str] = []
        self.has_free_slot = True
        self.outbound_link = ""
        self.return_link = ""

    async def place(self, request: ForwardedRequest, excluded_servers: frozenset[str]) -> Placement:
        placement = self._next(excluded_servers)
        if placement is None:
            raise RefusedError(RefusalCode.QUEUE_FULL, "full", not_run=True)
        return placement

    def try_place(
        self, request: ForwardedRequest, excluded_servers: frozenset[str]
    ) -> Placement | None:
        return self._next(excluded_servers) if self.has_free_slot else None

    def finish(self, placement: Placement, end: AttemptEnd, *, is_end_confirmed: bool) -> None:
        self.ends.append((placement.target.name, end, is_end_confirmed))

    def release_confirmed(self, placement: Placement) -> None:
        self.confirmed.append(placement.target.name)

    def _next(self, excluded_servers: frozenset[str]) -> Placement | None:
        for number in range(1, self.servers + 1):
            if str(number) not in excluded_servers:
                target = ServerTarget(str(number), b"127.0.0.1", number, 10)
                return Placement(
                    target, 0.0, outbound_link=self.outbound_link, return_link=self.return_link
                )
        return None


class NoLimits:
    """A traffic limiter that records the bytes of each link and never waits."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, int]] = []

    async def acquire(self, link: str, size_bytes: int, is_long: bool) -> float:
        self.sent.append((link, size_bytes))
        return 0.0


def make_kind(*, idempotent: bool = True, may_hedge: bool = False) -> RequestKind:
    """Return a request kind `k` of the service `s`."""
    return RequestKind(
        name="k",
        service="s",
        methods=("GET", "POST", "PUT", "HEAD"),
        path_prefix="/s/",
        idempotent=idempotent,
        size="short",
        deadline_default_ms=5000,
        deadline_max_ms=9000,
        may_hedge=may_hedge,
    )


def make_forwarded_request(
    kind: RequestKind, deadline_s: float, body: Any = b"", prefix: str = "id"
) -> ForwardedRequest:
    """Return the forwarded request `GET /s/x` or, with a body, `POST /s/x`."""
    headers = [(b"Content-Length", b"%d" % len(body))] if isinstance(body, bytes) else []
    if not isinstance(body, bytes):
        headers = [(b"Transfer-Encoding", b"chunked")]
    method = b"POST" if body else b"GET"
    record = RequestRecord(prefix, 0.0)
    caller = Caller("customer", "plan", 1)
    return ForwardedRequest(
        record, caller, kind, method, b"/s/x", headers, body, deadline_s, prefix
    )
