"""Check the steps, preconditions and conditional updates of shifts on a virtual clock."""

import anyio
import attrs
import pytest
from fakes import FakeStore
from hypothesis import given
from hypothesis import strategies as st

from berylchute import shifts
from berylchute.exceptions import ConfigError, StoreConflict
from berylchute.shifts import (
    COLD_STEP_INTERVAL_S,
    SHIFTS_KEY,
    STEP_BACK_FREE_RATIO_MIN,
    STEP_FREE_RATIO_MIN,
    STEP_INTERVAL_S,
    Observation,
    Shift,
    ShiftController,
    ShiftSet,
    ShiftState,
)
from berylchute.types import StoredObject

SHIFT = Shift("s1", "saldo", "occidente", "verapaz", target_percent=50, step_percent=10)


def observation(now_s: float, **changes: float) -> Observation:
    unloaded = Observation(
        now_s,
        from_slots_in_use=20,
        to_free_slots=50,
        to_capacity_slots=60,
        link_free_ratio=1.0,
        latency_ratio=1.0,
    )
    return attrs.evolve(unloaded, **changes)


def run_controller(
    controller: ShiftController, shift: Shift, until_s: float, **changes: float
) -> Shift:
    """Call the controller every 0.5 s from 0 to `until_s` with the same observation."""
    for tick in range(int(until_s * 2) + 1):
        now_s = tick / 2
        shift = controller.decide(shift, observation(now_s, **changes), now_s) or shift
    return shift


def test_shift_reaches_its_target_in_steps() -> None:
    """Guard against a shift that moves all traffic at once or never ends."""
    assert run_controller(ShiftController("a"), SHIFT, STEP_INTERVAL_S * 1.5).current_percent == 10
    done = run_controller(ShiftController("a"), SHIFT, STEP_INTERVAL_S * 6)
    assert (done.state, done.current_percent) == (ShiftState.DONE, 50)


@given(
    free=st.integers(0, 60),
    in_use=st.integers(0, 60),
    link=st.floats(0.0, 1.0),
    percent=st.integers(0, 50),
)
def test_no_step_without_free_units(free: int, in_use: int, link: float, percent: int) -> None:
    """Guard against a step onto a target or link without enough free capacity.

    After the step, the target must keep STEP_FREE_RATIO_MIN of its slots free.
    """
    controller, shift = ShiftController("a"), attrs.evolve(SHIFT, current_percent=percent)
    moved = run_controller(
        controller,
        shift,
        STEP_INTERVAL_S,
        to_free_slots=free,
        from_slots_in_use=in_use,
        link_free_ratio=link,
    )
    if moved.current_percent > percent:
        step_slots = in_use * (moved.current_percent - percent) / (100 - percent)
        assert free - step_slots >= 60 * STEP_FREE_RATIO_MIN
        assert link >= shifts.LINK_FREE_RATIO_MIN


def test_shift_steps_back_when_free_slots_run_out() -> None:
    """Guard against a shift that keeps a target overloaded.

    The target runs out of free slots after the shift has moved traffic to it.
    """
    done = attrs.evolve(SHIFT, current_percent=50, state=ShiftState.DONE)
    assert run_controller(ShiftController("a"), done, STEP_INTERVAL_S) == done
    assert (
        run_controller(ShiftController("a"), done, STEP_INTERVAL_S, to_free_slots=0).current_percent
        == 40
    )
    shift = attrs.evolve(SHIFT, current_percent=30)
    back = run_controller(
        ShiftController("a"),
        shift,
        STEP_INTERVAL_S,
        to_free_slots=int(60 * STEP_BACK_FREE_RATIO_MIN),
    )
    assert (back.state, back.current_percent) == (ShiftState.HELD, 20)


def test_cold_target_slows_the_steps() -> None:
    """Guard against steps that follow each other before the target's cold caches have filled."""
    shift = attrs.evolve(SHIFT, current_percent=10)
    cold = run_controller(
        ShiftController("a"), shift, COLD_STEP_INTERVAL_S - 0.5, latency_ratio=3.0
    )
    assert cold.current_percent == 10
    assert (
        run_controller(
            ShiftController("a"), shift, COLD_STEP_INTERVAL_S, latency_ratio=3.0
        ).current_percent
        == 20
    )


def test_outdated_observation_holds_the_shift() -> None:
    """Guard against steps based on an outdated observation when reports have stopped arriving."""
    held = ShiftController("a").decide(SHIFT, observation(0.0), now_s=10.0)
    assert held is not None and held.state is ShiftState.HELD


def test_new_runner_waits_a_whole_interval() -> None:
    """Guard against steps less than an interval apart when another runner takes over."""
    first = run_controller(ShiftController("a"), SHIFT, STEP_INTERVAL_S)
    assert ShiftController("b").decide(first, observation(2.5), now_s=2.5) is None


def test_paused_runner_cannot_step_late() -> None:
    """Guard against a paused runner that overwrites a newer step or a cancellation.

    The old runner is paused between its read and its write, while the new runner makes a step
    or the operator cancels the shift; the old runner's conditional update must fail.
    """
    for cancelled in (False, True):
        store = FakeStore()
        anyio.run(store.put, SHIFTS_KEY, shifts.encode((SHIFT,)), 0)
        old = anyio.run(store.get, SHIFTS_KEY)
        assert old is not None
        late_shift = run_controller(
            ShiftController("old"), shifts.decode(old.value)[0], STEP_INTERVAL_S
        )
        if cancelled:
            newer_shifts = shifts.cancel((SHIFT,), "s1")
        else:
            newer_shifts = (run_controller(ShiftController("new"), SHIFT, STEP_INTERVAL_S),)
        stored = anyio.run(store.put, SHIFTS_KEY, shifts.encode(newer_shifts), old.version)
        with pytest.raises(StoreConflict):
            anyio.run(store.put, SHIFTS_KEY, shifts.encode((late_shift,)), old.version)
        assert anyio.run(store.get, SHIFTS_KEY) == stored


def test_cancelled_shift_returns_all_traffic() -> None:
    """Guard against region weights that remain after their shift is cancelled."""
    shift_set = ShiftSet()
    shift_set.update_from_object(shifts.encode((attrs.evolve(SHIFT, current_percent=40),)))
    assert shift_set.region_weights("saldo", "occidente") == {"occidente": 0.6, "verapaz": 0.4}
    shift_set.update_from_object(shifts.encode(shifts.cancel(shift_set.shifts, "s1")))
    assert shift_set.region_weights("saldo", "occidente") == {}


def test_second_shift_of_the_same_traffic_is_rejected() -> None:
    """Guard against two shifts of the same traffic that revert each other's steps."""
    with pytest.raises(ConfigError):
        shifts.declare((SHIFT,), attrs.evolve(SHIFT, id="s2", to_region="oriente"))
    assert shifts.declare((SHIFT,), SHIFT) == (SHIFT,)


def test_stored_object_round_trip() -> None:
    """Guard against a field that is lost when a shift is stored."""
    stored = StoredObject(SHIFTS_KEY, 1, shifts.encode((SHIFT,)))
    assert shifts.decode(stored.value) == (SHIFT,)
