"""Check that each request gets its own answer or a correct refusal, and never runs twice."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest

from berylchute.background import BackgroundTasks
from berylchute.exchange import AnswerShort, MatchedAnswer
from berylchute.forwardedrequest import AttemptEnd, ForwardedRequest
from berylchute.forwarding import Forwarder
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.metrics import Metrics
from berylchute.node import MonotonicClock
from berylchute.refusals import Refusal, RefusalCode, RefusedError
from berylchute.transfers import Transfers
from tests.backends import (
    CLOSE,
    Call,
    FakePlacer,
    FakeServers,
    NoLimits,
    Script,
    answer,
    make_forwarded_request,
    make_kind,
)

CLOCK = MonotonicClock()
IDEMPOTENT = make_kind()
NON_IDEMPOTENT = make_kind(idempotent=False)
HEDGED = make_kind(may_hedge=True)


def answer_id(call: Call) -> list[bytes]:
    return [answer(call, call.attempt_id.encode())]


def answer_other_request(call: Call) -> list[bytes]:
    other = Call(0, 0, "GET", "/", "other.1", b"")
    return [answer(other, b"secret")]


def answer_truncated(call: Call) -> list[bytes]:
    return [answer(call, b"0123456789")[:-4], CLOSE]


def close_early(call: Call) -> list[bytes]:
    return [CLOSE]


def no_answer(call: Call) -> list[bytes]:
    return []


def shed_request(call: Call) -> list[bytes]:
    return [answer(call, b"", 503, "Berylchute-Not-Run: 1\r\n")]


def answer_unframed(call: Call) -> list[bytes]:
    head = f"HTTP/1.1 200 X\r\nBerylchute-Request-Id: {call.attempt_id}\r\n\r\nhalf"
    return [head.encode(), CLOSE]


class ForwarderHarness:
    """A forwarder with fake servers."""

    def __init__(self, *scripts: Script | None, servers: int | None = None) -> None:
        numbered = {n: script for n, script in enumerate(scripts, 1) if script is not None}
        self.servers = FakeServers(numbered)
        self.placer = FakePlacer(servers or len(scripts))
        self.delays = HedgeDelays()
        self.budget = ExtraLoadBudget()
        self.background = BackgroundTasks()
        self.links = NoLimits()
        self.metrics = Metrics()
        self.exchanger = self.servers.exchanger(CLOCK)
        self.forwarder = Forwarder(
            CLOCK,
            self.placer,
            self.exchanger,
            self.metrics,
            self.background,
            self.budget,
            self.delays,
            Transfers(self.links, self.background),
        )

    def run(self, test: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            with anyio.fail_after(20):
                async with self.background:
                    await test()

        anyio.run(main)

    async def refusal(self, request: ForwardedRequest) -> Refusal:
        with pytest.raises(RefusedError) as caught:
            await self.forwarder.forward(request)
        return caught.value.refusal


def _deadline_s(timeout_s: float = 5.0) -> float:
    return CLOCK.now_s() + timeout_s


@pytest.mark.parametrize(
    "bad", [answer_other_request, answer_truncated, close_early, answer_unframed]
)
def test_a_bad_answer_is_retried_and_its_connection_dropped(bad: Script) -> None:
    """Guard against foreign or partial bytes in this answer or a later one on the connection."""
    harness = ForwarderHarness(bad, answer_id)

    async def test() -> None:
        first = await harness.forwarder.forward(make_forwarded_request(IDEMPOTENT, _deadline_s()))
        assert first.body == b"id.2"
        assert harness.servers.calls[0].connection in harness.servers.closed

    harness.run(test)


@pytest.mark.parametrize(
    "bad", [answer_other_request, answer_truncated, close_early, answer_unframed]
)
def test_a_non_idempotent_request_is_not_sent_twice(bad: Script) -> None:
    """Guard against a second run, or a false report of not run, after the answer was lost."""
    harness = ForwarderHarness(bad, answer_id)

    async def test() -> None:
        refusal = await harness.refusal(make_forwarded_request(NON_IDEMPOTENT, _deadline_s(), b"1"))
        assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)
        assert len(harness.servers.calls) == 1

    harness.run(test)


def test_a_shed_request_is_retried_elsewhere() -> None:
    """Guard against refusing a request that another server would accept."""
    harness = ForwarderHarness(shed_request, answer_id)

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(NON_IDEMPOTENT, _deadline_s(), b"1")
        )
        assert received.body == b"id.2"
        assert harness.placer.ends[0] == ("1", AttemptEnd.SHED, True)

    harness.run(test)


def test_unreachable_servers_are_reported_as_not_run() -> None:
    """Guard against reporting an unknown outcome for a request that was never sent."""
    harness = ForwarderHarness(None, None, None)

    async def test() -> None:
        refusal = await harness.refusal(make_forwarded_request(NON_IDEMPOTENT, _deadline_s(), b"1"))
        assert (refusal.code, refusal.not_run) == (RefusalCode.SERVER_UNREACHABLE, True)
        assert [end[1:] for end in harness.placer.ends] == [(AttemptEnd.UNREACHABLE, True)] * 3

    harness.run(test)


def test_a_queue_refusal_after_a_sent_attempt_is_not_reported_as_not_run() -> None:
    """Guard against reporting a request as not run when only its retry was refused."""
    harness = ForwarderHarness(close_early)

    async def test() -> None:
        refusal = await harness.refusal(make_forwarded_request(IDEMPOTENT, _deadline_s()))
        assert not refusal.not_run

    harness.run(test)


def test_a_timed_out_attempt_is_cancelled_and_keeps_its_units() -> None:
    """Guard against releasing units while the server may still run the attempt."""
    harness = ForwarderHarness(no_answer)

    async def test() -> None:
        refusal = await harness.refusal(make_forwarded_request(IDEMPOTENT, _deadline_s(0.05)))
        assert (refusal.code, refusal.not_run) == (RefusalCode.DEADLINE_EXCEEDED, False)
        assert harness.placer.ends == [("1", AttemptEnd.CANCELLED, False)]
        while not harness.placer.confirmed:
            await anyio.sleep(0.001)
        assert harness.servers.cancelled == ["id.1"]

    harness.run(test)


def test_a_late_answer_does_not_reach_the_next_request() -> None:
    """Guard against reusing a connection on which a late answer is still to arrive."""
    late: list[Call] = []

    def first_unanswered(call: Call) -> list[bytes]:
        late.append(call)
        return [] if len(late) == 1 else [answer(late[0], b"late"), answer(call, b"own")]

    harness = ForwarderHarness(first_unanswered)

    async def test() -> None:
        await harness.refusal(make_forwarded_request(IDEMPOTENT, _deadline_s(0.05)))
        refusal = await harness.refusal(
            make_forwarded_request(IDEMPOTENT, _deadline_s(), prefix="next")
        )
        assert not refusal.not_run
        assert late[0].connection != late[1].connection

    harness.run(test)


def test_surplus_bytes_do_not_answer_the_next_request() -> None:
    """Guard against reading a duplicate answer as the answer of the next request."""
    harness = ForwarderHarness(lambda call: [answer(call, b"own") * 2])

    async def test() -> None:
        assert (
            await harness.forwarder.forward(make_forwarded_request(IDEMPOTENT, _deadline_s()))
        ).body == b"own"
        request = make_forwarded_request(IDEMPOTENT, _deadline_s(), prefix="next")
        try:
            second: MatchedAnswer | None = await harness.forwarder.forward(request)
        except RefusedError as error:
            assert not error.refusal.not_run
            second = None
        if second is not None:
            assert request.record.attempts[-1].attempt_id == harness.servers.calls[-1].attempt_id

    harness.run(test)


def test_a_hedge_answers_instead_of_a_slow_server() -> None:
    """Guard against a short request that waits for a slow server although another could answer."""
    harness = ForwarderHarness(no_answer, answer_id)
    for _ in range(30):
        harness.delays.record("k", 0.001)
        harness.budget.record_first_attempt()

    async def test() -> None:
        request = make_forwarded_request(HEDGED, _deadline_s())
        received = await harness.forwarder.forward(request)
        assert received.body == b"id.2"
        while not harness.servers.cancelled:
            await anyio.sleep(0.001)
        assert harness.servers.cancelled == ["id.1"]
        assert ("1", AttemptEnd.CANCELLED, False) in harness.placer.ends

    harness.run(test)


@pytest.mark.parametrize("reason", ["budget", "slot", "kind"])
def test_no_hedge_without_budget_slot_or_permission(reason: str) -> None:
    """Guard against hedges that overload servers or run a non-idempotent request twice."""
    harness = ForwarderHarness(no_answer, answer_id)
    for _ in range(30):
        harness.delays.record("k", 0.001)
        if reason != "budget":
            harness.budget.record_first_attempt()
    harness.placer.has_free_slot = reason != "slot"

    async def test() -> None:
        kind = make_kind(idempotent=False, may_hedge=True) if reason == "kind" else HEDGED
        await harness.refusal(make_forwarded_request(kind, _deadline_s(0.1)))
        assert [call.server for call in harness.servers.calls] == [1]

    harness.run(test)


def _long_answer(call: Call) -> list[bytes]:
    whole = answer(call, b"x" * 200_000)
    return [whole[start : start + 65536] for start in range(0, len(whole), 65536)]


def _truncated_long_answer(call: Call) -> list[bytes]:
    return [*_long_answer(call)[:2], CLOSE]


def test_a_long_answer_streams_whole() -> None:
    """Guard against buffering long bodies in memory, and releasing units before the body ends."""
    harness = ForwarderHarness(_long_answer)

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(IDEMPOTENT, _deadline_s())
        )
        assert received.remaining_body is not None
        assert received.body_bytes == 200_000
        assert harness.placer.ends == []
        size = len(received.body) + sum([len(chunk) async for chunk in received.remaining_body])
        await harness.forwarder.finish_answer(received, is_complete=True)
        assert size == 200_000
        assert harness.placer.ends == [("1", AttemptEnd.ANSWERED, True)]

    harness.run(test)


def test_a_truncated_long_answer_is_an_error() -> None:
    """Guard against a truncated stream that looks complete."""
    harness = ForwarderHarness(_truncated_long_answer)

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(IDEMPOTENT, _deadline_s())
        )
        assert received.remaining_body is not None
        with pytest.raises(AnswerShort):
            async for _ in received.remaining_body:
                pass
        await harness.forwarder.finish_answer(received, is_complete=False)
        assert harness.placer.ends == [("1", AttemptEnd.CANCELLED, False)]

    harness.run(test)


class _Upload:
    is_read_started = False
    is_complete = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.is_read_started = True
        yield b"part"
        self.is_complete = True


def test_a_consumed_upload_is_not_retried() -> None:
    """Guard against a retry that sends the rest of a body as if it were the whole body."""
    harness = ForwarderHarness(close_early, answer_id)

    async def test() -> None:
        refusal = await harness.refusal(
            make_forwarded_request(IDEMPOTENT, _deadline_s(), _Upload())
        )
        assert (refusal.code, refusal.not_run) == (RefusalCode.SERVER_FAILED, False)
        assert len(harness.servers.calls) == 1

    harness.run(test)


def test_an_untouched_upload_is_retried() -> None:
    """Guard against an upload that fails because its first server refused the connection."""
    harness = ForwarderHarness(None, answer_id)

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(IDEMPOTENT, _deadline_s(), _Upload())
        )
        assert received.body == b"id.2"

    harness.run(test)


def test_bytes_in_both_directions_are_charged_to_links() -> None:
    """Guard against uploads or answers that use a link without being charged to its budget."""
    harness = ForwarderHarness(_long_answer)
    harness.placer.outbound_link, harness.placer.return_link = "out", "back"

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(IDEMPOTENT, _deadline_s(), _Upload())
        )
        assert received.remaining_body is not None
        size = len(received.body) + sum([len(chunk) async for chunk in received.remaining_body])
        await harness.forwarder.finish_answer(received, is_complete=True)
        await anyio.wait_all_tasks_blocked()
        charged = {"out": 0, "back": 0}
        for link, count in harness.links.sent:
            charged[link] += count
        assert charged["out"] >= len(b"part")
        assert charged["back"] >= size

    harness.run(test)


def test_requests_within_the_region_are_not_charged() -> None:
    """Guard against link budgets that delay requests within a region."""
    harness = ForwarderHarness(_long_answer)

    async def test() -> None:
        received = await harness.forwarder.forward(
            make_forwarded_request(IDEMPOTENT, _deadline_s(), _Upload())
        )
        await harness.forwarder.finish_answer(received, is_complete=False)
        assert harness.links.sent == []

    harness.run(test)


def test_a_shed_hedge_is_counted() -> None:
    """Guard against hedges that appear in no metric, so that their results don't add up."""
    harness = ForwarderHarness(no_answer, shed_request)
    for _ in range(30):
        harness.delays.record("k", 0.001)
        harness.budget.record_first_attempt()

    async def test() -> None:
        await harness.refusal(make_forwarded_request(HEDGED, _deadline_s(0.2)))

    harness.run(test)
    value = harness.metrics.registry.get_sample_value("berylchute_hedges_total", {"result": "shed"})
    assert value == 1.0


def _very_long_answer(call: Call) -> list[bytes]:
    whole = answer(call, b"x" * 2_000_000)
    return [whole[start : start + 65536] for start in range(0, len(whole), 65536)]


def test_long_answer_of_a_hedge_streams_whole() -> None:
    """Guard against a body that counts as overhead when another task reads its rest."""
    harness = ForwarderHarness(no_answer, _very_long_answer)
    for _ in range(30):
        harness.delays.record("k", 0.001)
        harness.budget.record_first_attempt()

    async def test() -> None:
        received = await harness.forwarder.forward(make_forwarded_request(HEDGED, _deadline_s()))
        assert received.remaining_body is not None
        size = len(received.body)
        async for chunk in received.remaining_body:
            size += len(chunk)
        assert size == 2_000_000

    harness.run(test)
