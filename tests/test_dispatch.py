"""Guard the units that requests take: never above the share, and none lost."""

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
from berylchute.dispatch import HOLD_MARGIN_S, CapacityPlacer, HeldPlacement
from berylchute.identity import Caller
from berylchute.ledger import Ledger
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.routing import NextRegionFirst, Router
from berylchute.shares import base_shares, connection_shares
from berylchute.work import AttemptEnd, Work
from tests.backends import make_kind, make_work

SERVER = "server:s-1"


class FakeClock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s


class Views:
    """No drains, shifts or link limits, but for `draining`."""

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


class Lab:
    """A placer over one server of two slots; plan low may use one."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.views = Views()
        self.ledger = Ledger(base_shares(CONFIGURATION)["p"])
        observer, reserve = ServerObserver(), ShortReserve()
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

    def work(self, plan: str = "high", seconds: float = 5.0) -> Work:
        self.count += 1
        work = make_work(make_kind(), self.clock.time_s + seconds, prefix=f"id-{self.count}")
        work.caller = Caller("customer", plan, {"low": 1, "high": 2}[plan])
        return work

    async def place(self, plan: str = "high", seconds: float = 5.0) -> HeldPlacement:
        placement = await self.placer.place(self.work(plan, seconds), frozenset())
        assert isinstance(placement, HeldPlacement)
        return placement

    def in_use(self) -> int:
        return self.ledger.usage(SERVER, self.clock.time_s).in_use

    def run(self, test: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            with anyio.fail_after(20):
                await test()

        anyio.run(main)


def test_waiting_work_starts_when_a_unit_comes_back() -> None:
    """Guard against requests that wait although a unit is free."""
    lab = Lab()
    placed: list[HeldPlacement] = []

    async def one() -> None:
        placed.append(await lab.place())

    async def test() -> None:
        first = [await lab.place(), await lab.place()]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one)
            await anyio.wait_all_tasks_blocked()
            assert (placed, lab.in_use()) == ([], 2)
            lab.placer.finish(first[0], AttemptEnd.ANSWERED, confirmed=True)
        assert (len(placed), lab.in_use()) == (1, 2)

    lab.run(test)


def test_unconfirmed_work_keeps_its_unit_until_its_deadline() -> None:
    """Guard against a unit reused while its server may still work for the former request."""
    lab = Lab()

    async def test() -> None:
        placement = await lab.place(seconds=5.0)
        lab.placer.finish(placement, AttemptEnd.CANCELLED, confirmed=False)
        lab.clock.time_s += 4.9
        lab.placer.tick()
        assert lab.in_use() == 1
        # The server counts the deadline from when the request reached it.
        lab.clock.time_s += HOLD_MARGIN_S
        lab.placer.tick()
        assert lab.in_use() == 1
        lab.clock.time_s += 0.2
        lab.placer.tick()
        assert lab.in_use() == 0

    lab.run(test)


def test_a_confirmed_cancellation_frees_its_unit_once() -> None:
    """Guard against a unit freed twice by a late confirmation."""
    lab = Lab()

    async def test() -> None:
        placement = await lab.place()
        other = await lab.place()
        lab.placer.finish(placement, AttemptEnd.CANCELLED, confirmed=False)
        lab.placer.confirm(placement)
        lab.placer.confirm(placement)
        assert lab.in_use() == 1
        # With one unit of two in use, the other stays reserved for short work.
        assert not lab.reserve.allows("long", SERVER, 1)
        lab.placer.finish(other, AttemptEnd.ANSWERED, confirmed=True)
        assert lab.in_use() == 0

    lab.run(test)


def test_a_caller_that_gives_up_leaves_no_unit_behind() -> None:
    """Guard against units lost to requests cancelled while they wait or just as they start."""
    lab = Lab()

    async def test() -> None:
        held = [await lab.place(), await lab.place()]
        got: list[HeldPlacement] = []

        async def one() -> None:
            got.append(await lab.place())

        for release_first in (False, True):
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(one)
                    await anyio.wait_all_tasks_blocked()
                    if release_first:
                        lab.placer.finish(held.pop(), AttemptEnd.ANSWERED, confirmed=True)
                    scope.cancel()
        # A unit granted in the moment of the cancellation is the caller's to finish.
        assert lab.in_use() == len(held) + len(got)
        assert lab.placer.waiting() == {"s": 0}

    lab.run(test)


def test_a_full_plan_does_not_hold_up_another() -> None:
    """Guard against head-of-line blocking by requests of a plan at its allowance."""
    lab = Lab()

    async def test() -> None:
        await lab.place("low")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lab.place, "low")
            await anyio.wait_all_tasks_blocked()
            assert (await lab.place("high")).target.name == "s-1"
            tasks.cancel_scope.cancel()

    lab.run(test)


def test_hedges_never_take_what_others_wait_for() -> None:
    """Guard against extra load in front of waiting first attempts."""
    lab = Lab()

    async def test() -> None:
        await lab.place("low")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lab.place, "low")
            await anyio.wait_all_tasks_blocked()
            assert lab.placer.try_place(lab.work("high"), frozenset()) is None
            tasks.cancel_scope.cancel()

    lab.run(test)


def test_expired_work_is_refused_before_it_takes_a_slot() -> None:
    """Guard against servers working for callers that no longer wait."""
    lab = Lab()

    async def test() -> None:
        held = [await lab.place(seconds=50.0), await lab.place(seconds=50.0)]
        codes: list[RefusalCode] = []

        async def one() -> None:
            with pytest.raises(RefusedError) as caught:
                await lab.place(seconds=1.0)
            assert caught.value.refusal.not_run
            codes.append(caught.value.refusal.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one)
            await anyio.wait_all_tasks_blocked()
            lab.clock.time_s += 1.1
            lab.placer.tick()
        assert codes == [RefusalCode.DEADLINE_PASSED]
        assert lab.in_use() == len(held)

    lab.run(test)


def test_a_draining_server_gets_no_waiting_work() -> None:
    """Guard against work that was queued before a drain reaching the drained server."""
    lab = Lab()

    async def test() -> None:
        held = [await lab.place(), await lab.place()]
        refused: list[RefusalCode] = []

        async def one() -> None:
            with pytest.raises(RefusedError) as caught:
                await lab.place()
            refused.append(caught.value.refusal.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one)
            await anyio.wait_all_tasks_blocked()
            lab.views.draining.add(("server", "s-1"))
            lab.placer.finish(held[0], AttemptEnd.ANSWERED, confirmed=True)
        assert refused == [RefusalCode.NO_ROUTE]

    lab.run(test)


def test_a_plan_without_allowance_is_refused() -> None:
    """Guard against customers using services that their plan does not include."""
    lab = Lab()

    async def test() -> None:
        work = lab.work()
        work.caller = Caller("customer", "none", 1)
        with pytest.raises(RefusedError) as caught:
            await lab.placer.place(work, frozenset())
        assert caught.value.refusal.code is RefusalCode.FORBIDDEN

    lab.run(test)


def test_waiting_work_is_noted_as_demand() -> None:
    """Guard against lending that sees one request where many wait."""
    lab = Lab()

    async def test() -> None:
        await lab.place(), await lab.place()
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(lab.place)
            await anyio.wait_all_tasks_blocked()
            lab.ledger.take_demand(lab.clock.time_s)
            lab.clock.time_s += 0.1
            lab.placer.tick()
            noted = {item.resource: item.units for item in lab.ledger.take_demand(lab.clock.time_s)}
            assert noted[SERVER] == 5
            tasks.cancel_scope.cancel()

    lab.run(test)
