"""Define a request's work and the parts that carry it out."""

from collections.abc import AsyncIterable, AsyncIterator
from enum import StrEnum
from typing import Protocol

import anyio
import attrs

from berylchute.config import Kind
from berylchute.exchange import Answer, Attempt, ServerTarget
from berylchute.identity import Caller
from berylchute.intake import Receive
from berylchute.tracing import RequestRecord

__all__ = [
    "AttemptEnd",
    "BodyStream",
    "Exchanger",
    "Placement",
    "Placer",
    "RunGuard",
    "Work",
    "exchange_headers",
    "split_address",
]


class BodyStream(Protocol):
    """A request body that arrives while it is sent on; it can be read once."""

    touched: bool
    complete: bool

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks."""
        ...


class RunGuard(Protocol):
    """Record the life of a keyed run."""

    def before_send(self) -> None:
        """Allow an attempt; raise RefusedError when it must not be sent."""
        ...

    def not_run(self) -> None:
        """Note that the last attempt certainly did not run."""
        ...


@attrs.define(eq=False)
class Work:
    """One authenticated request on its way to an answer."""

    record: RequestRecord
    caller: Caller
    kind: Kind
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | BodyStream
    deadline_s: float
    attempt_prefix: str
    body_bytes: int = 0
    answer_bytes: int = 0
    receive: Receive | None = None
    guard: "RunGuard | None" = None
    scope: anyio.CancelScope | None = None
    caller_gone: bool = False
    is_watched: bool = False

    def replayable(self) -> bool:
        """Tell whether the body can still be sent from its start."""
        return isinstance(self.body, bytes) or not self.body.touched


@attrs.define(eq=False)
class Placement:
    """A backend server chosen for an attempt, with what it holds."""

    target: ServerTarget
    started_s: float
    link_out: str = attrs.field(default="", kw_only=True)
    link_back: str = attrs.field(default="", kw_only=True)


class AttemptEnd(StrEnum):
    """How an attempt ended, as the observer of servers sees it."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class Placer(Protocol):
    """Choose backend servers and account for their units."""

    async def place(self, work: Work, excluded: frozenset[str]) -> Placement:
        """Wait for a server; raise RefusedError when none may be used."""
        ...

    def try_place(self, work: Work, excluded: frozenset[str]) -> Placement | None:
        """Return a server with a free slot now, or None."""
        ...

    def finish(self, placement: Placement, end: AttemptEnd, *, confirmed: bool) -> None:
        """End an attempt; units stay taken unless `confirmed` says that it no longer runs."""
        ...

    def confirm(self, placement: Placement) -> None:
        """Give back the units of an attempt that its server confirmed to have ended."""
        ...


class Exchanger(Protocol):
    """Run exchanges; `HttpExchanger` is one."""

    async def run(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> Answer:
        """Return the matched answer; raise ExchangeError."""
        ...

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        """Tell whether the server confirmed that the attempt no longer runs."""
        ...


def split_address(address: str) -> tuple[bytes, int]:
    """Return host and port of `ip:port` or `[ip6]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]").encode(), int(port)


def exchange_headers(
    work: Work, target: ServerTarget, attempt: Attempt, now_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers of one attempt."""
    remaining_ms = max(1, int((work.deadline_s - now_s) * 1000.0))
    return [
        (b"Host", target.host),
        (b"Berylchute-Request-Id", attempt.attempt_id.encode()),
        (b"Berylchute-Deadline-Ms", b"%d" % remaining_ms),
        *work.headers,
    ]
