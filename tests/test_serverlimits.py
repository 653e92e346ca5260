"""Check that all members together keep to the limits that servers state."""

import tracemalloc

import pytest

from berylchute.discovery import MEMBER_DISCOVERY_S
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
@pytest.mark.parametrize("limit_per_s", [0.0, 2.0, 12.0])
def test_crowd_after_a_long_silence_exceeds_no_limit(limit_per_s: float, seed: int) -> None:
    # Guard against limits that members forget while no request is sent to the server.
    fleet = _limited_fleet(61, seed, limit_per_s)
    fleet.run(4.0, REQUESTS_PER_S)
    fleet.run(25.0, 0.01)
    fleet.run(6.0, 4 * REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("pause_s", [0.2, 0.5, 1.0])
@pytest.mark.parametrize("member_count", [61, 195])
def test_limit_that_returns_after_a_pause_is_kept(member_count: int, pause_s: float) -> None:
    # Guard against reports of an end that override the limit that the server states again.
    fleet = _limited_fleet(member_count, seed=1)
    fleet.run(4.0, 4 * REQUESTS_PER_S)
    fleet.state_limits(None)
    fleet.run(pause_s, 4 * REQUESTS_PER_S)
    fleet.state_limits(12.0, "i-0", "i-1", "i-2", "i-6")
    fleet.run(5.0, 4 * REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_crowd_of_returning_callers_exceeds_no_high_limit(seed: int) -> None:
    # Guard against advances to returning callers that add up to more than the window may hold.
    fleet = _limited_fleet(61, seed, limit_per_s=60.0)
    fleet.run(4.0, REQUESTS_PER_S)
    fleet.run(3.0, 1.0)
    fleet.run(6.0, 40 * REQUESTS_PER_S, is_return=True)
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
def test_members_restarted_while_cut_off_exceed_no_limit(seed: int) -> None:
    # Guard against fresh processes that each regard themselves as the only member.
    fleet = _limited_fleet(11, seed)
    fleet.run(4.0, REQUESTS_PER_S)
    for number in (0, 4, 5):
        fleet.restart(number, is_cut_off=True)
    fleet.run(MEMBER_DISCOVERY_S + 10.0, REQUESTS_PER_S)
    assert fleet.busiest_ratio() <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("region", ["ra", "rb"])
@pytest.mark.parametrize("member_count", [11, 61])
def test_region_restarted_while_cut_off_exceeds_no_limit(
    member_count: int, region: str, seed: int
) -> None:
    # Guard against fresh processes that divide a whole limit among those that they have heard of.
    fleet = _limited_fleet(member_count, seed)
    fleet.run(4.0, REQUESTS_PER_S)
    fleet.restart_region(region)
    fleet.run(MEMBER_DISCOVERY_S + 12.0, REQUESTS_PER_S)
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


@pytest.mark.parametrize("member_count", [11, 61, 195])
def test_limited_servers_get_half_of_their_limit_or_more(member_count: int) -> None:
    # Guard against requests that are refused while limited servers accept more.
    fleet = _limited_fleet(member_count, seed=1)
    fleet.run(12.0, REQUESTS_PER_S)
    assert fleet.rate_per_s("i-0", 8.0) >= 0.5 * 12.0


def test_requests_return_to_a_server_after_its_limit_has_ended() -> None:
    # Guard against members that hold requests back after the answers state no limit any more.
    fleet = _limited_fleet(61, seed=1)
    before = fleet.rate_per_s("i-0", 6.0)
    fleet.run(8.0, REQUESTS_PER_S)
    fleet.state_limits(None)
    fleet.run(12.0, REQUESTS_PER_S)
    assert fleet.rate_per_s("i-0", 3.0) >= 0.7 * before


def test_fresh_process_sends_nothing_to_limited_servers_until_it_knows_the_members() -> None:
    # Guard against a fresh process that takes a whole limit as its own share.
    fleet = _limited_fleet(11, seed=1)
    fleet.run(4.0, REQUESTS_PER_S)
    fleet.restart(0)
    fresh = fleet.members[0]
    fleet.run(MEMBER_DISCOVERY_S - 0.5, REQUESTS_PER_S)
    limited = [server for server in fresh.backends.of_service("s") if server.bucket is not None]
    assert limited and all(server.bucket and server.bucket.tokens <= 0.0 for server in limited)


def test_server_that_states_ever_new_limits_takes_no_more_memory() -> None:
    # Guard against a process that runs out of memory by keeping a share for each value of a limit.
    fleet = _limited_fleet(11, seed=1)
    (server,) = [s for s in fleet.members[0].backends.of_service("s") if s.entry.server_id == "i-0"]
    tracemalloc.start()
    for number in range(3_000):
        server.rate_limit_per_s = 1.0 + number / 1_000.0
        server.rate_limit_at_s = fleet.clock.now
        fleet.members[0].limits.may_send(server, fleet.clock.now)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes < 100_000
