"""Check that requests never hold more units than the share, and that no unit is lost."""

import random
from collections.abc import Awaitable, Callable, Mapping

import anyio
import pytest

from berylchute.admission import ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import (
    Allowance,
    AvailabilityZone,
    BackendServer,
    Configuration,
    HostPosition,
    Plan,
    Region,
    Service,
)
from berylchute.forwardedrequest import AttemptEnd, ForwardedRequest
from berylchute.identity import Caller
from berylchute.ledger import Ledger
from berylchute.placement import RESERVATION_MARGIN_S, CapacityPlacement, CapacityPlacer
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.routing import NextRegionFirst, Router
from berylchute.shares import base_shares, connection_shares
from tests.backends import make_forwarded_request, make_kind

SERVER = "server:s-1"


class FakeClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s


class Views:
    """No shifts or link limits; `draining` holds the drains."""

    def __init__(self) -> None:
        self.draining: set[tuple[str, str]] = set()

    def is_draining(self, target: str, name: str) -> bool:
        return (target, name) in self.draining

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        return {}

    def wait_s(self, link: str, size_bytes: int, now_s: float) -> float:
        return 0.0


CONFIGURATION = Configuration(
    plans=(Plan("low", 1), Plan("high", 2)),
    customers=(),
    allowances=(Allowance("low", "r", "s", 1), Allowance("high", "r", "s", 2)),
    regions=(Region("r", 10),),
    availability_zones=(AvailabilityZone("z", "r"),),
    services=(Service("s"),),
    kinds=(),
    backend_servers=(BackendServer("s-1", "s", "z", "127.0.0.1:1", 2),),
    host_positions=(HostPosition("p", "z"),),
)


class PlacerHarness:
    """A placer over one server of two slots; plan low may use one."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.views = Views()
        self.ledger = Ledger(base_shares(CONFIGURATION)["p"])
        observer, reserve = ServerObserver(), ShortReserve()
        self.observer = observer
        self.reserve = reserve
        router = Router(
            "z",
            "r",
            observer,
            self.ledger,
            self.views,
            self.views,
            self.views,
            reserve,
            NextRegionFirst(),
        )
        self.placer = CapacityPlacer(
            self.clock, random.Random(1), router, self.ledger, observer, reserve
        )
        self.placer.configure(
            CONFIGURATION, base_shares(CONFIGURATION)["p"], connection_shares(CONFIGURATION)["p"]
        )
        self.count = 0

    def request(self, plan: str = "high", seconds: float = 5.0) -> ForwardedRequest:
        self.count += 1
        request = make_forwarded_request(
            make_kind(), self.clock.time_s + seconds, prefix=f"id-{self.count}"
        )
        request.caller = Caller("customer", plan, {"low": 1, "high": 2}[plan])
        return request

    async def place(self, plan: str = "high", seconds: float = 5.0) -> CapacityPlacement:
        placement = await self.placer.place(self.request(plan, seconds), frozenset())
        assert isinstance(placement, CapacityPlacement)
        return placement

    def in_use(self) -> int:
        return self.ledger.usage(SERVER, self.clock.time_s).in_use

    def run(self, test: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            with anyio.fail_after(20):
                await test()

        anyio.run(main)


def test_a_queued_request_starts_when_a_unit_is_released() -> None:
    """Guard against a queued request that is not started when a unit is released."""
    harness = PlacerHarness()
    placed: list[CapacityPlacement] = []

    async def place_one() -> None:
        placed.append(await harness.place())

    async def test() -> None:
        first = [await harness.place(), await harness.place()]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(place_one)
            await anyio.wait_all_tasks_blocked()
            assert (placed, harness.in_use()) == ([], 2)
            harness.placer.finish(first[0], AttemptEnd.ANSWERED, is_end_confirmed=True)
        assert (len(placed), harness.in_use()) == (1, 2)

    harness.run(test)


def test_an_unconfirmed_attempt_keeps_its_unit_until_its_deadline() -> None:
    """Guard against reusing a unit while its server may still run the previous request."""
    harness = PlacerHarness()

    async def test() -> None:
        placement = await harness.place(seconds=5.0)
        harness.placer.finish(placement, AttemptEnd.CANCELLED, is_end_confirmed=False)
        harness.clock.time_s += 4.9
        harness.placer.tick()
        assert harness.in_use() == 1
        # The server counts the deadline from when the request reached it.
        harness.clock.time_s += RESERVATION_MARGIN_S
        harness.placer.tick()
        assert harness.in_use() == 1
        harness.clock.time_s += 0.2
        harness.placer.tick()
        assert harness.in_use() == 0

    harness.run(test)


def test_a_confirmed_cancellation_releases_its_unit_once() -> None:
    """Guard against a unit released twice by a late confirmation."""
    harness = PlacerHarness()

    async def test() -> None:
        placement = await harness.place()
        other = await harness.place()
        harness.placer.finish(placement, AttemptEnd.CANCELLED, is_end_confirmed=False)
        harness.placer.release_confirmed(placement)
        harness.placer.release_confirmed(placement)
        assert harness.in_use() == 1
        # With one unit of two in use, the other stays reserved for short kinds.
        assert not harness.reserve.allows("long", SERVER, 1)
        harness.placer.finish(other, AttemptEnd.ANSWERED, is_end_confirmed=True)
        assert harness.in_use() == 0

    harness.run(test)


def test_a_cancelled_request_releases_its_unit() -> None:
    """Guard against units lost when a request is cancelled while queued or as it starts."""
    harness = PlacerHarness()

    async def test() -> None:
        placements = [await harness.place(), await harness.place()]
        placed: list[CapacityPlacement] = []

        async def place_one() -> None:
            placed.append(await harness.place())

        for release_first in (False, True):
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(place_one)
                    await anyio.wait_all_tasks_blocked()
                    if release_first:
                        harness.placer.finish(
                            placements.pop(), AttemptEnd.ANSWERED, is_end_confirmed=True
                        )
                    scope.cancel()
        # A unit acquired at the same time as the cancellation is released by the caller.
        assert harness.in_use() == len(placements) + len(placed)
        assert harness.placer.queued_counts() == {"s": 0}

    harness.run(test)


def test_a_full_plan_does_not_block_another() -> None:
    """Guard against head-of-line blocking by requests of a plan that uses all of its units."""
    harness = PlacerHarness()

    async def test() -> None:
        await harness.place("low")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.place, "low")
            await anyio.wait_all_tasks_blocked()
            assert (await harness.place("high")).target.name == "s-1"
            tasks.cancel_scope.cancel()

    harness.run(test)


def test_hedges_never_acquire_units_that_others_wait_for() -> None:
    """Guard against a hedge that acquires units before queued first attempts."""
    harness = PlacerHarness()

    async def test() -> None:
        await harness.place("low")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.place, "low")
            await anyio.wait_all_tasks_blocked()
            assert harness.placer.try_place(harness.request("high"), frozenset()) is None
            tasks.cancel_scope.cancel()

    harness.run(test)


def test_an_expired_request_is_refused_before_it_acquires_a_slot() -> None:
    """Guard against running a request whose deadline passed while it was queued."""
    harness = PlacerHarness()

    async def test() -> None:
        placements = [await harness.place(seconds=50.0), await harness.place(seconds=50.0)]
        codes: list[RefusalCode] = []

        async def place_one() -> None:
            with pytest.raises(RefusedError) as caught:
                await harness.place(seconds=1.0)
            assert caught.value.refusal.not_run
            codes.append(caught.value.refusal.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(place_one)
            await anyio.wait_all_tasks_blocked()
            harness.clock.time_s += 1.1
            harness.placer.tick()
        assert codes == [RefusalCode.DEADLINE_PASSED]
        assert harness.in_use() == len(placements)

    harness.run(test)


def test_a_draining_server_gets_no_queued_requests() -> None:
    """Guard against sending a request that was queued before a drain to the draining server."""
    harness = PlacerHarness()

    async def test() -> None:
        placements = [await harness.place(), await harness.place()]
        codes: list[RefusalCode] = []

        async def place_one() -> None:
            with pytest.raises(RefusedError) as caught:
                await harness.place()
            codes.append(caught.value.refusal.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(place_one)
            await anyio.wait_all_tasks_blocked()
            harness.views.draining.add(("server", "s-1"))
            harness.placer.finish(placements[0], AttemptEnd.ANSWERED, is_end_confirmed=True)
        assert codes == [RefusalCode.NO_ROUTE]

    harness.run(test)


def test_a_plan_without_allowance_is_refused() -> None:
    """Guard against customers that use services without an allowance of their plan."""
    harness = PlacerHarness()

    async def test() -> None:
        request = harness.request()
        request.caller = Caller("customer", "none", 1)
        with pytest.raises(RefusedError) as caught:
            await harness.placer.place(request, frozenset())
        assert caught.value.refusal.code is RefusalCode.FORBIDDEN

    harness.run(test)


def test_queued_requests_are_recorded_as_demand() -> None:
    """Guard against lending that counts one request where many are queued."""
    harness = PlacerHarness()

    async def test() -> None:
        await harness.place(), await harness.place()
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(harness.place)
            await anyio.wait_all_tasks_blocked()
            harness.ledger.pop_unmet_demand(harness.clock.time_s)
            harness.clock.time_s += 0.1
            harness.placer.tick()
            demand = {
                item.resource: item.units
                for item in harness.ledger.pop_unmet_demand(harness.clock.time_s)
            }
            assert demand[SERVER] == 5
            tasks.cancel_scope.cancel()

    harness.run(test)


def test_shed_request_does_not_count_against_its_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against ejecting a healthy server that is only full and refuses without running."""
    harness = PlacerHarness()
    failures: list[str] = []
    monkeypatch.setattr(
        harness.observer, "record_failure", lambda server, *_, **__: failures.append(server)
    )

    async def test() -> None:
        placement = await harness.place()
        before = harness.observer.score("s-1", harness.clock.time_s)
        harness.placer.finish(placement, AttemptEnd.SHED, is_end_confirmed=True)
        assert failures == []
        assert harness.observer.score("s-1", harness.clock.time_s) > before

    harness.run(test)
