"""Carry one request through attempts, retries and hedges to an answer."""

from collections.abc import Sequence
from functools import partial

import anyio
import attrs

from berylchute.background import Background
from berylchute.exceptions import ExchangeError
from berylchute.exchange import Answer, Attempt
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.intake import CallerGone
from berylchute.metrics import Metrics
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.transfers import Transfers
from berylchute.types import AttemptState, Clock
from berylchute.work import AttemptEnd, Exchanger, Placement, Placer, Work, exchange_headers

__all__ = ["Forwarder"]

ATTEMPTS_MAX = 3


@attrs.define(eq=False)
class _Race:
    """A first attempt and its hedge; the first answer wins."""

    server: str
    primary_scope: anyio.CancelScope = attrs.Factory(anyio.CancelScope)
    hedge_scope: anyio.CancelScope | None = None
    hedge_done: anyio.Event | None = None
    answer: Answer | None = None
    closed: bool = False


class Forwarder:
    """Find the answer to one request within its deadline."""

    def __init__(
        self,
        clock: Clock,
        placer: Placer,
        exchanger: Exchanger,
        metrics: Metrics,
        background: Background,
        budget: ExtraLoadBudget,
        delays: HedgeDelays,
        transfers: Transfers,
    ) -> None:
        self._clock = clock
        self._placer = placer
        self._exchanger = exchanger
        self._metrics = metrics
        self._background = background
        self._budget = budget
        self._delays = delays
        self._transfers = transfers

    async def answer(self, work: Work) -> Answer:
        """Return the answer; raise RefusedError with a truthful `not_run`."""
        answer: Answer | None = None
        self._budget.record_first_attempt()
        work.answer_bytes = self._transfers.expected_answer_bytes(work.kind.name)
        with anyio.CancelScope(deadline=work.deadline_s) as work.scope:
            answer = await self._attempts(work)
        if answer is not None:
            return answer
        if work.caller_gone:
            raise CallerGone
        if _none_ran(work.record.attempts):
            raise RefusedError(RefusalCode.DEADLINE_PASSED, "not sent in time", not_run=True)
        raise _unanswered(work, RefusalCode.DEADLINE_EXCEEDED, "no answer in time")

    async def close(self, answer: Answer, *, is_complete: bool) -> None:
        """End a streamed answer; an incomplete one is cancelled at the server."""
        placement, answer.placement = answer.placement, None
        if answer.rest is not None:
            with anyio.CancelScope(shield=True):
                await answer.rest.aclose()
        if isinstance(placement, Placement):
            if is_complete:
                self._placer.finish(placement, AttemptEnd.ANSWERED, confirmed=True)
            else:
                self._give_up(placement, answer.attempt, AttemptEnd.CANCELLED)

    async def _attempts(self, work: Work) -> Answer:
        excluded: frozenset[str] = frozenset()
        while True:
            placement = await self._place(work, excluded)
            attempt = self._new_attempt(work, placement)
            excluded |= {placement.target.name}
            try:
                answer = await self._run(work, placement, attempt)
            except ExchangeError as error:
                if not self._may_retry(work, attempt):
                    raise _failed(work, error) from error
                self._metrics.retries.labels(error.code).inc()
                continue
            if not answer.not_run:
                return answer
            # A shed request put no load on its server, so its retry needs no budget.
            if not work.replayable() or len(work.record.attempts) >= ATTEMPTS_MAX:
                not_run = _none_ran(work.record.attempts)
                raise RefusedError(RefusalCode.SHED, "the servers shed load", not_run=not_run)
            self._metrics.retries.labels("shed").inc()

    async def _place(self, work: Work, excluded: frozenset[str]) -> Placement:
        try:
            return await self._placer.place(work, excluded)
        except RefusedError as error:
            if _none_ran(work.record.attempts):
                raise
            # An earlier attempt may have run, so the queue's refusal must not say otherwise.
            reason = f"no retry was possible: {error.refusal.code.value}"
            raise _unanswered(work, RefusalCode.SERVER_FAILED, reason) from error

    def _new_attempt(self, work: Work, placement: Placement) -> Attempt:
        number = len(work.record.attempts) + 1
        attempt = Attempt(f"{work.attempt_prefix}.{number}", placement.target.name)
        work.record.attempts.append(attempt)
        return attempt

    def _may_retry(self, work: Work, attempt: Attempt) -> bool:
        if not work.replayable() or len(work.record.attempts) >= ATTEMPTS_MAX:
            return False
        if attempt.state is AttemptState.NOT_SENT:
            return True
        return work.kind.idempotent and self._budget.try_retry(self._clock.now_s())

    async def _run(self, work: Work, placement: Placement, attempt: Attempt) -> Answer:
        """Run one attempt, with a hedge when the kind allows it and its delay is known."""
        delay_s = None
        if work.kind.may_hedge and work.kind.idempotent and isinstance(work.body, bytes):
            delay_s = self._delays.delay_s(work.kind.name)
        if delay_s is None or len(work.record.attempts) > 1:
            return await self._exchange(work, placement, attempt)
        race = _Race(attempt.server)
        timer = self._background.call_later(delay_s, self._start_hedge, work, race)
        answer: Answer | None = None
        try:
            answer = await self._race(work, placement, attempt, race)
            return answer
        finally:
            timer.cancel()
            race.closed = True
            if race.hedge_scope is not None:
                race.hedge_scope.cancel()
            if race.answer is not None and race.answer is not answer:
                self._background.spawn(partial(self.close, race.answer, is_complete=False))

    async def _race(
        self, work: Work, placement: Placement, attempt: Attempt, race: _Race
    ) -> Answer:
        answer: Answer | None = None
        failure: ExchangeError | None = None
        try:
            with race.primary_scope:
                answer = await self._exchange(work, placement, attempt)
        except ExchangeError as error:
            failure = error
        if answer is not None and not answer.not_run:
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

    def _start_hedge(self, work: Work, race: _Race) -> None:
        if race.closed:
            return
        placement = self._placer.try_place(work, frozenset({race.server}))
        if placement is None:
            self._metrics.hedges.labels("no_slot").inc()
            return
        if not self._budget.try_hedge():
            self._placer.finish(placement, AttemptEnd.NOT_SENT, confirmed=True)
            self._metrics.hedges.labels("no_budget").inc()
            return
        race.hedge_done = anyio.Event()
        race.hedge_scope = anyio.CancelScope(deadline=work.deadline_s)
        attempt = self._new_attempt(work, placement)
        attempt.hedge = True
        self._background.spawn(self._hedge, work, race, placement, attempt)

    async def _hedge(self, work: Work, race: _Race, placement: Placement, attempt: Attempt) -> None:
        assert race.hedge_scope is not None and race.hedge_done is not None
        answer: Answer | None = None
        try:
            with race.hedge_scope:
                answer = await self._exchange(work, placement, attempt)
        except ExchangeError:
            self._metrics.hedges.labels("failed").inc()
        finally:
            if answer is None:
                result = "lost" if race.hedge_scope.cancelled_caught else ""
                if result:
                    self._metrics.hedges.labels(result).inc()
            elif race.closed:
                self._metrics.hedges.labels("lost").inc()
                await self.close(answer, is_complete=False)
            elif not answer.not_run:
                race.answer = answer
                race.primary_scope.cancel()
            race.hedge_done.set()

    async def _exchange(self, work: Work, placement: Placement, attempt: Attempt) -> Answer:
        try:
            await self._transfers.reserve(work, placement)
            if work.guard is not None:
                work.guard.before_send()
            headers = exchange_headers(work, placement.target, attempt, self._clock.now_s())
            answer = await self._exchanger.run(
                placement.target,
                attempt,
                work.method,
                work.target,
                headers,
                self._transfers.body(work, placement),
            )
            self._transfers.take_answer(work, placement, answer)
        except BaseException as error:
            if attempt.state is AttemptState.NOT_SENT:
                if work.guard is not None:
                    work.guard.not_run()
                broken = isinstance(error, ExchangeError)
                end = AttemptEnd.UNREACHABLE if broken else AttemptEnd.NOT_SENT
                self._placer.finish(placement, end, confirmed=True)
            else:
                broken = isinstance(error, ExchangeError)
                end = AttemptEnd.BROKEN if broken else AttemptEnd.CANCELLED
                self._give_up(placement, attempt, end)
            raise
        if answer.rest is not None:
            answer.placement = placement
            return answer
        if answer.not_run:
            attempt.shed = True
            if work.guard is not None:
                work.guard.not_run()
            self._placer.finish(placement, AttemptEnd.SHED, confirmed=True)
        else:
            self._delays.record(work.kind.name, attempt.ended_s - attempt.started_s)
            self._placer.finish(placement, AttemptEnd.ANSWERED, confirmed=True)
        return answer

    def _give_up(self, placement: Placement, attempt: Attempt | None, end: AttemptEnd) -> None:
        """Keep the units of an attempt that may still run, and ask its server to stop it."""
        self._placer.finish(placement, end, confirmed=False)
        if attempt is not None:
            self._background.spawn(self._cancel, placement, attempt)

    async def _cancel(self, placement: Placement, attempt: Attempt) -> None:
        confirmed = await self._exchanger.cancel(placement.target, attempt.attempt_id)
        self._metrics.cancellations.labels("confirmed" if confirmed else "unconfirmed").inc()
        if confirmed:
            self._placer.confirm(placement)


def _none_ran(attempts: Sequence[Attempt]) -> bool:
    return all(attempt.state is AttemptState.NOT_SENT or attempt.shed for attempt in attempts)


def _unanswered(work: Work, code: RefusalCode, reason: str) -> RefusedError:
    """Return the refusal of work that may have run; only idempotent work may be repeated."""
    if not work.kind.idempotent:
        code = RefusalCode.OUTCOME_UNKNOWN
    return RefusedError(code, reason, not_run=False)


def _failed(work: Work, error: ExchangeError) -> RefusedError:
    if _none_ran(work.record.attempts):
        return RefusedError(RefusalCode.SERVER_UNREACHABLE, error.code, not_run=True)
    return _unanswered(work, RefusalCode.SERVER_FAILED, error.code)
