"""Check how the load tool classifies answers and computes figures."""

from lab.caller import Call, CallerSpec, CallRecord, classify_response
from lab.load import LoadKind, LoadResult, LoadSpec, plan_arrivals

CALL = Call("a.1", "a", "lookup", "GET", "/saldo/accounts/", idempotent=True)


def _record(latency_s: float, outcome: str = "ok") -> CallRecord:
    return CallRecord("lookup", 0.0, latency_s, outcome, "", "a.1", 1, False, "", 0.0, "")


def test_foreign_and_short_answers_are_wrong() -> None:
    """Guard against counting another caller's or a truncated answer as a call's own."""
    own = b'{"call":"a.1","end":"a.1","received_bytes":0}'
    assert classify_response(CALL, 200, own, 0) == ("ok", "")
    assert classify_response(CALL, 200, own.replace(b"a.1", b"b.2"), 0) == ("wrong", "foreign")
    assert classify_response(CALL, 200, own, 5) == ("wrong", "short")
    assert classify_response(CALL, 200, own[:20], 0)[0] == "wrong"


def test_refusals_differ_from_unknown_outcomes() -> None:
    """Guard against counting a request that may have run as one that was refused."""
    assert classify_response(CALL, 503, b'{"code":"overloaded","not_run":true}', 0) == (
        "refused",
        "overloaded",
    )
    assert classify_response(CALL, 504, b'{"code":"outcome_unknown","not_run":false}', 0) == (
        "failed",
        "outcome_unknown",
    )


def test_percentiles_count_answered_calls_only() -> None:
    """Guard against refusals that improve latency figures, as they are fast."""
    records = (*(_record(0.1) for _ in range(99)), _record(2.0), _record(0.001, "refused"))
    result = LoadResult(0.0, 1.0, records)
    assert abs(result.percentile_ms(50) - 100) < 1
    assert abs(result.percentile_ms(100) - 2000) < 5
    assert result.outcomes() == {"ok": 100, "refused": 1}


def test_arrivals_are_drawn_in_advance_and_repeat_with_the_seed() -> None:
    """Guard against arrivals that depend on answers (coordinated omission)."""
    kind = LoadKind("lookup", "GET", "/x/", True, ("a",), rate_per_s=100.0)
    spec = LoadSpec("t", 1, 0.0, 10.0, CallerSpec(), (kind,))
    first = list(plan_arrivals(spec))
    assert first == list(plan_arrivals(spec))
    assert 800 < len(first) < 1200
    assert all(0 <= at_s < 10.0 for at_s, _ in first)
