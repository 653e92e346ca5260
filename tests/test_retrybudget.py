"""Check that the retries of all members together stay within the budget."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute.discovery import MEMBER_DISCOVERY_S, MemberDiscovery
from berylchute.retrybudget import RetryBounds, RetryBudget
from tests.httpfakes import ManualClock

BOUNDS = RetryBounds(ratio=0.2, burst=60.0, window_s=10.0)


def joined_discovery() -> MemberDiscovery:
    """Return the discovery of a process that has known the other members for long."""
    clock = ManualClock(0.0)
    discovery = MemberDiscovery(clock)
    discovery.update(is_joined=True)
    clock.now += MEMBER_DISCOVERY_S + 1.0
    return discovery


def _count(times: list[float], start_s: float) -> int:
    return sum(1 for time_s in times if start_s <= time_s < start_s + BOUNDS.window_s)


def _assert_bound_kept(requests: list[float], retries: list[float]) -> None:
    """Check every window that begins or ends with a retry.

    The bound is that of the requests in the window, in the one before it, or in the one half a
    window earlier, whichever has the most.
    """
    for time_s in retries:
        for start_s in (time_s, time_s - BOUNDS.window_s + 1e-6):
            shifts_s = (0.0, BOUNDS.window_s / 2.0, BOUNDS.window_s)
            request_count = max(_count(requests, start_s - shift_s) for shift_s in shifts_s)
            assert _count(retries, start_s) <= BOUNDS.ratio * request_count + BOUNDS.burst


@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0.0, 0.2)), max_size=400),
)
def test_members_together_keep_the_bound_in_every_window(
    member_count: int, events: list[tuple[int, bool, float]]
) -> None:
    # Guard against retries of all members that together exceed the budget in some window.
    budgets = [RetryBudget(BOUNDS, joined_discovery()) for _ in range(member_count)]
    now_s = MEMBER_DISCOVERY_S + 1.0
    requests: list[float] = []
    retries: list[float] = []
    for member, is_retry, after_s in events:
        now_s += after_s
        budget = budgets[member % member_count]
        if not is_retry:
            budget.record_request(now_s)
            requests.append(now_s)
        elif budget.acquire(member_count, now_s):
            retries.append(now_s)
    _assert_bound_kept(requests, retries)


@given(st.lists(st.integers(0, 300), min_size=3, max_size=12), st.floats(0.0, 1.0))
def test_bound_holds_while_the_rate_changes_and_retries_come_late(
    rates_per_s: list[int], start_ratio: float
) -> None:
    # Guard against more retries than allowed after the request rate has fallen. Each rate lasts
    # 2 s, and from some moment on every allowed retry is sent.
    budget = RetryBudget(BOUNDS, joined_discovery())
    requests: list[float] = []
    retries: list[float] = []
    start_s = MEMBER_DISCOVERY_S + 1.0
    end_s = start_s + 2.0 * len(rates_per_s)
    wanted_from_s = start_s + start_ratio * (end_s - start_s)
    for step in range(20 * len(rates_per_s)):
        now_s = start_s + step / 10.0
        for _ in range(rates_per_s[step // 20] // 10):
            budget.record_request(now_s)
            requests.append(now_s)
        while now_s >= wanted_from_s and budget.acquire(1, now_s):
            retries.append(now_s)
    _assert_bound_kept(requests, retries)


def test_fresh_process_has_no_burst() -> None:
    # Guard against a burst above the budget when processes restart and don't know each other yet.
    clock = ManualClock()
    discovery = MemberDiscovery(clock)
    budget = RetryBudget(BOUNDS, discovery)
    discovery.update(is_joined=True)
    clock.now += MEMBER_DISCOVERY_S - 0.1
    assert not budget.acquire(1, clock.now)
    clock.now += 0.2
    assert budget.acquire(1, clock.now)


def test_process_that_starts_cut_off_has_no_burst() -> None:
    """Guard against the whole burst for a process that knows only itself."""
    clock = ManualClock()
    discovery = MemberDiscovery(clock)
    budget = RetryBudget(BOUNDS, discovery)
    for _ in range(20):
        clock.now += 1.0
        discovery.update(is_joined=False)
        assert not budget.acquire(1, clock.now)


def test_a_part_is_reserved_for_returning_callers() -> None:
    """Guard against a spent budget when a caller returns who would be refused for good."""
    budget = RetryBudget(RetryBounds(ratio=0.2, burst=0.0, window_s=10.0), joined_discovery())
    for number in range(100):
        budget.record_request(10.0 + 0.01 * number)
    new_callers = sum(budget.acquire(1, 11.0, is_return=False) for _ in range(50))
    returning = sum(budget.acquire(1, 11.0, is_return=True) for _ in range(50))
    assert (new_callers, returning) == (7, 8)
