"""Serve callers over HTTP/1.1: parse requests, send answers in order, detect disconnects."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import attrs
import httptools

from berylchute.headernames import HeaderNames
from berylchute.listening import listen
from berylchute.sharedobjects import CallerLimits
from berylchute.types import Clock

__all__ = [
    "CallerAnswer",
    "CallerConnection",
    "CallerRequest",
    "CallerServer",
    "Header",
    "PendingRequest",
]

logger = logging.getLogger(__name__)

Header = tuple[bytes, bytes]

# Pipelined requests in flight on one connection; reading pauses at this number. Browsers and
# client libraries pipeline far fewer.
PIPELINED_REQUESTS_MAX = 64
# A connection with more unsent bytes is aborted. The memory of a small machine holds ten such
# buffers.
WRITE_BUFFER_BYTES_MAX = 16_000_000
# Short enough for caller timeouts, which are whole seconds.
TIMEOUT_CHECK_INTERVAL_S = 0.25

# Hop-by-hop headers, and headers that are set for each message; neither are forwarded.
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
    """One complete request of a caller; `time_left_ms` is the remaining time of its deadline."""

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
class CallerAnswer:
    """An answer to a caller; connection headers and Content-Length are added when it is sent."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@attrs.define(eq=False)
class PendingRequest:
    """An unanswered request of `connection`; `cancel` is called if the caller disconnects."""

    connection: "CallerConnection"
    request: CallerRequest
    keep_alive: bool
    answer: CallerAnswer | None = None
    cancel: Callable[[], None] | None = None

    def respond(self, answer: CallerAnswer) -> None:
        """Send the answer once all earlier requests of the connection are answered.

        Further answers to the same request are ignored.
        """
        if self.answer is None:
            self.answer = answer
            self.connection.flush()

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.connection.is_closed


class CallerServer:
    """Listen on one address and pass each complete request to `handle`."""

    def __init__(
        self,
        handle: Callable[[PendingRequest], None],
        clock: Clock,
        header_names: HeaderNames | None = None,
    ) -> None:
        self.handle = handle
        self.clock = clock
        self.header_names = header_names or HeaderNames()
        self.limits = CallerLimits()
        self.is_closing = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; raise ListenError if it cannot be used."""
        await listen(address, lambda: self._bind(address))

    async def _bind(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=1024
        )

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close_timed_out_forever(self) -> None:
        """Close connections that exceed a caller timeout, until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now_s = self.clock.now_s()
            for connection in list(self.connections):
                connection.close_if_timed_out(now_s)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests run concurrently and are answered in order."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[PendingRequest] = deque()
        self._last_activity_s = server.clock.now_s()
        self._message_started_s: float | None = None
        self._is_reading_head = False
        self._is_paused = False
        self._is_closing = False
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
        """Add the connection to the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the unanswered requests of the connection."""
        self.is_closed = True
        self._server.connections.discard(self)
        for pending in self._pending:
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
        self._pending.clear()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed connection counts as a disconnect."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a malformed request gets status 400 and closes the connection."""
        self._last_activity_s = self._server.clock.now_s()
        if self._is_closing:
            return
        if self._message_started_s is None:
            self._message_started_s = self._last_activity_s
            self._is_reading_head = True
        # Bytes of a pipelined message that arrive with the end of the previous one are not counted.
        self._chunk_bytes = len(data)
        if self._is_reading_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            # A callback may have refused the request already; _refuse does nothing then.
            self._refuse(HTTPStatus.BAD_REQUEST)
        else:
            if self._is_reading_head and self._head_bytes > self._server.limits.header_bytes_max:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the parser state for the next request."""
        self._reset_message()
        self._head_bytes = self._chunk_bytes
        self._message_started_s = self._last_activity_s
        self._is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; `Expect` is answered with status 100."""
        self._headers.append((name, value))
        if name.lower() == b"expect" and self._transport is not None and not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Refuse a request with headers above the size limit."""
        self._is_reading_head = False
        size_bytes = len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size_bytes > self._server.limits.header_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse a request with a body above the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes_max:
            self._body.clear()
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._is_closing:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the server's handler."""
        self._message_started_s = None
        self._chunk_bytes = 0
        if self._is_closing:
            return
        keep_alive = self._parser.should_keep_alive() and not self._server.is_closing
        pending = PendingRequest(self, self._make_request(), keep_alive)
        self._pending.append(pending)
        if not keep_alive:
            self._is_closing = True
        if len(self._pending) >= PIPELINED_REQUESTS_MAX and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        try:
            self._server.handle(pending)
        except Exception:
            # Raised into the parser, it would count as a malformed request.
            logger.exception("request %s failed, refusing it", pending.request.request_id)
            pending.respond(CallerAnswer(HTTPStatus.SERVICE_UNAVAILABLE))

    def _make_request(self) -> CallerRequest:
        header_names = self._server.header_names
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
            elif key == header_names.request_id:
                request.request_id = value.decode("latin-1")
            elif key == header_names.deadline_ms:
                request.time_left_ms = _parse_ms(value)
                continue  # sent to the backend server with the time that remains
            elif key == header_names.expected_server:
                continue
            elif key == b"cookie":
                request.affinity_key = _find_cookie(value, header_names.affinity_cookie)
            if key not in _CONNECTION_HEADERS:
                request.headers.append((name, value))
        return request

    # answers

    def flush(self) -> None:
        """Send the answers whose earlier requests are all answered."""
        transport = self._transport
        if transport is None or self.is_closed:
            return
        while self._pending and self._pending[0].answer is not None:
            pending = self._pending.popleft()
            assert pending.answer is not None
            is_last = not pending.keep_alive or (self._server.is_closing and not self._pending)
            transport.write(_encode_answer(pending.answer, pending.request.method, is_last))
            self._last_activity_s = self._server.clock.now_s()
            if is_last:
                self._close()
                return
        if self._is_closing and not self._pending:
            self._close()
        elif transport.get_write_buffer_size() > WRITE_BUFFER_BYTES_MAX:
            transport.abort()
        elif self._is_paused and len(self._pending) < PIPELINED_REQUESTS_MAX // 2:
            self._is_paused = False
            transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight or partly received."""
        if not self._pending and self._message_started_s is None and not self.is_closed:
            self._close()

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport; only valid after `connection_made`."""
        assert self._transport is not None
        return self._transport

    def close_if_timed_out(self, now_s: float) -> None:
        """Close the connection if it exceeds a timeout; a partial request gets status 408."""
        limits = self._server.limits
        idle_s = now_s - self._last_activity_s
        if self._message_started_s is not None:
            is_head_late = self._is_reading_head and (
                now_s - self._message_started_s > limits.header_timeout_s
            )
            if is_head_late or idle_s > limits.idle_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self._pending and idle_s > limits.idle_timeout_s:
            self._close()

    def _refuse(self, status: HTTPStatus) -> None:
        """Queue an error answer to an incomplete request and close the connection after it."""
        if self._is_closing:
            return
        self._is_closing = True
        request = CallerRequest(b"GET", b"", "", "", [], b"", self._last_activity_s)
        self._pending.append(
            PendingRequest(self, request, keep_alive=False, answer=CallerAnswer(status))
        )
        self.flush()

    def _close(self) -> None:
        self._is_closing = True
        for pending in self._pending:
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()


def _parse_ms(value: bytes) -> float | None:
    try:
        return max(0.0, float(value))
    except ValueError:
        return None


def _find_cookie(value: bytes, name: bytes) -> str:
    for part in value.split(b";"):
        key, _, content = part.strip().partition(b"=")
        if key.lower() == name:
            return content.decode("latin-1")
    return ""


def _encode_answer(answer: CallerAnswer, method: bytes, is_last: bool) -> bytes:
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
    if is_last:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + answer.body if has_body and method != b"HEAD" else head
