"""Read a caller's requests from one connection and send the answers in order."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import httptools

from berylchute.answerlimits import parse_content_length
from berylchute.bodymemory import BodyMemory, BodyStage
from berylchute.callermessages import (
    CONNECTION_HEADERS,
    CallerAnswer,
    CallerRequest,
    Header,
    PendingRequest,
    encode_head,
)
from berylchute.headernames import HeaderNames
from berylchute.sharedobjects import CallerLimits
from berylchute.types import Clock

__all__ = ["PIPELINED_REQUESTS_MAX", "CallerConnection", "ConnectionServer"]

logger = logging.getLogger(__name__)

# Pipelined requests in flight on one connection; reading pauses at this number. Browsers and
# client libraries pipeline far fewer.
PIPELINED_REQUESTS_MAX = 64
# Longer bodies are written in parts of this size.
WRITTEN_BYTES_MAX = 65_536
# Time for answers on their way to a slow caller after the sending side was ended.
LINGER_S = 3.0


class ConnectionServer(Protocol):
    """The server of a connection: settings, and where its requests go."""

    clock: Clock
    header_names: HeaderNames
    limits: CallerLimits
    is_closing: bool
    connections: "set[CallerConnection]"
    body_memory: BodyMemory
    handle: Callable[[PendingRequest], None]
    refuse: Callable[[PendingRequest], None]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests run concurrently and are answered in order."""

    def __init__(self, server: ConnectionServer) -> None:
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
        self._is_lingering = False
        self._linger_until_s = 0.0
        self._sending: PendingRequest | None = None
        self._unsent = memoryview(b"")
        self._is_writing_paused = False
        self._chunk_bytes = 0
        self._head_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[Header] = []
        self._body = bytearray()
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
        self._cancel_pending()

    def pause_writing(self) -> None:
        """Write no more for now: the caller reads more slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write what waits for the caller."""
        self._is_writing_paused = False
        self._last_activity_s = self._server.clock.now_s()
        self._flush()

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
        """Refuse a request whose headers, or the length that they declare, are above a limit."""
        self._is_reading_head = False
        size_bytes = len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        length = _find_content_length(self._headers)
        if size_bytes > self._server.limits.header_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif length > self._server.limits.body_bytes_max:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._server.body_memory.may_receive(length):
            self.drop_body(f"no room for {length} bytes")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse a request with a body above the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes_max:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._is_closing:
            self._body += body
            self._server.body_memory.hold(self, BodyStage.RECEIVING_REQUEST, len(body))

    def on_message_complete(self) -> None:
        """Pass the complete request to the server's handler."""
        self._message_started_s = None
        self._chunk_bytes = 0
        if self._is_closing:
            return
        keep_alive = self._parser.should_keep_alive() and not self._server.is_closing
        pending = PendingRequest(self, self._make_request(), keep_alive)
        self._pending.append(pending)
        body_memory = self._server.body_memory
        size_bytes = body_memory.release(self, BodyStage.RECEIVING_REQUEST)
        if size_bytes:
            body_memory.hold(pending, BodyStage.IN_FLIGHT_REQUEST, size_bytes)
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
            body=self._body,
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
            if key not in CONNECTION_HEADERS:
                request.headers.append((name, value))
        return request

    # answers

    def accept_answer(self, pending: PendingRequest) -> None:
        """Send an answer once all earlier requests of the connection are answered."""
        body_memory = self._server.body_memory
        body_memory.release(pending, BodyStage.IN_FLIGHT_REQUEST)
        is_open = not self.is_closed and not self._is_lingering
        if pending.answer is not None and pending.answer.body and is_open:
            body_memory.hold(pending, BodyStage.SENDING_ANSWER, len(pending.answer.body))
        self._flush()

    def _flush(self) -> None:
        """Send the answers whose earlier requests are all answered, as fast as the caller reads."""
        transport = self._transport
        if transport is None or self.is_closed or self._is_lingering:
            return
        self._write_body()
        while self._pending and self._pending[0].answer is not None and self._can_write():
            self._write_answer(self._pending.popleft())
        if self._unsent:
            return
        if self._is_closing and not self._pending:
            self._close()
        elif self._is_paused and len(self._pending) < PIPELINED_REQUESTS_MAX // 2:
            self._is_paused = False
            transport.resume_reading()

    def _can_write(self) -> bool:
        return not self._unsent and not self._is_writing_paused and not self.is_closed

    def _write_answer(self, pending: PendingRequest) -> None:
        assert pending.answer is not None
        answer = pending.answer
        is_last = not pending.keep_alive or (self._server.is_closing and not self._pending)
        self._is_closing = self._is_closing or is_last
        self._last_activity_s = self._server.clock.now_s()
        head = encode_head(answer, is_last)
        body = answer.body if answer.has_body and pending.request.method != b"HEAD" else b""
        self._sending = pending
        if len(body) <= WRITTEN_BYTES_MAX:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            self._unsent = memoryview(body)
        self._write_body()

    def _write_body(self) -> None:
        """Write a long body in parts, each when the former ones are sent: buffers would copy it."""
        while self._unsent and not self._is_writing_paused and not self.is_closed:
            self.transport.write(self._unsent[:WRITTEN_BYTES_MAX])
            self._unsent = self._unsent[WRITTEN_BYTES_MAX:]
        if not self._unsent and self._sending is not None:
            self._server.body_memory.release(self._sending, BodyStage.SENDING_ANSWER)
            self._sending = None
            # An empty view would still hold the whole body.
            self._unsent = memoryview(b"")

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight or partly received."""
        if not self._pending and not self._unsent and self._message_started_s is None:
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
        if self._is_lingering:
            if now_s > self._linger_until_s:
                self._end_lingering()
        elif self._is_writing_paused:
            if idle_s > limits.idle_timeout_s:
                self.abort(f"caller has read nothing for {idle_s:.1f} s")
        elif self._message_started_s is not None:
            is_head_late = self._is_reading_head and (
                now_s - self._message_started_s > limits.header_timeout_s
            )
            if is_head_late or idle_s > limits.idle_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self._pending and idle_s > limits.idle_timeout_s:
            self._close()

    def drop_body(self, reason: str) -> None:
        """Refuse a request whose body can't be held any longer; implements BodyHolder."""
        if self._is_closing:
            return
        logger.info("request body: %s", reason)
        self._is_closing = True
        self._release_body()
        pending = PendingRequest(self, self._make_request(), keep_alive=False)
        self._pending.append(pending)
        self._server.refuse(pending)

    def abort(self, reason: str) -> None:
        """Reset the connection; answers that are not sent yet are lost."""
        logger.warning("connection of a caller is reset: %s", reason)
        self._is_closing = True
        self.transport.abort()

    def _release_body(self) -> None:
        self._body = bytearray()
        self._server.body_memory.release(self, BodyStage.RECEIVING_REQUEST)

    def _refuse(self, status: HTTPStatus) -> None:
        """Queue an error answer to an incomplete request and close the connection after it."""
        if self._is_closing:
            return
        self._is_closing = True
        self._release_body()
        request = CallerRequest(b"GET", b"", "", "", [], b"", self._last_activity_s)
        self._pending.append(
            PendingRequest(self, request, keep_alive=False, answer=CallerAnswer(status))
        )
        self._flush()

    def _cancel_pending(self) -> None:
        """Cancel the unanswered requests and release the bodies that are held for all."""
        body_memory = self._server.body_memory
        for pending in (*self._pending, *filter(None, (self._sending,))):
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
            body_memory.release(pending, BodyStage.IN_FLIGHT_REQUEST)
            body_memory.release(pending, BodyStage.SENDING_ANSWER)
        self._pending.clear()
        self._sending = None
        self._unsent = memoryview(b"")
        self._release_body()

    def _close(self) -> None:
        """End the sending side, and read on until the caller closes or a time has passed.

        To close a socket that has unread bytes, or gets more, resets the connection, and answers on
        their way are lost.
        """
        if self._is_lingering or self.is_closed:
            return
        self._is_closing = self._is_lingering = True
        self._linger_until_s = self._server.clock.now_s() + LINGER_S
        self._cancel_pending()
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused:
            self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, and the event loop has not seen it yet.
            self._transport.abort()

    def _end_lingering(self) -> None:
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()


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


def _find_content_length(headers: list[Header]) -> int:
    value = next((value for name, value in headers if name.lower() == b"content-length"), b"")
    return parse_content_length(value) or 0
