"""Define a request in progress and the interfaces that place and run its attempts."""

from collections.abc import AsyncIterable, AsyncIterator
from enum import StrEnum
from typing import Protocol

import anyio
import attrs

from berylchute.config import RequestKind
from berylchute.exchange import Attempt, MatchedAnswer, ServerTarget
from berylchute.identity import Caller
from berylchute.requesthead import Receive
from berylchute.tracing import RequestRecord

__all__ = [
    "AttemptEnd",
    "BodyStream",
    "Exchanger",
    "ForwardedRequest",
    "Placement",
    "Placer",
    "RunGuard",
    "exchange_headers",
    "split_address",
]


class BodyStream(Protocol):
    """A request body that is forwarded while it arrives; it can be read once.

    `is_read_started` is true once reading has started, `is_complete` once the last chunk has
    arrived.
    """

    is_read_started: bool
    is_complete: bool

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks."""
        ...


class RunGuard(Protocol):
    """Record the progress of a request with an idempotency key."""

    def check_may_send(self) -> None:
        """Record that an attempt is about to be sent; raise RefusedError if it must not be."""
        ...

    def mark_not_run(self) -> None:
        """Record that the last attempt is known not to have run."""
        ...


@attrs.define(eq=False)
class ForwardedRequest:
    """One authenticated request in progress.

    `body_bytes` is 0 when unknown; `answer_bytes` is an estimate. `is_watched` is true once a task
    waits for the caller to disconnect.
    """

    record: RequestRecord
    caller: Caller
    kind: RequestKind
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | BodyStream
    deadline_s: float
    attempt_prefix: str
    body_bytes: int = 0
    answer_bytes: int = 0
    receive: Receive | None = None
    run_guard: "RunGuard | None" = None
    cancel_scope: anyio.CancelScope | None = None
    is_caller_gone: bool = False
    is_watched: bool = False

    def can_replay_body(self) -> bool:
        """Return whether the body can still be sent from its start."""
        return isinstance(self.body, bytes) or not self.body.is_read_started


@attrs.define(eq=False)
class Placement:
    """A backend server selected for an attempt; links are empty within the host's region."""

    target: ServerTarget
    started_s: float
    outbound_link: str = attrs.field(default="", kw_only=True)
    return_link: str = attrs.field(default="", kw_only=True)


class AttemptEnd(StrEnum):
    """How an attempt ended, for the statistics of its server."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class Placer(Protocol):
    """Select backend servers other than the excluded ones and account for their units."""

    async def place(self, request: ForwardedRequest, excluded_servers: frozenset[str]) -> Placement:
        """Wait for a server with a free slot; raise RefusedError if the request is refused."""
        ...

    def try_place(
        self, request: ForwardedRequest, excluded_servers: frozenset[str]
    ) -> Placement | None:
        """Return a server that has a free slot now; None if none has or requests are queued."""
        ...

    def finish(self, placement: Placement, end: AttemptEnd, *, is_end_confirmed: bool) -> None:
        """End an attempt; release its units only if it is confirmed not to be running."""
        ...

    def release_confirmed(self, placement: Placement) -> None:
        """Release the units of an attempt after its server confirmed that it ended."""
        ...


class Exchanger(Protocol):
    """Send attempts to servers; `HttpExchanger` is an implementation."""

    async def send_request(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> MatchedAnswer:
        """Return the answer to this attempt; raise ExchangeError."""
        ...

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        """Cancel an attempt; return whether the server confirmed that it no longer runs."""
        ...


def split_address(address: str) -> tuple[bytes, int]:
    """Return host and port of `ip:port` or `[ip6]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]").encode(), int(port)


def exchange_headers(
    request: ForwardedRequest, target: ServerTarget, attempt: Attempt, now_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers of one attempt, with the time left until the deadline at `now_s`."""
    remaining_ms = max(1, int((request.deadline_s - now_s) * 1000.0))
    return [
        (b"Host", target.host),
        (b"Berylchute-Request-Id", attempt.attempt_id.encode()),
        (b"Berylchute-Deadline-Ms", b"%d" % remaining_ms),
        *request.headers,
    ]
