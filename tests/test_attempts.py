"""Check how a request is encoded for a server."""

from typing import cast

from berylchute.attempts import ActiveRequest, encode_request, round_ms
from berylchute.callers import CallerRequest, PendingRequest
from berylchute.headernames import HeaderNames
from tests.test_routeindex import route


def _active(method: bytes = b"GET", body: bytes = b"", deadline_s: float = 101.0) -> ActiveRequest:
    request = CallerRequest(method, b"/a/x?q=1", "/a/x", "a", [(b"X-Own", b"1")], body, 100.0)
    request.request_id = "id1"
    return ActiveRequest(cast(PendingRequest, None), request, route("/a/"), "s", "k", deadline_s)


def _lines(active: ActiveRequest, now_s: float = 100.25) -> list[bytes]:
    return encode_request(HeaderNames(), active, "i-1", now_s).head.split(b"\r\n")


def test_request_names_its_server_and_the_remaining_time() -> None:
    # Guard against a request that loses headers, or runs on the wrong server or without a
    # deadline.
    lines = _lines(_active())
    assert lines[0] == b"GET /a/x?q=1 HTTP/1.1"
    assert b"X-Own: 1" in lines and b"Berylchute-Expected-Server: i-1" in lines
    assert b"Berylchute-Deadline-Ms: 750" in lines


def test_remaining_time_is_at_least_one_millisecond() -> None:
    # Guard against a deadline of 0, which could be read as none, when a request is sent at its
    # deadline.
    assert b"Berylchute-Deadline-Ms: 1" in _lines(_active(deadline_s=100.0))


def test_content_length_is_sent_with_bodies_only() -> None:
    # Guard against a server that waits for a body, or misses one, because of the Content-Length.
    assert b"Content-Length: 4" in _lines(_active(b"POST", b"body"))
    assert b"Content-Length: 0" in _lines(_active(b"POST"))
    assert not any(line.startswith(b"Content-Length") for line in _lines(_active()))


def test_only_a_request_without_an_id_needs_a_new_connection() -> None:
    """Guard against a repeat of an earlier refusal that is taken for the answer to a request."""
    active = _active()
    assert not encode_request(HeaderNames(), active, "i-1", 100.25).needs_new_connection
    active.request.request_id = ""
    assert encode_request(HeaderNames(), active, "i-1", 100.25).needs_new_connection


def test_times_are_rounded_for_logs() -> None:
    # Guard against long fractions in log lines.
    assert round_ms(0.12345678) == 123.5
