"""Compose and run the edge program, which routes callers' requests to registered servers."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from berylchute import __version__
from berylchute.allotments import AllotmentMessages, AllotmentPermits
from berylchute.assignments import ColdSenderSelector, StoreWatchSelector
from berylchute.backends import Backends
from berylchute.background import BackgroundTasks
from berylchute.bodymemory import BodyMemory
from berylchute.callerlimits import CallerGuard
from berylchute.callers import CallerAnswer, CallerServer, PendingRequest
from berylchute.collection import (
    Collection,
    CollectionFeed,
    CollectionStore,
    choose_first_read_delay_s,
)
from berylchute.directory import Directory
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.edgesettings import EdgeSettings
from berylchute.edgestate import EdgeStateReader
from berylchute.eventlog import EventLog
from berylchute.exceptions import ConfigError, ListenError, SettingsError, first_error
from berylchute.fleetrecord import RecordStore
from berylchute.gracefulstop import stop_gracefully
from berylchute.memberlog import MemberLog
from berylchute.membership import MembershipTiming
from berylchute.node import BootClock, Node
from berylchute.objectapplier import ObjectApplier
from berylchute.priorities import make_ranks
from berylchute.processsignals import ProcessSignals
from berylchute.regionsends import RegionSends
from berylchute.requesthandler import RequestHandler
from berylchute.retrybudget import RetryBounds
from berylchute.routeindex import RouteIndex
from berylchute.selection import Selector
from berylchute.serverlimits import ServerLimits
from berylchute.servers import Server
from berylchute.sharedobjects import SHARED_KEYS, encoded_bytes_max
from berylchute.spillshare import SpillLimiter
from berylchute.storecontact import StoreContact, StoreProbe
from berylchute.types import StoredObject

__all__ = ["Edge", "EdgeSettings"]

# Interval of updates of this member's own record; well below the heartbeat of members.
REPORT_INTERVAL_S = 0.25
# With the default intervals, messages between members take more CPU time than requests. A member
# is suspect after three missed heartbeats.
MEMBER_TIMING = MembershipTiming(
    heartbeat_period_s=0.5, suspect_after_s=1.6, digest_period_s=1.0, own_pause_min_s=1.2
)
logger = logging.getLogger(__name__)


class Edge:
    """The edge program: composes its parts and runs their tasks."""

    def __init__(
        self,
        settings: EdgeSettings,
        store: CollectionStore,
        collections: Sequence[Collection],
        read_settings: Callable[[], EdgeSettings],
        record_store: RecordStore | None = None,
    ) -> None:
        """Compose the parts; `read_settings` reloads the settings or raises SettingsError."""
        self._settings = settings
        self._read_settings = read_settings
        clock = self._clock = BootClock()
        self._rng = Random()
        host = settings.node.host.host_id
        self._log = EventLog(1, host)
        self._store_contact = StoreContact(clock, settings.change_apply_s, settings.ping_period_s)
        self._node = Node(
            settings.node,
            "edge",
            store=None,
            clock=self._clock,
            object_keys=SHARED_KEYS,
            timing=MEMBER_TIMING,
            store_contact=self._store_contact,
            object_bytes_max=encoded_bytes_max(settings.store_value_bytes_max),
        )
        self._routes = RouteIndex()
        self._body_memory = BodyMemory(settings.node.host.memory_mb)
        self._guard = CallerGuard(
            self._clock.now_s,
            limits=settings.request_limits,
            max_fds=settings.max_fds,
            memory_mb=settings.node.host.memory_mb,
        )
        self._backends = Backends(
            self._clock,
            settings.node.host.availability_zone,
            settings.zone_regions,
            self._body_memory,
            self._guard.bounds.servers_max,
        )
        self._directory = Directory(settings.directory_ttl_s)
        self._discovery = MemberDiscovery(self._clock, settings.zone_regions)
        self._cold_sender_selector = ColdSenderSelector(host, self._discovery)
        self._server_limits = ServerLimits(host, self._backends, self._clock, self._discovery)
        self._background_tasks = BackgroundTasks()
        self._metrics = EdgeMetrics()
        self._region_sends = RegionSends(self._clock)
        watch_selector = StoreWatchSelector(
            host,
            self._store_contact,
            self._node.members,
            self._clock,
            is_first_start=settings.is_first_start,
        )
        first_read_delay_s = choose_first_read_delay_s(
            self._rng,
            is_first_start=settings.is_first_start,
            is_seed=settings.node.listen.peers in settings.node.peers.seeds,
        )
        self._allotment_messages = AllotmentMessages(
            self._node, self._discovery, self._log, self._metrics.allotments, record_store
        )
        self._allotments = self._allotment_messages.allotments
        self._feeds = [
            CollectionFeed(
                collection,
                store,
                self._clock,
                self._rng,
                self._receive_object,
                watch_selector.should_watch,
                self._store_contact.watch_wait_s,
                self._node.objects.get,
                first_read_delay_s,
                self._store_contact.outages,
            )
            for collection in collections
        ]
        self._probe = StoreProbe(
            store,
            self._store_contact,
            self._clock,
            lambda: all(feed.is_connected for feed in self._feeds),
            self._node.report_store_answer,
        )
        self._handler = self._compose_handler()
        self._caller_server = CallerServer(
            self._handler.handle,
            self._clock,
            settings.header_names,
            self._body_memory,
            self._handler.refuse,
            guard=self._guard,
        )
        self._objects = ObjectApplier(
            self._routes,
            self._backends,
            self._caller_server,
            self._allotments,
            self._clock,
            self._log,
        )
        self._caller_servers = {settings.node.listen.http: self._caller_server}
        self._signalled, self._stop_requested = anyio.Event(), anyio.Event()
        self._is_stopping = self._published_ready = False
        self._metrics.read_state = EdgeStateReader(
            node=self._node,
            routes=self._routes,
            backends=self._backends,
            handler=self._handler,
            objects=self._objects,
            feeds=self._feeds,
            probe=self._probe,
            region_sends=self._region_sends,
            log=self._log,
            guard=self._guard,
            memory=self._body_memory,
        ).read
        self._member_log = MemberLog(self._log)
        if settings.metrics_address:
            self.listen(settings.metrics_address, self._answer_metrics)

    def _compose_handler(self) -> RequestHandler:
        return RequestHandler(
            header_names=self._settings.header_names,
            routes=self._routes,
            backends=self._backends,
            selector=Selector(
                self._backends, self._is_cold_sender, self._server_limits, SpillLimiter()
            ),
            background_tasks=self._background_tasks,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
            metrics=self._metrics,
            retry_bounds=self._settings.retry_bounds,
            member_count=lambda: self._discovery.count_members(self._node.members.list_members()),
            discovery=self._discovery,
            region_of_zone=lambda zone: self._settings.zone_regions.get(zone, ""),
            region_sends=self._region_sends,
            permits=AllotmentPermits(self._allotments),
            ranks=make_ranks(
                is_enabled=self._settings.admission_by_rank,
                clock=self._clock,
                rng=self._rng,
                log=self._log,
                metrics=self._metrics,
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this member can serve callers: configured, with servers, not stopping."""
        return self._routes.table is not None and len(self._backends) > 0 and not self._is_stopping

    @property
    def directory(self) -> Directory:
        """Return the directory of the members that accept callers."""
        return self._directory

    @property
    def is_published_ready(self) -> bool:
        """Return the value of `is_ready` that was last published to the other members."""
        return self._published_ready

    @property
    def retry_bounds(self) -> RetryBounds:
        """Return the current bounds of retries, as of the last reload."""
        return self._handler.retry_bounds

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the home regions of a host name's routes; empty if none is bound to regions."""
        return self._routes.home_regions(host)

    def listen(self, address: str, handle: Callable[[PendingRequest], None]) -> None:
        """Also pass the requests that arrive on `ip:port` to `handle`; call before `serve`."""
        self._caller_servers[address] = CallerServer(
            handle,
            self._clock,
            self._settings.header_names,
            self._body_memory,
            guard=self._guard,
            is_reserved=True,
        )

    async def serve(self, signals: ProcessSignals) -> None:
        """Serve until a stop signal, then finish the requests in flight within `grace_s`.

        Raises ListenError if an address cannot be used.
        """
        logging.getLogger().handlers[:] = [self._log]
        logging.getLogger().setLevel(self._settings.node.log.level)
        self._log.event("start", version=__version__, callers=self._settings.node.listen.http)
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks, self._background_tasks as background_tasks:
            background_tasks.start_lasting(self._log.flush_forever)
            signals.attach(lambda: loop.call_soon_threadsafe(lambda: self._signalled.set()))
            start_scope = anyio.CancelScope()
            tasks.start_soon(self._follow_signals, signals, start_scope)
            listen_error: BaseException | None = None
            with start_scope:
                try:
                    await self._start(tasks, background_tasks)
                except* ListenError as group:
                    listen_error = group
            if listen_error is None and not start_scope.cancelled_caught:
                await self._stop_requested.wait()
                self._is_stopping = True
                await stop_gracefully(
                    self._node,
                    self._handler,
                    self._caller_server,
                    self._clock,
                    self._log,
                    self._settings.grace_s,
                    self._directory.ttl_s,
                )
            signals.detach()
            tasks.cancel_scope.cancel()
        self._log.event("stop", in_flight=self._handler.in_flight)
        self._log.flush()
        if listen_error is not None:
            raise first_error(listen_error)

    async def _start(self, tasks: TaskGroup, background_tasks: BackgroundTasks) -> None:
        await tasks.start(self._node.run)
        for feed in self._feeds:
            background_tasks.start_lasting(feed.run)
        background_tasks.start_lasting(self._probe.run)
        background_tasks.start_lasting(self._allotment_messages.follow)
        # The callers' address is the last: a start that is given up has accepted no request.
        for address, server in reversed(self._caller_servers.items()):
            await server.start(address)
            background_tasks.start_lasting(server.close_timed_out_forever)
        background_tasks.start_lasting(self._follow_objects)
        background_tasks.start_lasting(self._report_forever)

    async def _follow_signals(
        self, signals: ProcessSignals, start_scope: anyio.CancelScope
    ) -> None:
        """Reload the settings on request, until a stop is requested; it also ends a start."""
        while True:
            # The grace time may have changed, at times without a signal.
            if signals.take_reload() or signals.is_stop_requested:
                self._reload()
            if signals.is_stop_requested:
                break
            await self._signalled.wait()
            self._signalled = anyio.Event()
        start_scope.cancel()
        self._stop_requested.set()

    async def _follow_objects(self) -> None:
        async for stored in self._node.subscribe_objects(*SHARED_KEYS):
            current = self._node.objects.get(stored.key) or stored
            try:
                self._objects.apply(current)
            except ConfigError as error:
                self._log.event("object_rejected", key=stored.key, reason=str(error))
            self._report_ready()

    def _receive_object(self, stored: StoredObject) -> None:
        if self._node.apply_object(stored):
            return
        known = self._node.objects.get(stored.key)
        if known is not None and known.value != stored.value:
            self._log.event(
                "object_ignored",
                key=stored.key,
                version=stored.version,
                known_version=known.version,
            )

    def _is_cold_sender(self, server: Server) -> bool:
        return self._cold_sender_selector.is_cold_sender(
            server.entry.server_id,
            self._settings.zone_regions.get(server.entry.availability_zone, ""),
            self._node.members.list_members(),
        )

    async def _report_forever(self) -> None:
        is_watching = False
        while True:
            members = self._node.members.list_members()
            self._member_log.log_changes(members)
            self._directory.update(members)
            self._discovery.update(is_joined=self._node.is_joined)
            self._server_limits.update_members(members)
            self._allotments.update_members(members)
            self._node.set_server_limits(self._server_limits.limits_to_report())
            self._backends.close_expired()
            self._backends.move_keys()
            self._handler.prepare_connections()
            self._report_ready()
            sends = self._region_sends.take_report()
            if sends is not None:
                self._log.event("region_sends", sends=sends)
            watching = not self._store_contact.is_own_lost and all(
                feed.is_connected for feed in self._feeds
            )
            if watching is not is_watching:
                is_watching = watching
                self._node.set_store_watching(is_watching)
                self._log.event("store_watch", watching=is_watching)
            await anyio.sleep(REPORT_INTERVAL_S)

    def _report_ready(self) -> None:
        if self.is_ready is not self._published_ready:
            self._published_ready = self.is_ready
            self._node.set_ready(self._published_ready)
            self._log.event("ready", ready=self._published_ready)

    def _reload(self) -> None:
        """Apply the settings that may change without a restart; keep the old ones if invalid."""
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self._log.event("reload_failed", reason=str(error))
            return
        before, self._settings = self._settings, settings
        self._handler.retry_bounds = settings.retry_bounds
        self._log.event(
            "reload",
            changed=settings != before,
            # Addresses, host identity and seeds are used only at the start.
            needs_restart=settings.node != before.node
            or settings.metrics_address != before.metrics_address,
        )

    def _answer_metrics(self, pending: PendingRequest) -> None:
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        pending.respond(CallerAnswer(200, headers, self._metrics.render()))
