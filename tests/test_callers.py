"""Check the HTTP server for callers: answer order, complete requests, limits and disconnects."""

import pytest

from berylchute.callers import (
    PIPELINED_REQUESTS_MAX,
    CallerAnswer,
    CallerConnection,
    CallerServer,
    PendingRequest,
)
from berylchute.sendprogress import LINGER_S
from berylchute.sharedobjects import CallerLimits
from tests.httpfakes import FakeTransport, ManualClock


class _Caller:
    """A connection over a fake transport, with the requests passed to the handler."""

    def __init__(self, limits: CallerLimits | None = None) -> None:
        self.clock = ManualClock()
        self.requests: list[PendingRequest] = []
        self.server = CallerServer(self.requests.append, self.clock)
        self.server.limits = limits or CallerLimits()
        self.transport = FakeTransport()
        self.connection = CallerConnection(self.server)
        self.connection.connection_made(self.transport)

    def send(self, data: bytes) -> None:
        self.connection.data_received(data)


def _get(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a.example:80\r\n{headers}\r\n".encode()


def test_request_is_decoded() -> None:
    """Guard against lost request fields and against forwarded hop-by-hop headers."""
    caller = _Caller()
    caller.send(
        b"POST /p/x?q=1 HTTP/1.1\r\nHost: A.example:80\r\nBerylchute-Request-Id: id1\r\n"
        b"Berylchute-Deadline-Ms: 1200\r\nCookie: z=1; Berylchute-Affinity=17\r\n"
        b"X-Own: kept\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nabc"
    )
    request = caller.requests[0].request
    assert (request.host, request.path, request.target) == ("a.example", "/p/x", b"/p/x?q=1")
    assert (request.request_id, request.affinity_key, request.time_left_ms) == ("id1", "17", 1200)
    assert request.body == b"abc"
    names = [name for name, _ in request.headers]
    assert b"X-Own" in names and b"Berylchute-Request-Id" in names
    # Hop-by-hop headers and headers set for the backend server are not forwarded.
    assert not {b"Connection", b"Content-Length", b"Berylchute-Deadline-Ms"} & set(names)


@pytest.mark.parametrize("value", ["inf", "-inf", "nan", "1e999", "soon"])
def test_deadline_that_is_no_number_is_ignored(value: str) -> None:
    """Guard against `Retry-After: inf`, and refusals that raise an error."""
    caller = _Caller()
    caller.send(_get("/p/", f"Berylchute-Deadline-Ms: {value}\r\n"))
    assert caller.requests[0].request.time_left_ms is None


def test_chunked_body_is_complete_before_the_handler_runs() -> None:
    """Guard against truncated bodies when chunks arrive in several reads."""
    caller = _Caller()
    caller.send(b"POST /p/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    assert not caller.requests
    caller.send(b"2\r\nde\r\n0\r\n\r\n")
    assert caller.requests[0].request.body == b"abcde"


def test_pipelined_answers_keep_their_order() -> None:
    """Guard against swapped answers when pipelined requests finish out of order."""
    caller = _Caller()
    caller.send(_get("/1") + _get("/2") + _get("/3"))
    first, second, third = caller.requests
    third.respond(CallerAnswer(200, body=b"three"))
    second.respond(CallerAnswer(200, body=b"two"))
    assert caller.transport.written == b""
    first.respond(CallerAnswer(200, body=b"one"))
    written = caller.transport.written
    assert written.index(b"one") < written.index(b"two") < written.index(b"three")


def test_stop_answers_pipelined_requests_before_it_closes_their_connection() -> None:
    """Guard against requests that were passed on to a server and get no answer in a stop."""
    caller = _Caller()
    caller.send(_get("/1") + _get("/2"))
    caller.server.is_closing = True
    caller.send(_get("/3") + _get("/4"))
    # The answer to /3 closes the connection, so that /4 counts as not read and is sent elsewhere.
    first, second, third = caller.requests
    first.respond(CallerAnswer(200, body=b"one"))
    assert not caller.transport.is_closed
    third.respond(CallerAnswer(200, body=b"three"))
    second.respond(CallerAnswer(200, body=b"two"))
    written = caller.transport.written
    assert written.index(b"one") < written.index(b"two") < written.index(b"three")
    assert written.count(b"Connection: close") == 1
    assert written.index(b"Connection: close") > written.index(b"two")
    assert caller.transport.is_closed


def test_second_answer_to_one_request_is_not_sent() -> None:
    """Guard against an extra answer that the caller would take for that of its next request."""
    caller = _Caller()
    caller.send(_get("/1"))
    caller.requests[0].respond(CallerAnswer(200, body=b"one"))
    caller.requests[0].respond(CallerAnswer(200, body=b"two"))
    assert caller.transport.written.count(b"HTTP/1.1") == 1


def test_disconnect_cancels_all_requests_of_the_connection() -> None:
    """Guard against work that continues for a caller that has disconnected."""
    caller = _Caller()
    caller.send(_get("/1") + _get("/2"))
    cancelled: list[int] = []
    for number, pending in enumerate(caller.requests):
        pending.cancel = lambda number=number: cancelled.append(number)  # type: ignore[misc]
    caller.connection.connection_lost(None)
    assert cancelled == [0, 1]
    assert all(pending.has_caller_left for pending in caller.requests)


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        # Conflicting lengths would allow request smuggling.
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
    ],
)
def test_malformed_request_gets_400_and_closes_the_connection(data: bytes) -> None:
    """Guard against request smuggling: bytes after a malformed request must not be parsed."""
    caller = _Caller()
    caller.send(data)
    assert caller.transport.written.startswith(b"HTTP/1.1 400 ")
    assert caller.transport.is_closed
    assert not caller.requests


def test_oversized_headers_and_bodies_are_refused() -> None:
    """Guard against one request that uses more memory than the limits allow."""
    limits = CallerLimits(header_bytes_max=200, body_bytes_max=10)
    caller = _Caller(limits)
    caller.send(_get("/1", f"X: {'a' * 300}\r\n"))
    assert caller.transport.written.startswith(b"HTTP/1.1 431 ")
    caller = _Caller(limits)
    caller.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nabcdefghijk")
    assert caller.transport.written.startswith(b"HTTP/1.1 413 ")
    assert not caller.requests


def test_unterminated_headers_are_refused_at_the_size_limit() -> None:
    """Guard against memory exhaustion by a caller that never ends its headers."""
    caller = _Caller(CallerLimits(header_bytes_max=200))
    caller.send(b"GET / HTTP/1.1\r\nX: " + b"a" * 150)
    assert caller.transport.written == b""
    caller.send(b"a" * 150)
    assert caller.transport.written.startswith(b"HTTP/1.1 431 ")


def test_slow_headers_get_408_and_idle_connections_close() -> None:
    """Guard against connections held open by slow or idle callers."""
    limits = CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0)
    caller = _Caller(limits)
    caller.send(b"GET / HT")
    caller.connection.close_if_timed_out(caller.clock.now + 2.9)
    assert caller.transport.written == b""
    caller.connection.close_if_timed_out(caller.clock.now + 3.1)
    assert caller.transport.written.startswith(b"HTTP/1.1 408 ")
    caller = _Caller(limits)
    caller.connection.close_if_timed_out(caller.clock.now + 14.9)
    assert not caller.transport.is_closed
    caller.connection.close_if_timed_out(caller.clock.now + 15.1)
    assert caller.transport.is_closed and caller.transport.written == b""


def test_connection_with_a_request_in_flight_is_not_idle() -> None:
    """Guard against an idle timeout that closes a connection with a slow request in flight."""
    caller = _Caller(CallerLimits(idle_timeout_s=1.0))
    caller.send(_get("/1"))
    caller.connection.close_if_timed_out(caller.clock.now + 10.0)
    caller.connection.close_if_idle()
    assert not caller.transport.is_closed
    caller.requests[0].respond(CallerAnswer(200))
    caller.connection.close_if_idle()
    assert caller.transport.is_closed


def test_stopping_server_closes_after_the_answer() -> None:
    """Guard against a shutdown that drops an answer or leaves the connection open after it."""
    caller = _Caller()
    caller.send(_get("/1"))
    caller.server.is_closing = True
    caller.requests[0].respond(CallerAnswer(200, body=b"x"))
    assert b"Connection: close" in caller.transport.written
    assert caller.transport.is_closed


def test_reading_pauses_at_the_pipeline_limit() -> None:
    """Guard against unbounded buffering when a caller pipelines faster than it is answered."""
    caller = _Caller()
    caller.send(_get("/") * PIPELINED_REQUESTS_MAX)
    assert caller.transport.is_paused
    for pending in caller.requests:
        pending.respond(CallerAnswer(200))
    assert not caller.transport.is_paused


def test_head_answer_has_no_body_and_no_hop_by_hop_headers() -> None:
    """Guard against bytes that a caller would parse as the start of the next answer."""
    caller = _Caller()
    caller.send(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
    headers = ((b"Transfer-Encoding", b"chunked"), (b"X-Own", b"1"))
    caller.requests[0].respond(CallerAnswer(200, headers, b"body"))
    assert b"Content-Length: 4" in caller.transport.written
    assert caller.transport.written.endswith(b"\r\n\r\n")
    assert b"chunked" not in caller.transport.written and b"X-Own: 1" in caller.transport.written


def test_unforeseen_error_of_the_handler_is_answered() -> None:
    """Guard against a proper request that is refused as malformed or never answered."""
    caller = _Caller()
    handle = caller.server.handle

    def fail_once(pending: PendingRequest) -> None:
        caller.server.handle = handle
        raise OverflowError("x")

    caller.server.handle = fail_once
    caller.send(_get("/p/1"))
    assert caller.transport.written.startswith(b"HTTP/1.1 503")
    # The connection stays in use: its parser is not in the state of an error.
    caller.send(_get("/p/2"))
    caller.requests[0].respond(CallerAnswer(200))
    assert b"HTTP/1.1 200" in caller.transport.written
    assert not caller.transport.is_closing()


def test_closed_connection_is_read_until_the_caller_closes_or_a_time_has_passed() -> None:
    """Guard against a reset that loses answers on their way, and against one that stays forever."""
    caller = _Caller(CallerLimits(idle_timeout_s=1.0))
    caller.connection.close_if_idle()
    assert caller.transport.is_closed and not caller.transport.is_gone
    caller.send(_get("/late") + b"NONSENSE")
    assert not caller.requests and caller.transport.written == b""
    caller.connection.close_if_timed_out(caller.clock.now + LINGER_S - 0.1)
    assert not caller.transport.is_gone
    caller.connection.close_if_timed_out(caller.clock.now + LINGER_S + 0.1)
    assert caller.transport.is_gone and not caller.transport.is_aborted


@pytest.mark.parametrize("is_stop", [True, False])
def test_answer_on_its_way_is_not_cut_when_its_connection_closes(is_stop: bool) -> None:
    """Guard against an answer that is cut since it waits in a buffer of a closed connection."""
    caller = _Caller(CallerLimits(idle_timeout_s=15.0))
    caller.send(_get("/", "" if is_stop else "Connection: close\r\n"))
    caller.transport.unsent = 60_000
    caller.requests[0].respond(CallerAnswer(200, body=bytes(60_000)))
    if is_stop:
        caller.connection.close_if_idle()
    while caller.transport.unsent:
        caller.clock.now += 1.0
        caller.transport.unsent -= 6_000
        caller.connection.close_if_timed_out(caller.clock.now)
        assert not caller.transport.is_gone
    caller.connection.close_if_timed_out(caller.clock.now + LINGER_S + 0.1)
    assert caller.transport.is_gone and not caller.transport.is_aborted


def test_closed_connection_whose_caller_stops_reading_is_reset() -> None:
    """Guard against answers that are held forever for a caller that reads nothing more."""
    caller = _Caller(CallerLimits(idle_timeout_s=15.0))
    caller.send(_get("/", "Connection: close\r\n"))
    caller.transport.unsent = 60_000
    caller.requests[0].respond(CallerAnswer(200, body=bytes(60_000)))
    caller.connection.close_if_timed_out(caller.clock.now + 14.9)
    assert not caller.transport.is_gone
    caller.connection.close_if_timed_out(caller.clock.now + 15.1)
    assert caller.transport.is_aborted


def test_caller_that_reads_slowly_is_not_taken_for_one_that_reads_nothing() -> None:
    """Guard against answers that are cut since their buffer takes longer than the idle time-out."""
    caller = _Caller(CallerLimits(idle_timeout_s=15.0))
    caller.send(_get("/"))
    caller.transport.unsent = 64_000
    caller.connection.pause_writing()
    caller.requests[0].respond(CallerAnswer(200, body=bytes(100_000)))
    for _ in range(30):
        caller.clock.now += 1.0
        caller.transport.unsent -= 1_000
        caller.connection.close_if_timed_out(caller.clock.now)
    assert not caller.transport.is_closed


def test_paused_reading_goes_on_when_the_connection_is_closed() -> None:
    """Guard against unread bytes of a pipelining caller, which would reset its connection."""
    caller = _Caller()
    caller.send(_get("/") * PIPELINED_REQUESTS_MAX)
    caller.server.is_closing = True
    for pending in caller.requests:
        pending.respond(CallerAnswer(200))
    assert caller.transport.is_closed and not caller.transport.is_paused


def test_answers_are_written_as_fast_as_the_caller_reads() -> None:
    """Guard against buffers that grow with the answers of a caller that reads slowly."""
    caller = _Caller(CallerLimits(idle_timeout_s=5.0))
    caller.send(_get("/1") + _get("/2"))
    first, second = caller.requests
    caller.connection.pause_writing()
    first.respond(CallerAnswer(200, body=b"one"))
    second.respond(CallerAnswer(200, body=bytes(1_000_000)))
    assert caller.transport.written == b"" and caller.server.body_memory.held_bytes == 1_000_003
    caller.connection.resume_writing()
    assert len(caller.transport.written) > 1_000_003
    assert caller.server.body_memory.held_bytes == 0
    # A caller that reads nothing at all is given up.
    caller.connection.pause_writing()
    caller.connection.close_if_timed_out(caller.clock.now + 5.1)
    assert caller.transport.is_aborted


def test_declared_length_above_the_limit_is_refused_before_the_body() -> None:
    """Guard against a caller that sends a whole body in vain, or asks again with it."""
    caller = _Caller(CallerLimits(body_bytes_max=10))
    caller.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n")
    assert caller.transport.written.startswith(b"HTTP/1.1 413 ")


def test_stop_closes_a_connection_that_its_caller_has_just_reset() -> None:
    """Guard against a stop that ends with an error, and with it the requests of other callers."""
    caller = _Caller()
    caller.transport.is_reset = True
    caller.connection.close_if_idle()
    assert caller.transport.is_gone
