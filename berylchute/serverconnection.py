"""Carry one request at a time to a backend server over one HTTP/1.1 connection."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import cast

import httptools

from berylchute.answerlimits import AnswerMeter, is_final_status, is_interim_status
from berylchute.bodymemory import BodyMemory, BodyStage
from berylchute.callermessages import Header
from berylchute.exceptions import (
    AnswerDropped,
    AnswerInvalid,
    AnswerLost,
    AnswerTooLong,
    NotSent,
)
from berylchute.types import Clock
from berylchute.upstreammessages import ServerAnswer, UpstreamRequest

__all__ = ["IDLE_TIMEOUT_DEFAULT_S", "ServerConnection"]

# TCP_USER_TIMEOUT. TCP has retransmitted at least three times by then, at round trips of up to
# 0.13 s, so the peer counts as lost.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# For servers that send no Keep-Alive timeout; below 5 s, a common server default.
IDLE_TIMEOUT_DEFAULT_S = 4.0
# Subtracted from the server's Keep-Alive timeout, so that no request is sent while it closes.
IDLE_MARGIN_S = 1.0
# Answers are parsed in parts of this size, each followed by a check of the limits. Bounds what the
# parser allocates for a head that exceeds them.
PARSED_BYTES_MAX = 16_384
# Longer bodies are written in parts of this size.
WRITTEN_BYTES_MAX = 65_536
# Value of SO_LINGER: on, for 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerConnection(asyncio.Protocol):
    """One connection; it carries one exchange at a time."""

    def __init__(
        self,
        clock: Clock,
        on_close: Callable[["ServerConnection"], None],
        body_memory: BodyMemory,
    ) -> None:
        self._clock = clock
        self._body_memory = body_memory
        self._meter = AnswerMeter(body_memory.answer_limits)
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._request: UpstreamRequest | None = None
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._unsent = memoryview(b"")
        self._is_writing_paused = False
        self._parser = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self.is_usable = True
        self.idle_until_s = 0.0
        self._idle_timeout_s = IDLE_TIMEOUT_DEFAULT_S
        self._opened_s = clock.now_s()
        self._reset()

    def _reset(self) -> None:
        self._headers: list[Header] = []
        self._meter.headers = 0
        self._body = bytearray()
        self._body_memory.release(self, BodyStage.RECEIVING_ANSWER)
        self._ends_with_connection = self._has_length = False

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        """Send a request and return its answer; raise NotSent, AnswerLost or AnswerInvalid.

        Cancelling the call closes the connection, so that the server stops processing the request.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.is_usable:
            raise NotSent("connection was closed before the request was sent")
        self._request = request
        self._meter = AnswerMeter(self._body_memory.answer_limits)
        self._answer = asyncio.get_running_loop().create_future()
        if len(request.body) <= WRITTEN_BYTES_MAX:
            transport.write(request.head + request.body)
        else:
            transport.write(request.head)
        if transport.is_closing():
            # The first write failed immediately, so no byte of the request was sent.
            self._answer = self._request = None
            raise NotSent("connection was reset before the request was sent")
        if len(request.body) > WRITTEN_BYTES_MAX:
            self._unsent = memoryview(request.body)
            self._write_body()
        try:
            answer = await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            is_sent = not self._unsent
            self._unsent = memoryview(b"")
            self._request = None
            self._answer = None
            self._body = bytearray()
            self._body_memory.release(self, BodyStage.RECEIVING_ANSWER)
        if not is_sent or transport.get_write_buffer_size() > 0:
            # The answer arrived before the request body was sent; the server could take the rest of
            # the body for the next request.
            self.abort()
        elif not self.is_usable:
            transport.close()
        return answer

    def _write_body(self) -> None:
        """Write the body in parts, each when the former ones are sent: buffers would copy it."""
        assert self._transport is not None
        while self._unsent and not self._is_writing_paused and not self._transport.is_closing():
            self._transport.write(self._unsent[:WRITTEN_BYTES_MAX])
            self._unsent = self._unsent[WRITTEN_BYTES_MAX:]

    def has_no_input(self) -> bool:
        """Return whether the socket of the idle connection has nothing to read.

        After an unread reset or end of stream, the next request is lost with an unknown outcome.
        """
        return not self._poll.poll(0)

    def abort(self) -> None:
        """Close the connection; bytes of a request in flight that wait here are not delivered."""
        self.is_usable = False
        if self._transport is None:
            return
        if self._request is not None and not self._transport.is_closing():
            raw = self._transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeout for unacknowledged bytes and register the socket for polling."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        self._poll.register(raw.fileno(), select.POLLIN)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    def pause_writing(self) -> None:
        """Write no more of the body for now."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write more of the body."""
        self._is_writing_paused = False
        self._write_body()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete an answer that ends with its connection, or fail the exchange."""
        self.is_usable = False
        if self._answer is not None and not self._answer.done():
            if self._ends_with_connection and exc is None:
                self._complete()
            else:
                self._fail(AnswerLost(f"connection closed before the answer was complete: {exc!r}"))
        self._on_close(self)

    def eof_received(self) -> bool:
        """Close the connection; the server has closed its side."""
        self.is_usable = False
        return False

    def data_received(self, data: bytes) -> None:
        """Parse answer bytes; close the connection if no request is in flight."""
        if self._answer is None or self._answer.done():
            self.abort()
            return
        if self._request is not None and self._request.on_data is not None:
            self._request.on_data()
        for start in range(0, len(data), PARSED_BYTES_MAX):
            if self._is_finished():
                # Bytes after the answer, or after it was found to be invalid.
                self.is_usable = False
                return
            self._parse(data[start : start + PARSED_BYTES_MAX])

    def _parse(self, data: bytes) -> None:
        self._meter.receive(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(AnswerInvalid(f"answer cannot be parsed: {error}"))
            return
        excess = self._meter.find_excess()
        if excess and not self._is_finished():
            self._fail(AnswerTooLong(excess))

    def drop_body(self, reason: str) -> None:
        """Fail the exchange and close the connection; implements BodyHolder."""
        # A body with a length ends, so that the server is not at fault.
        error = AnswerDropped if self._has_length else AnswerInvalid
        self._fail(error(f"answer: {reason}"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the parser state; an extra answer makes the connection unusable."""
        if self._answer is not None and self._answer.done():
            self.is_usable = False
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or a trailer; those above the limit are only counted."""
        self._meter.headers += 1
        if self._meter.headers <= self._body_memory.answer_limits.headers_max:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine from the headers where the answer ends."""
        if self._is_finished():
            return
        status = self._parser.get_status_code()
        if not is_final_status(status) and not is_interim_status(status):
            self._fail(AnswerInvalid(f"status {status:03d} is no answer"))
            return
        names = {name.lower(): value for name, value in self._headers}
        has_body = status not in (204, 304) and not (self._request and self._request.is_head)
        length = names.get(b"content-length", b"") if has_body else b""
        excess = self._meter.find_excess_length(length)
        if excess:
            self._fail(AnswerTooLong(excess))
            return
        self._has_length = b"content-length" in names
        is_delimited = self._has_length or b"transfer-encoding" in names
        self._ends_with_connection = not is_delimited and status not in (204, 304) and status >= 200
        keep_alive = names.get(b"keep-alive", b"")
        self._idle_timeout_s = _parse_idle_timeout_s(keep_alive)
        if not self._parser.should_keep_alive() or self._ends_with_connection:
            self.is_usable = False
        if self._request is not None and self._request.is_head and status >= 200:
            self._ends_with_connection = False
            self.is_usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._is_finished():
            return
        self._meter.body_bytes += len(body)
        self._body += body
        self._body_memory.hold(self, BodyStage.RECEIVING_ANSWER, len(body))

    def on_message_complete(self) -> None:
        """Complete the exchange; interim answers (1xx) are skipped."""
        if not self._is_finished() and self._parser.get_status_code() >= 200:
            self._complete()

    def _is_finished(self) -> bool:
        return self._answer is None or self._answer.done()

    def _complete(self) -> None:
        request, future = self._request, self._answer
        assert request is not None and future is not None
        excess = self._meter.find_excess()
        if excess:
            # Headers above the limit are missing from the answer.
            self._fail(AnswerTooLong(excess))
            return
        answer = ServerAnswer(
            self._parser.get_status_code(),
            tuple(self._headers),
            self._body,
            self._opened_s,
        )
        if request.request_id:
            answer_id = answer.find_header(request.id_header)
            if answer_id is None:
                self._fail(AnswerInvalid("answer has no request id header"))
                return
            if answer_id != request.request_id:
                # A duplicate answer to an earlier request; the answer to this request follows.
                self.is_usable = False
                if self._ends_with_connection:
                    self._fail(AnswerLost("connection closed after the answer to another request"))
                return
        self.idle_until_s = self._clock.now_s() + self._idle_timeout_s
        future.set_result(answer)

    def _fail(self, error: Exception) -> None:
        self.is_usable = False
        self._body = bytearray()
        self._body_memory.release(self, BodyStage.RECEIVING_ANSWER)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
        self.abort()


def _parse_idle_timeout_s(keep_alive: bytes) -> float:
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return IDLE_TIMEOUT_DEFAULT_S
