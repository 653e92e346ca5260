"""Check the state of backend servers: load, failures, cold times, and which may get requests."""

import asyncio

import pytest

from berylchute.backends import SPARE_CONNECT_RATIO, SPARE_CONNECTIONS_PER_MEMBER, Backends
from berylchute.exceptions import NoConnectionLeft
from berylchute.servers import (
    FAILURE_BACKOFF_MAX_S,
    FAILURE_BACKOFF_S,
    PACE_AGE_MAX_S,
    REPORTED_LOAD_DECAY_S,
    ReportedLoad,
)
from berylchute.sharedobjects import (
    CallerLimits,
    RouteTable,
    ServerEntry,
    ServerList,
    ServicePolicy,
)
from berylchute.upstream import UpstreamRequest
from tests.httpfakes import ManualClock
from tests.test_routeindex import route


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


def make_backends(clock: ManualClock, *entries: ServerEntry) -> Backends:
    backends = Backends(clock)
    policy = ServicePolicy("s", 390, warmup_s=3.0, cold_rate_per_s=10.0)
    backends.configure(RouteTable(1, (), (policy,), CallerLimits()))
    backends.update_servers(ServerList(entries))
    return backends


def test_order_is_stable_while_other_servers_come_and_go() -> None:
    # Guard against keys that move between servers, and so lose their objects, when another server
    # is removed.
    clock = ManualClock()
    names = [f"i-{number}" for number in range(8)]
    backends = make_backends(clock, *map(entry, names))
    before = [server.entry.server_id for server in backends.preference("s", "k").near]
    removed = before[0]
    backends.update_servers(ServerList(tuple(entry(name) for name in names if name != removed)))
    after = [server.entry.server_id for server in backends.preference("s", "k").near]
    assert after == before[1:]


def test_malformed_load_is_ignored() -> None:
    # Guard against an exception or a wrong load when a server sends a malformed load header.
    assert ReportedLoad.parse(b"3,0,8,120") == ReportedLoad(3, 0, 8, 120)
    assert ReportedLoad.parse(b"3,0,8") == ReportedLoad(3, 0, 8, 100)
    for value in (None, b"", b"3,0", b"many,0,8"):
        assert ReportedLoad.parse(value) is None


def test_load_counts_own_requests_and_decaying_ones_of_others() -> None:
    # Guard against a load that counts this process's requests twice or that trusts an old report.
    clock = ManualClock()
    server = make_backends(clock, entry("i-1")).of_service("s")[0]
    server.in_flight = 2
    server.record_load(ReportedLoad(running=5, waiting=1, slots=4), clock.now)
    assert server.load(clock.now) == 6
    assert server.load(clock.now + REPORTED_LOAD_DECAY_S / 2) == pytest.approx(4)
    server.in_flight = 3
    assert server.load(clock.now + REPORTED_LOAD_DECAY_S) == pytest.approx(3)


def test_backoff_doubles_with_each_failure() -> None:
    # Guard against many requests lost to a server that stays down, and a backoff that outlasts the
    # outage.
    clock = ManualClock()
    server = make_backends(clock, entry("i-1")).of_service("s")[0]
    server.record_failure(clock.now)
    assert server.backoff_until_s == clock.now + FAILURE_BACKOFF_S
    server.record_failure(clock.now)
    assert server.backoff_until_s == clock.now + 2 * FAILURE_BACKOFF_S
    server.record_success(clock.now)
    assert server.backoff_until_s == 0.0


def test_restart_under_the_same_id_is_another_server() -> None:
    # Guard against load and failures of an old process that are assigned to its restarted
    # successor.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1", started_ms=1))
    old = backends.of_service("s")[0]
    old.record_load(ReportedLoad(4, 4, 4), clock.now)
    old.record_failure(clock.now)
    backends.update_servers(ServerList((entry("i-1", started_ms=2),)))
    new = backends.of_service("s")[0]
    assert new is not old and old.is_replaced
    assert new.reported is None and new.failures == 0


def test_changed_entry_keeps_the_state_of_the_server() -> None:
    # Guard against requests to a draining server, and the loss of a server's load whenever its
    # entry changes.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    backends.update_servers(ServerList((entry("i-1", is_draining=True),)))
    assert backends.of_service("s")[0] is server
    assert not backends.may_receive(server)


def test_removed_server_is_closed_for_requests_that_refer_to_it() -> None:
    # Guard against requests to a removed server by callers that still hold a reference to it.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"), entry("i-22"))
    server = next(s for s in backends.of_service("s") if s.entry.server_id == "i-1")
    backends.update_servers(ServerList((entry("i-22"),)))
    assert not backends.may_receive(server)
    preference = backends.preference("s", "k")
    assert server not in (*preference.near, *preference.far)


def test_drained_zone_gets_nothing_and_returns_cold() -> None:
    # Guard against requests to a drained zone, and overload of its cold servers when the drain
    # ends.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    assert backends.drain_zones(["za"]) == ()
    assert not backends.may_receive(server)
    assert backends.drain_zones([]) == ("za",)
    assert backends.may_receive(server)
    assert server.is_cold(clock.now + 2.9) and not server.is_cold(clock.now + 3.1)


def test_cold_time_counts_from_the_arrival_of_a_change() -> None:
    # Guard against a server that stays cold as long as the same entry is received again and again.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1", cold_s=2.0))
    server = backends.of_service("s")[0]
    assert server.is_cold(clock.now + 1.9) and not server.is_cold(clock.now + 2.1)
    # The same entry in a later list does not restart the cold time; a changed one does.
    clock.now += 1.5
    backends.update_servers(ServerList((entry("i-1", cold_s=2.0),)))
    assert not server.is_cold(clock.now + 0.6)
    backends.update_servers(ServerList((entry("i-1", cold_s=1.0),)))
    assert server.is_cold(clock.now + 0.9) and not server.is_cold(clock.now + 1.1)


def test_cold_server_gets_a_limited_rate() -> None:
    # Guard against overload of a cold server: two members that both send stay below one and a half
    # times its rate.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1", cold_s=2.0))
    server = backends.of_service("s")[0]
    sends = sum(backends.acquire_cold_send(server, clock.now + step / 100) for step in range(100))
    # Two members may both send for a moment; together they stay below 1.5 times the rate.
    assert 5 <= sends <= 8


def test_server_that_answers_again_may_be_cold() -> None:
    # Guard against overload of a server that has restarted cold during its failures.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    server = backends.of_service("s")[0]
    backends.record_recovery(server, clock.now)
    assert server.is_cold(clock.now + 2.9)


def test_server_is_likely_late_only_if_its_pace_makes_it_miss_the_objective() -> None:
    # Guard against avoiding servers that are slow but still in time, or whose reported pace is
    # old.
    clock = ManualClock()
    server = make_backends(clock, entry("i-1")).of_service("s")[0]
    for _ in range(40):
        server.record_work_time(0.4, clock.now)  # for objects that the server does not hold yet
        server.record_work_time(0.1, clock.now)
    server.record_load(ReportedLoad(1, 0, 4, pace=250), clock.now)
    assert server.is_likely_late(0.2, clock.now)
    assert not server.is_likely_late(1.0, clock.now)
    # An old pace is ignored.
    assert not server.is_likely_late(0.2, clock.now + PACE_AGE_MAX_S + 0.1)


def test_opened_connections_of_removed_servers_are_counted() -> None:
    # Guard against a counter of connections that falls when a server is removed.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"), entry("i-2"))
    for server in backends.of_service("s"):
        server.pool.connections_opened = 2
    backends.update_servers(ServerList((entry("i-1"),)))
    assert backends.connections_opened() == 4


def _distant_backends(clock: ManualClock, connect_s: float) -> Backends:
    backends = make_backends(
        clock, entry("i-1"), entry("i-2"), entry("i-3", availability_zone="zb")
    )
    table = RouteTable(
        2, (route("/a/", goal_s=0.3),), (ServicePolicy("s", 390, 3.0, 10.0),), CallerLimits()
    )
    backends.configure(table)
    backends.of_service("s")[0].pool.last_connect_s = connect_s
    backends.of_service("s")[0].pool.connections_opened = 1
    backends.update_connect_times()
    return backends


def test_spares_are_opened_where_connecting_would_make_an_answer_late() -> None:
    # Guard against late answers from distant servers, and needless connections to near ones.
    clock = ManualClock()
    backends = _distant_backends(clock, 0.11)
    first, second, elsewhere = backends.of_service("s")
    assert backends.should_open_spare(first, lambda: 12) and backends.should_open_spare(
        second, lambda: 12
    )
    assert not backends.should_open_spare(elsewhere, lambda: 12)  # connect time of zb is unknown
    assert list(backends.unconnected_servers()) == [second, elsewhere]
    near = _distant_backends(clock, SPARE_CONNECT_RATIO * 0.3)
    assert not near.should_open_spare(near.of_service("s")[1], lambda: 12)


def test_spares_are_not_opened_beyond_the_connection_limit() -> None:
    # Guard against spare connections of many members that exceed a server's limit or go to a
    # failed server.
    clock = ManualClock()
    backends = _distant_backends(clock, 0.11)
    _, second, _ = backends.of_service("s")
    assert not backends.should_open_spare(second, lambda: 390 // SPARE_CONNECTIONS_PER_MEMBER + 1)
    second.record_failure(clock.now_s())
    assert not backends.should_open_spare(second, lambda: 12)


def test_many_failures_keep_the_longest_backoff() -> None:
    """Guard against an overflow that ends requests to a server which fails for an hour."""
    clock = ManualClock()
    server = make_backends(clock, entry("i-1")).of_service("s")[0]
    for _ in range(2000):
        server.record_failure(clock.now)
    assert server.backoff_until_s == clock.now + FAILURE_BACKOFF_MAX_S


def test_timeout_counts_as_a_failure_without_other_answers() -> None:
    """Guard against a silent server that stays in use because its requests only time out."""
    server = make_backends(ManualClock(), entry("i-1")).of_service("s")[0]
    server.record_success(100.0)
    server.record_timeout(sent_s=99.0, now_s=102.0)
    server.record_timeout(sent_s=101.0, now_s=101.4)  # a short timeout says nothing
    assert server.failures == 0  # long work: the server answered another request meanwhile
    server.record_timeout(sent_s=101.0, now_s=104.0)
    assert server.failures == 1 and server.backoff_until_s > 104.0
    server.record_load(ReportedLoad(running=4, waiting=2, slots=4), 105.0)
    assert not server.may_have_restarted(105.0)  # full, so it was only slow
    server.record_load(ReportedLoad(running=0, waiting=0, slots=4), 105.0)
    assert server.may_have_restarted(105.0) and not server.may_have_restarted(50.0)


def test_reported_load_lasts_as_long_as_the_server_works_on_it() -> None:
    """Guard against overfilling servers of long work, whose load would be forgotten too early."""
    clock = ManualClock()
    server = make_backends(clock, entry("i-1")).of_service("s")[0]
    load = ReportedLoad(running=4, waiting=4, slots=4)
    server.work_time.record(4.0, load)
    assert server.work_time.mean_s == 2.0  # half of the time was the wait in the queue
    server.record_load(load, clock.now)
    assert server.load(clock.now + 2.0) == pytest.approx(4.0)
    assert server.load(clock.now + 4.0) == 0.0


def test_short_timeout_is_no_failure_of_a_server_with_long_work() -> None:
    """Guard against leaving healthy servers because of one route with a short timeout."""
    server = make_backends(ManualClock(), entry("i-1")).of_service("s")[0]
    server.work_time.record(3.0, ReportedLoad(1, 0, 4))
    server.record_timeout(sent_s=100.0, now_s=103.0)
    assert server.failures == 0
    server.record_timeout(sent_s=100.0, now_s=108.0)
    assert server.failures == 1


def test_leaving_server_stays_out_when_an_older_entry_is_listed() -> None:
    # Guard against requests to a leaving server whose entry comes back as ready, from a store that
    # was restored from a copy, until another process has the id.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1", started_ms=5))
    backends.update_servers(ServerList((entry("i-1", started_ms=5, is_draining=True),)))
    backends.update_servers(ServerList((entry("i-1", started_ms=5),)))
    assert not backends.may_receive(backends.of_service("s")[0])
    backends.update_servers(ServerList((entry("i-1", started_ms=6),)))
    assert backends.may_receive(backends.of_service("s")[0])


def test_connections_of_all_servers_stay_within_the_limit_of_the_process() -> None:
    # Guard against more connections than descriptors, requests that find no connection while idle
    # ones are kept, and spare connections that displace those of other servers, in turns.
    async def main() -> None:
        answers = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await answers.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        backends = Backends(ManualClock(), connections_max=2)
        policy = ServicePolicy("s", 390, warmup_s=3.0, cold_rate_per_s=10.0)
        table = RouteTable(1, (route("/a/", goal_s=0.3),), (policy,), CallerLimits())
        backends.configure(table)
        backends.update_servers(ServerList(tuple(entry(n, address=address) for n in "abc")))
        first, second, third = backends.preference("s", "k").near
        request = UpstreamRequest(b"", b"", False, b"GET / HTTP/1.1\r\n\r\n")
        sends = [asyncio.create_task(s.pool.exchange(request)) for s in (first, second)]
        while first.pool.open_count + second.pool.open_count < 2:
            await asyncio.sleep(0)
        with pytest.raises(NoConnectionLeft):
            await third.pool.exchange(request)
        answers.set()
        await asyncio.gather(*sends)
        for server in (first, second):
            server.pool.last_connect_s = 1.0
        backends.update_connect_times()
        assert first.pool.needs_spare_connection
        assert not backends.should_open_spare(first, lambda: 1)
        await third.pool.exchange(request)
        assert first.pool.open_count + second.pool.open_count == 1
        third.pool.close_idle_one()
        assert backends.should_open_spare(first, lambda: 1)
        for server in (first, second, third):
            server.pool.close()
        listener.close()
        await asyncio.sleep(0.01)

    asyncio.run(main())
