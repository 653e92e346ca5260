"""Check how fast the requests of a region change the region that serves them."""

import pytest

from tests.regionfleet import RegionFleet

# Of the requests from one region, the part that may change its region from one 2 s to the next.
SHIFT_RATIO_MAX = 0.15
# Requests may move at once until this long after servers left or started.
STABLE_WINDOW_S = 3.0
USUAL_RATE_PER_S = 78.0
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_end_of_an_overload_moves_few_requests_at_once(seed: int) -> None:
    # Guard against requests that all return to their own region within a second when servers that
    # crashed and returned together have worked off their queues.
    fleet = RegionFleet(seed)

    def rate_per_s(zone: str) -> float:
        return 190.0 if 12.0 <= fleet.clock.now < 21.5 else USUAL_RATE_PER_S

    fleet.run(14.0, rate_per_s)
    fleet.crash(fleet.pick_servers(0.5), restart_s=1.2)
    fleet.run(40.0, rate_per_s)
    assert fleet.largest_shift(15.2 + STABLE_WINDOW_S, 40.0) <= SHIFT_RATIO_MAX


@pytest.mark.parametrize("seed", SEEDS)
def test_crowd_in_a_region_moves_few_requests_at_once(seed: int) -> None:
    # Guard against a crowd that sends much of a region's traffic elsewhere from one moment to the
    # next, or back when it ends.
    fleet = RegionFleet(seed)

    def rate_per_s(zone: str) -> float:
        return 300.0 if zone.startswith("rc") and 12.0 <= fleet.clock.now < 20.0 else 78.0

    fleet.run(40.0, rate_per_s)
    assert fleet.largest_shift(6.0, 40.0) <= SHIFT_RATIO_MAX


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_of_lost_servers_that_expire_move_few_requests_at_once(seed: int) -> None:
    # Guard against shares of regions that follow the count of registered servers at once: entries
    # of crashed servers expire together, seconds after the crash.
    fleet = RegionFleet(seed)
    fleet.run(14.0, lambda zone: USUAL_RATE_PER_S)
    fleet.crash(fleet.pick_servers(0.5, "ra"), restart_s=None)
    fleet.run(40.0, lambda zone: USUAL_RATE_PER_S)
    assert fleet.largest_shift(14.0 + STABLE_WINDOW_S, 40.0) <= SHIFT_RATIO_MAX
