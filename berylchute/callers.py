"""Serve callers over HTTP/1.1: parse requests, keep answers in order, notice who left."""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import attrs
import httptools

from berylchute.dialect import Dialect
from berylchute.services import CallerLimits
from berylchute.types import Clock

__all__ = ["Answer", "CallerConnection", "CallerRequest", "CallerServer", "Header", "Pending"]

Header = tuple[bytes, bytes]

# Pipelined requests of one connection that are worked on at once; reading pauses above it. Far more
# than browsers and libraries send ahead.
PIPELINE_MAX = 64
# Bytes that a caller has not read; a caller this far behind is disconnected. A small machine's
# memory holds ten of them.
UNREAD_BYTES_MAX = 16_000_000
# Period of the check for idle and slow callers; their limits are whole seconds.
SWEEP_S = 0.25

# Headers that concern one connection only, or that are set anew for each message.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    )
)
_BODILESS_STATUSES = (204, 304)


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller, read whole."""

    method: bytes
    target: bytes
    path: str
    host: str
    headers: list[Header]
    body: bytes
    received_s: float
    request_id: str = ""
    affinity_key: str = ""
    time_left_ms: float | None = None


@attrs.frozen
class Answer:
    """An answer to a caller; connection headers and the length are added when it is sent."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@attrs.define(eq=False)
class Pending:
    """A request whose answer is due on `connection`; `cancel` is called if the caller leaves."""

    connection: "CallerConnection"
    request: CallerRequest
    keep_alive: bool
    answer: Answer | None = None
    cancel: Callable[[], None] | None = None

    def respond(self, answer: Answer) -> None:
        """Send the answer as soon as all earlier requests of the connection have theirs."""
        if self.answer is None:
            self.answer = answer
            self.connection.flush()

    @property
    def is_abandoned(self) -> bool:
        """Tell whether the caller has left."""
        return self.connection.is_closed


class CallerServer:
    """Listen on one address and hand each request to `handle`."""

    def __init__(
        self, handle: Callable[[Pending], None], clock: Clock, dialect: Dialect | None = None
    ) -> None:
        self.handle = handle
        self.clock = clock
        self.dialect = dialect or Dialect()
        self.limits = CallerLimits()
        self.is_closing = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; raise OSError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=1024
        )

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections on which no request waits."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def sweep_forever(self) -> None:
        """Close connections that are idle or too slow, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = self.clock.now_s()
            for connection in list(self.connections):
                connection.check_time(now_s)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests run at once and are answered in order."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[Pending] = deque()
        self._last_activity_s = server.clock.now_s()
        self._message_started_s: float | None = None
        self._is_reading_head = False
        self._is_paused = False
        self._is_ending = False
        self.is_closed = False
        self._chunk_bytes = 0
        self._head_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work of a caller that left."""
        self.is_closed = True
        self._server.connections.discard(self)
        for pending in self._pending:
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
        self._pending.clear()

    def eof_received(self) -> bool:
        """Treat the end of a caller's stream as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a malformed request gets 400 and ends the connection."""
        self._last_activity_s = self._server.clock.now_s()
        if self._is_ending:
            return
        if self._message_started_s is None:
            self._message_started_s = self._last_activity_s
            self._is_reading_head = True
        # The first bytes of a message that follows another in `data` are not counted.
        self._chunk_bytes = len(data)
        if self._is_reading_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            # Callbacks that refuse also raise, after they have answered.
            self._refuse(HTTPStatus.BAD_REQUEST)
        else:
            if self._is_reading_head and self._head_bytes > self._server.limits.header_bytes_max:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self._head_bytes = self._chunk_bytes
        self._message_started_s = self._last_activity_s
        self._is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        if name.lower() == b"expect" and self._transport is not None and not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self._is_reading_head = False
        size = len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._server.limits.header_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Collect the body, up to the limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes_max:
            self._body.clear()
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._is_ending:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over."""
        self._message_started_s = None
        self._chunk_bytes = 0
        if self._is_ending:
            return
        keep_alive = self._parser.should_keep_alive()
        pending = Pending(self, self._make_request(), keep_alive)
        self._pending.append(pending)
        if not keep_alive:
            self._is_ending = True
        if len(self._pending) >= PIPELINE_MAX and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._server.handle(pending)

    def _make_request(self) -> CallerRequest:
        dialect = self._server.dialect
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._url,
            path=self._url.partition(b"?")[0].decode("latin-1"),
            host="",
            headers=[],
            body=b"".join(self._body),
            received_s=self._last_activity_s,
        )
        for name, value in self._headers:
            key = name.lower()
            if key == b"host":
                request.host = value.decode("latin-1").partition(":")[0].lower()
            elif key == dialect.request_id:
                request.request_id = value.decode("latin-1")
            elif key == dialect.deadline_ms:
                request.time_left_ms = _number(value)
                continue  # the server is told what is left of it
            elif key == dialect.expected_server:
                continue
            elif key == b"cookie":
                request.affinity_key = _cookie(value, dialect.affinity_cookie)
            if key not in _CONNECTION_HEADERS:
                request.headers.append((name, value))
        return request

    # answers

    def flush(self) -> None:
        """Send the answers that are next in order."""
        transport = self._transport
        if transport is None or self.is_closed:
            return
        while self._pending and self._pending[0].answer is not None:
            pending = self._pending.popleft()
            assert pending.answer is not None
            close = not pending.keep_alive or self._server.is_closing
            transport.write(_encode(pending.answer, pending.request.method, close))
            self._last_activity_s = self._server.clock.now_s()
            if close:
                self._end()
                return
        if self._is_ending and not self._pending:
            self._end()
        elif transport.get_write_buffer_size() > UNREAD_BYTES_MAX:
            transport.abort()
        elif self._is_paused and len(self._pending) < PIPELINE_MAX // 2:
            self._is_paused = False
            transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection if no request waits or is being read."""
        if not self._pending and self._message_started_s is None and not self.is_closed:
            self._end()

    @property
    def transport(self) -> asyncio.Transport:
        """Return the connection's transport."""
        assert self._transport is not None
        return self._transport

    def check_time(self, now_s: float) -> None:
        """Close the connection if its caller is idle or too slow."""
        limits = self._server.limits
        idle_s = now_s - self._last_activity_s
        if self._message_started_s is not None:
            is_late = self._is_reading_head and (
                now_s - self._message_started_s > limits.header_timeout_s
            )
            if is_late or idle_s > limits.idle_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self._pending and idle_s > limits.idle_timeout_s:
            self._end()

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that was not read whole, after the earlier ones, and end."""
        if self._is_ending:
            return
        self._is_ending = True
        request = CallerRequest(b"GET", b"", "", "", [], b"", self._last_activity_s)
        self._pending.append(Pending(self, request, keep_alive=False, answer=Answer(status)))
        self.flush()

    def _end(self) -> None:
        self._is_ending = True
        for pending in self._pending:
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()


def _number(value: bytes) -> float | None:
    try:
        return max(0.0, float(value))
    except ValueError:
        return None


def _cookie(value: bytes, name: bytes) -> str:
    for part in value.split(b";"):
        key, _, content = part.strip().partition(b"=")
        if key.lower() == name:
            return content.decode("latin-1")
    return ""


def _encode(answer: Answer, method: bytes, close: bool) -> bytes:
    try:
        phrase = HTTPStatus(answer.status).phrase
    except ValueError:
        phrase = ""
    lines = [b"HTTP/1.1 %d %s" % (answer.status, phrase.encode())]
    lines += [
        b"%s: %s" % header
        for header in answer.headers
        if header[0].lower() not in _CONNECTION_HEADERS
    ]
    has_body = answer.status not in _BODILESS_STATUSES
    if has_body:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + answer.body if has_body and method != b"HEAD" else head
