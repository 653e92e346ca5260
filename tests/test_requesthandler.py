"""Check the processing of a request: at most one run, refusals, bounded retries, deadlines."""

import os
from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio
import attrs
import pytest

from berylchute.attempts import ActiveRequest
from berylchute.backends import Backends
from berylchute.background import BackgroundTasks
from berylchute.callers import (
    CallerAnswer,
    CallerConnection,
    CallerRequest,
    CallerServer,
    Header,
    PendingRequest,
)
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.exceptions import AnswerInvalid, AnswerLost, NotSent, SendWithdrawn
from berylchute.headernames import HeaderNames
from berylchute.priorities import Ranks
from berylchute.regionsends import RegionSends
from berylchute.requesthandler import RequestHandler
from berylchute.retrybudget import RetryBounds
from berylchute.routeindex import RouteIndex
from berylchute.selection import Selector
from berylchute.sendchecks import SendPermits
from berylchute.serverlimits import ServerLimits
from berylchute.servers import SILENCE_MIN_S, Server
from berylchute.sharedobjects import (
    CallerLimits,
    Organisation,
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
from tests.test_organisations import organisation
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
        self.zones = ["za"]
        self.route_changes: dict[str, object] = {}
        self.organisations: tuple[Organisation, ...] = ()
        self.headers: list[Header] = []
        self.permits: SendPermits | None = None
        self.routes = RouteIndex()
        self.log_path = ""

    def configure(self, organisations: tuple[Organisation, ...], number: int = 2) -> None:
        """Replace the configuration by one with these organisations."""
        assert self.routes.table is not None
        self.routes.replace(
            attrs.evolve(self.routes.table, number=number, organisations=organisations)
        )

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
            request = CallerRequest(b"POST", b"/a/x", "/a/x", "a", [], b"body", clock.now_s())
            request.headers = [(b"X-Own", b"1"), *self.headers]
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
            (route("/a/", kind=self.kind, timeout_s=timeout_s, **self.route_changes),),
            (ServicePolicy("s", 64, self.warmup_s, 10.0),),
            CallerLimits(),
            self.organisations,
        )
        self.routes.replace(table)
        backends.configure(table)
        names = [f"i-{number}" for number in range(self.servers)]
        backends.update_servers(
            ServerList(
                tuple(
                    ServerEntry(n, "s", "127.0.0.1:1", self.zones[i % len(self.zones)], 4, False)
                    for i, n in enumerate(names)
                )
            )
        )
        for server in backends.of_service("s"):
            server.pool = _Pool(self)  # type: ignore[assignment]
        retry_bounds = RetryBounds(ratio=self.retry_ratio, burst=0.0)
        discovery = MemberDiscovery(clock)
        limits = ServerLimits("m1", backends, clock, discovery)
        if self.log_path:
            write = os.open(self.log_path, os.O_WRONLY | os.O_CREAT)
        else:
            read, write = os.pipe()
            os.close(read)
        self.log = EventLog(write, "h")
        return RequestHandler(
            header_names=HeaderNames(),
            routes=self.routes,
            backends=backends,
            selector=Selector(backends, lambda _: True, limits, SpillLimiter()),
            background_tasks=background_tasks,
            clock=clock,
            rng=Random(1),
            log=self.log,
            metrics=self.metrics,
            retry_bounds=retry_bounds,
            member_count=lambda: 1,
            discovery=discovery,
            region_of_zone=lambda zone: f"r{zone[1:]}",
            region_sends=RegionSends(clock),
            ranks=self.ranks,
            permits=self.permits,
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


ONE = organisation("one", "k1", home_regions=("ra",))
TWO = organisation("two", "k2")
KEY_1: Header = (b"Authorization", b"Bearer k1")
NAME = b"\r\nBerylchute-Organisation: "


def _organisations_harness(
    *replies: Reply, headers: tuple[Header, ...] = (KEY_1,), kind: RouteKind = IDEMPOTENT
) -> _Harness:
    harness = _Harness(kind, *replies)
    harness.organisations = (ONE, TWO)
    harness.headers = list(headers)
    return harness


def _refusals(harness: _Harness) -> list[str]:
    lines = harness.metrics.render().decode().splitlines()
    return [line for line in lines if line.startswith("berylchute_edge_refusals_total")]


def test_server_gets_the_organisation_and_never_the_key() -> None:
    # Guard against a key that is sent to a server, or a made-up name of an organisation.
    harness = _organisations_harness(OK, headers=((b"Berylchute-Organisation", b"two"), KEY_1))
    assert _status(harness.run()) == 200
    sent = harness.sent[0]
    assert sent.count(NAME) == 1 and NAME + b"one\r\n" in sent
    assert b"k1" not in sent and b"uthorization" not in sent and b"X-Own: 1" in sent


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ((), "no_key"),
        (((b"Authorization", b"Bearer \xff"),), "unknown_key"),
        ((KEY_1, KEY_1), "several_keys"),
    ],
)
def test_request_without_a_valid_key_is_not_sent(headers: tuple[Header, ...], reason: str) -> None:
    # Guard against requests of unknown callers at servers, and refusals without a cause.
    harness = _organisations_harness(OK, headers=headers)
    answer = harness.run()
    assert _status(answer) == 401 and answer is not None and not harness.sent
    assert (b"WWW-Authenticate", b"Bearer") in answer.headers
    assert _refusals(harness) == [f'berylchute_edge_refusals_total{{reason="{reason}"}} 1.0']


def test_without_organisations_headers_are_forwarded_as_they_are() -> None:
    # Guard against changed requests where no organisations are configured.
    headers = (KEY_1, (b"Berylchute-Organisation", b"two"))
    harness = _organisations_harness(OK, headers=headers)
    harness.organisations = ()
    assert _status(harness.run()) == 200
    assert b"Authorization: Bearer k1" in harness.sent[0] and NAME + b"two" in harness.sent[0]


def test_public_route_is_served_without_a_key() -> None:
    # Guard against 401 on a public route, and an invalid key that is forwarded there.
    harness = _organisations_harness(OK, headers=((b"Authorization", b"Bearer zz"),))
    harness.route_changes = {"is_public": True}
    assert _status(harness.run()) == 200
    assert b"uthorization" not in harness.sent[0] and NAME not in harness.sent[0]


def test_missing_route_precedes_a_missing_key() -> None:
    # Guard against 401 for a path that has no route.
    harness = _organisations_harness(headers=())
    harness.route_changes = {"host": "elsewhere"}
    assert _status(harness.run()) == 404


def test_missing_configuration_is_no_missing_key() -> None:
    # Guard against 401, after which callers don't return, before the configuration is known.
    def forget(harness: _Harness) -> None:
        harness.routes.table = None

    harness = _organisations_harness(headers=())
    answer = harness.run(prepare=forget)
    assert _status(answer) == 503 and answer is not None
    assert any(name == b"Retry-After" for name, _ in answer.headers)


def test_retry_stays_in_the_home_regions() -> None:
    # Guard against a retry in a region that the organisation does not allow.
    harness = _organisations_harness(NotSent("x"), NOT_RUN, OK)
    harness.zones = ["za", "zb"]  # the servers 0 and 2 are in ra, the home region
    assert _status(harness.run()) == 503
    servers = [sent.split(b"Expected-Server: ")[1].split(b"\r\n")[0] for sent in harness.sent]
    assert sorted(servers) == [b"i-0", b"i-2"]


def test_request_without_a_common_home_region_is_refused() -> None:
    # Guard against a request outside of the regions of its route or of its organisation.
    harness = _organisations_harness(OK)
    harness.zones = ["za", "zb"]
    harness.route_changes = {"home_regions": ("rb",)}
    answer = harness.run()
    assert _status(answer) == 503 and answer is not None and not harness.sent
    assert any(name == b"Retry-After" for name, _ in answer.headers)
    assert _refusals(harness) == ['berylchute_edge_refusals_total{reason="no_common_region"} 1.0']


class _ConfiguringPool(_Pool):
    """A pool that changes the configuration before each reply, or while it connects."""

    def __init__(
        self, harness: _Harness, change: Callable[[], None], *, is_connecting: bool
    ) -> None:
        super().__init__(harness)
        self._change = change
        self._is_connecting = is_connecting

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        if self._is_connecting:
            self._change()
            assert request.may_send is not None
            if not request.may_send():
                raise SendWithdrawn("x")
            return await super().exchange(request)
        try:
            return await super().exchange(request)
        finally:
            self._change()


def _change_configuration(
    *organisations: Organisation, is_connecting: bool
) -> Callable[[_Harness], None]:
    """Return what prepares a harness for one change of the configuration at the first exchange."""

    def prepare(harness: _Harness) -> None:
        def change() -> None:
            if harness.routes.table is not None and harness.routes.table.number == 1:
                harness.configure(organisations)

        for server in harness.all_servers:
            pool = _ConfiguringPool(harness, change, is_connecting=is_connecting)
            server.pool = pool  # type: ignore[assignment]

    return prepare


@pytest.mark.parametrize(
    ("first", "status"),
    [(NotSent("x"), 401), (AnswerLost("x"), 502), (NOT_RUN, 503), (FAILED, 500), (OK, 200)],
)
def test_removed_key_ends_a_request_before_its_next_send(first: Reply, status: int) -> None:
    # Guard against a retry with a key that was removed after the first send; and against 401 for
    # a request that may have run, or a lost answer to a request that was sent before.
    harness = _organisations_harness(first, OK)
    answer = harness.run(prepare=_change_configuration(TWO, is_connecting=False), timeout_s=1.5)
    assert _status(answer) == status and len(harness.sent) == 1
    if status in (401, 503):
        assert _refusals(harness) == ['berylchute_edge_refusals_total{reason="key_removed"} 1.0']


def test_removed_key_ends_a_request_that_waits_for_a_connection() -> None:
    # Guard against a send with a key that was removed while a connection was opened.
    harness = _organisations_harness(OK)
    answer = harness.run(prepare=_change_configuration(TWO, is_connecting=True))
    assert _status(answer) == 401 and not harness.sent
    assert not any(server.failures for server in harness.all_servers)


@pytest.mark.parametrize("is_connecting", [False, True])
def test_moved_key_names_its_new_organisation_from_the_next_send_on(is_connecting: bool) -> None:
    # Guard against a request in the name of an organisation to which the key no longer belongs.
    moved = (organisation("one"), organisation("two", "k2", "k1"))
    harness = _organisations_harness(*([OK] if is_connecting else [NotSent("x"), OK]))
    prepare = _change_configuration(*moved, is_connecting=is_connecting)
    assert _status(harness.run(prepare=prepare)) == 200
    assert NAME + b"two\r\n" in harness.sent[-1]


def test_withdrawn_send_uses_the_only_server_again() -> None:
    # Guard against a refusal since the only server counts as tried although nothing was sent.
    harness = _organisations_harness(OK)
    harness.servers = 1
    assert _status(harness.run(prepare=_change_configuration(ONE, is_connecting=True))) == 200


def test_key_is_needed_from_the_next_send_on_when_organisations_are_configured() -> None:
    # Guard against Authorization headers that are forwarded after a switch to organisations.
    harness = _organisations_harness(NotSent("x"), OK)
    harness.organisations = ()
    prepare = _change_configuration(ONE, is_connecting=False)
    assert _status(harness.run(prepare=prepare)) == 200
    assert b"uthorization" in harness.sent[0]
    assert b"uthorization" not in harness.sent[1] and NAME + b"one\r\n" in harness.sent[1]


def test_key_is_not_forwarded_after_organisations_are_removed() -> None:
    # Guard against a key at a server when the configuration loses its organisations meanwhile.
    harness = _organisations_harness(NotSent("x"), OK)
    assert _status(harness.run(prepare=_change_configuration(is_connecting=False))) == 200
    assert not any(b"uthorization" in sent for sent in harness.sent)


class _Permits:
    """Permits that are given or refused by a list; each counts once."""

    def __init__(self, *results: float | None) -> None:
        self.results = list(results)
        self.acquired: list[str] = []
        self.released: list[str] = []
        self.meanwhile: Callable[[], None] = lambda: None

    async def acquire(self, active: ActiveRequest) -> float | None:
        assert active.organisation is not None
        self.acquired.append(active.organisation.name)
        await anyio.sleep(0.01)
        self.meanwhile()
        return self.results.pop(0)

    def release(self, active: ActiveRequest) -> None:
        assert active.permit_of is not None
        self.released.append(active.permit_of.name)


def test_request_above_the_allotment_is_refused() -> None:
    # Guard against a send without a permit, and a refusal without the time to return.
    harness = _organisations_harness(OK)
    harness.permits = permits = _Permits(0.25)
    answer = harness.run()
    assert _status(answer) == 429 and answer is not None and not harness.sent
    assert (b"Retry-After", b"0.250") in answer.headers
    assert not permits.released


@pytest.mark.parametrize(
    ("replies", "released"),
    [((NotSent("x"), OK), []), ((AnswerLost("x"), OK), []), ((NotSent("x"),) * 4, ["one"])],
)
def test_permit_is_acquired_once_and_returned_if_unused(
    replies: tuple[Reply, ...], released: list[str]
) -> None:
    # Guard against permits that are lost when nothing was sent, or used twice by retries.
    harness = _organisations_harness(*replies)
    harness.servers = 4
    harness.permits = permits = _Permits(None)
    harness.run()
    assert permits.acquired == ["one"] and permits.released == released


def test_permit_follows_a_key_to_its_new_organisation() -> None:
    # Guard against the use of one organisation's permit by another one.
    harness = _organisations_harness(OK)
    harness.permits = permits = _Permits(None, None)
    permits.meanwhile = lambda: harness.configure((organisation("two", "k1"),))
    assert _status(harness.run()) == 200
    assert permits.acquired[:2] == ["one", "two"] and permits.released == ["one"]
    assert NAME + b"two\r\n" in harness.sent[0]


def test_key_removed_while_a_request_waits_for_its_permit() -> None:
    # Guard against a send with a key that was removed while the request waited.
    harness = _organisations_harness(OK)
    harness.permits = permits = _Permits(None)
    permits.meanwhile = lambda: harness.configure((TWO,))
    assert _status(harness.run()) == 401 and not harness.sent
    assert permits.released == ["one"]


@pytest.mark.parametrize("headers", [(KEY_1,), ((b"Authorization", b"Bearer wrongkey"),)])
def test_log_names_organisations_and_holds_no_key(
    headers: tuple[Header, ...], tmp_path: Path
) -> None:
    # Guard against keys in the event log, and events that don't say whose request it was.
    harness = _organisations_harness(OK, headers=headers)
    harness.log_path = str(tmp_path / "log")
    harness.run()
    harness.log.flush()
    text = (tmp_path / "log").read_text()
    name = "one" if headers == (KEY_1,) else ""
    assert f'"organisation":"{name}"' in text.replace('": "', '":"')
    assert "Bearer" not in text and "wrongkey" not in text and "k1" not in text
