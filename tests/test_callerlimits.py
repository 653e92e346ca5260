"""Check the bounds on what an untrusted caller makes a process hold and do."""

import sys
from collections.abc import Callable

import pytest

from berylchute.bodymemory import BodyMemory
from berylchute.callerlimits import Cause, HeaderLines, RequestLimits
from berylchute.callers import (
    PIPELINED_REQUESTS_MAX,
    CallerAnswer,
    CallerConnection,
    CallerServer,
    PendingRequest,
)
from berylchute.sharedobjects import CallerLimits
from tests.httpfakes import FakeTransport, ManualClock

CHUNKED = b"POST /p/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Caller:
    """A connection over a fake transport, with the requests passed to the handler."""

    def __init__(self, memory_mb: float = 300.0, beside: "_Caller | None" = None) -> None:
        self.requests: list[PendingRequest] = []
        self.waiting: list[Callable[[], None]] = beside.waiting if beside else []
        self.server = (
            beside.server
            if beside
            else CallerServer(
                self.requests.append, ManualClock(), body_memory=BodyMemory(memory_mb)
            )
        )
        self.server.call_soon = self.waiting.append
        self.transport = FakeTransport()
        self.connection = CallerConnection(self.server)
        self.connection.connection_made(self.transport)

    def send(self, data: bytes) -> None:
        """Deliver bytes as the event loop does, in reads of bounded size."""
        size = len(self.server.read_buffer)
        for start in range(0, len(data), size):
            part = data[start : start + size]
            self.server.read_buffer[: len(part)] = part
            self.connection.buffer_updated(len(part))
            self.run_waiting()

    def run_waiting(self) -> None:
        while self.waiting:
            self.waiting.pop(0)()

    @property
    def status(self) -> bytes:
        return self.transport.written[9:12]

    def count(self, cause: Cause) -> int:
        return self.server.caller_events.counts[cause]


def test_largest_head_of_short_lines_is_served_whole() -> None:
    # Guard against a legal head that is refused or loses lines since it has very many.
    caller = _Caller()
    start, end = b"GET / HTTP/1.1\r\n", b"\r\n"
    lines = (16_384 - len(start) - len(end)) // 4
    caller.send(start + b"".join(b"%c:\r\n" % (97 + n % 26) for n in range(lines)) + end)
    assert caller.transport.written == b""
    headers = caller.requests[0].request.headers
    assert headers == [(b"%c" % (97 + n % 26), b"") for n in range(lines)]


def test_largest_head_in_single_bytes_and_after_another_request_is_served() -> None:
    # Guard against a legal head that is counted with bytes of the request before it.
    start, end = b"GET / HTTP/1.1\r\nX: ", b"\r\n\r\n"
    head = start + b"x" * (16_384 - len(start) - len(end)) + end
    caller = _Caller()
    for byte in head:
        caller.send(bytes([byte]))
    caller.send(b"GET /1 HTTP/1.1\r\n\r\n" * 3 + head)
    assert len(caller.requests) == 5 and caller.transport.written == b""


def test_trailers_are_neither_stored_nor_headers() -> None:
    # Guard against a caller that sets headers of the system in trailers, which are not forwarded.
    caller = _Caller()
    trailers = (
        b"Host: evil\r\nCookie: Berylchute-Affinity=9\r\nBerylchute-Deadline-Ms: 1\r\nX: 1\r\n"
    )
    caller.send(CHUNKED + b"3\r\nabc\r\n0\r\n" + trailers + b"Expect: 100-continue\r\n\r\n")
    request = caller.requests[0].request
    assert (request.host, request.affinity_key, request.time_left_ms) == ("a", "", None)
    assert request.headers == [(b"Host", b"a")] and request.body == b"abc"
    assert caller.transport.written == b""


@pytest.mark.parametrize("name", [b"Content-Length: 5", b"Transfer-Encoding: chunked"])
def test_trailers_that_frame_bodies_do_not_frame_the_next_request(name: bytes) -> None:
    # Guard against request smuggling by trailers.
    caller = _Caller()
    caller.send(CHUNKED + b"0\r\n" + name + b"\r\n\r\nGET /n HTTP/1.1\r\n\r\n")
    assert not caller.requests and caller.status == b"400"


@pytest.mark.parametrize(
    "start, part, status, cause",
    [
        (CHUNKED + b"0\r\n", b"ab: c\r\n" * 1000, b"431", Cause.TRAILERS),
        (CHUNKED + b"0\r\n", b"a:\r\n" * 1000, b"431", Cause.TRAILERS),
        (CHUNKED + b"0\r\nX: ", b"x" * 5000, b"431", Cause.TRAILERS),
        (CHUNKED + b"0\r\n", b"x" * 5000, b"431", Cause.TRAILERS),
        (CHUNKED + b"3;x=", b"x" * 5000, b"431", Cause.TRAILERS),
        (CHUNKED, b"1\r\nx\r\n" * 1000, b"413", Cause.CHUNK_OVERHEAD),
        (CHUNKED, b"1;%s\r\nx\r\n" % (b"y" * 2000), b"413", Cause.CHUNK_OVERHEAD),
        (b"", b"\r\n" * 200, b"400", Cause.BLANK_LINES),
        (b"GET / HTTP/1.1\r\n", b"ab: c\r\n" * 1000, b"431", Cause.HEAD_BYTES),
        (b"GET /", b"x" * 5000, b"431", Cause.HEAD_BYTES),
        (b"GET / HTTP/1.1\r\nX: ", b"x" * 5000, b"431", Cause.HEAD_BYTES),
    ],
)
def test_bytes_without_end_outside_of_bodies_are_refused(
    start: bytes, part: bytes, status: bytes, cause: Cause
) -> None:
    # Guard against a caller whose bytes fill the memory, or take processor time, without end.
    caller = _Caller()
    caller.send(start)
    sent_bytes = 0
    while not caller.transport.is_closed:
        caller.send(part)
        sent_bytes += len(part)
        assert sent_bytes < 200_000
    assert caller.status == status and not caller.requests
    assert caller.count(cause) == 1
    assert caller.server.body_memory.held_bytes == 0


def test_chunks_and_trailers_of_moderate_size_are_served() -> None:
    # Guard against legal chunked bodies that the bounds on overhead refuse.
    caller = _Caller()
    caller.send(CHUNKED + b"1\r\nx\r\n" * 10_000 + b"0\r\n" + b"ab: cd\r\n" * 1000 + b"\r\n")
    caller.send(CHUNKED + b"20\r\n%s\r\n" % (b"x" * 32) * 100_000 + b"0\r\n\r\n")
    assert [len(pending.request.body) for pending in caller.requests] == [10_000, 3_200_000]
    assert caller.transport.written == b""


def test_limits_are_settings() -> None:
    # Guard against limits that can't be changed where callers need more.
    for limits, data in (
        (RequestLimits(head_lines_max=70), b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 71 + b"\r\n"),
        (RequestLimits(head_lines_max=5), b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 6 + b"\r\n"),
        (RequestLimits(request_line_bytes_max=50), b"GET /%s HTTP/1.1\r\n\r\n" % (b"x" * 60)),
        (RequestLimits(trailer_lines_max=2), CHUNKED + b"0\r\na: b\r\na: b\r\na: b\r\n\r\n"),
    ):
        caller = _Caller()
        caller.server.request_limits = limits
        caller.send(data)
        assert caller.status == b"431" and not caller.requests


def test_expect_lines_cause_one_interim_answer() -> None:
    # Guard against interim answers that pile up for a caller that does not read, and against an
    # invitation to send a body that is refused.
    caller = _Caller()
    expect = b"Expect: 100-continue\r\n"
    caller.send(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n" + expect * 500 + b"\r\n")
    assert caller.transport.written == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller = _Caller()
    caller.send(b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n" + expect + b"\r\n")
    assert caller.status == b"413"


def test_heads_left_open_are_dropped_when_they_take_the_memory() -> None:
    # Guard against a process that is killed since heads left open fill its memory; the largest go
    # first, and those that are dropped learn that they have not run.
    first = _Caller(memory_mb=10.0)
    first.send(b"GET / HTTP/1.1\r\nHost: a\r\n")
    callers = [_Caller(beside=first) for _ in range(200)]
    for caller in callers:
        caller.send(b"GET / HTTP/1.1\r\n" + b"ab: c\r\n" * 2000)
    memory = first.server.body_memory
    assert memory.held_bytes <= memory.bytes_max
    statuses = {caller.status for caller in callers}
    assert statuses == {b"503", b""}
    assert first.transport.written == b""


def test_complete_heads_beyond_the_memory_are_refused_as_not_run() -> None:
    # Guard against requests in flight, which may not be dropped, that fill the memory.
    caller = _Caller(memory_mb=10.0)
    head = b"GET / HTTP/1.1\r\n" + b"ab: c\r\n" * 2000 + b"\r\n"
    others = [_Caller(beside=caller) for _ in range(50)]
    for other in others:
        other.send(head)
    assert {other.status for other in others} == {b"503", b""}
    memory = caller.server.body_memory
    assert memory.request_bytes <= memory.request_bytes_max
    # Small requests still find room.
    caller.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert caller.transport.written == b""
    for pending in caller.requests:
        pending.respond(CallerAnswer(200))
    assert memory.held_bytes == 0


def test_requests_of_one_read_beyond_the_pipeline_wait() -> None:
    # Guard against thousands of requests that one read puts in flight at once.
    caller = _Caller()
    request = b"GET / HTTP/1.1\r\n\r\n"
    caller.send(request * 3000)
    most = PIPELINED_REQUESTS_MAX + 4096 // len(request) + 1
    assert len(caller.requests) <= most and caller.transport.is_paused
    answered = 0
    while answered < len(caller.requests):
        caller.requests[answered].respond(CallerAnswer(200))
        answered += 1
        caller.run_waiting()
        assert len(caller.requests) - answered <= most
    assert answered == 3000 and not caller.transport.is_paused
    assert caller.server.body_memory.held_bytes == 0


def test_served_body_is_not_held_by_the_idle_connection() -> None:
    # Guard against bodies that nothing counts, held until the next request of their connection.
    caller = _Caller()
    caller.send(b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + bytes(100_000))
    pending = caller.requests.pop()
    body = pending.request.body
    pending.respond(CallerAnswer(200))
    del pending
    # This function's variable and the call's argument.
    assert sys.getrefcount(body) == 2


def test_header_lines_keep_their_order_when_packed() -> None:
    # Guard against swapped or lost lines of a long head.
    lines = HeaderLines()
    expected = [(b"n%d" % n, b"v%d" % n if n % 3 else b"") for n in range(500)]
    for number, line in enumerate(expected):
        lines.unpacked.append(line)
        if number % 64 == 63:
            lines.pack()
    assert lines.to_list() == expected and len(lines) == 500
    lines.clear()
    assert lines.to_list() == [] and len(lines) == 0


def test_configured_limits_apply_to_open_connections() -> None:
    # Guard against limits of the configuration that hold only for connections opened later.
    caller = _Caller()
    caller.server.limits = CallerLimits(body_bytes_max=10)
    caller.send(b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n")
    assert caller.status == b"413"


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"POST / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 1\r\n\r\na",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
    ],
)
def test_request_for_another_protocol_gets_one_answer(data: bytes) -> None:
    # Guard against a second answer, which the caller takes for the one to its next request.
    caller = _Caller()
    caller.send(data + b"GET / HTTP/1.1\r\n\r\n")
    (pending,) = caller.requests
    pending.respond(CallerAnswer(200))
    assert caller.transport.written.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in caller.transport.written and caller.transport.is_closed
    assert caller.server.body_memory.held_bytes == 0


_OFFER = b"POST / HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
_CHUNKS = b"3\r\nabc\r\n5;x=y\r\ndefgh\r\n0\r\nTrailer: t\r\n\r\n"


@pytest.mark.parametrize("step", [1, 7, 1_000])
@pytest.mark.parametrize(
    "data",
    [
        _OFFER + b"Content-Length: 8\r\n\r\nabcdefgh",
        _OFFER + b"Transfer-Encoding: chunked\r\n\r\n" + _CHUNKS,
    ],
)
def test_body_of_a_request_that_offers_another_protocol_is_read(data: bytes, step: int) -> None:
    # Guard against uploads that run with an empty body: the parser ends them after their head.
    caller = _Caller()
    data += b"GET /next HTTP/1.1\r\n\r\n"
    for start in range(0, len(data), step):
        caller.send(data[start : start + step])
    (pending,) = caller.requests
    assert (pending.request.method, bytes(pending.request.body)) == (b"POST", b"abcdefgh")
    pending.respond(CallerAnswer(200))
    assert caller.transport.written.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in caller.transport.written and caller.transport.is_closed
    assert caller.server.body_memory.held_bytes == 0


@pytest.mark.parametrize("framing", [b"Content-Length: 10", b"Transfer-Encoding: chunked"])
def test_body_of_an_offer_that_is_cut_is_not_run(framing: bytes) -> None:
    # Guard against requests that run with a part of their body.
    caller = _Caller()
    caller.send(_OFFER + framing + b"\r\n\r\n4\r\nabcd\r\n")
    assert not caller.requests
    caller.connection.connection_lost(None)
    assert not caller.requests and caller.server.body_memory.held_bytes == 0


def test_large_body_in_chunks_of_twenty_bytes_is_served() -> None:
    # Guard against a bound on overhead below what legal chunks of a large body need.
    caller = _Caller()
    caller.send(CHUNKED + (b"14\r\n%s\r\n" % (b"x" * 20)) * 150_000 + b"0\r\n\r\n")
    assert [len(pending.request.body) for pending in caller.requests] == [3_000_000]


@pytest.mark.parametrize("is_with_body", [True, False])
def test_blank_line_after_a_body_does_not_begin_a_request(is_with_body: bool) -> None:
    # Guard against an idle connection that gets status 408, and is closed before the idle timeout,
    # since its caller sends a blank line after a body.
    caller = _Caller()
    clock = caller.server.clock
    assert isinstance(clock, ManualClock)
    body = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
    for data in [body + b"\r\n"] if is_with_body else [body, b"\r\n"]:
        caller.send(data)
    caller.requests.pop().respond(CallerAnswer(200))
    clock.now += caller.server.limits.header_timeout_s + 1.0
    caller.connection.close_if_timed_out(clock.now)
    caller.send(b"GET /n HTTP/1.1\r\n\r\n")
    assert [pending.request.target for pending in caller.requests] == [b"/n"]
    assert b" 408 " not in caller.transport.written


def test_head_that_waits_to_be_read_is_not_late() -> None:
    # Guard against status 408 for a request that was sent in time, while earlier ones of its
    # connection are in flight and reading is paused.
    caller = _Caller()
    clock = caller.server.clock
    assert isinstance(clock, ManualClock)
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    caller.send(request * 400)
    assert caller.transport.is_paused and len(caller.requests) < 400
    clock.now += caller.server.limits.header_timeout_s + caller.server.limits.idle_timeout_s
    caller.connection.close_if_timed_out(clock.now)
    for number in range(400):
        caller.requests[number].respond(CallerAnswer(200))
        caller.run_waiting()
        caller.connection.close_if_timed_out(clock.now)
    assert caller.transport.written.count(b"HTTP/1.1 200 ") == 400
    assert b" 408 " not in caller.transport.written


def test_stop_serves_requests_that_wait_to_be_parsed() -> None:
    # Guard against a stop that closes a connection between two of its requests that were read.
    caller = _Caller()
    caller.server.handle = lambda pending: pending.respond(CallerAnswer(200))
    request = b"GET /%s HTTP/1.1\r\n\r\n" % (b"x" * 46)
    assert 4096 % len(request) == 0
    part = request * 200
    caller.server.read_buffer[: len(part)] = part
    caller.connection.buffer_updated(len(part))
    answered = caller.transport.written.count(b"HTTP/1.1 200 ")
    assert answered < 200
    caller.server.is_closing = True
    caller.connection.close_if_idle()
    caller.run_waiting()
    assert caller.transport.written.count(b"HTTP/1.1 200 ") == answered + 1
    assert caller.transport.written.count(b"Connection: close") == 1 and caller.transport.is_closed
