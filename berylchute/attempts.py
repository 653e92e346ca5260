"""Hold a request and its attempts while it is carried, and write it for a server."""

from enum import StrEnum

import attrs

from berylchute.callers import CallerRequest, Pending
from berylchute.dialect import Dialect
from berylchute.services import Route
from berylchute.upstream import ServerAnswer, UpstreamRequest

__all__ = ["Attempt", "Outcome", "Work", "encode_request", "round_ms"]


class Outcome(StrEnum):
    """How a request ended."""

    ANSWERED = "answered"
    SERVER_FAILED = "server_failed"
    REFUSED = "refused"
    NO_ROUTE = "no_route"
    STARTING = "starting"
    TIMED_OUT = "timed_out"
    ANSWER_LOST = "answer_lost"
    CALLER_LEFT = "caller_left"


@attrs.define(eq=False)
class Attempt:
    """One send of a request: the server, the figures that chose it, and how it ended.

    `rank` is the server's place in the order of the request's key; `load_age_ms` is None where
    the server has not told its load yet.
    """

    server: str
    rank: int
    load: float
    load_age_ms: float | None
    pace: int
    at_ms: float
    result: str = "no_answer"
    server_ms: float = 0.0


@attrs.define(eq=False)
class Work:
    """One request while it is carried.

    `may_have_run`: a server may have worked on it, so that "not run" must not be told any more.
    `failure` is what a server answered before the request was repeated.
    """

    pending: Pending
    request: CallerRequest
    route: Route
    service: str
    key: str
    limit_s: float
    attempts: list[Attempt] = attrs.Factory(list)
    sent: int = 0
    not_sent: int = 0
    reason: str = ""
    may_have_run: bool = False
    failure: ServerAnswer | None = None

    @property
    def tried(self) -> list[str]:
        """Return the servers that were tried."""
        return [attempt.server for attempt in self.attempts]


def encode_request(dialect: Dialect, work: Work, server_id: str, now_s: float) -> UpstreamRequest:
    """Return the bytes for a server, with the time that is left."""
    request = work.request
    left_ms = max(1, int((work.limit_s - now_s) * 1000.0))
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % header for header in request.headers]
    lines.append(b"%s: %d" % (dialect.deadline_ms.title(), left_ms))
    lines.append(b"%s: %s" % (dialect.expected_server.title(), server_id.encode("latin-1")))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return UpstreamRequest(
        request_id=request.request_id.encode("latin-1"),
        id_header=dialect.request_id,
        is_head=request.method == b"HEAD",
        data=b"\r\n".join(lines) + b"\r\n\r\n" + request.body,
    )


def round_ms(seconds: float) -> float:
    """Return milliseconds to a tenth, for logs."""
    return round(seconds * 1000.0, 1)
