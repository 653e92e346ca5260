"""Check the selection of a server by affinity, load, failures and cold rate."""

import math
from collections.abc import Callable

import pytest

from berylchute.backends import Backends
from berylchute.discovery import MemberDiscovery
from berylchute.selection import (
    FULL_LOAD_RATIO,
    RETURN_FULL_LOAD_RATIO,
    NoServerReason,
    Selection,
    Selector,
    SkipReason,
)
from berylchute.serverlimits import ServerLimits
from berylchute.servers import ReportedLoad, Server
from berylchute.spillshare import SpillLimiter
from tests.httpfakes import ManualClock
from tests.regionfleet import RegionFleet
from tests.test_backends import entry, make_backends


class _Harness:
    def __init__(
        self, *names: str, is_cold_sender: Callable[[Server], bool] = lambda _: True
    ) -> None:
        self.clock = ManualClock()
        self.backends: Backends = make_backends(self.clock, *map(entry, names))
        limits = ServerLimits("m1", self.backends, self.clock, MemberDiscovery(self.clock))
        self.selector = Selector(self.backends, is_cold_sender, limits, SpillLimiter())
        self.order = list(self.backends.preference("s", "k").near)

    def select(self, *tried: Server, goal_s: float = 0.3, is_return: bool = False) -> Selection:
        return self.selector.select(
            "s",
            "k",
            goal_s,
            False,
            lambda _: True,
            [server.entry.server_id for server in tried],
            self.clock.now,
            is_return=is_return,
        )


def test_first_server_of_a_key_is_selected_until_it_is_full() -> None:
    # Guard against overload of a key's first server, and a third server that would not hold the
    # key's objects.
    harness = _Harness("i-1", "i-2", "i-3")
    assert harness.select().server is harness.order[0]
    harness.order[0].in_flight = int(FULL_LOAD_RATIO * harness.order[0].entry.slots)
    second = harness.select()
    assert second.server is harness.order[1]
    assert second.skip_reason is SkipReason.FULL
    harness.order[1].in_flight = int(FULL_LOAD_RATIO * harness.order[1].entry.slots)
    # A third server would not hold the key's objects.
    assert harness.select().no_server_reason is NoServerReason.ALL_FULL


def test_failed_servers_are_skipped_until_their_backoff_ends() -> None:
    # Guard against requests lost to a server that failed: it gets none during the backoff and one
    # probe after it.
    harness = _Harness("i-1", "i-2")
    first = harness.order[0]
    first.record_failure(harness.clock.now)
    assert harness.select().server is harness.order[1]
    harness.clock.now = first.backoff_until_s + 0.01
    assert harness.select().server is first
    first.in_flight = 1
    assert harness.select().server is harness.order[1]  # one request in flight is the probe


def test_keys_of_an_unusable_server_stay_in_their_region() -> None:
    # Guard against requests that leave their region while a server is gone or cold, and all return
    # when its entry expires or it is warm.
    fleet = RegionFleet(1)
    backends, selector = fleet.members[0].backends, fleet.members[0].selector
    preference = backends.preference("s", "k")
    preference.near[0].record_failure(fleet.clock.now)
    selection = selector.select("s", "k", 0.3, False, lambda _: True, (), fleet.clock.now)
    assert selection.server is preference.near[1]
    assert selection.skip_reason is SkipReason.UNUSABLE


def test_tried_servers_are_not_selected_again() -> None:
    # Guard against a retry that goes to the server that has just failed.
    harness = _Harness("i-1", "i-2")
    assert harness.select(harness.order[0]).server is harness.order[1]
    assert harness.select(*harness.order).no_server_reason is NoServerReason.NO_SERVER


def test_cold_server_gets_requests_from_one_member_at_its_rate() -> None:
    # Guard against overload of a cold server by several members, or by one above the cold rate.
    harness = _Harness("i-1", "i-2")
    harness.order[0].cold_until_s = harness.clock.now + 3.0
    assert harness.select().server is harness.order[0]
    assert harness.select().server is harness.order[1]
    other = _Harness("i-1", "i-2", is_cold_sender=lambda _: False)
    other.order[0].cold_until_s = other.clock.now + 3.0
    assert other.select().server is other.order[1]


def test_slow_server_is_avoided_if_another_one_has_room() -> None:
    # Guard against late answers from a server that reports a slow pace while the key's second one
    # has room.
    harness = _Harness("i-1", "i-2")
    first, second = harness.order
    first.record_work_time(0.2, harness.clock.now)
    first.record_load(ReportedLoad(1, 0, 4, pace=250), harness.clock.now)
    assert harness.select().server is second
    assert harness.select(goal_s=5.0).server is first
    second.in_flight = second.entry.slots
    assert harness.select().server is first


def test_servers_of_other_regions_are_not_selected() -> None:
    # Guard against a request that leaves its home regions.
    harness = _Harness("i-1")
    refused = harness.selector.select("s", "k", 0.3, False, lambda _: False, [], harness.clock.now)
    assert refused.no_server_reason is NoServerReason.NO_SERVER


def test_returning_caller_finds_room_where_new_ones_are_refused() -> None:
    # Guard against a caller that is refused each time it returns while new callers take all room.
    harness = _Harness("i-1", "i-2")
    for server in harness.order:
        server.in_flight = math.ceil(FULL_LOAD_RATIO * server.entry.slots)
    assert harness.select().no_server_reason is NoServerReason.ALL_FULL
    assert harness.select(is_return=True).server is harness.order[0]
    for server in harness.order:
        server.in_flight = math.ceil(RETURN_FULL_LOAD_RATIO * server.entry.slots)
    assert harness.select(is_return=True).no_server_reason is NoServerReason.ALL_FULL


@pytest.mark.parametrize(("full_ratio", "has_free_slot"), [(0.7, True), (1.0, False)])
def test_refusal_tells_whether_a_slot_was_free(full_ratio: float, has_free_slot: bool) -> None:
    # Guard against a reserve whose refusals look like those for lack of room.
    harness = _Harness("i-1", "i-2")
    for server in harness.order:
        server.in_flight = math.ceil(full_ratio * server.entry.slots)
    now_s = harness.clock.now
    refused = harness.selector.select(
        "s", "k", 0.3, False, lambda _: True, [], now_s, full_ratio=full_ratio
    )
    assert refused.no_server_reason is NoServerReason.ALL_FULL
    assert refused.has_free_slot is has_free_slot


def test_request_that_limits_keep_out_is_refused_at_once_unless_a_server_is_idle() -> None:
    # Guard against requests that move from limited servers to all others and slow them down, and
    # against refusals while other servers have nothing to do.
    harness = _Harness("i-1", "i-2", "i-3")
    for server in harness.order[:2]:
        server.rate_limit_per_s = 5.0
        server.rate_limit_at_s = harness.clock.now
    third = harness.order[2]
    assert harness.select().server is third
    third.in_flight = 1
    assert harness.select().no_server_reason is NoServerReason.RATE_LIMITED


def test_request_is_refused_at_once_while_all_servers_pause() -> None:
    # Guard against requests to servers that asked for none, and callers that return too early.
    harness = _Harness("i-1", "i-2")
    harness.order[0].paused_until_s = harness.clock.now + 1.5
    assert harness.select().server is harness.order[1]
    harness.order[1].paused_until_s = harness.clock.now + 0.4
    selection = harness.select()
    assert selection.no_server_reason is NoServerReason.PAUSED
    assert selection.retry_after_s == pytest.approx(0.4)
    harness.clock.now += 0.5
    assert harness.select().server is harness.order[1]
