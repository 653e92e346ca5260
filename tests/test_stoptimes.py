"""Check which requests may be sent during a stop."""

from berylchute.stoptimes import StopTimes


def test_late_request_may_be_sent_only_if_it_ends_before_the_process() -> None:
    # Guard against requests that are cut at the end of a stop, and against needless refusals.
    times = StopTimes(accept_until_s=103.0, end_s=105.6)
    assert times.leave_time_for(deadline_s=120.0, now_s=103.0)
    assert times.leave_time_for(deadline_s=105.6, now_s=105.0)
    assert not times.leave_time_for(deadline_s=105.7, now_s=103.1)
    assert StopTimes().leave_time_for(deadline_s=120.0, now_s=110.0)
