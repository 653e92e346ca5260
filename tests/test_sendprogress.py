"""Check when a connection counts as sent, stalled or over."""

from berylchute.sendprogress import LINGER_S, Linger, LingerStep, SendProgress

TIMEOUT_S = 15.0


def test_bytes_wait_since_the_first_of_them_came() -> None:
    # Guard against a caller that seems to read since more is written for it.
    progress = SendProgress()
    assert progress.record(100, 1.0) == 100
    assert progress.record(300, 2.0) == 200
    assert (progress.waiting_s, progress.moved_s) == (1.0, 2.0)
    assert progress.record(300, 3.0) == 0
    assert (progress.waiting_s, progress.moved_s) == (1.0, 2.0)
    assert progress.record(0, 4.0) == -300
    assert progress.waiting_s is None


def test_linger_begins_when_everything_is_sent() -> None:
    # Guard against answers that are cut while their caller reads, at whatever pace.
    linger = Linger()
    for second in range(100):
        assert linger.next_step(1_000 - second, float(second), TIMEOUT_S) is LingerStep.WAIT
        assert linger.sent_s is None
    assert linger.next_step(0, 100.0, TIMEOUT_S) is LingerStep.WAIT
    assert linger.next_step(0, 100.0 + LINGER_S, TIMEOUT_S) is LingerStep.WAIT
    assert linger.next_step(0, 100.1 + LINGER_S, TIMEOUT_S) is LingerStep.CLOSE


def test_linger_ends_for_a_caller_that_reads_nothing() -> None:
    # Guard against connections that are held forever.
    linger = Linger()
    assert linger.next_step(1_000, 1.0, TIMEOUT_S) is LingerStep.WAIT
    assert linger.next_step(1_000, 1.0 + TIMEOUT_S, TIMEOUT_S) is LingerStep.WAIT
    assert linger.next_step(1_000, 1.1 + TIMEOUT_S, TIMEOUT_S) is LingerStep.RESET
