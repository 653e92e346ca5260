"""Guard the callers' side: order of answers, whole requests, limits, and callers that leave."""

import pytest

from berylchute.callers import PIPELINE_MAX, Answer, CallerConnection, CallerServer, Pending
from berylchute.services import CallerLimits
from tests.httpfakes import FakeTransport, ManualClock


class _Caller:
    """One connection with the requests that it delivered."""

    def __init__(self, limits: CallerLimits | None = None) -> None:
        self.clock = ManualClock()
        self.requests: list[Pending] = []
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
    # What concerns one connection, or is set anew for the server, is not passed on.
    assert not {b"Connection", b"Content-Length", b"Berylchute-Deadline-Ms"} & set(names)


def test_chunked_body_is_read_whole() -> None:
    caller = _Caller()
    caller.send(b"POST /p/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    assert not caller.requests
    caller.send(b"2\r\nde\r\n0\r\n\r\n")
    assert caller.requests[0].request.body == b"abcde"


def test_pipelined_answers_keep_their_order() -> None:
    caller = _Caller()
    caller.send(_get("/1") + _get("/2") + _get("/3"))
    first, second, third = caller.requests
    third.respond(Answer(200, body=b"three"))
    second.respond(Answer(200, body=b"two"))
    assert caller.transport.written == b""
    first.respond(Answer(200, body=b"one"))
    written = caller.transport.written
    assert written.index(b"one") < written.index(b"two") < written.index(b"three")


def test_second_answer_to_one_request_is_not_sent() -> None:
    caller = _Caller()
    caller.send(_get("/1"))
    caller.requests[0].respond(Answer(200, body=b"one"))
    caller.requests[0].respond(Answer(200, body=b"two"))
    assert caller.transport.written.count(b"HTTP/1.1") == 1


def test_caller_that_leaves_cancels_all_its_requests() -> None:
    caller = _Caller()
    caller.send(_get("/1") + _get("/2"))
    cancelled: list[int] = []
    for number, pending in enumerate(caller.requests):
        pending.cancel = lambda number=number: cancelled.append(number)  # type: ignore[misc]
    caller.connection.connection_lost(None)
    assert cancelled == [0, 1]
    assert all(pending.is_abandoned for pending in caller.requests)


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        # Two lengths could hide a second request in the body.
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
    ],
)
def test_malformed_request_gets_400_and_ends_the_connection(data: bytes) -> None:
    caller = _Caller()
    caller.send(data)
    assert caller.transport.written.startswith(b"HTTP/1.1 400 ")
    assert caller.transport.is_closed
    assert not caller.requests


def test_sizes_are_limited() -> None:
    limits = CallerLimits(header_bytes_max=200, body_bytes_max=10)
    caller = _Caller(limits)
    caller.send(_get("/1", f"X: {'a' * 300}\r\n"))
    assert caller.transport.written.startswith(b"HTTP/1.1 431 ")
    caller = _Caller(limits)
    caller.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nabcdefghijk")
    assert caller.transport.written.startswith(b"HTTP/1.1 413 ")
    assert not caller.requests


def test_headers_without_end_are_refused_before_they_fill_memory() -> None:
    caller = _Caller(CallerLimits(header_bytes_max=200))
    caller.send(b"GET / HTTP/1.1\r\nX: " + b"a" * 150)
    assert caller.transport.written == b""
    caller.send(b"a" * 150)
    assert caller.transport.written.startswith(b"HTTP/1.1 431 ")


def test_slow_headers_get_408_and_idle_connections_close() -> None:
    limits = CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0)
    caller = _Caller(limits)
    caller.send(b"GET / HT")
    caller.connection.check_time(caller.clock.now + 2.9)
    assert caller.transport.written == b""
    caller.connection.check_time(caller.clock.now + 3.1)
    assert caller.transport.written.startswith(b"HTTP/1.1 408 ")
    caller = _Caller(limits)
    caller.connection.check_time(caller.clock.now + 14.9)
    assert not caller.transport.is_closed
    caller.connection.check_time(caller.clock.now + 15.1)
    assert caller.transport.is_closed and caller.transport.written == b""


def test_connection_with_work_is_not_idle() -> None:
    caller = _Caller(CallerLimits(idle_timeout_s=1.0))
    caller.send(_get("/1"))
    caller.connection.check_time(caller.clock.now + 10.0)
    caller.connection.close_if_idle()
    assert not caller.transport.is_closed
    caller.requests[0].respond(Answer(200))
    caller.connection.close_if_idle()
    assert caller.transport.is_closed


def test_stopping_server_closes_after_the_answer() -> None:
    caller = _Caller()
    caller.send(_get("/1"))
    caller.server.is_closing = True
    caller.requests[0].respond(Answer(200, body=b"x"))
    assert b"Connection: close" in caller.transport.written
    assert caller.transport.is_closed


def test_reading_pauses_while_too_many_requests_wait() -> None:
    caller = _Caller()
    caller.send(_get("/") * PIPELINE_MAX)
    assert caller.transport.is_paused
    for pending in caller.requests:
        pending.respond(Answer(200))
    assert not caller.transport.is_paused


def test_head_gets_no_body_and_hop_headers_stay_behind() -> None:
    caller = _Caller()
    caller.send(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
    headers = ((b"Transfer-Encoding", b"chunked"), (b"X-Own", b"1"))
    caller.requests[0].respond(Answer(200, headers, b"body"))
    assert b"Content-Length: 4" in caller.transport.written
    assert caller.transport.written.endswith(b"\r\n\r\n")
    assert b"chunked" not in caller.transport.written and b"X-Own: 1" in caller.transport.written
