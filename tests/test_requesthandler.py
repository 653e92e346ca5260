"""Check the processing of a request: at most one run, refusals, bounded retries, deadlines."""

import os
from collections.abc import Callable
from random import Random

import anyio
import attrs
import pytest

from berylchute.backends import Backends
from berylchute.background import BackgroundTasks
from berylchute.callers import (
    CallerAnswer,
    CallerConnection,
    CallerRequest,
    CallerServer,
    PendingRequest,
)
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.exceptions import AnswerInvalid, AnswerLost, NotSent
from berylchute.headernames import HeaderNames
from berylchute.priorities import Ranks
from berylchute.regionsends import RegionSends
from berylchute.requesthandler import RequestHandler
from berylchute.retrybudget import RetryBounds
from berylchute.routeindex import RouteIndex
from berylchute.selection import Selector
from berylchute.serverlimits import ServerLimits
from berylchute.servers import SILENCE_MIN_S, Server
from berylchute.sharedobjects import (
    CallerLimits,
    RouteKind,
    RouteTable,
    ServerEntry,
    ServerList,
    ServicePolicy,
)
from berylchute.spillshare import SpillLimiter
from berylchute.types import Clock
from berylchute.upstream import ConnectionPool, ServerAnswer, UpstreamRequest
from tests.endless import SLOW_HEAD, start_endless
from tests.httpfakes import FakeTransport
from tests.test_routeindex import route

Reply = ServerAnswer | Exception | float
NOT_RUN = ServerAnswer(503, ((b"berylchute-not-run", b"1"),), b"")
OK = ServerAnswer(200, ((b"X-Stamp", b"s1"),), b"body")
FAILED = ServerAnswer(500, (), b"oops")
IDEMPOTENT, NON_IDEMPOTENT = RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT


class _LoopClock:
    def now_s(self) -> float:
        return anyio.current_time()


class _Pool:
    """A connection pool with scripted replies; a number is a delay in seconds."""

    needs_spare_connection = True
    last_connect_s: float | None = None

    def __init__(self, harness: "_Harness") -> None:
        self._world = harness
        self.connections_opened = self.spares = 0

    async def open_spare_connection(self) -> None:
        self.spares += 1
        self.connections_opened += 1

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        self._world.sent.append(request.head + request.body)
        reply = self._world.replies.pop(0)
        await anyio.sleep(self._world.reply_delay_s)
        if isinstance(reply, float):
            await anyio.sleep(reply)
            reply = OK
        if isinstance(reply, Exception):
            raise reply
        return reply

    def close(self) -> None:
        """Do nothing: no connection is open."""


class _Harness:
    """A RequestHandler with servers whose replies are scripted."""

    def __init__(self, kind: RouteKind, *replies: Reply, servers: int = 3) -> None:
        self.replies = list(replies)
        self.sent: list[bytes] = []
        self.kind = kind
        self.servers = servers
        self.transport = FakeTransport()
        self.pending: PendingRequest | None = None
        self.backends: Backends | None = None
        self.metrics = EdgeMetrics()
        self.retry_ratio = 10.0
        self.warmup_s = 0.0
        self.reply_delay_s = 0.0
        self.ranks: Ranks | None = None

    def run(
        self,
        *,
        time_left_ms: float | None = 3000.0,
        timeout_s: float = 1.0,
        prepare: Callable[["_Harness"], None] = lambda _: None,
        meanwhile: Callable[["_Harness"], None] = lambda _: None,
    ) -> CallerAnswer | None:
        anyio.run(self._main, time_left_ms, timeout_s, prepare, meanwhile)
        assert self.pending is not None
        return self.pending.answer

    async def _main(
        self,
        time_left_ms: float | None,
        timeout_s: float,
        prepare: Callable[["_Harness"], None],
        meanwhile: Callable[["_Harness"], None],
    ) -> None:
        clock = _LoopClock()
        async with BackgroundTasks() as background_tasks:
            handler = self._compose(clock, background_tasks, timeout_s)
            prepare(self)
            caller_server = CallerServer(handler.handle, clock)
            connection = CallerConnection(caller_server)
            connection.connection_made(self.transport)
            request = CallerRequest(
                b"POST", b"/a/x", "/a/x", "a", [(b"X-Own", b"1")], b"body", clock.now_s()
            )
            request.request_id, request.time_left_ms = "id1", time_left_ms
            self.pending = PendingRequest(connection, request, keep_alive=True)
            connection._pending.append(self.pending)
            handler.handle(self.pending)
            await anyio.sleep(0.01)
            meanwhile(self)
            handler.prepare_connections()
            with anyio.move_on_after(2.0):
                while handler.in_flight:
                    await anyio.sleep(0.01)

    def _compose(
        self, clock: Clock, background_tasks: BackgroundTasks, timeout_s: float
    ) -> RequestHandler:
        backends = self.backends = Backends(clock, "za")
        table = RouteTable(
            1,
            (route("/a/", kind=self.kind, timeout_s=timeout_s),),
            (ServicePolicy("s", 64, self.warmup_s, 10.0),),
            CallerLimits(),
        )
        routes = RouteIndex()
        routes.replace(table)
        backends.configure(table)
        names = [f"i-{number}" for number in range(self.servers)]
        backends.update_servers(
            ServerList(tuple(ServerEntry(n, "s", "127.0.0.1:1", "za", 4, False) for n in names))
        )
        for server in backends.of_service("s"):
            server.pool = _Pool(self)  # type: ignore[assignment]
        retry_bounds = RetryBounds(ratio=self.retry_ratio, burst=0.0)
        discovery = MemberDiscovery(clock)
        limits = ServerLimits("m1", backends, clock, discovery)
        read, write = os.pipe()
        os.close(read)
        return RequestHandler(
            header_names=HeaderNames(),
            routes=routes,
            backends=backends,
            selector=Selector(backends, lambda _: True, limits, SpillLimiter()),
            background_tasks=background_tasks,
            clock=clock,
            rng=Random(1),
            log=EventLog(write, "h"),
            metrics=self.metrics,
            retry_bounds=retry_bounds,
            member_count=lambda: 1,
            discovery=discovery,
            region_of_zone=lambda _: "ra",
            region_sends=RegionSends(clock),
            ranks=self.ranks,
        )

    @property
    def all_servers(self) -> list[Server]:
        assert self.backends is not None
        return list(self.backends.of_service("s"))


def _status(answer: CallerAnswer | None) -> int:
    assert answer is not None
    return answer.status


def test_answer_is_forwarded_unchanged() -> None:
    # Guard against changed headers or body when a request and its answer are forwarded.
    harness = _Harness(NON_IDEMPOTENT, OK)
    answer = harness.run()
    assert answer == CallerAnswer(200, OK.headers, OK.body)
    sent = harness.sent[0]
    assert sent.startswith(b"POST /a/x HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nbody")
    assert b"X-Own: 1\r\n" in sent and b"Berylchute-Expected-Server: i-" in sent


def test_server_gets_no_more_than_the_remaining_time() -> None:
    # Guard against a server that works longer than its caller waits, because the route's timeout
    # is sent as the deadline.
    harness = _Harness(NON_IDEMPOTENT, OK)
    harness.run(time_left_ms=700.0, timeout_s=5.0)
    name = b"Berylchute-Deadline-Ms: "
    deadline_ms = int(harness.sent[0].split(name)[1].split(b"\r\n")[0])
    assert 600 < deadline_ms <= 700


@pytest.mark.parametrize("error", [AnswerLost("x"), AnswerInvalid("x")])
def test_non_idempotent_request_is_never_sent_twice(error: Exception) -> None:
    # Guard against a second run of a non-idempotent request, sent again after its answer was lost.
    harness = _Harness(NON_IDEMPOTENT, error, OK)
    # 502 rather than 503, since the request may have run.
    assert _status(harness.run()) == 502
    assert len(harness.sent) == 1


def test_non_idempotent_request_is_retried_if_it_did_not_run() -> None:
    # Guard against a needless failure of a non-idempotent request when a server was unreachable or
    # refused it.
    harness = _Harness(NON_IDEMPOTENT, NotSent("x"), NOT_RUN, OK)
    assert _status(harness.run()) == 200
    servers = [sent.split(b"Expected-Server: ")[1].split(b"\r\n")[0] for sent in harness.sent]
    assert len(set(servers)) == 3


def test_idempotent_request_is_retried_after_a_lost_answer_or_failure() -> None:
    # Guard against an error to the caller when another server could still answer an idempotent
    # request.
    harness = _Harness(IDEMPOTENT, AnswerLost("x"), OK)
    assert _status(harness.run()) == 200
    harness = _Harness(IDEMPOTENT, FAILED, OK)
    assert _status(harness.run()) == 200


def test_attempts_are_bounded() -> None:
    # Guard against more attempts than the route allows when every server fails or refuses.
    harness = _Harness(IDEMPOTENT, AnswerLost("x"), AnswerLost("x"), OK)
    assert _status(harness.run()) == 502
    assert len(harness.sent) == 2
    harness = _Harness(NON_IDEMPOTENT, NOT_RUN, NOT_RUN, OK)
    assert _status(harness.run()) == 503
    assert len(harness.sent) == 2


def test_server_error_is_forwarded() -> None:
    # Guard against a retry of a non-idempotent request that a server answered with an error.
    harness = _Harness(NON_IDEMPOTENT, FAILED, OK)
    assert harness.run() == CallerAnswer(500, FAILED.headers, FAILED.body)
    assert len(harness.sent) == 1


def test_lost_answer_is_not_followed_by_a_refusal() -> None:
    # Guard against a 503, which says that the request has not run, after a lost answer when all
    # other servers are full.
    def fill_others(harness: _Harness) -> None:
        assert harness.backends is not None
        for server in harness.backends.preference("s", "id1").near[1:]:
            server.in_flight = 2 * server.entry.slots

    harness = _Harness(IDEMPOTENT, AnswerLost("x"))
    assert _status(harness.run(prepare=fill_others)) == 502
    assert len(harness.sent) == 1


@pytest.mark.parametrize("second", [NOT_RUN, NotSent("x")])
def test_refused_retry_does_not_become_a_refusal(second: Reply) -> None:
    # Guard against a 503, which says that the request has not run, when only the retry was
    # refused or not sent: the first attempt may have run.
    harness = _Harness(IDEMPOTENT, AnswerLost("x"), second, *[NotSent("x")] * 3, servers=5)
    assert _status(harness.run()) == 502


@pytest.mark.parametrize("second", [NOT_RUN, AnswerLost("x"), 5.0])
def test_server_error_is_forwarded_if_its_retry_fails(second: Reply) -> None:
    # Guard against a lost server error: the request was retried because there was time, and the
    # retry was refused, lost its answer or ran out of time.
    harness = _Harness(IDEMPOTENT, FAILED, second)
    # There is time for a retry, but a reply after 5 s exceeds the timeout.
    assert harness.run(timeout_s=1.2) == CallerAnswer(500, FAILED.headers, FAILED.body)
    assert len(harness.sent) == 2


def test_full_servers_cause_a_refusal_with_retry_after() -> None:
    # Guard against a refusal without a useful Retry-After when all servers are full.
    def fill(harness: _Harness) -> None:
        for server in harness.all_servers:
            server.in_flight = 2 * server.entry.slots

    harness = _Harness(NON_IDEMPOTENT)
    answer = harness.run(prepare=fill)
    assert answer is not None and answer.status == 503 and not harness.sent
    delay_s = float(dict(answer.headers)[b"Retry-After"])
    assert 0.5 < delay_s < 1.0


def test_route_timeout_is_answered_and_the_attempt_cancelled() -> None:
    # Guard against an attempt that stays in flight after the route's timeout, and a caller without
    # an answer.
    harness = _Harness(IDEMPOTENT, 5.0)
    assert _status(harness.run(timeout_s=0.05)) == 504
    assert all(server.in_flight == 0 for server in harness.all_servers)


def test_caller_that_disconnects_cancels_the_attempt() -> None:
    # Guard against an attempt that stays in flight after its caller has disconnected.
    def leave(harness: _Harness) -> None:
        assert harness.pending is not None
        harness.pending.connection.connection_lost(None)

    harness = _Harness(IDEMPOTENT, 5.0)
    assert harness.run(meanwhile=leave, timeout_s=1.5) is None
    assert all(server.in_flight == 0 for server in harness.all_servers)


def test_distant_servers_get_connections_before_they_are_needed() -> None:
    # Guard against late answers from distant servers because the first request to each waits for a
    # connection.
    def reach_first(harness: _Harness) -> None:
        pool = harness.all_servers[0].pool
        pool.last_connect_s, pool.connections_opened = 0.11, 1

    harness = _Harness(IDEMPOTENT, 0.1)
    harness.run(meanwhile=reach_first)
    assert [server.pool.connections_opened for server in harness.all_servers] == [1, 1, 1]
    idle = _Harness(IDEMPOTENT, OK)
    idle.run(meanwhile=reach_first)
    assert [server.pool.connections_opened for server in idle.all_servers] == [1, 0, 0]


def test_replaced_server_is_not_used_again() -> None:
    # Guard against further requests to a server that answers 421 because another process runs at
    # its address.
    harness = _Harness(NON_IDEMPOTENT, ServerAnswer(421, (), b""), OK)
    assert _status(harness.run()) == 200
    assert sum(server.is_replaced for server in harness.all_servers) == 1


def _count_retries(harness: _Harness) -> float:
    samples = [sample for metric in harness.metrics.retries.collect() for sample in metric.samples]
    return sum(sample.value for sample in samples if sample.name.endswith("_total"))


def test_only_retries_that_are_sent_are_counted() -> None:
    # Guard against a metric of retries that grows while the retry budget allows none.
    harness = _Harness(IDEMPOTENT, AnswerLost("x"), NOT_RUN)
    harness.run()
    assert (len(harness.sent), _count_retries(harness)) == (2, 1.0)
    spent = _Harness(IDEMPOTENT, AnswerLost("x"), OK)
    spent.retry_ratio = 0.0
    spent.run()
    assert (len(spent.sent), _count_retries(spent)) == (1, 0.0)


def test_trickling_server_fails_at_the_deadline_and_its_connection_is_closed() -> None:
    # Guard against a server that sends a byte now and then: it must not keep the request beyond
    # its deadline, stay in use, or make the caller believe that the request has not run.
    async def main() -> None:
        async with start_endless(SLOW_HEAD) as server:
            harness = _Harness(NON_IDEMPOTENT, servers=1)

            def connect(harness: _Harness) -> None:
                pool = ConnectionPool(server.address, _LoopClock(), 4)
                harness.all_servers[0].pool = pool

            await harness._main(1200.0, 5.0, connect, lambda _: None)
            assert harness.pending is not None and _status(harness.pending.answer) == 504
            await anyio.sleep(2 * SLOW_HEAD.pause_s)
            assert server.open_connections == 0
            assert harness.all_servers[0].failures == 1

    anyio.run(main)


@pytest.mark.parametrize(("opened_s", "is_cold"), [(0.0, False), (1e12, True)])
def test_lost_answer_on_one_connection_is_no_restart(opened_s: float, is_cold: bool) -> None:
    # Guard against servers that lose some answers and are left by all members as if each loss
    # were a restart. A connection that was opened before the loss shows that the process lives.
    answer = attrs.evolve(OK, opened_s=opened_s)
    harness = _Harness(NON_IDEMPOTENT, answer, servers=1)
    harness.warmup_s = 60.0

    def fail_before(harness: _Harness) -> None:
        server = harness.all_servers[0]
        server.record_failure(anyio.current_time())
        server.backoff_until_s = 0.0

    assert _status(harness.run(prepare=fail_before)) == 200
    assert (harness.all_servers[0].cold_until_s > 0.0) is is_cold


def test_server_that_answers_only_time_outs_is_left() -> None:
    # Guard against a slow server that keeps its requests because each of its own 504 ends the
    # backoff that the unanswered ones began.
    harness = _Harness(NON_IDEMPOTENT, ServerAnswer(504, (), b""), servers=1)
    harness.reply_delay_s = SILENCE_MIN_S

    def fail_before(harness: _Harness) -> None:
        harness.all_servers[0].record_timeout(0.0, SILENCE_MIN_S)

    assert _status(harness.run(prepare=fail_before, timeout_s=3.0)) == 504
    assert harness.all_servers[0].failures == 2


@pytest.mark.parametrize("replies", [(RuntimeError("x"),), (AnswerLost("x"), RuntimeError("x"))])
def test_unforeseen_error_while_a_server_has_the_request_is_answered(
    replies: tuple[Exception, ...],
) -> None:
    # Guard against a request that is never answered, or refused as not run though it may have run,
    # when an error that the code does not foresee ends its task.
    harness = _Harness(IDEMPOTENT, *replies)
    assert _status(harness.run()) == 502
    metrics = harness.metrics.render().decode()
    assert 'berylchute_edge_requests_total{outcome="internal_error",service="s"} 1.0' in metrics


def test_unforeseen_error_before_a_request_is_sent_refuses_it() -> None:
    # Guard against a request that is never answered because no server could be selected for it.
    def fail(*arguments: object, **options: object) -> None:
        raise OverflowError("x")

    def prepare(harness: _Harness) -> None:
        for server in harness.all_servers:
            server.pool.exchange = fail  # type: ignore[method-assign, assignment]
        harness.backends.preference = fail  # type: ignore[union-attr, method-assign, assignment]

    harness = _Harness(NON_IDEMPOTENT, OK)
    answer = harness.run(prepare=prepare)
    assert _status(answer) == 503 and answer is not None
    assert any(name == b"Retry-After" for name, _ in answer.headers)
    assert not harness.sent
