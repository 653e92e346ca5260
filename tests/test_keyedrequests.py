"""Check that no key runs a request twice after repeats, on other hosts or after lost answers."""

from collections.abc import AsyncIterable, Awaitable, Callable, Sequence

import anyio
import pytest

from berylchute.background import BackgroundTasks
from berylchute.exchange import ConnectFailed, MatchedAnswer, ServerClosed, ServerTarget
from berylchute.forwardedrequest import ForwardedRequest
from berylchute.forwarding import Forwarder
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.idempotency import IdempotencyTable
from berylchute.keyedrequests import KeyedRequestHandler
from berylchute.messages import MemberRecord
from berylchute.metrics import Metrics
from berylchute.node import MonotonicClock
from berylchute.refusals import Refusal, RefusalCode, RefusedError
from berylchute.requesthead import RequestHead
from berylchute.serverstreams import Attempt
from berylchute.transfers import Transfers
from berylchute.types import AttemptState, MemberState, MemberStatus
from tests.backends import FakePlacer, NoLimits, make_forwarded_request, make_kind

CLOCK = MonotonicClock()
NON_IDEMPOTENT = make_kind(idempotent=False)


class FakeExchanger:
    """Count runs; each run answers or raises `failure`, after `release` if blocked."""

    def __init__(self) -> None:
        self.runs = 0
        self.targets: list[str] = []
        self.headers: list[tuple[bytes, bytes]] = []
        self.failure: Exception | None = None
        self.release = anyio.Event()
        self.is_blocked = False

    async def send_request(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> MatchedAnswer:
        self.targets.append(target.name)
        self.headers = headers
        if isinstance(self.failure, ConnectFailed):
            raise self.failure
        attempt.state = AttemptState.SENT
        self.runs += 1
        if self.is_blocked:
            await self.release.wait()
        if self.failure is not None:
            attempt.state = AttemptState.UNKNOWN
            raise self.failure
        attempt.state = AttemptState.ANSWERED
        return MatchedAnswer(200, [], b"run %d" % self.runs, attempt=attempt, body_bytes=5)

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        return True


class FakeMembers:
    """A member view with one other host, at position q with incarnation 9."""

    def __init__(self, state: MemberState = MemberState.LIVE) -> None:
        record = MemberRecord(
            host_id="h2",
            position="q",
            availability_zone="z",
            region="r",
            role="entry",
            incarnation=9,
            sequence=1,
            leaving=False,
            ready=True,
            http_url="http://127.0.0.2:80",
            peer_address="127.0.0.2:81",
            owner_epoch=0,
            settled_version=1,
            config_version=1,
            free_units={},
        )
        self.status = MemberStatus(record, state)

    def list_members(self) -> Sequence[MemberStatus]:
        return [self.status]

    def find_by_position(self, position: str) -> MemberStatus | None:
        return self.status if position == "q" else None


class OwnerHost:
    """An owner at position p with incarnation 5."""

    def __init__(self, members: FakeMembers | None = None) -> None:
        self.exchanger = FakeExchanger()
        self.table = IdempotencyTable("p", 5, CLOCK.now_s())
        self.background_tasks = BackgroundTasks()
        forwarder = Forwarder(
            CLOCK,
            FakePlacer(3),
            self.exchanger,
            Metrics(),
            self.background_tasks,
            ExtraLoadBudget(),
            HedgeDelays(),
            Transfers(NoLimits(), self.background_tasks),
        )
        self.keyed_requests = KeyedRequestHandler(
            CLOCK,
            self.table,
            forwarder,
            self.exchanger,
            members or FakeMembers(),
            Metrics(),
            "p",
        )

    def run(self, test: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            with anyio.fail_after(20):
                async with self.background_tasks:
                    await test()

        anyio.run(main)

    async def send(
        self, key: str, body: bytes = b"1", seconds: float = 5.0, **options: bool
    ) -> MatchedAnswer:
        request_head = RequestHead([], authorization=b"Bearer t", idempotency_key=key)
        if options.get("forwarded"):
            request_head.forwarded_by = "z"
        request = self.make_request(body, seconds)
        return await self.keyed_requests.handle(
            request, request_head, is_leaving=options.get("is_leaving", False)
        )

    def make_request(self, body: bytes, seconds: float) -> ForwardedRequest:
        return make_forwarded_request(NON_IDEMPOTENT, CLOCK.now_s() + seconds, body)

    async def refusal(
        self, key: str, body: bytes = b"1", seconds: float = 5.0, **options: bool
    ) -> Refusal:
        with pytest.raises(RefusedError) as caught:
            await self.send(key, body, seconds, **options)
        return caught.value.refusal


def test_concurrent_repeats_share_one_run() -> None:
    """Guard against a second run for a repeat that arrives while the first request still runs."""
    owner = OwnerHost()
    owner.exchanger.is_blocked = True
    bodies: list[bytes] = []

    async def one() -> None:
        bodies.append((await owner.send("p.5.0:k")).body)

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(one)
            await anyio.wait_all_tasks_blocked()
            owner.exchanger.release.set()
        assert bodies == [b"run 1"] * 5

    owner.run(test)


def test_a_request_with_a_lost_answer_is_not_run_again() -> None:
    """Guard against a second run after the answer of the first run was lost."""
    owner = OwnerHost()
    owner.exchanger.failure = ServerClosed("lost")

    async def test() -> None:
        for _ in range(3):
            refusal = await owner.refusal("p.5.0:k")
            assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)
        assert owner.exchanger.runs == 1

    owner.run(test)


def test_a_request_that_was_not_sent_may_run_later() -> None:
    """Guard against a key that stays blocked although its request certainly did not run."""
    owner = OwnerHost()
    owner.exchanger.failure = ConnectFailed("down")

    async def test() -> None:
        assert (await owner.refusal("p.5.0:k")).not_run
        owner.exchanger.failure = None
        assert (await owner.send("p.5.0:k")).body == b"run 1"

    owner.run(test)


def test_a_deadline_during_the_run_leaves_the_outcome_unknown() -> None:
    """Guard against a second run for a repeat after the first request passed its deadline."""
    owner = OwnerHost()
    owner.exchanger.is_blocked = True

    async def test() -> None:
        for _ in range(2):
            refusal = await owner.refusal("p.5.0:k", seconds=0.03)
            assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)
        assert owner.exchanger.runs == 1

    owner.run(test)


def test_a_key_without_an_owner_is_refused_with_a_usable_owner() -> None:
    """Guard against a request that runs under a key which no host owns."""
    owner = OwnerHost()

    async def test() -> None:
        refusal = await owner.refusal("k")
        assert (refusal.code, refusal.not_run) == (RefusalCode.OWNER_REQUIRED, True)
        assert (await owner.send(f"{refusal.owner}:k")).body == b"run 1"
        assert owner.exchanger.runs == 1

    owner.run(test)


def test_a_key_of_another_host_is_forwarded_to_that_host() -> None:
    """Guard against a host that runs a request whose key another host owns."""
    owner = OwnerHost()

    async def test() -> None:
        await owner.send("q.9.0:k")
        assert owner.exchanger.targets == ["host:q"]
        assert (b"Authorization", b"Bearer t") in owner.exchanger.headers
        assert (b"Berylchute-Forwarded-By", b"p") in owner.exchanger.headers
        assert len(owner.table) == 0

    owner.run(test)


@pytest.mark.parametrize("key", ["q.8.0:k", "q.10.0:k", "p.4.0:k", "elsewhere.1.0:k"])
def test_an_unknown_or_restarted_owner_leaves_the_outcome_unknown(key: str) -> None:
    """Guard against a second run after the owner lost its records in a restart or left."""
    owner = OwnerHost()

    async def test() -> None:
        refusal = await owner.refusal(key)
        assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)
        assert owner.exchanger.targets == []

    owner.run(test)


def test_an_unreachable_owner_leaves_the_outcome_unknown() -> None:
    """Guard against reporting a request as not run that the owner may have run earlier."""
    owner = OwnerHost()
    owner.exchanger.failure = ConnectFailed("down")

    async def test() -> None:
        refusal = await owner.refusal("q.9.0:k")
        assert (refusal.code, refusal.not_run) == (RefusalCode.OUTCOME_UNKNOWN, False)

    owner.run(test)


def test_a_gone_owner_is_not_asked() -> None:
    """Guard against a request that waits for an owner already known to be gone."""
    owner = OwnerHost(FakeMembers(MemberState.GONE))

    async def test() -> None:
        assert (await owner.refusal("q.9.0:k")).code is RefusalCode.OUTCOME_UNKNOWN
        assert owner.exchanger.targets == []

    owner.run(test)


def test_a_forwarded_request_is_not_forwarded_again() -> None:
    """Guard against a forwarding loop between hosts that disagree on the owner."""
    owner = OwnerHost()

    async def test() -> None:
        assert (await owner.refusal("q.9.0:k", forwarded=True)).not_run is False
        assert owner.exchanger.targets == []

    owner.run(test)


def test_a_leaving_owner_answers_repeats_and_refuses_new_keys() -> None:
    """Guard against a leaving owner that reports a request as not run although it ran."""
    owner = OwnerHost()

    async def test() -> None:
        await owner.send("p.5.0:k")
        assert (await owner.send("p.5.0:k", is_leaving=True)).body == b"run 1"
        refusal = await owner.refusal("p.5.0:new", is_leaving=True)
        assert (refusal.code, refusal.not_run) == (RefusalCode.LEAVING, True)
        assert owner.exchanger.runs == 1

    owner.run(test)


def test_another_body_is_refused() -> None:
    """Guard against a reused key that gets the answer to another request."""
    owner = OwnerHost()

    async def test() -> None:
        await owner.send("p.5.0:k")
        refusal = await owner.refusal("p.5.0:k", b"2")
        assert (refusal.code, refusal.not_run) == (RefusalCode.KEY_REUSED, False)

    owner.run(test)
