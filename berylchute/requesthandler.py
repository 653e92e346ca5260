"""Route a caller's request: select a backend server, send, retry or refuse."""

from collections.abc import Callable
from random import Random

import anyio

from berylchute.attempts import (
    ActiveRequest,
    Outcome,
    encode_request,
    round_ms,
    start_attempt,
)
from berylchute.backends import Backends
from berylchute.background import BackgroundTasks
from berylchute.callers import CallerAnswer, PendingRequest
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.exceptions import AnswerDropped, ExchangeError, NotSent, SendWithdrawn
from berylchute.headernames import HeaderNames
from berylchute.organisations import UnauthorizedReason
from berylchute.priorities import EqualRanks, Ranks
from berylchute.regionsends import RegionSends
from berylchute.requestends import TIME_LEFT_DEFAULT_S, RequestEnds
from berylchute.retrybudget import RetryBounds
from berylchute.retrybudgets import RetryBudgets
from berylchute.returns import ReturnDetector
from berylchute.routeindex import RouteIndex
from berylchute.selection import NoServerReason, Selection, Selector
from berylchute.sendchecks import SendChecks, SendPermits
from berylchute.servers import Server
from berylchute.servertracker import ServerTracker
from berylchute.sharedobjects import RouteKind
from berylchute.stoptimes import StopTimes
from berylchute.types import Clock
from berylchute.upstream import ServerAnswer

__all__ = ["RequestHandler"]

# Unreachable servers skipped for one request. Each may take CONNECT_TIMEOUT_S, and all of them
# together most of a usual time budget of 1.5 s.
NOT_SENT_MAX = 3


class RequestHandler:
    """Route callers' requests to backend servers.

    All methods must be called in the event loop's thread.
    """

    def __init__(
        self,
        *,
        header_names: HeaderNames,
        routes: RouteIndex,
        backends: Backends,
        selector: Selector,
        background_tasks: BackgroundTasks,
        clock: Clock,
        rng: Random,
        log: EventLog,
        metrics: EdgeMetrics,
        retry_bounds: RetryBounds,
        member_count: Callable[[], int],
        discovery: MemberDiscovery,
        region_of_zone: Callable[[str], str],
        region_sends: RegionSends,
        permits: SendPermits | None = None,
        ranks: Ranks | None = None,
    ) -> None:
        self._header_names = header_names
        self._routes = routes
        self._backends = backends
        self._selector = selector
        self._background_tasks = background_tasks
        self._clock = clock
        self._tracker = ServerTracker(backends, header_names, clock, log)
        self._metrics = metrics
        self._member_count = member_count
        self._region_of_zone = region_of_zone
        self._region_sends = region_sends
        self._retry_budgets = RetryBudgets(retry_bounds, discovery)
        self._ranks = ranks or EqualRanks(rng)
        self._ends = RequestEnds(
            ranks=self._ranks,
            header_names=header_names,
            routes=routes,
            retry_budgets=self._retry_budgets,
            member_count=member_count,
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
        )
        self._checks = SendChecks(routes, header_names.organisation, self._ends, permits)
        self._returns = ReturnDetector()
        self._scopes: set[anyio.CancelScope] = set()
        self.stop_times = StopTimes()

    @property
    def retry_bounds(self) -> RetryBounds:
        """Return the bounds of retries; they may be replaced."""
        return self._retry_budgets.bounds

    @retry_bounds.setter
    def retry_bounds(self, bounds: RetryBounds) -> None:
        self._retry_budgets.bounds = bounds

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._scopes)

    def handle(self, pending: PendingRequest) -> None:
        """Start processing a request; the answer is passed to `pending.respond`.

        Without a configuration, servers or a matching route, the request is answered at once.
        """
        request = pending.request
        table = self._routes.table
        if table is None or not len(self._backends):
            self._ends.refuse_starting(pending)
            return
        route = self._routes.find(request.host, request.path)
        if route is None:
            self._ends.end(pending, None, Outcome.NO_ROUTE, CallerAnswer(404))
            return
        identity = self._checks.identify(request, route)
        if isinstance(identity, UnauthorizedReason):
            self._ends.refuse_unauthorized(pending, None, identity)
            return
        remaining_s = TIME_LEFT_DEFAULT_S
        if request.time_left_ms is not None:
            remaining_s = request.time_left_ms / 1000.0
        active = ActiveRequest(
            pending=pending,
            request=request,
            route=route,
            service=self._routes.select_service(route),
            key=request.affinity_key or request.request_id,
            deadline_s=request.received_s + min(remaining_s, route.timeout_s),
            is_return=self._returns.is_return(route.name, request.time_left_ms, request.received_s),
        )
        if identity is not None:
            active.apply_identity(identity)
        self._retry_budgets.of(active.service).record_request(self._clock.now_s())
        self._background_tasks.start_isolated(self._run_attempts, active)

    def refuse(self, pending: PendingRequest) -> None:
        """Refuse a request whose body can't be held; it was not sent to any server."""
        self._ends.refuse_without_memory(pending)

    async def _run_attempts(self, active: ActiveRequest) -> None:
        scope = anyio.move_on_after(active.deadline_s - self._clock.now_s())
        self._scopes.add(scope)
        try:
            with scope:
                active.pending.cancel = scope.cancel
                while await self._checks.may_send(active) and not await self._send_attempt(active):
                    pass
            if scope.cancelled_caught:
                if active.pending.has_caller_left:
                    self._ends.end(active.pending, active, Outcome.CALLER_LEFT, None)
                elif active.failed_answer is not None:
                    self._ends.forward(active, Outcome.SERVER_FAILED, active.failed_answer)
                else:
                    self._ends.end(active.pending, active, Outcome.TIMED_OUT, CallerAnswer(504))
        except Exception as error:
            self._ends.end_failed(active, error)
        finally:
            self._scopes.discard(scope)
            self._checks.release_unused(active)

    def end_unfinished(self) -> None:
        """Answer the requests in flight as if their time were over, before the process ends."""
        for scope in tuple(self._scopes):
            scope.cancel()

    def prepare_connections(self) -> None:
        """Open connections to distant servers that have none, if requests are in flight."""
        self._ranks.update()
        self._backends.update_connect_times()
        if self.in_flight:
            for server in self._backends.unconnected_servers():
                if self._backends.should_open_spare(server, self._member_count):
                    self._background_tasks.start_isolated(server.pool.open_spare_connection)

    def _select_server(self, active: ActiveRequest, now_s: float) -> Selection:
        if active.home_regions is not None and not active.home_regions:
            return Selection(None, NoServerReason.NO_COMMON_REGION)
        selection = self._selector.select(
            active.service,
            active.key,
            active.route.goal_s,
            active.route.kind is RouteKind.UPLOAD,
            lambda zone: self._is_allowed_zone(active, zone),
            active.tried_ids,
            now_s,
            is_return=active.is_return,
            full_ratio=self._ranks.full_ratio(active),
        )
        self._ranks.record_selection(active, selection)
        return selection

    async def _send_attempt(self, active: ActiveRequest) -> bool:
        """Send the request to one server; return whether the request has ended."""
        now_s = self._clock.now_s()
        if not self.stop_times.leave_time_for(active.deadline_s):
            self._ends.refuse_stopping(active)
            return True
        selection = self._select_server(active, now_s)
        server = selection.server
        if server is None:
            active.reason = active.reason or str(selection.no_server_reason)
            self._ends.end_unanswered(active, selection)
            return True
        if active.send_count and not self._retry_budgets.of(active.service).acquire(
            self._member_count(), now_s, is_return=active.is_return
        ):
            active.reason = f"{active.reason}, no retry budget"
            self._ends.end_unanswered(active)
            return True
        attempt = start_attempt(active, server, selection, now_s)
        retry_cause = active.retry_cause
        server.in_flight += 1
        self._selector.record_send(server, now_s)
        self._metrics.sends.inc()
        skip_reason = selection.skip_reason or ""
        self._region_sends.record(active.service, self._backends.region_of(server), skip_reason)
        if server.rate_limit_per_s is not None:
            self._metrics.limited_sends.inc()
        if self._backends.should_open_spare(server, self._member_count):
            self._background_tasks.start_isolated(server.pool.open_spare_connection)
        try:
            answer = await server.pool.exchange(
                encode_request(
                    self._header_names,
                    active,
                    server.entry.server_id,
                    now_s,
                    may_send=lambda: self._checks.is_identity_current(active),
                )
            )
            attempt.result = str(answer.status)
        except SendWithdrawn as error:
            attempt.result = error.code
            return False
        except NotSent as error:
            attempt.result = error.code
            return self._handle_not_sent(active, server, error)
        except ExchangeError as error:
            attempt.result = error.code
            return self._handle_lost_answer(active, server, error)
        except anyio.get_cancelled_exc_class():
            if not active.pending.has_caller_left:
                self._tracker.record_timeout(server, now_s)
            raise
        finally:
            server.in_flight -= 1
            seconds = self._clock.now_s() - now_s
            attempt.server_ms = round_ms(seconds)
            self._metrics.record_attempt(active.service, attempt.result, seconds)
            if retry_cause and attempt.was_sent:
                self._metrics.retries.labels(retry_cause).inc()
        active.send_count += 1
        return self._handle_answer(active, server, answer, seconds)

    def _handle_not_sent(self, active: ActiveRequest, server: Server, error: NotSent) -> bool:
        """Handle an attempt that was not sent; return whether the request has ended."""
        active.not_sent_count += 1
        active.reason = error.code
        self._tracker.record_failure(server, error)
        if active.not_sent_count > NOT_SENT_MAX:
            self._ends.end_unanswered(active)
            return True
        return False

    def _handle_lost_answer(
        self, active: ActiveRequest, server: Server, error: ExchangeError
    ) -> bool:
        """Handle an attempt without a usable answer; return whether the request has ended."""
        active.send_count += 1
        active.reason = error.code
        active.may_have_run = True
        if not isinstance(error, AnswerDropped):
            self._tracker.record_failure(server, error)
        if active.route.kind.is_idempotent and active.send_count < active.route.attempts_max:
            active.retry_cause = error.code
            return False
        self._ends.end_unanswered(active)
        return True

    def _handle_answer(
        self, active: ActiveRequest, server: Server, answer: ServerAnswer, seconds: float
    ) -> bool:
        """Handle an answer after `seconds`; return whether the request has ended."""
        now_s = self._clock.now_s()
        self._tracker.record_answer(server, answer, seconds)
        is_not_run = answer.find_header(self._header_names.not_run) is not None
        if answer.status == 421 or is_not_run:
            active.reason = f"server_refused_{answer.status}"
            if active.send_count < active.route.attempts_max:
                active.retry_cause = "server_refused"
                return False
            self._ends.end_unanswered(active)
            return True
        outcome = Outcome.ANSWERED if answer.status < 500 else Outcome.SERVER_FAILED
        if outcome is Outcome.SERVER_FAILED and self._may_retry_failure(active, now_s):
            active.reason = f"server_failed_{answer.status}"
            active.may_have_run = True
            active.failed_answer = answer
            active.retry_cause = "server_failed"
            return False
        self._ends.forward(active, outcome, answer)
        return True

    def _may_retry_failure(self, active: ActiveRequest, now_s: float) -> bool:
        return (
            active.route.kind.is_idempotent
            and active.send_count < active.route.attempts_max
            and active.deadline_s - now_s > active.route.goal_s
            and self._retry_budgets.of(active.service).remaining(
                self._member_count(), now_s, is_return=active.is_return
            )
            >= 1.0
        )

    def _is_allowed_zone(self, active: ActiveRequest, availability_zone: str) -> bool:
        regions = active.home_regions
        return regions is None or self._region_of_zone(availability_zone) in regions
