"""Check when a process knows the other members."""

from berylchute.discovery import MEMBER_DISCOVERY_S, MemberDiscovery
from berylchute.types import MemberState
from tests.httpfakes import ManualClock
from tests.test_directory import member

ZONE_REGIONS = {"za": "ra", "zb": "ra", "zc": "rc"}


def test_members_are_known_some_time_after_the_process_has_joined() -> None:
    """Guard against shares that are computed from the first few members that are heard of."""
    clock = ManualClock()
    discovery = MemberDiscovery(clock)
    clock.now += 60.0
    assert not discovery.is_complete()
    discovery.update(is_joined=True)
    assert not discovery.is_complete()
    clock.now += MEMBER_DISCOVERY_S + 0.1
    discovery.update(is_joined=True)
    assert discovery.is_complete()


def test_members_are_assumed_in_zones_that_were_never_heard_of() -> None:
    """Guard against bounds divided among the members of the own side of a cut only."""
    discovery = MemberDiscovery(ManualClock(), ZONE_REGIONS)
    own_side = [member("m1", "za", "ra"), member("m2", "za", "ra"), member("m3", "zb", "ra")]
    assert list(discovery.assumed_regions(own_side).values()) == ["rc", "rc"]
    assert discovery.count_members(own_side) == 5


def test_no_members_are_assumed_where_some_were_heard_of() -> None:
    """Guard against shares for invented members after those of a zone are lost or have left."""
    discovery = MemberDiscovery(ManualClock(), ZONE_REGIONS)
    members = [
        member("m1", "za", "ra"),
        member("m2", "zb", "ra", state=MemberState.GONE),
        member("m3", "zc", "rc", leaving=True),
    ]
    assert not discovery.assumed_regions(members)
    assert discovery.count_members(members) == 3


def test_recorded_hosts_are_assumed_until_they_are_heard_of() -> None:
    # Guard against bounds divided among the few members that are heard of after a restart.
    discovery = MemberDiscovery(ManualClock(), ZONE_REGIONS)
    assert discovery.is_fleet_unknown
    members = [member("m1", "za", "ra")]
    assert discovery.count_members(members) == 3
    discovery.set_recorded({"m1": "ra", "m2": "ra", "m9": "rc"}, {"m1": 1.0, "m2": 2.0, "m9": 4.0})
    assert not discovery.is_fleet_unknown
    assert discovery.assumed_regions(members) == {"m2": "ra", "m9": "rc"}
    assert discovery.assumed_capacities(members, 9.0) == [2.0, 4.0]
    both = [*members, member("m2", "zb", "ra", leaving=True)]
    assert discovery.assumed_regions(both) == {"m9": "rc"}


def test_fleet_is_unknown_until_a_member_is_heard_of() -> None:
    # Guard against processes whose seeds are down and that each take a part of a bound for any
    # number of others.
    discovery = MemberDiscovery(ManualClock(), ZONE_REGIONS)
    version = discovery.version
    discovery.update(is_joined=True)
    assert not discovery.is_fleet_unknown and discovery.version != version
