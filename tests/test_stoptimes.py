"""Check the times of a planned stop, and which requests may be sent during it."""

import pytest

from berylchute.stoptimes import StopTimes

STARTED_S = 100.0


@pytest.mark.parametrize("ttl_s", [0.5, 2.0, 5.0])
@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 6.0, 10.0, 60.0])
def test_times_follow_the_grace_time(grace_s: float, ttl_s: float) -> None:
    # Guard against a stop that lasts until the kill, or breaks requests off long before it, since a
    # time is a constant that only fits one grace time.
    times = StopTimes.plan(STARTED_S, grace_s, ttl_s)
    assert STARTED_S < times.close_from_s < times.listen_until_s < times.end_s < times.exit_s
    assert times.exit_s < STARTED_S + grace_s
    assert times.end_s >= STARTED_S + 5.0 / 6.0 * grace_s


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 6.0, 10.0, 60.0])
def test_request_is_accepted_only_if_it_ends_before_the_process(grace_s: float) -> None:
    # Guard against requests that are broken off at the end of a stop although they were accepted
    # after its start, and against needless refusals.
    times = StopTimes.plan(STARTED_S, grace_s, directory_ttl_s=2.0)
    assert times.leave_time_for(deadline_s=times.end_s)
    assert not times.leave_time_for(deadline_s=times.end_s + 0.01)
    assert not times.leave_time_for(deadline_s=STARTED_S + grace_s)


def test_connections_are_accepted_while_callers_hold_the_address() -> None:
    # Guard against refused connections while callers hold an answer of the directory for three
    # times its TTL, and the grace time has room for their requests.
    assert StopTimes.plan(STARTED_S, 30.0, directory_ttl_s=2.0).listen_until_s == STARTED_S + 6.0
    assert StopTimes.plan(STARTED_S, 6.0, directory_ttl_s=2.0).listen_until_s == STARTED_S + 3.0


def test_any_request_may_be_sent_by_a_process_that_is_not_stopping() -> None:
    # Guard against refusals without a stop.
    assert StopTimes().leave_time_for(deadline_s=1e9)
