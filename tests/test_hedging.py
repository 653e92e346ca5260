"""Check the budgets for hedges and retries."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute import hedging
from berylchute.hedging import ExtraLoadBudget, HedgeDelays


@given(st.lists(st.sampled_from(["first", "hedge"]), max_size=500))
def test_hedges_stay_within_five_percent(steps: list[str]) -> None:
    """Guard against hedges that add load when all servers are slow."""
    budget, first, hedges = ExtraLoadBudget(), 0, 0
    for step in steps:
        if step == "first":
            budget.record_first_attempt()
            first += 1
        else:
            hedges += budget.try_spend_hedge()
        assert hedges <= hedging.EXTRA_LOAD_RATIO * first + 1e-9


@given(st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans(), st.booleans()), max_size=300))
def test_retries_are_bounded(steps: list[tuple[float, bool, bool]]) -> None:
    """Guard against retry storms: retries exceed the budget by the time-based allowance only."""
    budget, now_s, first, extra = ExtraLoadBudget(), 0.0, 0, 0
    for elapsed_s, is_first, is_hedge in steps:
        now_s += elapsed_s
        if is_first:
            budget.record_first_attempt()
            first += 1
        elif is_hedge:
            extra += budget.try_spend_hedge()
        else:
            extra += budget.try_spend_retry(now_s)
        allowance = hedging.RETRY_TOKENS_MAX + hedging.RETRY_TOKENS_PER_S * now_s
        assert extra <= hedging.EXTRA_LOAD_RATIO * first + allowance + 1e-6


def test_idle_time_does_not_accumulate_hedges() -> None:
    """Guard against a burst of hedges after a long time without any."""
    budget = ExtraLoadBudget()
    for _ in range(100_000):
        budget.record_first_attempt()
    assert sum(budget.try_spend_hedge() for _ in range(1000)) == int(hedging.BUDGET_TOKENS_MAX)


@given(st.lists(st.floats(0.001, 10.0), min_size=hedging.SAMPLES_MIN, max_size=700))
def test_delay_is_the_95th_percentile_of_recent_answers(latencies_s: list[float]) -> None:
    """Guard against hedges sent before 95% of answers arrive, or based on outdated samples."""
    delays = HedgeDelays()
    assert delays.delay_s("balance") is None
    for latency_s in latencies_s:
        delays.record("balance", latency_s)
    kept = sorted(latencies_s[-hedging.SAMPLES_KEPT :])
    assert delays.delay_s("balance") == kept[int(len(kept) * 0.95)]
