"""Check the counts of requests by the region of their server."""

from berylchute.regionsends import REPORT_PERIOD_S, RegionSends
from tests.httpfakes import ManualClock


def test_reports_hold_all_requests_since_the_last_report() -> None:
    # Guard against a move of traffic between regions that no log line shows.
    clock = ManualClock()
    sends = RegionSends(clock)
    for _ in range(1000):
        sends.record("s", "ra", "")
    sends.record("s", "rb", "full")
    assert sends.take_report() is None
    clock.now += REPORT_PERIOD_S
    assert sends.take_report() == {"s": {"ra": 1000, "rb/full": 1}}
    clock.now += REPORT_PERIOD_S
    assert sends.take_report() is None
