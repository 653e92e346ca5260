"""Check which callers count as returning after a refusal."""

from random import Random

from berylchute.returns import WINDOW_S, ReturnDetector


def test_caller_that_waited_is_a_return() -> None:
    """Guard against refusing the same caller again while new callers are served."""
    detector = ReturnDetector()
    assert not detector.is_return("r", 2950.0, 0.0)
    assert detector.is_return("r", 2300.0, 0.1)
    assert not detector.is_return("r", 2990.0, 0.2)
    assert not detector.is_return("other", 2300.0, 0.2)
    assert not detector.is_return("r", None, 0.2)


def test_repeat_without_the_wait_is_no_return() -> None:
    """Guard against callers that repeat at once and displace those that keep to Retry-After."""
    detector = ReturnDetector()
    detector.is_return("r", 3000.0, 0.0)
    assert not any(detector.is_return("r", 3000.0 - 20.0 * n, 0.02 * n) for n in range(1, 20))


def test_shorter_deadlines_are_learned() -> None:
    """Guard against treating every caller as returning after a caller with a long deadline."""
    detector = ReturnDetector()
    detector.is_return("r", 9000.0, 0.0)
    rng = Random(1)
    for step in range(300):
        returns = detector.is_return("r", 3000.0 - rng.uniform(0, 100), 0.1 * step)
        assert returns == (0.1 * step < 2 * WINDOW_S)
