"""Track a request and its attempts while it is in flight, and encode it for a server."""

import math
from collections.abc import Callable, Collection, Sequence
from enum import StrEnum

import attrs

from berylchute.callermessages import CallerRequest, Header, PendingRequest
from berylchute.exceptions import NotSent, SendWithdrawn
from berylchute.headernames import HeaderNames
from berylchute.organisations import Identity, combine_home_regions
from berylchute.selection import Selection
from berylchute.servers import Server
from berylchute.sharedobjects import Organisation, Route
from berylchute.upstream import ServerAnswer, UpstreamRequest

__all__ = ["ActiveRequest", "Attempt", "Outcome", "encode_request", "round_ms", "start_attempt"]


# Step between the ranks of two priorities of organisations: that of the route decides between the
# requests of organisations with the same priority.
ORGANISATION_RANK_STEP = 1000


class Outcome(StrEnum):
    """How a request ended; the values appear in events and metrics."""

    ANSWERED = "answered"
    SERVER_FAILED = "server_failed"
    REFUSED = "refused"
    NO_ROUTE = "no_route"
    STARTING = "starting"
    TIMED_OUT = "timed_out"
    ANSWER_LOST = "answer_lost"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"
    NO_MEMORY = "no_memory"
    UNAUTHORIZED = "unauthorized"
    OVER_ALLOTMENT = "over_allotment"


@attrs.define(eq=False)
class Attempt:
    """One send of a request: the server, its load at selection, and the result.

    `rank` is the number of servers that were examined before this one was selected.
    `load_age_ms` is None if the server has not reported its load yet. `pace` is the work time in
    percent of the usual one. `at_ms` counts from the arrival of the request. `result` is a status
    or an error code. The fields appear under their names in the event of the request.
    """

    server: str
    rank: int
    load: float
    load_age_ms: float | None
    pace: int
    at_ms: float
    result: str = "no_answer"
    server_ms: float = 0.0

    @property
    def was_sent(self) -> bool:
        """Return whether a byte of the request was sent to the server."""
        return self.result not in (NotSent.code, SendWithdrawn.code)


@attrs.define(eq=False)
class ActiveRequest:
    """A request in flight.

    `deadline_s` is a time of the process's clock. `is_return` means that the caller was probably
    refused before. `may_have_run` means that a server may have processed the request, so it must
    not be refused as not run. `failed_answer` is the server error that caused a retry.
    `retry_cause` is the cause of the next attempt, empty before the first failed one.
    `organisation` is the one whose key the request has, `priority` its effective rank, 0 the most
    urgent. `home_regions` are those of servers that may run it, None for all; no server may run it
    if they are empty. `headers` are sent to servers. `identity` is None if the configuration had no
    organisations when the request arrived. `permit_of` is the organisation of which it has a
    permit to be sent.
    """

    pending: PendingRequest
    request: CallerRequest
    route: Route
    service: str
    key: str
    deadline_s: float
    is_return: bool = False
    attempts: list[Attempt] = attrs.Factory(list)
    send_count: int = 0
    not_sent_count: int = 0
    reason: str = ""
    retry_cause: str = ""
    may_have_run: bool = False
    failed_answer: ServerAnswer | None = None
    permit_of: Organisation | None = None
    identity: Identity | None = attrs.field(default=None, init=False)
    organisation: Organisation | None = attrs.field(default=None, init=False)
    priority: int = attrs.field(init=False)
    home_regions: Collection[str] | None = attrs.field(init=False)
    headers: Sequence[Header] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set what holds for a request without an organisation."""
        self.priority = self.route.priority
        self.home_regions = self.route.home_regions or None
        self.headers = self.request.headers

    def apply_identity(self, identity: Identity) -> None:
        """Set the organisation of the request and what follows from it."""
        organisation = identity.organisation
        self.identity = identity
        self.organisation = organisation
        self.headers = identity.headers
        self.priority = self.route.priority
        if organisation is not None and organisation.priority is not None:
            route_priority = min(self.route.priority, ORGANISATION_RANK_STEP - 1)
            self.priority = organisation.priority * ORGANISATION_RANK_STEP + route_priority
        self.home_regions = combine_home_regions(self.route, organisation)

    @property
    def tried_ids(self) -> list[str]:
        """Return the ids of the servers that were tried, including unreachable ones."""
        return [a.server for a in self.attempts if a.result != SendWithdrawn.code]

    @property
    def was_never_sent(self) -> bool:
        """Return whether no attempt sent a byte to a server."""
        return not any(attempt.was_sent for attempt in self.attempts)


def encode_request(
    header_names: HeaderNames,
    active: ActiveRequest,
    server_id: str,
    now_s: float,
    *,
    may_send: Callable[[], bool] | None = None,
) -> UpstreamRequest:
    """Encode a request for a server.

    The deadline header holds the remaining time in milliseconds, at least 1. A request without an
    id needs a new connection, since its answer could not be distinguished from a repeated one.
    """
    request = active.request
    remaining_ms = max(1, int((active.deadline_s - now_s) * 1000.0))
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % header for header in active.headers]
    lines.append(b"%s: %d" % (header_names.deadline_ms.title(), remaining_ms))
    lines.append(b"%s: %s" % (header_names.expected_server.title(), server_id.encode("latin-1")))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return UpstreamRequest(
        request_id=request.request_id.encode("latin-1"),
        id_header=header_names.request_id,
        is_head=request.method == b"HEAD",
        head=b"\r\n".join(lines) + b"\r\n\r\n",
        body=request.body,
        needs_new_connection=not request.request_id,
        may_send=may_send,
    )


def start_attempt(
    active: ActiveRequest, server: Server, selection: Selection, now_s: float
) -> Attempt:
    """Append a new attempt to a request and return it."""
    attempt = Attempt(
        server.entry.server_id,
        selection.rank,
        round(selection.load, 2),
        round_ms(selection.report_age_s) if math.isfinite(selection.report_age_s) else None,
        server.pace(now_s),
        at_ms=round_ms(now_s - active.request.received_s),
    )
    active.attempts.append(attempt)
    return attempt


def round_ms(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to a tenth for logs."""
    return round(seconds * 1000.0, 1)
