"""Read a caller's requests from one connection and send the answers in order."""

import asyncio
import logging
from collections import deque
from http import HTTPStatus

from berylchute.answerwriter import AnswerWriter
from berylchute.bodymemory import BodyStage
from berylchute.callerlimits import Cause, ClosingRank, ReadPace
from berylchute.callermessages import CallerAnswer, CallerRequest, PendingRequest
from berylchute.connectionserver import ConnectionServer
from berylchute.requestreader import RequestReader
from berylchute.sendbuffers import count_unsent
from berylchute.sendprogress import STALLED_S, Linger, LingerStep

__all__ = ["PIPELINED_REQUESTS_MAX", "CallerConnection"]

logger = logging.getLogger(__name__)

# Pipelined requests in flight on one connection; reading pauses at this number. Browsers and
# client libraries pipeline far fewer.
PIPELINED_REQUESTS_MAX = 64


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller; requests run concurrently and are answered in order."""

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(server, self._accept_head, self._accept_request)
        self._pending: deque[PendingRequest] = deque()
        self._last_activity_s = server.clock.now_s()
        self._pace = ReadPace()
        self._unparsed = b""
        self._is_parse_scheduled = False
        self._held_bytes = 0
        self._is_paused = False
        self._is_closing = False
        self.is_closed = False
        self._linger: Linger | None = None
        self._is_reported = False
        self._writer = AnswerWriter(server.body_memory, self.abort)

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._server.connection_limit.add(self, is_reserved=self._server.is_reserved)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the unanswered requests of the connection."""
        self.is_closed = True
        self._server.connections.discard(self)
        self._server.connection_limit.remove(self)
        self._cancel_pending()
        self._writer.release_buffered()

    def pause_writing(self) -> None:
        """Write no more for now: the caller reads more slowly."""
        self._writer.paused_s = self._server.clock.now_s()

    def resume_writing(self) -> None:
        """Write what waits for the caller."""
        self._writer.paused_s = None
        self._last_activity_s = self._server.clock.now_s()
        self._flush()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed connection counts as a disconnect."""
        return False

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer of all connections of the server; it is used at once."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer, unless the connection is closed."""
        if self._is_closing:
            self._last_activity_s = self._server.clock.now_s()
        else:
            self.data_received(bytes(memoryview(self._server.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes; a malformed request gets status 400 and closes the connection."""
        self._last_activity_s = self._server.clock.now_s()
        if self._is_closing or not data:
            return
        pace = self._pace
        if len(data) > pace.part_bytes or self._unparsed:
            self._unparsed += data
            self._parse_unparsed()
            return
        self._parse(data)
        pace.record(len(data), self._reader.events)
        if self._held_bytes or self._reader.started_s is not None:
            self._count_held()

    # requests

    def _parse(self, data: bytes) -> None:
        reader = self._reader
        reader.feed(data, self._last_activity_s)
        if self._is_closing:
            reader.discard()
        elif reader.refusal is not None:
            self._refuse(reader.refusal.status, reader.refusal.cause)

    def _parse_unparsed(self) -> None:
        """Parse what was read as far as one turn of the event loop allows, the rest later."""
        data, start = self._unparsed, 0
        limits = self._server.request_limits
        pace = self._pace
        pace.begin_turn(limits.turn_bytes_max, limits.turn_events_max)
        while start < len(data) and not self._is_closing and not self._is_pipeline_full():
            part = data[start : start + pace.next_part_bytes(self._reader.body_bytes_left)]
            start += len(part)
            self._parse(part)
            if not pace.record(len(part), self._reader.events):
                break
        self._unparsed = b"" if self._is_closing else data[start:]
        self._count_held()
        if self._unparsed:
            self._pause_reading()
            self._schedule_parse()
        elif not self._is_pipeline_full():
            self._resume_reading()

    def _schedule_parse(self) -> None:
        if not self._is_parse_scheduled and not self._is_pipeline_full():
            self._is_parse_scheduled = True
            self._server.call_soon(self._parse_scheduled)

    def _parse_scheduled(self) -> None:
        self._is_parse_scheduled = False
        if self._unparsed and not self._is_closing and not self.is_closed:
            self._parse_unparsed()

    def _is_pipeline_full(self) -> bool:
        return len(self._pending) >= PIPELINED_REQUESTS_MAX

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def _count_held(self) -> None:
        """Tell the memory account what the incomplete request and unparsed bytes take."""
        if self._is_closing:
            return
        held_bytes = self._reader.held_bytes() + len(self._unparsed)
        if added_bytes := held_bytes - self._held_bytes:
            self._held_bytes = held_bytes
            self._server.body_memory.hold(self, BodyStage.RECEIVING_REQUEST, added_bytes)

    def _accept_head(self, body_bytes: int, expect_lines: int) -> None:
        """Refuse a declared length that finds no room; else invite a caller that waits to send."""
        if not self._server.body_memory.may_receive(body_bytes):
            self.drop_body(f"no room for {body_bytes} bytes")
        elif expect_lines and not self._pending and self._writer.paused_s is None:
            answers = min(expect_lines, self._server.request_limits.interim_answers_max)
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n" * answers)

    def _accept_request(self) -> None:
        """Pass a complete request to the server's handler, or refuse it if memory is full."""
        if self._is_closing:
            return
        server = self._server
        keep_alive = self._reader.should_keep_alive() and not server.is_closing
        request, size_bytes = self._reader.take_request()
        pending = PendingRequest(self, request, keep_alive)
        self._pending.append(pending)
        body_memory = server.body_memory
        if self._held_bytes:
            self._held_bytes = 0
            body_memory.release(self, BodyStage.RECEIVING_REQUEST)
        if not keep_alive:
            self._is_closing = True
        if self._is_pipeline_full():
            self._pause_reading()
        if not body_memory.may_start(size_bytes):
            self.report(Cause.NO_MEMORY, f"no room for {size_bytes} bytes")
            server.refuse(pending)
            return
        body_memory.hold(pending, BodyStage.IN_FLIGHT_REQUEST, size_bytes)
        try:
            server.handle(pending)
        except Exception:
            # Raised into the parser, it would count as a malformed request.
            logger.exception("request %s failed, refusing it", pending.request.request_id)
            pending.respond(CallerAnswer(HTTPStatus.SERVICE_UNAVAILABLE))

    # answers

    def accept_answer(self, pending: PendingRequest) -> None:
        """Send an answer once all earlier requests of the connection are answered."""
        body_memory = self._server.body_memory
        body_memory.release(pending, BodyStage.IN_FLIGHT_REQUEST)
        self._flush()
        is_sending = pending is self._writer.sending
        if pending.answer is not None and (is_sending or pending in self._pending):
            if not is_sending:
                # Only the method is still needed.
                pending.request = CallerRequest.empty(pending.request.method, self._last_activity_s)
            body_memory.hold(pending, BodyStage.SENDING_ANSWER, pending.answer.size_bytes)

    def _flush(self) -> None:
        """Send the answers whose earlier requests are all answered, as fast as the caller reads."""
        transport, writer = self._transport, self._writer
        if transport is None or self.is_closed or self._linger is not None:
            return
        if writer.is_unsent:
            writer.write_more(transport)
        while self._pending and self._pending[0].answer is not None and writer.can_write:
            pending = self._pending.popleft()
            is_last = not pending.keep_alive or (self._server.is_closing and not self._pending)
            self._is_closing = self._is_closing or is_last
            self._last_activity_s = self._server.clock.now_s()
            writer.write(transport, pending, is_last)
        writer.count_buffered(transport, self._server.clock.now_s())
        if writer.is_unsent:
            return
        if self._is_closing and not self._pending:
            self._close()
        elif self._is_paused and len(self._pending) < PIPELINED_REQUESTS_MAX // 2:
            if self._unparsed:
                self._schedule_parse()
            else:
                self._resume_reading()

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport; only valid after `connection_made`."""
        assert self._transport is not None
        return self._transport

    # closing

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight or partly received."""
        is_received = self._unparsed or self._reader.started_s is not None
        if not self._pending and not self._writer.is_unsent and not is_received:
            self._close()

    def close_if_timed_out(self, now_s: float) -> None:
        """Close the connection if it exceeds a timeout; a partial request gets status 408."""
        limits = self._server.limits
        idle_s = now_s - self._last_activity_s
        self._writer.count_buffered(self.transport, now_s)
        if self._linger is not None:
            self._follow_linger(self._linger, now_s)
        elif self._writer.paused_s is not None:
            stalled_s = self._writer.stalled_s(now_s)
            if stalled_s > limits.idle_timeout_s:
                self._abort(Cause.NOT_READING, f"it has read nothing for {stalled_s:.1f} s")
        elif self._is_paused:
            self._reader.restart_time(now_s)
        elif self._reader.started_s is not None:
            is_head_late = self._reader.is_reading_head and (
                now_s - self._reader.started_s > limits.header_timeout_s
            )
            if is_head_late or idle_s > limits.idle_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT, Cause.LATE)
        elif not self._pending and idle_s > limits.idle_timeout_s:
            self._close()

    def closing_rank(self, now_s: float) -> tuple[ClosingRank, float] | None:
        """Return whether the connection may be closed for others; see ClosableConnection."""
        reader, writer, linger = self._reader, self._writer, self._linger
        if linger is not None and linger.sent_s is not None:
            return ClosingRank.LINGERING, linger.sent_s
        since_s = writer.waiting_s if linger is None else linger.progress.waiting_s
        if self._pending or writer.is_unsent or since_s is not None:
            is_in_flight = any(pending.answer is None for pending in self._pending)
            if is_in_flight or since_s is None or now_s - since_s < STALLED_S:
                return None
            return ClosingRank.NOT_READING, since_s
        if reader.started_s is None:
            return ClosingRank.QUIET, self._last_activity_s
        if reader.is_reading_head:
            return ClosingRank.QUIET, reader.started_s
        return (ClosingRank.SLOW_BODY, reader.started_s) if reader.is_slow(now_s) else None

    def give_up(self) -> None:
        """Close the connection for others; an incomplete request is refused as not run."""
        if self._reader.started_s is None:
            self.close_if_idle()
        else:
            self._refuse_received()

    def reset(self) -> None:
        """Close the connection at once; what it carries is lost."""
        self._is_closing = True
        self.transport.abort()

    def abort(self, reason: str) -> None:
        """Reset the connection; answers that are not sent yet are lost."""
        self._abort(Cause.NO_MEMORY, reason)

    def _abort(self, cause: Cause, reason: str) -> None:
        self.report(cause, f"reset: {reason}")
        self.reset()

    def drop_body(self, reason: str) -> None:
        """Refuse a request that can't be held any longer; implements BodyHolder."""
        if not self._is_closing:
            self.report(Cause.NO_MEMORY, f"request: {reason}")
            self._refuse_received()

    def _refuse_received(self) -> None:
        """Refuse an incomplete request as not run and close the connection after the answer."""
        if self._is_closing:
            return
        self._is_closing = True
        request, _ = self._reader.take_request()
        request.headers = []
        request.body = b""
        self._release_received()
        pending = PendingRequest(self, request, keep_alive=False)
        self._pending.append(pending)
        self._server.refuse(pending)

    def _refuse(self, status: HTTPStatus, cause: Cause) -> None:
        """Queue an error answer to an incomplete request and close the connection after it."""
        if self._is_closing:
            return
        self.report(cause, f"refused with status {status.value}")
        self._is_closing = True
        self._release_received()
        request, answer = CallerRequest.empty(b"GET", self._last_activity_s), CallerAnswer(status)
        self._pending.append(PendingRequest(self, request, keep_alive=False, answer=answer))
        self._flush()

    def report(self, cause: Cause, text: str) -> None:
        """Count why a request is refused or the connection closed, and log the first cause."""
        is_logged = not self._is_reported
        self._is_reported = True
        text = f"{self.transport.get_extra_info('peername')}: {text}"
        self._server.caller_events.record(cause, text, is_logged=is_logged)

    def _release_received(self) -> None:
        """Free what is held of an incomplete request and of bytes that are not parsed."""
        self._unparsed = b""
        self._reader.discard()
        if self._held_bytes:
            self._held_bytes = 0
            self._server.body_memory.release(self, BodyStage.RECEIVING_REQUEST)

    def _cancel_pending(self) -> None:
        """Cancel the unanswered requests and release what is held for all."""
        body_memory = self._server.body_memory
        for pending in self._pending:
            if pending.answer is None and pending.cancel is not None:
                pending.cancel()
            body_memory.release(pending, BodyStage.IN_FLIGHT_REQUEST)
            body_memory.release(pending, BodyStage.SENDING_ANSWER)
        self._pending.clear()
        self._writer.release_sending()
        self._release_received()

    def _close(self) -> None:
        """End the sending side, and read on until the caller closes or all is sent for a time.

        To close a socket that has unread bytes, or gets more, resets the connection, and answers on
        their way are lost.
        """
        if self._linger is not None or self.is_closed:
            return
        self._is_closing = True
        self._linger = Linger()
        self._cancel_pending()
        if self._transport is None or self._transport.is_closing():
            return
        self._resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, and the event loop has not seen it yet.
            self._transport.abort()
            return
        self._follow_linger(self._linger, self._server.clock.now_s())

    def _follow_linger(self, linger: Linger, now_s: float) -> None:
        """Close the connection once all is sent and the caller has had time to close it."""
        unsent_bytes = count_unsent(self.transport)
        step = linger.next_step(unsent_bytes, now_s, self._server.limits.idle_timeout_s)
        if step is LingerStep.CLOSE:
            self.transport.close()
        elif step is LingerStep.RESET:
            self._abort(Cause.NOT_READING, f"{unsent_bytes} bytes are unread for too long")
