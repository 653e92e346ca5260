"""Check the waiting for tokens: callers that leave, pauses, events and returned tokens."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from berylchute.allotments import (
    AllotmentPermits,
    Allotments,
    MemberShares,
)
from berylchute.attempts import ActiveRequest
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.messages import AllotmentGrant, AllotmentRequest, Message
from tests.allotmentfleet import Organisation
from tests.test_directory import member
from tests.virtualtime import LoopClock, run_in_virtual_time

ORGANISATION = Organisation("o", 10.0, 10.0)
DELAY_S = 0.02


class _Clock(LoopClock):
    """The clock of the event loop, which a test may advance as a pause of the process does."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def now_s(self) -> float:
        return super().now_s() + self.offset_s


class _Log:
    def __init__(self) -> None:
        self.events: list[dict[str, object]] = []

    def event(self, name: str, **fields: object) -> None:
        assert name == "allotment"
        self.events.append(fields)


@attrs.define
class _Peers:
    """A remote owner that grants all tokens after a while, unless it is `silent`."""

    sent: list[AllotmentRequest] = attrs.Factory(list)
    allotments: Allotments | None = None
    is_silent: bool = False

    def send(self, address: str, message: Message) -> None:
        assert isinstance(message, AllotmentRequest) and address == "owner:1"
        self.sent.append(message)
        grant = AllotmentGrant(message.organisation, message.request_id, message.count, 0)
        if not self.is_silent and self.allotments is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(2.0 * DELAY_S, self.allotments.handle, grant)


class _Host:
    """The allotments of a member that owns nothing: only the other one is ready."""

    def __init__(self, *organisations: Organisation) -> None:
        self.clock, self.log, self.peers = _Clock(), _Log(), _Peers()
        discovery = MemberDiscovery(self.clock)
        discovery.update(is_joined=True)
        self.clock.offset_s = 60.0
        own = member("m1", "za", "ra", ready=False)
        owner = member("m2", "za", "ra", peer_address="owner:1")
        log: Any = self.log
        self.metrics = EdgeMetrics().allotments
        self.allotments = Allotments(
            own.record, MemberShares("m1", discovery), self.peers, self.clock, log, self.metrics
        )
        self.peers.allotments = self.allotments
        self.allotments.configure(organisations or (ORGANISATION,))
        self.allotments.update_members((own, owner))

    def start(self) -> "asyncio.Task[Any]":
        acquire = self.allotments.acquire(ORGANISATION, self.clock.now_s() + 1.0)
        return asyncio.get_running_loop().create_task(acquire)


def run(main: Callable[[], Awaitable[None]]) -> None:
    async def call() -> None:
        await main()

    run_in_virtual_time(call())


def test_request_waits_for_the_owner() -> None:
    # Guard against a wait that isn't ended by the grant, and one that isn't measured.
    async def main() -> None:
        host = _Host()
        started_s = host.clock.now_s()
        assert (await host.start()).is_allowed
        assert host.clock.now_s() - started_s == pytest.approx(2.0 * DELAY_S)
        assert host.peers.sent[0].count == 1 and host.metrics.counts.granted == 1

    run(main)


@pytest.mark.parametrize("left_after_s", [DELAY_S, 2.0 * DELAY_S])
def test_caller_that_leaves_while_it_waits_loses_no_token(left_after_s: float) -> None:
    # Guard against waits that go on without a caller, and against tokens lost because the caller
    # left before the grant, or after it and before the request went on.
    async def main() -> None:
        host = _Host()
        task = host.start()
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_later(left_after_s, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(2.0 * DELAY_S)
        assert (await host.start()).is_allowed
        assert len(host.peers.sent) == 1

    run(main)


def test_paused_process_does_not_use_an_expired_token() -> None:
    # Guard against requests of a frozen host that go on with tokens of before.
    async def main() -> None:
        host = _Host()
        task = host.start()
        await asyncio.sleep(0)

        def pause() -> None:
            host.clock.offset_s += 5.0

        asyncio.get_running_loop().call_later(2.0 * DELAY_S, pause)
        assert not (await task).is_allowed
        assert host.metrics.counts.granted == 0 and host.metrics.counts.expired == 1

    run(main)


def test_wait_ends_after_a_tenth_of_a_second() -> None:
    # Guard against requests that wait for an owner that doesn't answer.
    async def main() -> None:
        host = _Host()
        host.peers.is_silent = True
        started_s = host.clock.now_s()
        assert not (await host.start()).is_allowed
        assert host.clock.now_s() - started_s == pytest.approx(0.1)

    run(main)


def test_removed_limit_lets_waiting_requests_pass() -> None:
    # Guard against requests that are refused, or wait, by a limit that no longer exists.
    async def main() -> None:
        host = _Host()
        host.peers.is_silent = True
        task = host.start()
        await asyncio.sleep(0.01)
        host.allotments.configure([])
        assert (await task).is_allowed
        assert (await host.start()).is_allowed

    run(main)


def test_other_messages_and_unknown_organisations_do_no_harm() -> None:
    # Guard against errors on messages about organisations that this host doesn't know yet.
    async def main() -> None:
        host = _Host()
        host.allotments.handle(AllotmentRequest("unknown", 1, 1, "m9", "m9:1", 1))
        host.allotments.handle(AllotmentRequest("o", 1, 1, "m9", "m9:1", 1))
        host.allotments.handle(AllotmentGrant("unknown", 1, 1, 0))
        assert not host.peers.sent

    run(main)


def test_events_are_bounded() -> None:
    # Guard against a log filled by organisations that stay over their allotments.
    async def main() -> None:
        organisations = [Organisation(f"t{n}", 0.001, 1.0) for n in range(80)]
        host = _Host(*organisations)
        host.peers.is_silent = True
        for _ in range(5):
            waits = [host.allotments.acquire(item, 1e9) for item in organisations]
            await asyncio.gather(*waits)
            await asyncio.sleep(0.1)
        assert len(host.log.events) == 10
        await asyncio.sleep(1.0)
        await host.allotments.acquire(organisations[0], 1e9)
        again = [event for event in host.log.events if event["organisation"] == "t0"]
        assert [event["denied"] for event in again] == [1, 5]

    run(main)


def test_refusals_of_removed_organisations_are_forgotten() -> None:
    # Guard against memory that grows with the organisations that were over their allotments, but
    # had no event, and are gone from the configuration.
    async def main() -> None:
        organisations = [Organisation(f"t{n}", 0.001, 1.0) for n in range(80)]
        host = _Host(*organisations)
        host.peers.is_silent = True
        await asyncio.gather(*(host.allotments.acquire(item, 1e9) for item in organisations))
        assert host.allotments._denied
        host.allotments.configure([ORGANISATION])
        assert not host.allotments._denied

    run(main)


class _Active:
    """The part of a request in flight that permits use."""

    def __init__(self, organisation: Organisation) -> None:
        self.organisation = self.permit_of = organisation
        self.deadline_s = 1e9


def test_permit_of_a_request_that_was_not_sent_is_used_by_the_next() -> None:
    # Guard against allotments that shrink with each request refused for another reason, and
    # tokens that are returned twice.
    async def main() -> None:
        host = _Host()
        permits = AllotmentPermits(host.allotments)
        first: Any = _Active(ORGANISATION)
        assert await permits.acquire(first) is None
        permits.release(first)
        permits.release(first)
        second: Any = _Active(ORGANISATION)
        assert await permits.acquire(second) is None
        assert len(host.peers.sent) == 1
        third: Any = _Active(ORGANISATION)
        assert await permits.acquire(third) is None
        assert len(host.peers.sent) == 2

    run(main)


def test_organisation_without_a_rate_needs_no_token() -> None:
    # Guard against a limit for organisations whose configuration has none.
    async def main() -> None:
        unlimited = Organisation("u", 0.0, 0.0)
        host = _Host(unlimited)
        active: Any = _Active(unlimited)
        assert await AllotmentPermits(host.allotments).acquire(active) is None
        assert not host.peers.sent

    run(main)


def test_requests_in_flight_can_be_referenced_weakly() -> None:
    # Guard against tokens that are kept for ever for requests that were sent.
    assert "__weakref__" in ActiveRequest.__slots__
