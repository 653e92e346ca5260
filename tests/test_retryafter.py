"""Check when refused callers may return."""

from random import Random

from berylchute.retryafter import DELAY_RATIO_RANGE, choose_delay_s


def test_callers_return_after_the_servers_accept_requests_again() -> None:
    # Guard against a crowd that returns while all servers pause, or all at the moment they end it.
    delays_s = {choose_delay_s(3.0, Random(seed), earliest_s=1.2) for seed in range(50)}
    assert min(delays_s) >= 1.2 and max(delays_s) - min(delays_s) > 0.2
    usual_s = [choose_delay_s(3.0, Random(seed)) for seed in range(50)]
    assert min(usual_s) >= 3.0 * DELAY_RATIO_RANGE[0]
    assert max(usual_s) <= 3.0 * DELAY_RATIO_RANGE[1]
