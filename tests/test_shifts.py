"""Check shift steps, gating and fencing on a virtual clock."""

import anyio
import attrs
import pytest
from fakes import FakeStore
from hypothesis import given
from hypothesis import strategies as st

from berylchute import shifts
from berylchute.exceptions import ConfigError, StoreConflict
from berylchute.shifts import (
    BACK_FREE_MIN,
    COLD_STEP_INTERVAL_S,
    SHIFTS_KEY,
    STEP_FREE_MIN,
    STEP_INTERVAL_S,
    Observation,
    Shift,
    ShiftDriver,
    ShiftSet,
    ShiftState,
)
from berylchute.types import StoredObject

SHIFT = Shift("s1", "saldo", "occidente", "verapaz", target_percent=50, step_percent=10)


def observation(now_s: float, **changes: float) -> Observation:
    calm = Observation(
        now_s, from_in_use=20, to_free=50, to_capacity=60, link_free_share=1.0, latency_ratio=1.0
    )
    return attrs.evolve(calm, **changes)


def drive(driver: ShiftDriver, shift: Shift, until_s: float, **changes: float) -> Shift:
    """Run the driver each 0.5 s from 0 to `until_s` under one observation."""
    for tick in range(int(until_s * 2) + 1):
        now_s = tick / 2
        shift = driver.decide(shift, observation(now_s, **changes), now_s) or shift
    return shift


def test_shift_reaches_its_target_in_steps() -> None:
    """Guards against a shift that moves all traffic at once or never ends."""
    assert drive(ShiftDriver("a"), SHIFT, STEP_INTERVAL_S * 1.5).current_percent == 10
    done = drive(ShiftDriver("a"), SHIFT, STEP_INTERVAL_S * 6)
    assert (done.state, done.current_percent) == (ShiftState.DONE, 50)


@given(
    free=st.integers(0, 60),
    in_use=st.integers(0, 60),
    link=st.floats(0.0, 1.0),
    percent=st.integers(0, 50),
)
def test_no_step_without_headroom(free: int, in_use: int, link: float, percent: int) -> None:
    """Guards against a step onto a target or link that is short of headroom."""
    driver, shift = ShiftDriver("a"), attrs.evolve(SHIFT, current_percent=percent)
    moved = drive(
        driver, shift, STEP_INTERVAL_S, to_free=free, from_in_use=in_use, link_free_share=link
    )
    if moved.current_percent > percent:
        step_units = in_use * (moved.current_percent - percent) / (100 - percent)
        assert free - step_units >= 60 * STEP_FREE_MIN
        assert link >= shifts.LINK_FREE_MIN


def test_shift_steps_back_when_headroom_runs_out() -> None:
    """Guards against a shift that keeps a full target full."""
    done = attrs.evolve(SHIFT, current_percent=50, state=ShiftState.DONE)
    assert drive(ShiftDriver("a"), done, STEP_INTERVAL_S) == done
    assert drive(ShiftDriver("a"), done, STEP_INTERVAL_S, to_free=0).current_percent == 40
    shift = attrs.evolve(SHIFT, current_percent=30)
    back = drive(ShiftDriver("a"), shift, STEP_INTERVAL_S, to_free=int(60 * BACK_FREE_MIN))
    assert (back.state, back.current_percent) == (ShiftState.HELD, 20)


def test_cold_target_slows_the_steps() -> None:
    """Guards against steps that outrun cold caches."""
    shift = attrs.evolve(SHIFT, current_percent=10)
    cold = drive(ShiftDriver("a"), shift, COLD_STEP_INTERVAL_S - 0.5, latency_ratio=3.0)
    assert cold.current_percent == 10
    assert (
        drive(ShiftDriver("a"), shift, COLD_STEP_INTERVAL_S, latency_ratio=3.0).current_percent
        == 20
    )


def test_late_measurements_hold_the_shift() -> None:
    """Guards against steps on measurements that stopped arriving."""
    held = ShiftDriver("a").decide(SHIFT, observation(0.0), now_s=10.0)
    assert held is not None and held.state is ShiftState.HELD


def test_new_runner_waits_a_whole_interval() -> None:
    """Guards against two runners whose steps follow each other too fast."""
    first = drive(ShiftDriver("a"), SHIFT, STEP_INTERVAL_S)
    assert ShiftDriver("b").decide(first, observation(2.5), now_s=2.5) is None


def test_paused_runner_cannot_step_late() -> None:
    """Guards against a runner that acts after a pause as if it still ran the shift.

    The old runner is paused at every point between its read and its write, while the new
    runner steps or the operator cancels.
    """
    for cancelled in (False, True):
        store = FakeStore()
        anyio.run(store.put, SHIFTS_KEY, shifts.encode((SHIFT,)), 0)
        old = anyio.run(store.get, SHIFTS_KEY)
        assert old is not None
        late = drive(ShiftDriver("old"), shifts.decode(old.value)[0], STEP_INTERVAL_S)
        if cancelled:
            newer = shifts.cancel((SHIFT,), "s1")
        else:
            newer = (drive(ShiftDriver("new"), SHIFT, STEP_INTERVAL_S),)
        stored = anyio.run(store.put, SHIFTS_KEY, shifts.encode(newer), old.version)
        with pytest.raises(StoreConflict):
            anyio.run(store.put, SHIFTS_KEY, shifts.encode((late,)), old.version)
        assert anyio.run(store.get, SHIFTS_KEY) == stored


def test_cancelled_shift_sends_all_traffic_home() -> None:
    """Guards against weights that outlive a cancelled shift."""
    view = ShiftSet()
    view.replace(shifts.encode((attrs.evolve(SHIFT, current_percent=40),)))
    assert view.region_weights("saldo", "occidente") == {"occidente": 0.6, "verapaz": 0.4}
    view.replace(shifts.encode(shifts.cancel(view.shifts, "s1")))
    assert view.region_weights("saldo", "occidente") == {}


def test_second_shift_of_the_same_traffic_is_refused() -> None:
    """Guards against two shifts that undo each other's steps."""
    with pytest.raises(ConfigError):
        shifts.declare((SHIFT,), attrs.evolve(SHIFT, id="s2", to_region="oriente"))
    assert shifts.declare((SHIFT,), SHIFT) == (SHIFT,)


def test_stored_object_round_trip() -> None:
    """Guards against a status that is lost in the store."""
    stored = StoredObject(SHIFTS_KEY, 1, shifts.encode((SHIFT,)))
    assert shifts.decode(stored.value) == (SHIFT,)
