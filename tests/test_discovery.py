"""Check when a process knows the other members."""

from berylchute.discovery import MEMBER_DISCOVERY_S, MemberDiscovery
from tests.httpfakes import ManualClock


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
