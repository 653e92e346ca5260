"""Forward one request, with retries and hedges, until it has an answer."""

from collections.abc import Sequence
from functools import partial

import anyio
import attrs

from berylchute.background import BackgroundTasks
from berylchute.exceptions import ExchangeError
from berylchute.exchange import Attempt, MatchedAnswer
from berylchute.forwardedrequest import (
    AttemptEnd,
    Exchanger,
    ForwardedRequest,
    Placement,
    Placer,
    exchange_headers,
)
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.metrics import Metrics
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.requesthead import CallerGone
from berylchute.transfers import Transfers
from berylchute.types import AttemptState, Clock

__all__ = ["Forwarder"]

ATTEMPTS_MAX = 3
CANCEL_AFTER_SENT_S = 0.05


@attrs.define(eq=False)
class _Race:
    """A first attempt and its hedge; the first answer is used."""

    server: str
    primary_scope: anyio.CancelScope = attrs.Factory(anyio.CancelScope)
    hedge_scope: anyio.CancelScope | None = None
    hedge_done: anyio.Event | None = None
    answer: MatchedAnswer | None = None
    is_closed: bool = False


class Forwarder:
    """Forward requests to backend servers within their deadlines."""

    def __init__(
        self,
        clock: Clock,
        placer: Placer,
        exchanger: Exchanger,
        metrics: Metrics,
        background_tasks: BackgroundTasks,
        budget: ExtraLoadBudget,
        delays: HedgeDelays,
        transfers: Transfers,
    ) -> None:
        self._clock = clock
        self._placer = placer
        self._exchanger = exchanger
        self._metrics = metrics
        self._background_tasks = background_tasks
        self._budget = budget
        self._delays = delays
        self._transfers = transfers

    async def forward(self, request: ForwardedRequest) -> MatchedAnswer:
        """Return the answer; raise RefusedError, with `not_run` set only if no attempt ran.

        Raise CallerGone if the caller disconnected.
        """
        answer: MatchedAnswer | None = None
        self._budget.record_first_attempt()
        request.answer_bytes = self._transfers.expected_answer_bytes(request.kind.name)
        with anyio.CancelScope(deadline=request.deadline_s) as request.cancel_scope:
            answer = await self._run_attempts(request)
        if answer is not None:
            return answer
        if request.is_caller_gone:
            raise CallerGone
        if _none_ran(request.record.attempts):
            raise RefusedError(RefusalCode.DEADLINE_PASSED, "not sent in time", not_run=True)
        raise _may_have_run_error(request, RefusalCode.DEADLINE_EXCEEDED, "no answer in time")

    async def finish_answer(self, answer: MatchedAnswer, *, is_complete: bool) -> None:
        """Release a streamed answer; cancel its attempt at the server if it is incomplete."""
        placement, answer.placement = answer.placement, None
        if answer.remaining_body is not None:
            with anyio.CancelScope(shield=True):
                await answer.remaining_body.aclose()
        if isinstance(placement, Placement):
            if is_complete:
                self._placer.finish(placement, AttemptEnd.ANSWERED, is_end_confirmed=True)
            else:
                self._abandon(placement, answer.attempt, AttemptEnd.CANCELLED)

    async def _run_attempts(self, request: ForwardedRequest) -> MatchedAnswer:
        excluded_servers: frozenset[str] = frozenset()
        while True:
            placement = await self._place(request, excluded_servers)
            attempt = self._new_attempt(request, placement)
            excluded_servers |= {placement.target.name}
            try:
                answer = await self._run_attempt(request, placement, attempt)
            except ExchangeError as error:
                if not self._may_retry(request, attempt):
                    raise _exchange_failed_error(request, error) from error
                self._metrics.retries.labels(error.code).inc()
                continue
            if not answer.is_not_run:
                return answer
            # A shed request put no load on its server, so its retry needs no token.
            if not request.can_replay_body() or len(request.record.attempts) >= ATTEMPTS_MAX:
                not_run = _none_ran(request.record.attempts)
                raise RefusedError(RefusalCode.SHED, "the servers shed load", not_run=not_run)
            self._metrics.retries.labels("shed").inc()

    async def _place(
        self, request: ForwardedRequest, excluded_servers: frozenset[str]
    ) -> Placement:
        try:
            return await self._placer.place(request, excluded_servers)
        except RefusedError as error:
            if _none_ran(request.record.attempts):
                raise
            # An earlier attempt may have run, so the refusal must not be reported as not run.
            reason = f"no retry was possible: {error.refusal.code.value}"
            raise _may_have_run_error(request, RefusalCode.SERVER_FAILED, reason) from error

    def _new_attempt(self, request: ForwardedRequest, placement: Placement) -> Attempt:
        number = len(request.record.attempts) + 1
        attempt = Attempt(f"{request.attempt_prefix}.{number}", placement.target.name)
        request.record.attempts.append(attempt)
        return attempt

    def _may_retry(self, request: ForwardedRequest, attempt: Attempt) -> bool:
        if not request.can_replay_body() or len(request.record.attempts) >= ATTEMPTS_MAX:
            return False
        if attempt.state is AttemptState.NOT_SENT:
            return True
        return request.kind.idempotent and self._budget.try_spend_retry(self._clock.now_s())

    async def _run_attempt(
        self, request: ForwardedRequest, placement: Placement, attempt: Attempt
    ) -> MatchedAnswer:
        """Run one attempt, with a hedge if the kind allows it and the hedge delay is known."""
        delay_s = None
        if request.kind.may_hedge and request.kind.idempotent and isinstance(request.body, bytes):
            delay_s = self._delays.delay_s(request.kind.name)
        if delay_s is None or len(request.record.attempts) > 1:
            return await self._exchange(request, placement, attempt)
        race = _Race(attempt.server)
        timer = self._background_tasks.call_later(delay_s, self._start_hedge, request, race)
        answer: MatchedAnswer | None = None
        try:
            answer = await self._run_first_attempt(request, placement, attempt, race)
            return answer
        finally:
            timer.cancel()
            race.is_closed = True
            if race.hedge_scope is not None:
                race.hedge_scope.cancel()
            if race.answer is not None and race.answer is not answer:
                self._background_tasks.start_isolated(
                    partial(self.finish_answer, race.answer, is_complete=False)
                )

    async def _run_first_attempt(
        self, request: ForwardedRequest, placement: Placement, attempt: Attempt, race: _Race
    ) -> MatchedAnswer:
        """Return the answer of the first attempt, or of the hedge if that wins the race."""
        answer: MatchedAnswer | None = None
        failure: ExchangeError | None = None
        try:
            with race.primary_scope:
                answer = await self._exchange(request, placement, attempt)
        except ExchangeError as error:
            failure = error
        if answer is not None and not answer.is_not_run:
            return answer
        if race.hedge_done is not None:
            await race.hedge_done.wait()
        if race.answer is not None:
            self._metrics.hedges.labels("won").inc()
            return race.answer
        if failure is not None:
            raise failure
        assert answer is not None
        return answer

    def _start_hedge(self, request: ForwardedRequest, race: _Race) -> None:
        """Start a hedge if another server has a free slot and the budget allows it."""
        if race.is_closed:
            return
        placement = self._placer.try_place(request, frozenset({race.server}))
        if placement is None:
            self._metrics.hedges.labels("no_slot").inc()
            return
        if not self._budget.try_spend_hedge():
            self._placer.finish(placement, AttemptEnd.NOT_SENT, is_end_confirmed=True)
            self._metrics.hedges.labels("no_budget").inc()
            return
        race.hedge_done = anyio.Event()
        race.hedge_scope = anyio.CancelScope(deadline=request.deadline_s)
        attempt = self._new_attempt(request, placement)
        attempt.is_hedge = True
        self._background_tasks.start_isolated(self._run_hedge, request, race, placement, attempt)

    async def _run_hedge(
        self, request: ForwardedRequest, race: _Race, placement: Placement, attempt: Attempt
    ) -> None:
        assert race.hedge_scope is not None and race.hedge_done is not None
        answer: MatchedAnswer | None = None
        try:
            with race.hedge_scope:
                answer = await self._exchange(request, placement, attempt)
        except ExchangeError:
            self._metrics.hedges.labels("failed").inc()
        finally:
            if answer is None:
                result = "lost" if race.hedge_scope.cancelled_caught else ""
                if result:
                    self._metrics.hedges.labels(result).inc()
            elif race.is_closed:
                self._metrics.hedges.labels("lost").inc()
                await self.finish_answer(answer, is_complete=False)
            elif answer.is_not_run:
                self._metrics.hedges.labels("shed").inc()
            else:
                race.answer = answer
                race.primary_scope.cancel()
            race.hedge_done.set()

    async def _exchange(
        self, request: ForwardedRequest, placement: Placement, attempt: Attempt
    ) -> MatchedAnswer:
        """Send one attempt and finish its placement, unless the answer is still streamed."""
        try:
            await self._transfers.wait_for_budget(request, placement)
            if request.run_guard is not None:
                request.run_guard.check_may_send()
            headers = exchange_headers(request, placement.target, attempt, self._clock.now_s())
            answer = await self._exchanger.send_request(
                placement.target,
                attempt,
                request.method,
                request.target,
                headers,
                self._transfers.body(request, placement),
            )
            self._transfers.charge_answer(request, placement, answer)
        except BaseException as error:
            if attempt.state is AttemptState.NOT_SENT:
                if request.run_guard is not None:
                    request.run_guard.mark_not_run()
                is_exchange_error = isinstance(error, ExchangeError)
                end = AttemptEnd.UNREACHABLE if is_exchange_error else AttemptEnd.NOT_SENT
                self._placer.finish(placement, end, is_end_confirmed=True)
            else:
                is_exchange_error = isinstance(error, ExchangeError)
                end = AttemptEnd.BROKEN if is_exchange_error else AttemptEnd.CANCELLED
                self._abandon(placement, attempt, end)
            raise
        if answer.remaining_body is not None:
            answer.placement = placement
            return answer
        if answer.is_not_run:
            attempt.is_shed = True
            if request.run_guard is not None:
                request.run_guard.mark_not_run()
            self._placer.finish(placement, AttemptEnd.SHED, is_end_confirmed=True)
        else:
            self._delays.record(request.kind.name, attempt.ended_s - attempt.started_s)
            self._placer.finish(placement, AttemptEnd.ANSWERED, is_end_confirmed=True)
        return answer

    def _abandon(self, placement: Placement, attempt: Attempt | None, end: AttemptEnd) -> None:
        """Keep the units of an attempt that may still run, and cancel it at its server."""
        self._placer.finish(placement, end, is_end_confirmed=False)
        if attempt is not None:
            self._background_tasks.start_isolated(self._cancel, placement, attempt)

    async def _cancel(self, placement: Placement, attempt: Attempt) -> None:
        # The cancellation is delayed because a server that received it before the request would
        # confirm it and then run the request.
        await anyio.sleep(max(0.0, attempt.sent_s + CANCEL_AFTER_SENT_S - self._clock.now_s()))
        confirmed = await self._exchanger.cancel(placement.target, attempt.attempt_id)
        self._metrics.cancellations.labels("confirmed" if confirmed else "unconfirmed").inc()
        if confirmed:
            self._placer.release_confirmed(placement)


def _none_ran(attempts: Sequence[Attempt]) -> bool:
    return all(attempt.state is AttemptState.NOT_SENT or attempt.is_shed for attempt in attempts)


def _may_have_run_error(request: ForwardedRequest, code: RefusalCode, reason: str) -> RefusedError:
    """Return the error for a request that may have run.

    Only an idempotent request may be repeated, so any other gets OUTCOME_UNKNOWN.
    """
    if not request.kind.idempotent:
        code = RefusalCode.OUTCOME_UNKNOWN
    return RefusedError(code, reason, not_run=False)


def _exchange_failed_error(request: ForwardedRequest, error: ExchangeError) -> RefusedError:
    if _none_ran(request.record.attempts):
        return RefusedError(RefusalCode.SERVER_UNREACHABLE, error.code, not_run=True)
    return _may_have_run_error(request, RefusalCode.SERVER_FAILED, error.code)
