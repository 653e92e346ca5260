"""Check the mean rate and the burst of a token bucket."""

from berylchute.tokenbucket import TokenBucket


def test_bucket_starts_empty_and_fills_up_to_its_depth() -> None:
    # Guard against a burst when a limit begins, and against tokens that add up during a pause.
    bucket = TokenBucket(10.0)
    assert not bucket.has_token()
    bucket.refill(2.0, 1.5, 10.5)
    assert bucket.has_token()
    bucket.refill(2.0, 1.5, 100.0)
    assert bucket.tokens == 1.5


def test_debt_is_paid_before_the_next_token() -> None:
    # Guard against a higher mean rate of callers that may take tokens in advance.
    bucket = TokenBucket(0.0, tokens=0.5)
    assert not bucket.has_token() and bucket.has_token(debt=0.5)
    bucket.take()
    bucket.refill(1.0, 1.0, 1.0)
    assert not bucket.has_token()
    bucket.refill(1.0, 1.0, 1.5)
    assert bucket.has_token()
