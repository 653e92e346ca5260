"""Build and run the entry program."""

import logging
import random
import signal
from collections.abc import Mapping

import anyio

from berylchute import logs
from berylchute.admission import ShortReserve
from berylchute.background import BackgroundTasks
from berylchute.balance import ServerObserver
from berylchute.borrowing import LenderCandidate
from berylchute.config import Configuration
from berylchute.endpoints import Endpoints
from berylchute.exchange import HttpExchanger
from berylchute.explanations import Explanation, LatencySampleSink, explain
from berylchute.forwarding import Forwarder
from berylchute.gateway import Gateway, GatewayState
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.idempotency import IdempotencyTable
from berylchute.identity import OperatorDirectory
from berylchute.keyedrequests import KeyedRequestHandler
from berylchute.ledger import Ledger
from berylchute.lending import Lending, LendingTask
from berylchute.locator import Locator, LocatorApp
from berylchute.messages import LoanGrant, LoanRecall, LoanRequest, LoanReturn
from berylchute.metrics import Metrics
from berylchute.node import ActiveConfiguration, MonotonicClock, Node
from berylchute.pacing import LinkBudgetQueue, LinkPacer
from berylchute.placement import CapacityPlacer
from berylchute.program import run_command_line
from berylchute.routing import QuickerFirst, Router
from berylchute.settings import Settings
from berylchute.shares import base_shares, connection_shares
from berylchute.store import HttpObjectStore
from berylchute.tracing import RecentRequests, Tracer, TraceSink
from berylchute.traffic import TrafficTasks, count_free_units
from berylchute.transfers import Transfers
from berylchute.types import MemberState, StoredObject
from berylchute.uvicornserver import UvicornServer, make_server

__all__ = ["EntryProgram", "main"]

# Time to refuse requests before the server stops: callers with an older locator answer still
# connect, and get a refusal instead of a reset.
REFUSE_BEFORE_STOP_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.02
PUBLISH_INTERVAL_S = 0.25
LOG_FLUSH_INTERVAL_S = 0.2
# Enough samples for a p99 over several hosts; the answer stays of moderate size.
SLOW_SAMPLES_MAX = 1000
POOL_CHECK_INTERVAL_S = 15.0
# Above the longest deadline, so that no request in flight can use the pool.
POOL_UNUSED_TIMEOUT_S = 120.0

logger = logging.getLogger(__name__)


class EntryProgram:
    """The entry program: its parts and its tasks."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._node = Node(
            settings,
            "entry",
            store=HttpObjectStore(settings.store, self._clock, random.Random()),
            clock=self._clock,
        )
        record = self._node.record
        self.state = GatewayState()
        self._is_stopping = False
        self._background_tasks = BackgroundTasks()
        self._ledger = Ledger()
        self._pacer = LinkPacer(self._ledger, {})
        self._observer = ServerObserver(record.availability_zone, record.region)
        self._traffic = TrafficTasks(self._node, self._ledger, self._observer)
        self._shares: Mapping[str, Mapping[str, int]] = {}
        self._lending = Lending(
            record.host_id, record.position, record.incarnation, record.peer_address, self._ledger
        )
        self._lending_task = LendingTask(self._lending, self._node.peers, self._clock)
        self._locator = Locator()
        self._exchanger = HttpExchanger(self._clock)
        self._metrics = Metrics()
        self._metrics.get_node_counts = self._node.counts
        self._metrics.in_flight.set_function(lambda: self.state.in_flight)
        self._placer = self._build_placer()
        self._idempotency_table = IdempotencyTable(
            record.position, record.incarnation, self._clock.now_s()
        )
        self._metrics.idempotency_records.set_function(lambda: len(self._idempotency_table))
        self._request_log = logs.RequestLog(record.position)
        self._recent_requests = RecentRequests()
        self._samples = LatencySampleSink()
        self.gateway = self._build_gateway()

    def _build_placer(self) -> CapacityPlacer:
        observer, reserve, rng = self._observer, ShortReserve(), random.Random()
        router = Router(
            self._settings.host.availability_zone,
            self._settings.host.region,
            observer,
            self._ledger,
            self._traffic.drains,
            self._traffic.shifts,
            self._pacer,
            reserve,
            QuickerFirst(),
        )
        return CapacityPlacer(self._clock, rng, router, self._ledger, observer, reserve)

    def _build_gateway(self) -> Gateway:
        settings, record = self._settings, self._node.record
        sinks: list[TraceSink] = [self._recent_requests, self._metrics, self._samples]
        if settings.log.requests:
            sinks.append(self._request_log)
        forwarder = Forwarder(
            self._clock,
            self._placer,
            self._exchanger,
            self._metrics,
            self._background_tasks,
            ExtraLoadBudget(),
            HedgeDelays(),
            Transfers(LinkBudgetQueue(self._pacer, self._clock), self._background_tasks),
        )
        keyed_requests = KeyedRequestHandler(
            self._clock,
            self._idempotency_table,
            forwarder,
            self._exchanger,
            self._node.members,
            self._metrics,
            record.position,
        )
        return Gateway(
            self._clock,
            self.state,
            forwarder,
            keyed_requests,
            self._background_tasks,
            Tracer(tuple(sinks)),
            settings.limits,
            record.position,
            f"{record.position or record.host_id}-{record.incarnation:x}-",
            self._build_endpoints(),
        )

    def _build_endpoints(self) -> Endpoints:
        return Endpoints(
            self._metrics,
            OperatorDirectory(self._settings.operators.token_sha256),
            self._is_ready,
            lambda key, version, value: self._node.apply_object(StoredObject(key, version, value)),
            LocatorApp(self._locator),
            {
                "members": lambda _: self._node.members.list_members(),
                "usage": lambda _: self._ledger.usages(self._clock.now_s()),
                "requests": self._explain,
                "slow": lambda _: self._samples.window.snapshot(self._clock.now_s()).downsampled(
                    SLOW_SAMPLES_MAX
                ),
            },
        )

    def _explain(self, request_id: str) -> Explanation | None:
        record = self._recent_requests.find(request_id)
        return None if record is None else explain(record)

    def _is_ready(self) -> bool:
        return self.state.kinds is not None and self._node.is_ready and not self.state.is_leaving

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then wait for the requests in flight up to the timeout."""
        server = make_server(self.gateway, self._settings)
        async with anyio.create_task_group() as tasks, self._background_tasks as background_tasks:
            await tasks.start(self._node.run)
            background_tasks.start(self._subscribe_configuration)
            background_tasks.start(self._receive_loans)
            background_tasks.start(self._lending_task.run)
            background_tasks.start(self._placer.run)
            background_tasks.start(self.gateway.watch_callers)
            background_tasks.start(self._traffic.run)
            background_tasks.start(self._publish_state)
            background_tasks.start(self._flush_logs)
            background_tasks.start(self._close_pools)
            background_tasks.start(self._stop_on_signal, server)
            await server.serve()
            tasks.cancel_scope.cancel()
        await self._exchanger.aclose()
        self._request_log.flush()

    async def _subscribe_configuration(self) -> None:
        async for _ in self._node.subscribe_objects("config"):
            active = self._node.active_configuration
            if active is not None:
                self._configure(active)

    def _configure(self, active: ActiveConfiguration) -> None:
        configuration, position = active.configuration, self._settings.host.position
        self._shares = base_shares(configuration)
        own_shares = self._shares.get(position, {})
        self._pacer.set_shares(own_shares)
        self._lending.set_peers(self._list_lenders(configuration))
        self._placer.configure(
            configuration, own_shares, connection_shares(configuration).get(position, {})
        )
        self._locator.configure(configuration, active.version)
        self.state.configure(configuration)
        self._traffic.configure(configuration, own_shares)

    def _list_lenders(self, configuration: Configuration) -> list[LenderCandidate]:
        delays_ms = {
            other: distance.one_way_ms
            for distance in configuration.distances
            for region, other in (
                (distance.from_region, distance.to_region),
                (distance.to_region, distance.from_region),
            )
            if region == self._settings.host.region
        }
        peers = []
        for status in self._node.members.list_members():
            record = status.record
            if status.state is MemberState.LIVE and record.position in self._shares:
                if record.host_id == self._settings.host.host_id:
                    continue
                delay_ms = delays_ms.get(record.region, configuration.availability_zone_one_way_ms)
                units = self._shares[record.position]
                peers.append(LenderCandidate(record.position, record.peer_address, delay_ms, units))
        return peers

    async def _receive_loans(self) -> None:
        messages = self._node.subscribe_messages(LoanRequest, LoanGrant, LoanReturn, LoanRecall)
        async for message in messages:
            self._lending_task.receive(message)

    async def _publish_state(self) -> None:
        """Update the member record, the lenders and the locator periodically."""
        is_ready = False
        published: dict[str, int] = {}
        while True:
            active = self._node.active_configuration
            if active is not None and self.state.kinds is not None:
                self._lending.set_peers(self._list_lenders(active.configuration))
                free = count_free_units(active.configuration, self._ledger, self._clock.now_s())
                if free != published:
                    published = free
                    self._node.set_free_units(free)
            self.state.is_leaving = self._is_stopping or self._traffic.is_host_draining()
            self._locator.update(self._node.members.list_members())
            if self._is_ready() != is_ready:
                is_ready = not is_ready
                self._node.set_ready(is_ready)
            epoch = self._idempotency_table.epoch(self._clock.now_s())
            if epoch != self._node.record.owner_epoch:
                self._node.set_owner_epoch(epoch)
            await anyio.sleep(PUBLISH_INTERVAL_S)

    async def _flush_logs(self) -> None:
        while True:
            await anyio.sleep(LOG_FLUSH_INTERVAL_S)
            self._request_log.flush()

    async def _close_pools(self) -> None:
        while True:
            await anyio.sleep(POOL_CHECK_INTERVAL_S)
            await self._exchanger.close_unused_pools(POOL_UNUSED_TIMEOUT_S)

    async def _stop_on_signal(self, server: UvicornServer) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("leaving", extra={"in_flight": self.state.in_flight})
        self._is_stopping = True
        self.state.is_leaving = True
        self._node.announce_leaving()
        await anyio.sleep(REFUSE_BEFORE_STOP_S)
        timeout_s = self._settings.limits.shutdown_timeout_ms / 1000.0
        with anyio.move_on_after(timeout_s):
            while self.state.in_flight:
                self._return_loans()
                await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        self._return_loans()
        server.should_exit = True

    def _return_loans(self) -> None:
        for outgoing in self._lending.borrower.return_all(self._clock.now_s()):
            self._node.peers.send(outgoing.address, outgoing.message)


def main() -> None:
    """Run `berylchute-entry` with the arguments of the process."""
    run_command_line(
        "berylchute-entry", "Forward requests from callers to backend servers.", EntryProgram
    )


if __name__ == "__main__":
    main()
