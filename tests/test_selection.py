"""Check the selection of a server by affinity, load, failures and cold rate."""

from collections.abc import Callable

from berylchute.backends import Backends, ReportedLoad, Server
from berylchute.selection import FULL_LOAD_RATIO, NoServerReason, Selection, Selector
from tests.httpfakes import ManualClock
from tests.test_backends import entry, make


class _World:
    def __init__(self, *names: str, is_cold_sender: Callable[[str], bool] = lambda _: True) -> None:
        self.clock = ManualClock()
        self.backends: Backends = make(self.clock, *map(entry, names))
        self.selector = Selector(self.backends, is_cold_sender)
        self.order = list(self.backends.order("s", "k"))

    def select(self, *tried: Server, goal_s: float = 0.3) -> Selection:
        return self.selector.select(
            "s",
            "k",
            goal_s,
            False,
            lambda _: True,
            [server.entry.server_id for server in tried],
            self.clock.now,
        )


def test_first_server_of_a_key_is_selected_until_it_is_full() -> None:
    # Guards against overload of a key's first server, and a third server that would not hold the
    # key's objects.
    world = _World("i-1", "i-2", "i-3")
    assert world.select().server is world.order[0]
    world.order[0].in_flight = int(FULL_LOAD_RATIO * world.order[0].entry.slots)
    assert world.select().server is world.order[1]
    world.order[1].in_flight = int(FULL_LOAD_RATIO * world.order[1].entry.slots)
    # A third server would not hold the key's objects.
    assert world.select().no_server_reason is NoServerReason.ALL_FULL


def test_failed_servers_are_skipped_until_their_backoff_ends() -> None:
    # Guards against requests lost to a server that failed: it gets none during the backoff and one
    # probe after it.
    world = _World("i-1", "i-2")
    first = world.order[0]
    first.record_failure(world.clock.now)
    assert world.select().server is world.order[1]
    world.clock.now = first.backoff_until_s + 0.01
    assert world.select().server is first
    first.in_flight = 1
    assert world.select().server is world.order[1]  # one request in flight is the probe


def test_tried_servers_are_not_selected_again() -> None:
    # Guards against a retry that goes to the server that has just failed.
    world = _World("i-1", "i-2")
    assert world.select(world.order[0]).server is world.order[1]
    assert world.select(*world.order).no_server_reason is NoServerReason.NO_SERVER


def test_cold_server_gets_requests_from_one_member_at_its_rate() -> None:
    # Guards against overload of a cold server by several members, or by one above the cold rate.
    world = _World("i-1", "i-2")
    world.order[0].cold_until_s = world.clock.now + 3.0
    assert world.select().server is world.order[0]
    assert world.select().server is world.order[1]
    other = _World("i-1", "i-2", is_cold_sender=lambda _: False)
    other.order[0].cold_until_s = other.clock.now + 3.0
    assert other.select().server is other.order[1]


def test_slow_server_is_avoided_if_another_one_has_room() -> None:
    # Guards against late answers from a server that reports a slow pace while the key's second one
    # has room.
    world = _World("i-1", "i-2")
    first, second = world.order
    first.record_work_time(0.2, world.clock.now)
    first.record_load(ReportedLoad(1, 0, 4, pace=250), world.clock.now)
    assert world.select().server is second
    assert world.select(goal_s=5.0).server is first
    second.in_flight = second.entry.slots
    assert world.select().server is first


def test_servers_of_other_regions_are_not_selected() -> None:
    # Guards against a request that leaves its home regions.
    world = _World("i-1")
    refused = world.selector.select("s", "k", 0.3, False, lambda _: False, [], world.clock.now)
    assert refused.no_server_reason is NoServerReason.NO_SERVER
