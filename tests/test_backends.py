"""Guard what is known of backend servers: load, failures, cold times, and who may get work."""

import pytest

from berylchute.backends import (
    FAILURE_PAUSE_S,
    PACE_AGE_MAX_S,
    SPARE_CONNECT_RATIO,
    SPARE_CONNECTIONS,
    TOLD_FADES_S,
    Backends,
    ToldLoad,
)
from berylchute.services import CallerLimits, RouteTable, ServerEntry, ServerList, ServicePolicy
from tests.httpfakes import ManualClock
from tests.test_routebook import route


def entry(name: str, **changes: object) -> ServerEntry:
    fields: dict[str, object] = {
        "server_id": name,
        "service": "s",
        "address": f"10.0.0.{len(name)}:80",
        "availability_zone": "za",
        "slots": 4,
        "is_draining": False,
        **changes,
    }
    return ServerEntry(**fields)  # type: ignore[arg-type]


def make(clock: ManualClock, *entries: ServerEntry) -> Backends:
    backends = Backends(clock)
    policy = ServicePolicy("s", 390, warmup_s=3.0, cold_rate_per_s=10.0)
    backends.configure(RouteTable(1, (), (policy,), CallerLimits()))
    backends.apply(ServerList(entries))
    return backends


def test_order_is_stable_while_other_servers_come_and_go() -> None:
    clock = ManualClock()
    names = [f"i-{number}" for number in range(8)]
    backends = make(clock, *map(entry, names))
    before = [server.entry.server_id for server in backends.order("s", "k")]
    left = before[0]
    backends.apply(ServerList(tuple(entry(name) for name in names if name != left)))
    assert [server.entry.server_id for server in backends.order("s", "k")] == before[1:]


def test_told_load_that_cannot_be_read_tells_nothing() -> None:
    assert ToldLoad.parse(b"3,0,8,120") == ToldLoad(3, 0, 8, 120)
    assert ToldLoad.parse(b"3,0,8") == ToldLoad(3, 0, 8, 100)
    for value in (None, b"", b"3,0", b"many,0,8"):
        assert ToldLoad.parse(value) is None


def test_load_counts_own_requests_and_fading_ones_of_others() -> None:
    clock = ManualClock()
    server = make(clock, entry("i-1")).of_service("s")[0]
    server.in_flight = 2
    server.note_load(ToldLoad(running=5, waiting=1, slots=4), clock.now)
    assert server.load(clock.now) == 6
    assert server.load(clock.now + TOLD_FADES_S / 2) == pytest.approx(4)
    server.in_flight = 3
    assert server.load(clock.now + TOLD_FADES_S) == pytest.approx(3)


def test_failures_pause_a_server_longer_each_time() -> None:
    clock = ManualClock()
    server = make(clock, entry("i-1")).of_service("s")[0]
    server.note_failure(clock.now)
    assert server.paused_until_s == clock.now + FAILURE_PAUSE_S
    server.note_failure(clock.now)
    assert server.paused_until_s == clock.now + 2 * FAILURE_PAUSE_S
    server.note_success()
    assert server.paused_until_s == 0.0


def test_restart_under_the_same_id_is_another_server() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1", started_ms=1))
    old = backends.of_service("s")[0]
    old.note_load(ToldLoad(4, 4, 4), clock.now)
    old.note_failure(clock.now)
    backends.apply(ServerList((entry("i-1", started_ms=2),)))
    new = backends.of_service("s")[0]
    assert new is not old and old.is_replaced
    assert new.told is None and new.failures == 0


def test_changed_state_keeps_what_is_known() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    backends.apply(ServerList((entry("i-1", is_draining=True),)))
    assert backends.of_service("s")[0] is server
    assert not backends.is_open(server)


def test_missing_server_is_gone_also_for_requests_that_hold_it() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1"), entry("i-22"))
    server = next(s for s in backends.of_service("s") if s.entry.server_id == "i-1")
    backends.apply(ServerList((entry("i-22"),)))
    assert not backends.is_open(server)
    assert server not in backends.order("s", "k")


def test_drained_zone_gets_nothing_and_returns_cold() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    assert backends.drain_zones(["za"]) == ()
    assert not backends.is_open(server)
    assert backends.drain_zones([]) == ("za",)
    assert backends.is_open(server)
    assert server.is_cold(clock.now + 2.9) and not server.is_cold(clock.now + 3.1)


def test_cold_time_counts_from_the_arrival_of_a_change() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1", cold_s=2.0))
    server = backends.of_service("s")[0]
    assert server.is_cold(clock.now + 1.9) and not server.is_cold(clock.now + 2.1)
    # The same entry in a later list says nothing new; a changed one does.
    clock.now += 1.5
    backends.apply(ServerList((entry("i-1", cold_s=2.0),)))
    assert not server.is_cold(clock.now + 0.6)
    backends.apply(ServerList((entry("i-1", cold_s=1.0),)))
    assert server.is_cold(clock.now + 0.9) and not server.is_cold(clock.now + 1.1)


def test_cold_server_is_paced() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1", cold_s=2.0))
    server = backends.of_service("s")[0]
    sends = sum(backends.take_cold_send(server, clock.now + step / 100) for step in range(100))
    # Two members may both believe that they send; together they stay below the rate and a half.
    assert 5 <= sends <= 8


def test_server_that_answers_again_may_be_cold() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    backends.note_back(server, clock.now)
    assert server.is_cold(clock.now + 2.9)


def test_slowed_server_is_one_whose_answers_come_late() -> None:
    clock = ManualClock()
    server = make(clock, entry("i-1")).of_service("s")[0]
    for _ in range(40):
        server.note_work(0.4, clock.now)  # objects that the server does not hold yet
        server.note_work(0.1, clock.now)
    server.note_load(ToldLoad(1, 0, 4, pace=250), clock.now)
    assert server.is_slowed(0.2, clock.now)
    assert not server.is_slowed(1.0, clock.now)
    # A pace told long ago says nothing.
    assert not server.is_slowed(0.2, clock.now + PACE_AGE_MAX_S + 0.1)


def test_opened_connections_are_counted_past_the_end_of_their_server() -> None:
    clock = ManualClock()
    backends = make(clock, entry("i-1"), entry("i-2"))
    for server in backends.of_service("s"):
        server.pool.opened = 2
    backends.apply(ServerList((entry("i-1"),)))
    assert backends.connections_opened() == 4


def _far(clock: ManualClock, connect_s: float) -> Backends:
    backends = make(clock, entry("i-1"), entry("i-2"), entry("i-3", availability_zone="zb"))
    table = RouteTable(
        2, (route("/a/", goal_s=0.3),), (ServicePolicy("s", 390, 3.0, 10.0),), CallerLimits()
    )
    backends.configure(table)
    backends.of_service("s")[0].pool.connect_s = connect_s
    backends.of_service("s")[0].pool.opened = 1
    backends.note_distances()
    return backends


def test_spares_are_wanted_where_connecting_would_make_an_answer_late() -> None:
    clock = ManualClock()
    backends = _far(clock, 0.11)
    first, second, elsewhere = backends.of_service("s")
    assert backends.wants_spare(first, lambda: 12) and backends.wants_spare(second, lambda: 12)
    assert not backends.wants_spare(elsewhere, lambda: 12)  # nothing is known of its zone yet
    assert list(backends.unused_servers()) == [second, elsewhere]
    near = _far(clock, SPARE_CONNECT_RATIO * 0.3)
    assert not near.wants_spare(near.of_service("s")[1], lambda: 12)


def test_spares_are_not_wanted_where_servers_could_not_bear_them() -> None:
    clock = ManualClock()
    backends = _far(clock, 0.11)
    _, second, _ = backends.of_service("s")
    assert not backends.wants_spare(second, lambda: 390 // SPARE_CONNECTIONS + 1)
    second.note_failure(clock.now_s())
    assert not backends.wants_spare(second, lambda: 12)
