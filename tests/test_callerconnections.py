"""Check which connections are closed when callers open too many, and how fast one is read."""

import logging
from collections.abc import Callable

import pytest

from berylchute.callerlimits import (
    REQUEST_EVENTS,
    AccountBounds,
    BodyStage,
    CallerEventLog,
    CallerGuard,
    Cause,
    ClosingRank,
    ConnectionLimit,
    ReadPace,
    bound_connections,
    choose_dropped,
    choose_to_close,
)
from berylchute.callers import CallerAnswer, CallerConnection, CallerServer, PendingRequest
from berylchute.edgemetrics import EdgeMetrics, EdgeState
from tests.httpfakes import FakeTransport, ManualClock

LINGERING, QUIET = ClosingRank.LINGERING, ClosingRank.QUIET
RECEIVING, IN_FLIGHT = BodyStage.RECEIVING_REQUEST, BodyStage.IN_FLIGHT_REQUEST
ANSWER, SENDING = BodyStage.RECEIVING_ANSWER, BodyStage.SENDING_ANSWER


def test_lowest_rank_and_longest_time_close_first() -> None:
    # Guard against connections with recent activity that are closed before idle ones.
    candidates = [
        (ClosingRank.NOT_READING, 1.0, "not reading"),
        (QUIET, 9.0, "new"),
        (QUIET, 2.0, "idle"),
        (ClosingRank.SLOW_BODY, 0.0, "slow"),
        (LINGERING, 10.0, "lingering"),
        (QUIET, 3.0, "open head"),
    ]
    expected = ["lingering", "idle", "open head", "new", "slow", "not reading"]
    for count in range(len(expected) + 2):
        assert choose_to_close(candidates, count) == expected[:count]


@pytest.mark.parametrize("max_fds", [1, 300, 600, 1024, 1535, 8192])
def test_connections_stay_below_the_descriptors(max_fds: int) -> None:
    # Guard against shares that together exceed the descriptors of a host.
    bounds = bound_connections(max_fds, 100_000.0)
    assert bounds.callers_max >= 1 and bounds.servers_max >= 1
    if max_fds >= 300:
        assert bounds.callers_max + bounds.servers_max <= 0.86 * max_fds
    if max_fds >= 1535:
        assert bounds.callers_max + bounds.servers_max <= 0.86 * (max_fds - 200)
    assert bound_connections(max_fds, 1.0).callers_max <= 5


def _choose(
    held: dict[BodyStage, dict[str, int]], bytes_max: int = 100
) -> tuple[BodyStage, str] | None:
    stages = {stage: held.get(stage, {}) for stage in BodyStage}
    request_bytes = sum(stages[RECEIVING].values()) + sum(stages[IN_FLIGHT].values())
    total_bytes = sum(sum(holders.values()) for holders in stages.values())
    bounds = AccountBounds(bytes_max, bytes_max * 6 // 10, bytes_max // 10)
    return choose_dropped(stages, bounds, request_bytes, total_bytes)


def test_largest_holder_that_has_not_run_is_dropped_first() -> None:
    # Guard against requests that a server has and that are dropped, and against small holders that
    # are dropped for large ones.
    assert _choose({RECEIVING: {"a": 20, "b": 30}, IN_FLIGHT: {"c": 10}}) is None
    assert _choose({RECEIVING: {"a": 20, "b": 30}, IN_FLIGHT: {"c": 50}}) == (RECEIVING, "b")
    assert _choose({IN_FLIGHT: {"c": 500}}) is None
    assert _choose({IN_FLIGHT: {"c": 50}, ANSWER: {"d": 60}, SENDING: {"e": 90}}) == (ANSWER, "d")
    assert _choose({IN_FLIGHT: {"c": 50}, SENDING: {"e": 90}}) == (SENDING, "e")
    # Small requests find room beside large ones that take the part of requests.
    assert _choose({IN_FLIGHT: {"c": 600_000}, RECEIVING: {"a": 50_000}}, 1_000_000) is None
    assert _choose({IN_FLIGHT: {"c": 600_000}, RECEIVING: {"a": 70_000}}, 1_000_000) is not None


def test_turn_ends_with_its_bytes_or_events() -> None:
    # Guard against one connection that is parsed while all others wait.
    pace = ReadPace()
    pace.begin_turn(10_000, 100)
    assert pace.next_part_bytes(0) == 4096 and pace.next_part_bytes(9_000) == 9_000
    assert pace.record(4096, 99)
    assert not pace.record(4096, 1)
    pace.begin_turn(10_000, 100)
    assert pace.record(9_999, 1) and not pace.record(1, 1)


def test_parts_are_shorter_after_one_with_many_requests() -> None:
    # Guard against a connection that has hundreds of requests handled in each turn.
    pace = ReadPace()
    pace.record(4096, 3 * REQUEST_EVENTS)
    assert pace.part_bytes == 4096
    pace.record(4096, 100 * REQUEST_EVENTS)
    assert pace.next_part_bytes(0) <= 256
    pace.record(256, REQUEST_EVENTS)
    assert pace.part_bytes == 4096
    world = _World()
    turns: list[Callable[[], None]] = []
    world.server.handle = lambda pending: pending.respond(CallerAnswer(404))
    world.server.call_soon = turns.append
    transport = world.connect(GET * 3000)
    counts = [transport.written.count(b"HTTP/1.1 404")]
    while turns:
        turns.pop()()
        counts.append(transport.written.count(b"HTTP/1.1 404"))
    assert counts[-1] == 3000
    in_turns = [after - before for before, after in zip(counts, counts[1:], strict=False)]
    # Each turn ends after the part in which it reaches its limit.
    assert max(in_turns) <= 4096 // len(GET) + 1
    assert sum(in_turns) / len(in_turns) <= 20


def test_log_lines_are_bounded_and_counts_are_not() -> None:
    # Guard against a log that a crowd fills.
    lines: list[str] = []

    class _Handler(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            lines.append(record.getMessage())

    logger = logging.Logger("test")
    logger.addHandler(_Handler())
    clock = ManualClock()
    log = CallerEventLog(logger, clock.now_s)
    for _ in range(1000):
        log.record(Cause.LATE, "x")
    assert len(lines) <= 10 and log.counts[Cause.LATE] == 1000
    clock.now += 1.0
    log.record(Cause.LATE, "again", is_logged=False)
    log.record(Cause.LATE, "later")
    assert "later" in lines[-1] and "again" not in " ".join(lines)


class _World:
    """A server whose guard allows few connections, and its connections in order."""

    def __init__(self, callers_max: int = 10) -> None:
        self.callers_max = callers_max
        self.clock = ManualClock()
        self.requests: list[PendingRequest] = []
        self.opened: list[CallerConnection] = []
        self.transports: list[FakeTransport] = []
        self.guard = CallerGuard(self.clock.now_s)
        self.guard.connections = ConnectionLimit(callers_max, self.clock.now_s)
        self.server = CallerServer(self.requests.append, self.clock, guard=self.guard)
        self.other = CallerServer(
            self.requests.append, self.clock, guard=self.guard, is_reserved=True
        )

    def connect(self, data: bytes = b"", server: CallerServer | None = None) -> FakeTransport:
        """Open a connection a moment after the last one, and close those that were reset."""
        self.clock.now += 0.1
        transport = FakeTransport()
        connection = CallerConnection(server or self.server)
        connection.connection_made(transport)
        self.opened.append(connection)
        self.transports.append(transport)
        if data and not transport.is_aborted:
            connection.data_received(data)
        for other, gone in zip(self.opened, self.transports, strict=True):
            if gone.is_gone and not other.is_closed:
                other.connection_lost(None)
        return transport

    @property
    def open_count(self) -> int:
        return sum(not transport.is_gone for transport in self.transports)


GET = b"GET / HTTP/1.1\r\n\r\n"


def test_oldest_idle_connection_is_closed_for_a_new_one() -> None:
    # Guard against callers that can't connect since others hold idle connections.
    world = _World()
    transports = [world.connect() for _ in range(40)]
    assert world.open_count <= world.callers_max
    assert transports[0].is_closed and not transports[-1].is_closed
    assert world.guard.events.counts[Cause.CONNECTIONS_CLOSED] >= 30
    # A new one works.
    world.opened[-1].data_received(GET)
    world.requests[-1].respond(CallerAnswer(200))
    assert transports[-1].written.startswith(b"HTTP/1.1 200")


def test_heads_left_open_the_longest_are_closed_and_told_that_they_have_not_run() -> None:
    # Guard against connections whose requests are never complete and that fill the limit.
    world = _World()
    busy = world.connect(GET)
    heads = [world.connect(b"GET / HTTP/1.1\r\nX: ") for _ in range(40)]
    assert world.open_count <= world.callers_max
    assert heads[0].written.startswith(b"HTTP/1.1 503")
    assert not busy.is_closed and not heads[-1].is_closed


def test_new_connections_are_refused_while_all_others_are_busy() -> None:
    # Guard against requests in flight that are dropped for new connections.
    world = _World()
    busy = [world.connect(GET) for _ in range(10)]
    refused = [world.connect(GET) for _ in range(10)]
    assert all(transport.is_aborted for transport in refused) and len(world.requests) == 10
    assert world.guard.events.counts[Cause.CONNECTIONS_REFUSED] == 10
    # The process's own addresses stay reachable.
    assert not world.connect(GET, world.other).is_aborted
    for pending in world.requests:
        pending.respond(CallerAnswer(200))
    assert all(transport.written.startswith(b"HTTP/1.1 200") for transport in busy)
    assert not world.connect(GET).is_aborted


def test_slow_bodies_and_callers_that_do_not_read_give_way() -> None:
    # Guard against callers that hold all connections with a few bytes now and then.
    upload = b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
    world = _World()
    transports = [world.connect(upload) for _ in range(10)]
    world.clock.now += 1.0
    fast = world.opened[0]
    fast.data_received(bytes(50_000))
    world.clock.now += 2.0
    assert not world.connect(GET).is_aborted
    assert transports[1].is_gone and not transports[0].is_closed
    world = _World()
    transports = [world.connect(GET) for _ in range(10)]
    for connection, pending in zip(world.opened, world.requests, strict=True):
        connection.pause_writing()
        pending.respond(CallerAnswer(200, body=bytes(100_000)))
        world.clock.now += 0.1
    world.clock.now += 2.0
    assert not world.connect(GET).is_aborted
    assert transports[0].is_gone and not transports[-1].is_gone


def test_answers_on_their_way_do_not_give_way_at_once() -> None:
    # Guard against answers that are cut for new connections, since their connections count as idle
    # or closed while the answers wait in buffers.
    world = _World()
    transports = [world.connect(GET) for _ in range(10)]
    for transport, pending in zip(transports, world.requests, strict=True):
        transport.unsent = 10_000
        pending.respond(CallerAnswer(200, body=bytes(20_000)))
    for connection in world.opened[:5]:
        connection.close_if_idle()
    assert world.connect(GET).is_aborted
    assert not any(transport.is_gone for transport in transports)
    world.clock.now += 2.0
    assert not world.connect(GET).is_aborted
    assert any(transport.is_gone for transport in transports)


def test_caller_that_sends_but_never_reads_is_given_up() -> None:
    # Guard against answers that are held for a caller as long as it sends a byte now and then.
    world = _World()
    transport = world.connect(GET)
    connection = world.opened[0]
    connection.pause_writing()
    world.requests[0].respond(CallerAnswer(200, body=bytes(100_000)))
    for _ in range(100):
        if transport.is_aborted:
            break
        world.clock.now += 1.0
        connection.data_received(b"\r\n")
        connection.close_if_timed_out(world.clock.now)
    assert transport.is_aborted and world.guard.events.counts[Cause.NOT_READING] == 1


def test_buffer_of_the_transport_is_counted() -> None:
    # Guard against answers in buffers of transports that nothing counts.
    world = _World()
    transport = world.connect(GET)
    transport.unsent = 50_000
    world.requests[0].respond(CallerAnswer(200, body=bytes(60_000)))
    assert world.server.body_memory.held_bytes == 50_000
    transport.unsent = 0
    world.opened[0].close_if_timed_out(world.clock.now)
    assert world.server.body_memory.held_bytes == 0
    transport.unsent = 10_000
    world.opened[0].data_received(GET)
    world.requests[1].respond(CallerAnswer(200, body=bytes(20_000)))
    world.opened[0].connection_lost(None)
    assert world.server.body_memory.held_bytes == 0


def test_metrics_show_every_cause_and_stage() -> None:
    # Guard against labels that come from callers, and causes that appear only after the first.
    world = _World(callers_max=7)
    world.connect(b"GET / HTTP/1.1\r\nX: ")
    world.connect(b"NONSENSE\r\n\r\n")
    metrics = EdgeMetrics()
    state = EdgeState(callers=world.guard.read_state(world.server.body_memory))
    metrics.read_state = lambda: state
    lines = metrics.render().decode().splitlines()
    for cause in Cause:
        count = 1.0 if cause is Cause.MALFORMED else 0.0
        assert f'berylchute_edge_caller_refusals_total{{cause="{cause}"}} {count}' in lines
    held = [line for line in lines if line.startswith("berylchute_edge_memory_held_bytes{")]
    assert len(held) == len(BodyStage) and not held[0].endswith(" 0.0")
    assert "berylchute_edge_caller_connections_count 2.0" in lines
