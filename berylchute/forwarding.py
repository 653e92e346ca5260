"""Carry one request through routing, attempts, retries and hedges to an answer."""

from collections.abc import AsyncIterable, AsyncIterator, Sequence
from enum import StrEnum
from typing import Protocol

import anyio
import attrs

from berylchute.config import Configuration, Kind
from berylchute.exceptions import ExchangeError
from berylchute.exchange import Answer, Attempt, ServerTarget
from berylchute.identity import Caller
from berylchute.metrics import Metrics
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.tracing import RequestRecord
from berylchute.types import AttemptState, Clock

__all__ = [
    "AttemptEnd",
    "BodyStream",
    "Exchanger",
    "Forwarder",
    "Placement",
    "Placer",
    "RotatingPlacer",
    "Work",
]

ATTEMPTS_MAX = 3


class BodyStream(Protocol):
    """A request body that arrives while it is sent on; it can be read once."""

    touched: bool

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks."""
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

    def replayable(self) -> bool:
        """Tell whether the body can still be sent from its start."""
        return isinstance(self.body, bytes) or not self.body.touched


@attrs.define(eq=False)
class Placement:
    """A backend server chosen for an attempt, with what it holds."""

    target: ServerTarget
    started_s: float


class AttemptEnd(StrEnum):
    """How an attempt ended, as the observer of servers sees it."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not_sent"
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


class RotatingPlacer:
    """Take the servers of a service in turn, without regard to capacity."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, list[ServerTarget]] = {}
        self._next = 0

    def configure(self, configuration: Configuration) -> None:
        """Follow the configured servers."""
        self._targets = {}
        hosts = max(1, len(configuration.host_positions))
        for server in configuration.backend_servers:
            host, port = split_address(server.address)
            target = ServerTarget(server.name, host, port, max(1, server.connections // hosts))
            self._targets.setdefault(server.service, []).append(target)

    async def place(self, work: Work, excluded: frozenset[str]) -> Placement:
        """Return the next server that was not tried yet."""
        placement = self.try_place(work, excluded)
        if placement is None:
            raise RefusedError(RefusalCode.NO_ROUTE, "no backend server is left", not_run=True)
        return placement

    def try_place(self, work: Work, excluded: frozenset[str]) -> Placement | None:
        """Return the next server that was not tried yet, or None."""
        targets = self._targets.get(work.kind.service, [])
        for _ in targets:
            self._next += 1
            target = targets[self._next % len(targets)]
            if target.name not in excluded:
                return Placement(target, self._clock.now_s())
        return None

    def finish(self, placement: Placement, end: AttemptEnd, *, confirmed: bool) -> None:
        """Forget the attempt; rotation keeps no account."""


class Forwarder:
    """Find the answer to one request within its deadline."""

    def __init__(
        self, clock: Clock, placer: Placer, exchanger: Exchanger, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._placer = placer
        self._exchanger = exchanger
        self._metrics = metrics

    async def answer(self, work: Work) -> Answer:
        """Return the answer; raise RefusedError with a truthful `not_run`."""
        answer: Answer | None = None
        with anyio.CancelScope(deadline=work.deadline_s):
            answer = await self._attempts(work)
        if answer is not None:
            return answer
        attempts = work.record.attempts
        if all(attempt.state is AttemptState.NOT_SENT for attempt in attempts):
            raise RefusedError(RefusalCode.DEADLINE_PASSED, "not sent in time", not_run=True)
        raise self._unanswered(work, RefusalCode.DEADLINE_EXCEEDED, "no answer in time")

    def _unanswered(self, work: Work, code: RefusalCode, reason: str) -> RefusedError:
        if not work.kind.idempotent:
            code = RefusalCode.OUTCOME_UNKNOWN
        return RefusedError(code, reason, not_run=False)

    async def _attempts(self, work: Work) -> Answer:
        excluded: frozenset[str] = frozenset()
        while True:
            placement = await self._placer.place(work, excluded)
            attempt = self._new_attempt(work, placement)
            excluded |= {placement.target.name}
            last = len(work.record.attempts) >= ATTEMPTS_MAX
            try:
                answer = await self._exchange(work, placement, attempt)
            except ExchangeError as error:
                if last or not self._may_retry(work, attempt):
                    raise self._failed(work, error) from error
                self._metrics.retries.labels(error.code).inc()
                continue
            if answer.not_run and not last and work.replayable():
                self._metrics.retries.labels("shed").inc()
                continue
            if answer.not_run:
                raise self._shed(work)
            return answer

    def _new_attempt(self, work: Work, placement: Placement) -> Attempt:
        number = len(work.record.attempts) + 1
        attempt = Attempt(f"{work.attempt_prefix}.{number}", placement.target.name)
        work.record.attempts.append(attempt)
        return attempt

    def _may_retry(self, work: Work, attempt: Attempt) -> bool:
        if not work.replayable():
            return False
        return attempt.state is AttemptState.NOT_SENT or work.kind.idempotent

    def _failed(self, work: Work, error: ExchangeError) -> RefusedError:
        if self._none_ran(work.record.attempts):
            return RefusedError(RefusalCode.SERVER_UNREACHABLE, error.code, not_run=True)
        return self._unanswered(work, RefusalCode.SERVER_FAILED, error.code)

    def _shed(self, work: Work) -> RefusedError:
        not_run = self._none_ran(work.record.attempts)
        return RefusedError(RefusalCode.OVERLOADED, "the servers shed load", not_run=not_run)

    @staticmethod
    def _none_ran(attempts: Sequence[Attempt]) -> bool:
        return all(attempt.state is AttemptState.NOT_SENT or attempt.shed for attempt in attempts)

    async def _exchange(self, work: Work, placement: Placement, attempt: Attempt) -> Answer:
        headers = [
            (b"Host", placement.target.host),
            (b"Berylchute-Request-Id", attempt.attempt_id.encode()),
            *work.headers,
        ]
        remaining_ms = int((work.deadline_s - self._clock.now_s()) * 1000.0)
        headers.append((b"Berylchute-Deadline-Ms", b"%d" % max(1, remaining_ms)))
        try:
            answer = await self._exchanger.run(
                placement.target, attempt, work.method, work.target, headers, work.body
            )
        except BaseException as error:
            not_sent = attempt.state is AttemptState.NOT_SENT
            end = AttemptEnd.BROKEN if isinstance(error, ExchangeError) else AttemptEnd.CANCELLED
            self._placer.finish(
                placement, AttemptEnd.NOT_SENT if not_sent else end, confirmed=not_sent
            )
            raise
        attempt.shed = answer.not_run
        self._placer.finish(
            placement, AttemptEnd.SHED if answer.not_run else AttemptEnd.ANSWERED, confirmed=True
        )
        return answer
