"""Check that a paused runner makes no late step."""

from collections.abc import Awaitable, Callable

import anyio
import attrs
import pytest

from berylchute import shiftrunner, shifts
from berylchute.balance import ServerObserver
from berylchute.config import BackendServer, Configuration, HostPosition, Link, Region
from berylchute.ledger import Ledger
from berylchute.messages import MemberRecord
from berylchute.shares import link_resource
from berylchute.shiftrunner import ShiftRunner, build_observation
from berylchute.shifts import SHIFTS_KEY, Shift, ShiftSet, ShiftState
from berylchute.traffic import count_free_units
from berylchute.types import MemberState, MemberStatus, StoredObject
from tests.test_claims import FakeStore
from tests.test_sharecontrol import configuration

STEP_PERCENT = 10
Hook = Callable[[], Awaitable[None]]


def two_regions() -> Configuration:
    base = configuration("a")
    return attrs.evolve(
        base,
        regions=(Region("from", 10), Region("to", 10)),
        availability_zones=(
            attrs.evolve(base.availability_zones[0], name="z1", region="from"),
            attrs.evolve(base.availability_zones[0], name="z2", region="to"),
        ),
        backend_servers=tuple(
            BackendServer(f"s{n}", "svc", f"z{n}", f"127.0.0.1:{n}", 10) for n in (1, 2)
        ),
        host_positions=(HostPosition("a", "z1"),),
    )


@attrs.define
class PausingStore:
    """Run `hook` at point number `pause_at`; points are counted before and after each call."""

    store: FakeStore
    pause_at: int
    hook: Hook
    point: int = 0

    async def _pass_point(self) -> None:
        self.point += 1
        if self.point == self.pause_at:
            await self.hook()

    async def get(self, key: str) -> StoredObject | None:
        await self._pass_point()
        found = await self.store.get(key)
        await self._pass_point()
        return found

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        await self._pass_point()
        written = await self.store.put(key, value, expected_version)
        await self._pass_point()
        return written


@attrs.define
class RunnerView:
    """Member view and clock of one runner, in which it is the only live entry host."""

    host_id: str
    time_s: float = 0.0

    def now_s(self) -> float:
        return self.time_s

    def list_members(self) -> list[MemberStatus]:
        free = {"svc/from": 5, "svc/to": 10}
        record = MemberRecord(
            self.host_id, "a", "z1", "from", "entry", 1, 1, False, True, "", "", 0, 0, 0, free
        )
        return [MemberStatus(record, MemberState.LIVE)]

    def find_by_position(self, position: str) -> MemberStatus | None:
        return None


def build_runner(view: RunnerView, store: object) -> ShiftRunner:
    return ShiftRunner(
        view.host_id,
        store,  # type: ignore[arg-type]
        view,
        ServerObserver(),
        ShiftSet(),
        view,
        lambda stored: True,
    )


def stored_shift(store: FakeStore) -> Shift:
    return shifts.decode(store.objects[SHIFTS_KEY].value)[0]


@pytest.mark.parametrize("pause_at", range(1, 13))
@pytest.mark.parametrize("is_cancelled", [False, True])
def test_runner_paused_at_any_point_makes_no_late_step(pause_at: int, is_cancelled: bool) -> None:
    """Guard against a paused runner that overwrites newer steps or a cancellation.

    The runner is paused at each point around its store calls, while another runner makes steps
    and the operator may cancel the shift.
    """
    store = FakeStore()
    shift = Shift("x", "svc", "from", "to", 90, STEP_PERCENT)
    store.objects[SHIFTS_KEY] = StoredObject(SHIFTS_KEY, 1, shifts.encode([shift]))
    percents = []
    other_runner_view = RunnerView("h2")
    other_runner = build_runner(other_runner_view, store)

    async def take_over() -> None:
        for _ in range(3):
            await other_runner.step(two_regions())
            other_runner_view.time_s += 3.0
            percents.append(stored_shift(store).current_percent)
        if is_cancelled:
            current = store.objects[SHIFTS_KEY]
            cancelled = shifts.cancel(shifts.decode(current.value), "x")
            await store.put(SHIFTS_KEY, shifts.encode(cancelled), current.version)

    view = RunnerView("h1")
    runner = build_runner(view, PausingStore(store, pause_at, take_over))

    async def run() -> None:
        for _ in range(4):
            await runner.step(two_regions())
            view.time_s += 3.0
            percents.append(stored_shift(store).current_percent)

    anyio.run(run)
    rises = [after - before for before, after in zip(percents, percents[1:], strict=False)]
    assert max(rises) <= STEP_PERCENT
    assert max(percents) >= STEP_PERCENT
    if is_cancelled and len(percents) > 4:
        assert stored_shift(store).state is ShiftState.CANCELLED
        assert stored_shift(store).current_percent == 0


def test_runner_that_was_paused_makes_no_step_from_old_reports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a step that is decided from members' reports received before a pause."""
    monkeypatch.setattr(shiftrunner, "POLL_S", 0.0)
    store = FakeStore()
    shift = Shift("x", "svc", "from", "to", 90, STEP_PERCENT, current_percent=10)
    store.objects[SHIFTS_KEY] = StoredObject(SHIFTS_KEY, 1, shifts.encode([shift]))
    view = RunnerView("h1")
    states: list[tuple[ShiftState, int]] = []

    async def pause() -> None:
        states.append((stored_shift(store).state, stored_shift(store).current_percent))
        view.time_s += 30.0 if len(states) == 1 else 0.1

    # Point 2 is after the first read; PausingStore calls the hook only there.
    runner = build_runner(view, PausingStore(store, 2, pause))
    runner._shift_set.update_from_object(store.objects[SHIFTS_KEY].value)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run, two_regions)
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert stored_shift(store).reason == "no recent report"
    assert stored_shift(store).current_percent == 10


def observe_link(*reports: MemberStatus) -> float:
    base = attrs.evolve(
        two_regions(), links=(Link("from", "to", 10_000_000), Link("to", "from", 10_000_000))
    )
    shift = Shift("x", "svc", "from", "to", 90, STEP_PERCENT)
    return build_observation(shift, base, reports, ServerObserver(), 0.0).link_free_ratio


def test_members_that_are_gone_and_full_links_are_not_free() -> None:
    """Guard against a shift over a link that is full, or free only in the report of a dead host."""
    live = RunnerView("h1").list_members()[0]
    key = link_resource("from", "to")

    def with_free(units: int, state: MemberState) -> MemberStatus:
        return attrs.evolve(
            live, record=attrs.evolve(live.record, free_units={key: units}), state=state
        )

    assert observe_link(with_free(10, MemberState.GONE), with_free(0, MemberState.LIVE)) == 0.0
    assert observe_link(with_free(5, MemberState.LIVE)) == 0.5
    configuration_found = attrs.evolve(two_regions(), links=(Link("from", "to", 10_000_000),))
    assert count_free_units(configuration_found, Ledger({key: 0}), 0.0)[key] == 0
