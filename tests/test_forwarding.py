"""Guard the life of a request: own answer or a truthful refusal, and no second run."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest

from berylchute.background import Background
from berylchute.exchange import Answer, AnswerShort
from berylchute.forwarding import Forwarder
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.metrics import Metrics
from berylchute.node import MonotonicClock
from berylchute.refusals import Refusal, RefusalCode, RefusedError
from berylchute.transfers import Transfers
from berylchute.work import AttemptEnd, Work
from tests.backends import (
    CLOSE,
    Call,
    FakePlacer,
    FakeServers,
    NoLimits,
    Script,
    answer,
    make_kind,
    make_work,
)

CLOCK = MonotonicClock()
IDEMPOTENT = make_kind()
ONCE = make_kind(idempotent=False)
HEDGED = make_kind(may_hedge=True)


def good(call: Call) -> list[bytes]:
    return [answer(call, call.attempt_id.encode())]


def foreign(call: Call) -> list[bytes]:
    other = Call(0, 0, "GET", "/", "other.1", b"")
    return [answer(other, b"secret")]


def short(call: Call) -> list[bytes]:
    return [answer(call, b"0123456789")[:-4], CLOSE]


def early_close(call: Call) -> list[bytes]:
    return [CLOSE]


def silent(call: Call) -> list[bytes]:
    return []


def shed(call: Call) -> list[bytes]:
    return [answer(call, b"", 503, "Berylchute-Not-Run: 1\r\n")]


def unframed(call: Call) -> list[bytes]:
    head = f"HTTP/1.1 200 X\r\nBerylchute-Request-Id: {call.attempt_id}\r\n\r\nhalf"
    return [head.encode(), CLOSE]


class Lab:
    """A forwarder over fake servers."""

    def __init__(self, *scripts: Script | None, servers: int | None = None) -> None:
        numbered = {n: script for n, script in enumerate(scripts, 1) if script is not None}
        self.servers = FakeServers(numbered)
        self.placer = FakePlacer(servers or len(scripts))
        self.delays = HedgeDelays()
        self.budget = ExtraLoadBudget()
        self.background = Background()
        self.links = NoLimits()
        self.exchanger = self.servers.exchanger(CLOCK)
        self.forwarder = Forwarder(
            CLOCK,
            self.placer,
            self.exchanger,
            Metrics(),
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

    async def refusal(self, work: Work) -> Refusal:
        with pytest.raises(RefusedError) as caught:
            await self.forwarder.answer(work)
        return caught.value.refusal


def _soon(seconds: float = 5.0) -> float:
    return CLOCK.now_s() + seconds


@pytest.mark.parametrize("bad", [foreign, short, early_close, unframed])
def test_a_bad_answer_is_retried_and_its_connection_dropped(bad: Script) -> None:
    """Guard against foreign or partial bytes reaching the caller, now or later."""
    lab = Lab(bad, good)

    async def test() -> None:
        first = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon()))
        assert first.body == b"id.2"
        assert lab.servers.calls[0].connection in lab.servers.closed

    lab.run(test)


@pytest.mark.parametrize("bad", [foreign, short, early_close, unframed])
def test_non_idempotent_work_is_not_sent_twice(bad: Script) -> None:
    """Guard against a second run, or a false not-run, after a lost answer."""
    lab = Lab(bad, good)

    async def test() -> None:
        refusal = await lab.refusal(make_work(ONCE, _soon(), b"1"))
        assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)
        assert len(lab.servers.calls) == 1

    lab.run(test)


def test_a_shed_request_is_retried_elsewhere() -> None:
    """Guard against refusing work that another server would take."""
    lab = Lab(shed, good)

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(ONCE, _soon(), b"1"))
        assert found.body == b"id.2"
        assert lab.placer.ends[0] == ("1", AttemptEnd.SHED, True)

    lab.run(test)


def test_unreachable_servers_are_reported_as_not_run() -> None:
    """Guard against an unknown outcome for work that was never sent."""
    lab = Lab(None, None, None)

    async def test() -> None:
        refusal = await lab.refusal(make_work(ONCE, _soon(), b"1"))
        assert (refusal.code, refusal.not_run) == (RefusalCode.SERVER_UNREACHABLE, True)
        assert [end[1:] for end in lab.placer.ends] == [(AttemptEnd.UNREACHABLE, True)] * 3

    lab.run(test)


def test_a_queue_refusal_after_a_sent_attempt_is_not_called_not_run() -> None:
    """Guard against a false not-run when only the retry was refused."""
    lab = Lab(early_close)

    async def test() -> None:
        refusal = await lab.refusal(make_work(IDEMPOTENT, _soon()))
        assert not refusal.not_run

    lab.run(test)


def test_a_timed_out_attempt_is_cancelled_and_keeps_its_units() -> None:
    """Guard against units freed while the server still works."""
    lab = Lab(silent)

    async def test() -> None:
        refusal = await lab.refusal(make_work(IDEMPOTENT, _soon(0.05)))
        assert (refusal.code, refusal.not_run) == (RefusalCode.DEADLINE_EXCEEDED, False)
        assert lab.placer.ends == [("1", AttemptEnd.CANCELLED, False)]
        while not lab.placer.confirmed:
            await anyio.sleep(0.001)
        assert lab.servers.cancelled == ["id.1"]

    lab.run(test)


def test_a_late_answer_does_not_reach_the_next_request() -> None:
    """Guard against reuse of a connection whose answer came too late."""
    late: list[Call] = []

    def first_silent(call: Call) -> list[bytes]:
        late.append(call)
        return [] if len(late) == 1 else [answer(late[0], b"late"), answer(call, b"own")]

    lab = Lab(first_silent)

    async def test() -> None:
        await lab.refusal(make_work(IDEMPOTENT, _soon(0.05)))
        refusal = await lab.refusal(make_work(IDEMPOTENT, _soon(), prefix="next"))
        assert not refusal.not_run
        assert late[0].connection != late[1].connection

    lab.run(test)


def test_surplus_bytes_do_not_answer_the_next_request() -> None:
    """Guard against a doubled answer being read as that of the next request."""
    lab = Lab(lambda call: [answer(call, b"own") * 2])

    async def test() -> None:
        assert (await lab.forwarder.answer(make_work(IDEMPOTENT, _soon()))).body == b"own"
        work = make_work(IDEMPOTENT, _soon(), prefix="next")
        try:
            second: Answer | None = await lab.forwarder.answer(work)
        except RefusedError as error:
            assert not error.refusal.not_run
            second = None
        if second is not None:
            assert work.record.attempts[-1].attempt_id == lab.servers.calls[-1].attempt_id

    lab.run(test)


def test_a_hedge_answers_for_a_slow_server() -> None:
    """Guard against a slow server holding up short work that another could answer."""
    lab = Lab(silent, good)
    for _ in range(30):
        lab.delays.record("k", 0.001)
        lab.budget.record_first_attempt()

    async def test() -> None:
        work = make_work(HEDGED, _soon())
        found = await lab.forwarder.answer(work)
        assert found.body == b"id.2"
        while not lab.servers.cancelled:
            await anyio.sleep(0.001)
        assert lab.servers.cancelled == ["id.1"]
        assert ("1", AttemptEnd.CANCELLED, False) in lab.placer.ends

    lab.run(test)


@pytest.mark.parametrize("reason", ["budget", "slot", "kind"])
def test_no_hedge_without_budget_slot_or_permission(reason: str) -> None:
    """Guard against hedges that overload servers or run work twice."""
    lab = Lab(silent, good)
    for _ in range(30):
        lab.delays.record("k", 0.001)
        if reason != "budget":
            lab.budget.record_first_attempt()
    lab.placer.has_free_slot = reason != "slot"

    async def test() -> None:
        kind = make_kind(idempotent=False, may_hedge=True) if reason == "kind" else HEDGED
        await lab.refusal(make_work(kind, _soon(0.1)))
        assert [call.server for call in lab.servers.calls] == [1]

    lab.run(test)


def _long_answer(call: Call) -> list[bytes]:
    whole = answer(call, b"x" * 200_000)
    return [whole[start : start + 65536] for start in range(0, len(whole), 65536)]


def _cut_long_answer(call: Call) -> list[bytes]:
    return [*_long_answer(call)[:2], CLOSE]


def test_a_long_answer_streams_whole() -> None:
    """Guard against long bodies held in memory, and units freed before their end."""
    lab = Lab(_long_answer)

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon()))
        assert found.rest is not None
        assert found.length == 200_000
        assert lab.placer.ends == []
        size = len(found.body) + sum([len(chunk) async for chunk in found.rest])
        await lab.forwarder.close(found, is_complete=True)
        assert size == 200_000
        assert lab.placer.ends == [("1", AttemptEnd.ANSWERED, True)]

    lab.run(test)


def test_a_cut_long_answer_is_an_error() -> None:
    """Guard against a truncated stream ending like a whole one."""
    lab = Lab(_cut_long_answer)

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon()))
        assert found.rest is not None
        with pytest.raises(AnswerShort):
            async for _ in found.rest:
                pass
        await lab.forwarder.close(found, is_complete=False)
        assert lab.placer.ends == [("1", AttemptEnd.CANCELLED, False)]

    lab.run(test)


class _Upload:
    touched = False
    complete = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.touched = True
        yield b"part"
        self.complete = True


def test_a_consumed_upload_is_not_retried() -> None:
    """Guard against a retry that sends the rest of a body as if it were the whole."""
    lab = Lab(early_close, good)

    async def test() -> None:
        refusal = await lab.refusal(make_work(IDEMPOTENT, _soon(), _Upload()))
        assert (refusal.code, refusal.not_run) == (RefusalCode.SERVER_FAILED, False)
        assert len(lab.servers.calls) == 1

    lab.run(test)


def test_an_untouched_upload_is_retried() -> None:
    """Guard against an upload failing because its first server was down."""
    lab = Lab(None, good)

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon(), _Upload()))
        assert found.body == b"id.2"

    lab.run(test)


def test_bytes_in_both_directions_are_charged_to_links() -> None:
    """Guard against uploads or answers that cross a link outside its budget."""
    lab = Lab(_long_answer)
    lab.placer.link_out, lab.placer.link_back = "out", "back"

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon(), _Upload()))
        assert found.rest is not None
        size = len(found.body) + sum([len(chunk) async for chunk in found.rest])
        await lab.forwarder.close(found, is_complete=True)
        await anyio.wait_all_tasks_blocked()
        charged = {"out": 0, "back": 0}
        for link, count in lab.links.sent:
            charged[link] += count
        assert charged["out"] >= len(b"part")
        assert charged["back"] >= size

    lab.run(test)


def test_requests_within_the_region_are_not_charged() -> None:
    """Guard against link budgets that slow down local work."""
    lab = Lab(_long_answer)

    async def test() -> None:
        found = await lab.forwarder.answer(make_work(IDEMPOTENT, _soon(), _Upload()))
        await lab.forwarder.close(found, is_complete=False)
        assert lab.links.sent == []

    lab.run(test)
