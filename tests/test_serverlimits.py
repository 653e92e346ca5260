"""Check that all members together keep to the limits that servers state."""

import pytest

from tests.limitedfleet import Fleet

REQUESTS_PER_S = 240.0
SEEDS = (1, 2, 3)


def _limited_fleet(member_count: int, seed: int, limit_per_s: float = 12.0) -> Fleet:
    fleet = Fleet(member_count, seed)
    fleet.run(8.0, REQUESTS_PER_S)
    fleet.state_limits(limit_per_s, "i-0", "i-1", "i-2", "i-6")
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("member_count", [1, 11, 61, 195])
def test_members_together_exceed_no_stated_limit(member_count: int, seed: int) -> None:
    # Guard against members that ignore a limit, or that each use all of it.
    fleet = _limited_fleet(member_count, seed)
    fleet.run(12.0, REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("limit_per_s", [0.5, 3.0, 40.0])
def test_low_and_high_limits_are_kept(limit_per_s: float, seed: int) -> None:
    # Guard against an allowance of one request for each member where the limit is below that.
    fleet = _limited_fleet(61, seed, limit_per_s)
    fleet.run(12.0, REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_crowd_after_a_pause_exceeds_no_limit(seed: int) -> None:
    # Guard against allowances that add up while callers are quiet.
    fleet = _limited_fleet(61, seed)
    fleet.run(4.0, REQUESTS_PER_S)
    fleet.run(6.0, 1.0)
    fleet.run(6.0, 4 * REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_members_exceed_no_limit(seed: int) -> None:
    # Guard against fresh processes that know neither the limit nor the other members.
    fleet = _limited_fleet(11, seed)
    fleet.run(4.0, REQUESTS_PER_S)
    for number in (0, 4, 5):
        fleet.restart(number)
        fleet.run(1.0, REQUESTS_PER_S)
    fleet.run(10.0, REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_members_cut_off_from_each_other_exceed_no_limit(seed: int) -> None:
    # Guard against two halves of the fleet that each use the whole limit.
    fleet = _limited_fleet(11, seed)
    fleet.run(4.0, REQUESTS_PER_S)
    names = [member.name for member in fleet.members]
    for number, member in enumerate(fleet.members):
        member.cut_off = frozenset(names[6:] if number < 6 else names[:6])
    fleet.run(12.0, REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0
