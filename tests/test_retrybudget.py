"""Guard that all members together stay within the fleet's allowance of repeats."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute.retrybudget import LEARNING_S, RetryBounds, RetryBudget

BOUNDS = RetryBounds(ratio=0.2, burst=60.0, window_s=10.0)


def _count(times: list[float], start_s: float) -> int:
    return sum(1 for time_s in times if start_s <= time_s < start_s + BOUNDS.window_s)


def _assert_bound_kept(requests: list[float], repeats: list[float]) -> None:
    """Check every window that begins or ends with a repeat.

    The requests are those of the window, of the one before it, or of the one half a window before
    it, whichever has most.
    """
    for time_s in repeats:
        for start_s in (time_s, time_s - BOUNDS.window_s + 1e-6):
            shifts_s = (0.0, BOUNDS.window_s / 2.0, BOUNDS.window_s)
            asked = max(_count(requests, start_s - shift_s) for shift_s in shifts_s)
            assert _count(repeats, start_s) <= BOUNDS.ratio * asked + BOUNDS.burst


@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0.0, 0.2)), max_size=400),
)
def test_members_together_keep_the_bound_in_every_window(
    members: int, events: list[tuple[int, bool, float]]
) -> None:
    budgets = [RetryBudget(BOUNDS, 0.0) for _ in range(members)]
    now_s = LEARNING_S + 1.0
    requests: list[float] = []
    repeats: list[float] = []
    for member, is_repeat, after_s in events:
        now_s += after_s
        budget = budgets[member % members]
        if not is_repeat:
            budget.note_request(now_s)
            requests.append(now_s)
        elif budget.take(members, now_s):
            repeats.append(now_s)
    _assert_bound_kept(requests, repeats)


@given(st.lists(st.integers(0, 300), min_size=3, max_size=12), st.floats(0.0, 1.0))
def test_bound_holds_while_the_rate_changes_and_repeats_come_late(
    rates_per_s: list[int], start_ratio: float
) -> None:
    """Each rate lasts 2 s; from some moment on, repeats are wanted without end."""
    budget = RetryBudget(BOUNDS, 0.0)
    requests: list[float] = []
    repeats: list[float] = []
    begin_s = LEARNING_S + 1.0
    end_s = begin_s + 2.0 * len(rates_per_s)
    wanted_from_s = begin_s + start_ratio * (end_s - begin_s)
    for step in range(20 * len(rates_per_s)):
        now_s = begin_s + step / 10.0
        for _ in range(rates_per_s[step // 20] // 10):
            budget.note_request(now_s)
            requests.append(now_s)
        while now_s >= wanted_from_s and budget.take(1, now_s):
            repeats.append(now_s)
    _assert_bound_kept(requests, repeats)


def test_fresh_process_has_no_burst() -> None:
    budget = RetryBudget(BOUNDS, 0.0)
    assert not budget.take(1, LEARNING_S - 0.1)
    assert budget.take(1, LEARNING_S + 0.1)
