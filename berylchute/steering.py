"""Carry a caller's request to a backend server: choose, send, repeat or refuse."""

import math
from collections.abc import Callable
from random import Random

import anyio
import attrs

from berylchute.attempts import Attempt, Outcome, Work, encode_request, round_ms
from berylchute.backends import Backends, Server, ToldLoad
from berylchute.background import Background
from berylchute.callers import Answer, Header, Pending
from berylchute.dialect import Dialect
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.exceptions import ExchangeError, NotSent
from berylchute.retrybudget import RetryBounds, RetryBudget
from berylchute.routebook import RouteBook
from berylchute.selection import Choice, Selector
from berylchute.services import Route, RouteKind
from berylchute.types import Clock
from berylchute.upstream import ServerAnswer

__all__ = ["Steering"]

# Share of the time that a caller has left after which it is asked to come back, drawn anew for
# each refusal so that the returns spread. Callers wait at most a third of it; earlier returns
# gained nothing in trials (docs/MEASUREMENTS.md).
COME_BACK_SHARE = (0.2, 0.33)
# Time assumed for callers that state none; the usual default of HTTP clients.
TIME_LEFT_DEFAULT_S = 30.0
# Callers are told to come back this soon while no configuration is known: a few round trips to a
# store across a continent.
STARTING_RETRY_S = 0.3
# Unreachable servers that are passed over for one request; each may cost CONNECT_TIMEOUT_S, and
# all together most of a usual time budget of 1.5 s.
NOT_SENT_MAX = 3


class Steering:
    """Decide for each request; all methods run in the event loop's thread."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        routes: RouteBook,
        backends: Backends,
        selector: Selector,
        background: Background,
        clock: Clock,
        rng: Random,
        log: EventLog,
        metrics: EdgeMetrics,
        bounds: RetryBounds,
        member_count: Callable[[], int],
        region_of_zone: Callable[[str], str],
    ) -> None:
        self._dialect = dialect
        self._routes = routes
        self._backends = backends
        self._selector = selector
        self._background = background
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self.bounds = bounds
        self._member_count = member_count
        self._region_of_zone = region_of_zone
        self._started_s = clock.now_s()
        self._budgets: dict[str, RetryBudget] = {}
        self.in_flight = 0

    def handle(self, pending: Pending) -> None:
        """Take a request; its answer follows in order on its connection."""
        request = pending.request
        table = self._routes.table
        if table is None or not len(self._backends):
            retry = _retry_after(STARTING_RETRY_S)
            self._end(pending, None, Outcome.STARTING, Answer(503, (retry,)))
            return
        route = self._routes.find(request.host, request.path)
        if route is None:
            self._end(pending, None, Outcome.NO_ROUTE, Answer(404))
            return
        left_s = TIME_LEFT_DEFAULT_S
        if request.time_left_ms is not None:
            left_s = request.time_left_ms / 1000.0
        work = Work(
            pending=pending,
            request=request,
            route=route,
            service=self._routes.next_service(route),
            key=request.affinity_key or request.request_id,
            limit_s=request.received_s + min(left_s, route.timeout_s),
        )
        self._budget(work.service).note_request(self._clock.now_s())
        self._background.spawn(self._carry, work)

    async def _carry(self, work: Work) -> None:
        self.in_flight += 1
        try:
            with anyio.move_on_after(work.limit_s - self._clock.now_s()) as scope:
                work.pending.cancel = scope.cancel
                while not await self._attempt(work):
                    pass
            if scope.cancelled_caught:
                if work.pending.is_abandoned:
                    self._end(work.pending, work, Outcome.CALLER_LEFT, None)
                elif work.failure is not None:
                    self._pass_on(work, Outcome.SERVER_FAILED, work.failure)
                else:
                    self._end(work.pending, work, Outcome.TIMED_OUT, Answer(504))
        finally:
            self.in_flight -= 1

    def prepare_connections(self) -> None:
        """While callers are served, open connections to distant servers that are new here."""
        self._backends.note_distances()
        if self.in_flight:
            for server in self._backends.unused_servers():
                if self._backends.wants_spare(server, self._member_count):
                    self._background.spawn(server.pool.open_spare)

    def _choose(self, work: Work, now_s: float) -> Choice:
        return self._selector.choose(
            work.service,
            work.key,
            work.route.goal_s,
            work.route.kind is RouteKind.UPLOAD,
            lambda zone: self._is_home(work.route, zone),
            work.tried,
            now_s,
        )

    async def _attempt(self, work: Work) -> bool:
        """Send the request once; tell whether it has ended."""
        now_s = self._clock.now_s()
        choice = self._choose(work, now_s)
        server = choice.server
        if server is None:
            self._refuse(work, choice)
            return True
        if work.sent and not self._budget(work.service).take(self._member_count(), now_s):
            work.reason = f"{work.reason}, no retry budget"
            self._give_up(work)
            return True
        attempt = _new_attempt(work, server, choice, now_s)
        server.in_flight += 1
        self._metrics.sent.inc()
        if self._backends.wants_spare(server, self._member_count):
            self._background.spawn(server.pool.open_spare)
        try:
            answer = await server.pool.exchange(
                encode_request(self._dialect, work, server.entry.server_id, now_s)
            )
            attempt.result = str(answer.status)
        except NotSent as error:
            attempt.result = error.code
            return self._take_not_sent(work, server, error)
        except ExchangeError as error:
            attempt.result = error.code
            return self._take_lost(work, server, error)
        finally:
            server.in_flight -= 1
            seconds = self._clock.now_s() - now_s
            attempt.server_ms = round_ms(seconds)
            self._metrics.note_attempt(work.service, attempt.result, seconds)
        work.sent += 1
        return self._take_answer(work, server, answer, seconds)

    def _take_not_sent(self, work: Work, server: Server, error: NotSent) -> bool:
        work.not_sent += 1
        work.reason = error.code
        self._note_failure(server, error)
        if work.not_sent > NOT_SENT_MAX:
            self._give_up(work)
            return True
        return False

    def _take_lost(self, work: Work, server: Server, error: ExchangeError) -> bool:
        work.sent += 1
        work.reason = error.code
        work.may_have_run = True
        self._note_failure(server, error)
        if work.route.kind.is_idempotent and work.sent < work.route.attempts_max:
            self._metrics.retries.labels(error.code).inc()
            return False
        self._give_up(work)
        return True

    def _take_answer(
        self, work: Work, server: Server, answer: ServerAnswer, seconds: float
    ) -> bool:
        now_s = self._clock.now_s()
        told = ToldLoad.parse(answer.find(self._dialect.load))
        if told is not None:
            server.note_load(told, now_s)
            if answer.status < 300:
                server.note_work(seconds, now_s)
        if server.failures:
            server.note_success()
            self._backends.note_back(server, now_s)
            self._log.event("server_back", server=server.entry.server_id)
        if answer.status == 421:
            server.is_replaced = True
            self._log.event("server_replaced", server=server.entry.server_id)
        if answer.status == 421 or answer.find(self._dialect.not_run) is not None:
            work.reason = f"server_refused_{answer.status}"
            if work.sent < work.route.attempts_max:
                self._metrics.retries.labels("server_refused").inc()
                return False
            self._give_up(work)
            return True
        outcome = Outcome.ANSWERED if answer.status < 500 else Outcome.SERVER_FAILED
        if outcome is Outcome.SERVER_FAILED and self._may_repeat_failure(work, now_s):
            work.reason = f"server_failed_{answer.status}"
            work.may_have_run = True
            work.failure = answer
            self._metrics.retries.labels("server_failed").inc()
            return False
        self._pass_on(work, outcome, answer)
        return True

    def _pass_on(self, work: Work, outcome: Outcome, answer: ServerAnswer) -> None:
        """End the request with a server's answer as it is."""
        self._end(work.pending, work, outcome, Answer(answer.status, answer.headers, answer.body))

    def _may_repeat_failure(self, work: Work, now_s: float) -> bool:
        return (
            work.route.kind.is_idempotent
            and work.sent < work.route.attempts_max
            and work.limit_s - now_s > work.route.goal_s
            and self._budget(work.service).left(self._member_count(), now_s) >= 1.0
        )

    def _refuse(self, work: Work, choice: Choice) -> None:
        work.reason = work.reason or str(choice.refusal)
        self._give_up(work, choice)

    def _give_up(self, work: Work, choice: Choice | None = None) -> None:
        """End a request without an answer to its last attempt.

        Where it has not run, it is refused with the time to come back.
        """
        if work.failure is not None:
            self._pass_on(work, Outcome.SERVER_FAILED, work.failure)
            return
        if work.may_have_run:
            self._end(work.pending, work, Outcome.ANSWER_LOST, Answer(502), choice)
            return
        left_s = TIME_LEFT_DEFAULT_S
        if work.request.time_left_ms is not None:
            elapsed_s = self._clock.now_s() - work.request.received_s
            left_s = max(0.0, work.request.time_left_ms / 1000.0 - elapsed_s)
        retry = _retry_after(left_s * self._rng.uniform(*COME_BACK_SHARE))
        self._end(work.pending, work, Outcome.REFUSED, Answer(503, (retry,)), choice)

    def _end(
        self,
        pending: Pending,
        work: Work | None,
        outcome: Outcome,
        answer: Answer | None,
        choice: Choice | None = None,
    ) -> None:
        request = pending.request
        if answer is not None:
            if outcome not in (Outcome.ANSWERED, Outcome.SERVER_FAILED) and request.request_id:
                name = self._dialect.request_id.title()
                headers = (*answer.headers, (name, request.request_id.encode("latin-1")))
                answer = attrs.evolve(answer, headers=headers)
            pending.respond(answer)
        total_s = self._clock.now_s() - request.received_s
        service = work.service if work else ""
        kind = work.route.kind.value if work else ""
        self._metrics.note_end(service, kind, outcome, work.reason if work else "", total_s)
        table = self._routes.table
        self._log.request_event(
            "request",
            failed=outcome is not Outcome.ANSWERED,
            request_id=request.request_id,
            outcome=outcome,
            status=answer.status if answer else 0,
            path=request.path,
            service=service,
            key=request.affinity_key,
            reason=work.reason if work else "",
            attempts=work.attempts if work else (),
            refused_at_load=round(choice.load, 2) if choice else None,
            retries_left=self._retries_left(work),
            total_ms=round_ms(total_s),
            time_left_ms=request.time_left_ms,
            routes_number=table.number if table else 0,
        )

    def _retries_left(self, work: Work | None) -> float | None:
        """Return what is left of the service's retry budget if the request used or wanted it."""
        if work is None or not work.reason:
            return None
        left = self._budget(work.service).left(self._member_count(), self._clock.now_s())
        return round(left, 1)

    def _note_failure(self, server: Server, error: ExchangeError) -> None:
        server.note_failure(self._clock.now_s())
        self._log.event(
            "server_failed",
            server=server.entry.server_id,
            address=server.entry.address,
            code=error.code,
            reason=str(error),
            failures=server.failures,
        )

    def _is_home(self, route: Route, availability_zone: str) -> bool:
        if not route.home_regions:
            return True
        return self._region_of_zone(availability_zone) in route.home_regions

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.bounds, self._started_s)
        budget.bounds = self.bounds
        return budget


def _retry_after(delay_s: float) -> Header:
    return (b"Retry-After", b"%.3f" % delay_s)


def _new_attempt(work: Work, server: Server, choice: Choice, now_s: float) -> Attempt:
    attempt = Attempt(
        server.entry.server_id,
        choice.rank,
        round(choice.load, 2),
        round_ms(choice.told_age_s) if math.isfinite(choice.told_age_s) else None,
        server.pace(now_s),
        at_ms=round_ms(now_s - work.request.received_s),
    )
    work.attempts.append(attempt)
    return attempt
