"""Guard how a request is written for a server."""

from typing import cast

from berylchute.attempts import Work, encode_request, round_ms
from berylchute.callers import CallerRequest, Pending
from berylchute.dialect import Dialect
from tests.test_routebook import route


def _work(method: bytes = b"GET", body: bytes = b"", limit_s: float = 101.0) -> Work:
    request = CallerRequest(method, b"/a/x?q=1", "/a/x", "a", [(b"X-Own", b"1")], body, 100.0)
    request.request_id = "id1"
    return Work(cast(Pending, None), request, route("/a/"), "s", "k", limit_s)


def _lines(work: Work, now_s: float = 100.25) -> list[bytes]:
    return encode_request(Dialect(), work, "i-1", now_s).data.split(b"\r\n")


def test_request_is_for_one_server_and_carries_the_time_left() -> None:
    lines = _lines(_work())
    assert lines[0] == b"GET /a/x?q=1 HTTP/1.1"
    assert b"X-Own: 1" in lines and b"Berylchute-Expected-Server: i-1" in lines
    assert b"Berylchute-Deadline-Ms: 750" in lines


def test_time_left_is_never_told_as_none() -> None:
    assert b"Berylchute-Deadline-Ms: 1" in _lines(_work(limit_s=100.0))


def test_body_has_a_length_and_methods_without_one_have_none() -> None:
    assert b"Content-Length: 4" in _lines(_work(b"POST", b"body"))
    assert b"Content-Length: 0" in _lines(_work(b"POST"))
    assert not any(line.startswith(b"Content-Length") for line in _lines(_work()))


def test_times_are_rounded_for_logs() -> None:
    assert round_ms(0.12345678) == 123.5
