"""Check how the load tool judges answers and computes figures."""

from lab.caller import Call, CallerSpec, Record, judge
from lab.load import LoadKind, LoadResult, LoadSpec, arrivals

CALL = Call("a.1", "a", "lookup", "GET", "/saldo/accounts/", idempotent=True)


def _record(latency_s: float, outcome: str = "ok") -> Record:
    return Record("lookup", 0.0, latency_s, outcome, "", "a.1", 1, False, "", 0.0, "")


def test_foreign_and_short_answers_are_wrong() -> None:
    """Guard against a run that counts another caller's or a cut answer as its own."""
    own = b'{"call":"a.1","end":"a.1","received_bytes":0}'
    assert judge(CALL, 200, own, 0) == ("ok", "")
    assert judge(CALL, 200, own.replace(b"a.1", b"b.2"), 0) == ("wrong", "foreign")
    assert judge(CALL, 200, own, 5) == ("wrong", "short")
    assert judge(CALL, 200, own[:20], 0)[0] == "wrong"


def test_refusals_are_told_from_unknown_outcomes() -> None:
    """Guard against a refusal that hides whether the work ran."""
    assert judge(CALL, 503, b'{"code":"overloaded","not_run":true}', 0) == ("refused", "overloaded")
    assert judge(CALL, 504, b'{"code":"outcome_unknown","not_run":false}', 0) == (
        "failed",
        "outcome_unknown",
    )


def test_percentiles_count_answered_calls_only() -> None:
    """Guard against refusals that improve latency figures."""
    records = (*(_record(0.1) for _ in range(99)), _record(2.0), _record(0.001, "refused"))
    result = LoadResult(0.0, 1.0, records)
    assert abs(result.percentile_ms(50) - 100) < 1
    assert abs(result.percentile_ms(100) - 2000) < 5
    assert result.outcomes() == {"ok": 100, "refused": 1}


def test_arrivals_are_drawn_in_advance_and_repeat_with_the_seed() -> None:
    """Guard against arrivals that depend on answers (coordinated omission)."""
    kind = LoadKind("lookup", "GET", "/x/", True, ("a",), rate_per_s=100.0)
    spec = LoadSpec("t", 1, 0.0, 10.0, CallerSpec(), (kind,))
    first = list(arrivals(spec))
    assert first == list(arrivals(spec))
    assert 800 < len(first) < 1200
    assert all(0 <= at_s < 10.0 for at_s, _ in first)
