"""End a caller's request: answer it, and record its outcome in metrics and the event log."""

import logging
from collections.abc import Callable
from random import Random

import attrs

from berylchute.attempts import ActiveRequest, Outcome, round_ms
from berylchute.callers import CallerAnswer, PendingRequest
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.headernames import HeaderNames
from berylchute.priorities import Ranks
from berylchute.retryafter import (
    STARTING_RETRY_AFTER_S,
    STOPPING_RETRY_AFTER_S,
    choose_delay_s,
    make_retry_after,
)
from berylchute.retrybudgets import RetryBudgets
from berylchute.routeindex import RouteIndex
from berylchute.selection import Selection
from berylchute.types import Clock
from berylchute.upstream import ServerAnswer

__all__ = ["TIME_LEFT_DEFAULT_S", "RequestEnds"]

logger = logging.getLogger(__name__)

# Remaining time assumed for callers that send no deadline: the usual timeout of HTTP clients.
TIME_LEFT_DEFAULT_S = 30.0


class RequestEnds:
    """Answer or refuse requests, and record how they ended."""

    def __init__(
        self,
        *,
        header_names: HeaderNames,
        routes: RouteIndex,
        retry_budgets: RetryBudgets,
        member_count: Callable[[], int],
        clock: Clock,
        rng: Random,
        log: EventLog,
        metrics: EdgeMetrics,
        ranks: Ranks,
    ) -> None:
        self._header_names = header_names
        self._routes = routes
        self._retry_budgets = retry_budgets
        self._member_count = member_count
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._ranks = ranks

    def refuse_without_memory(self, pending: PendingRequest) -> None:
        """Refuse a request whose body can't be held; it was not sent to any server."""
        remaining_s = TIME_LEFT_DEFAULT_S
        if pending.request.time_left_ms is not None:
            remaining_s = pending.request.time_left_ms / 1000.0
        headers = (make_retry_after(choose_delay_s(remaining_s, self._rng)),)
        self.end(pending, None, Outcome.NO_MEMORY, CallerAnswer(503, headers))

    def refuse_starting(self, pending: PendingRequest) -> None:
        """Refuse a request that arrived before the configuration or any server was known."""
        headers = (make_retry_after(STARTING_RETRY_AFTER_S),)
        self.end(pending, None, Outcome.STARTING, CallerAnswer(503, headers))

    def refuse_stopping(self, active: ActiveRequest) -> None:
        """End a request that may outlast this process, as not run unless it may have run."""
        active.reason = active.reason or "stopping"
        if active.may_have_run or active.failed_answer is not None:
            self.end_unanswered(active)
            return
        headers = (make_retry_after(STOPPING_RETRY_AFTER_S),)
        self.end(active.pending, active, Outcome.REFUSED, CallerAnswer(503, headers))

    def refuse_unauthorized(
        self, pending: PendingRequest, active: ActiveRequest | None, reason: str
    ) -> None:
        """Refuse a request whose route needs a valid key; it was not sent to any server."""
        answer = CallerAnswer(401, ((b"WWW-Authenticate", b"Bearer"),))
        self.end(pending, active, Outcome.UNAUTHORIZED, answer, reason=reason)

    def refuse_over_allotment(self, active: ActiveRequest, retry_after_s: float) -> None:
        """Refuse a request above the allotment of its organisation; it was not sent."""
        active.reason = Outcome.OVER_ALLOTMENT
        answer = CallerAnswer(429, (make_retry_after(retry_after_s),))
        self.end(active.pending, active, Outcome.OVER_ALLOTMENT, answer)

    def end_failed(self, active: ActiveRequest, error: Exception) -> None:
        """Answer a request whose processing raised an error that no code foresaw."""
        request_id = active.request.request_id
        logger.error("request %s failed, ending it: %r", request_id, error, exc_info=error)
        if active.pending.answer is not None:
            return
        active.reason = "internal_error"
        answer = CallerAnswer(502)
        if active.was_never_sent:
            answer = CallerAnswer(503, (make_retry_after(STARTING_RETRY_AFTER_S),))
        self.end(active.pending, active, Outcome.INTERNAL_ERROR, answer)

    def forward(self, active: ActiveRequest, outcome: Outcome, answer: ServerAnswer) -> None:
        """End the request with an unchanged answer of a server."""
        self.end(
            active.pending,
            active,
            outcome,
            CallerAnswer(answer.status, answer.headers, answer.body),
        )

    def end_unanswered(self, active: ActiveRequest, selection: Selection | None = None) -> None:
        """End a request whose last attempt got no answer that can be forwarded.

        A request that certainly has not run is refused with Retry-After.
        """
        if active.failed_answer is not None:
            self.forward(active, Outcome.SERVER_FAILED, active.failed_answer)
            return
        if active.may_have_run:
            self.end(active.pending, active, Outcome.ANSWER_LOST, CallerAnswer(502), selection)
            return
        remaining_s = TIME_LEFT_DEFAULT_S
        if active.request.time_left_ms is not None:
            elapsed_s = self._clock.now_s() - active.request.received_s
            remaining_s = max(0.0, active.request.time_left_ms / 1000.0 - elapsed_s)
        earliest_s = selection.retry_after_s if selection else 0.0
        headers = (make_retry_after(self._ranks.refuse(active, remaining_s, earliest_s)),)
        self.end(active.pending, active, Outcome.REFUSED, CallerAnswer(503, headers), selection)

    def end(
        self,
        pending: PendingRequest,
        active: ActiveRequest | None,
        outcome: Outcome,
        answer: CallerAnswer | None,
        selection: Selection | None = None,
        reason: str = "",
    ) -> None:
        """Answer the caller and record the outcome in metrics and the event log.

        `answer` is None if the caller has left, and `active` if the request was not routed or not
        authorized. `reason` is that of such a request.
        """
        request = pending.request
        if answer is not None:
            if outcome not in (Outcome.ANSWERED, Outcome.SERVER_FAILED) and request.request_id:
                name = self._header_names.request_id.title()
                headers = (*answer.headers, (name, request.request_id.encode("latin-1")))
                answer = attrs.evolve(answer, headers=headers)
            pending.respond(answer)
        total_s = self._clock.now_s() - request.received_s
        service = active.service if active else ""
        kind = active.route.kind.value if active else ""
        reason = reason or (active.reason if active else "")
        self._metrics.record_outcome(service, kind, outcome, reason, total_s)
        table = self._routes.table
        self._log.request_event(
            "request",
            failed=outcome is not Outcome.ANSWERED,
            request_id=request.request_id,
            outcome=outcome,
            status=answer.status if answer else 0,
            path=request.path,
            service=service,
            organisation=active.organisation.name if active and active.organisation else "",
            key=request.affinity_key,
            reason=reason,
            attempts=active.attempts if active else (),
            refused_at_load=round(selection.load, 2) if selection else None,
            retries_left=self._retries_left(active),
            total_ms=round_ms(total_s),
            time_left_ms=request.time_left_ms,
            routes_number=table.number if table else 0,
        )

    def _retries_left(self, active: ActiveRequest | None) -> float | None:
        """Return the service's remaining retry budget, None without a failure or refusal."""
        if active is None or not active.reason:
            return None
        remaining = self._retry_budgets.of(active.service).remaining(
            self._member_count(), self._clock.now_s()
        )
        return round(remaining, 1)
