"""Guard the choice of a server: affinity first, bounded by load, cold servers paced."""

from collections.abc import Callable

from berylchute.backends import Backends, Server, ToldLoad
from berylchute.selection import FULL_RATIO, Choice, Refusal, Selector
from tests.httpfakes import ManualClock
from tests.test_backends import entry, make


class _World:
    def __init__(self, *names: str, is_cold_sender: Callable[[str], bool] = lambda _: True) -> None:
        self.clock = ManualClock()
        self.backends: Backends = make(self.clock, *map(entry, names))
        self.selector = Selector(self.backends, is_cold_sender)
        self.order = list(self.backends.order("s", "k"))

    def choose(self, *tried: Server, goal_s: float = 0.3) -> Choice:
        return self.selector.choose(
            "s",
            "k",
            goal_s,
            False,
            lambda _: True,
            [server.entry.server_id for server in tried],
            self.clock.now,
        )


def test_first_server_of_a_key_is_chosen_until_it_is_full() -> None:
    world = _World("i-1", "i-2", "i-3")
    assert world.choose().server is world.order[0]
    world.order[0].in_flight = int(FULL_RATIO * world.order[0].entry.slots)
    assert world.choose().server is world.order[1]
    world.order[1].in_flight = int(FULL_RATIO * world.order[1].entry.slots)
    # A third server would not hold the key's objects.
    assert world.choose().refusal is Refusal.ALL_FULL


def test_servers_that_failed_are_passed_over_until_their_pause_ends() -> None:
    world = _World("i-1", "i-2")
    first = world.order[0]
    first.note_failure(world.clock.now)
    assert world.choose().server is world.order[1]
    world.clock.now = first.paused_until_s + 0.01
    assert world.choose().server is first
    first.in_flight = 1
    assert world.choose().server is world.order[1]  # one request finds out


def test_tried_servers_are_not_chosen_again() -> None:
    world = _World("i-1", "i-2")
    assert world.choose(world.order[0]).server is world.order[1]
    assert world.choose(*world.order).refusal is Refusal.NO_SERVER


def test_cold_server_gets_requests_from_one_member_at_its_rate() -> None:
    world = _World("i-1", "i-2")
    world.order[0].cold_until_s = world.clock.now + 3.0
    assert world.choose().server is world.order[0]
    assert world.choose().server is world.order[1]
    other = _World("i-1", "i-2", is_cold_sender=lambda _: False)
    other.order[0].cold_until_s = other.clock.now + 3.0
    assert other.choose().server is other.order[1]


def test_slowed_server_is_left_for_one_with_room() -> None:
    world = _World("i-1", "i-2")
    first, second = world.order
    first.note_work(0.2, world.clock.now)
    first.note_load(ToldLoad(1, 0, 4, pace=250), world.clock.now)
    assert world.choose().server is second
    assert world.choose(goal_s=5.0).server is first
    second.in_flight = second.entry.slots
    assert world.choose().server is first


def test_draining_and_other_regions_are_refused() -> None:
    world = _World("i-1")
    refused = world.selector.choose("s", "k", 0.3, False, lambda _: False, [], world.clock.now)
    assert refused.refusal is Refusal.NO_SERVER
