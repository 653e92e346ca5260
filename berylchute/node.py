"""Run the tasks that every process has: store watch, object replica, membership and peers."""

import logging
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from random import Random
from typing import Literal, TypeVar

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from berylchute.background import run_lasting
from berylchute.config import Configuration, decode_json
from berylchute.exceptions import ConfigError, StoreError
from berylchute.membership import Membership, MembershipTiming
from berylchute.messages import MESSAGE_ROOM_BYTES, MemberRecord, Message, Outgoing
from berylchute.objects import OBJECT_KEYS, STORE_VALUE_BYTES_MAX, ObjectReplica
from berylchute.peers import PeerCounters, Peers
from berylchute.replication import Replication
from berylchute.settings import Settings
from berylchute.storecontact import StoreContact
from berylchute.storewatch import ReadCall, StoreCall, WatchPlan
from berylchute.types import Clock, MemberView, ObjectStore, PeerSender, StoredObject

__all__ = [
    "ActiveConfiguration",
    "BootClock",
    "MonotonicClock",
    "Node",
    "NodeCounts",
]

_LOG = logging.getLogger(__name__)
_Item = TypeVar("_Item")

OBJECT_BUFFER_ITEMS = 64
MESSAGE_BUFFER_ITEMS = 1024
# Longest time that a new process waits for a newer configuration from peers before it is ready.
PEER_ANSWER_WAIT_MAX_S = 2.0
RELAY_CHECK_PERIOD_S = 0.5
# Link speed that matches one core: a core handles some 500 requests per second, one in ten of which
# transfers 60 KB in each direction.
MBIT_PER_S_PER_CORE = 50.0
HOSTS_MAX_AGE_S = 5.0


class MonotonicClock:
    """Read the monotonic clock of this machine, which may stop while it is suspended."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary point."""
        return time.monotonic()


class BootClock:
    """Read the boot clock of this machine, which also runs while the machine is suspended."""

    def now_s(self) -> float:
        """Return seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen
class ActiveConfiguration:
    """Hold the configuration that this process applies, and its version in the store."""

    version: int
    configuration: Configuration


@attrs.frozen
class NodeCounts:
    """Hold the counts of a node since its start, and its current state, for metrics.

    `members` is the number of known members by state.
    """

    peers: PeerCounters = attrs.field(factory=PeerCounters)
    dropped_subscriber_full: int = 0
    store_calls: int = 0
    store_failures: int = 0
    config_version: int = 0
    members: Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class _ObjectSubscription:
    keys: tuple[str, ...]
    stream: MemoryObjectSendStream[StoredObject]


class Node:
    """Hold the state replicated between processes and run the tasks that update it.

    All methods must be called in the event loop that runs `run`.
    """

    def __init__(
        self,
        settings: Settings,
        role: Literal["entry", "locator", "edge"],
        *,
        store: ObjectStore | None,
        clock: Clock | None = None,
        rng: Random | None = None,
        object_keys: Sequence[str] = OBJECT_KEYS,
        timing: MembershipTiming | None = None,
        store_contact: StoreContact | None = None,
        object_bytes_max: int = STORE_VALUE_BYTES_MAX,
    ) -> None:
        """Create the tasks; without a store, objects come from `apply_object` and from peers."""
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._rng = rng or Random()
        self._started_s = self._clock.now_s()
        self._store = store
        self._objects = ObjectReplica(object_keys, object_bytes_max)
        self._active_configuration: ActiveConfiguration | None = None
        self._object_subscriptions: list[_ObjectSubscription] = []
        self._message_subscriptions: dict[type, list[MemoryObjectSendStream[Message]]] = {}
        self._hosts: Mapping[str, str] = {}
        self._hosts_read_s = float("-inf")
        self._hosts_lock = anyio.Lock()
        self._wake_event = anyio.Event()
        watch_wait_s = settings.store.watch_wait_ms / 1000.0
        self._watch = WatchPlan(watch_wait_s, self._objects, self._rng)
        self._peers = Peers(
            settings.listen.peers,
            settings.peers,
            self._clock,
            self._handle_message,
            object_bytes_max + MESSAGE_ROOM_BYTES,
        )
        self._membership = Membership(
            _initial_record(settings, role),
            settings.peers.seeds,
            self._rng,
            self._started_s,
            timing,
        )
        self._replication = Replication(
            self._membership, self._objects, self._publish_object, store_contact
        )
        self.dropped_subscriber_items = 0

    @property
    def store(self) -> ObjectStore:
        """Return the object store, for conditional updates; raise StoreError if there is none."""
        if self._store is None:
            raise StoreError("this process has no object store")
        return self._store

    @property
    def clock(self) -> Clock:
        """Return the clock on which all times of this node are measured."""
        return self._clock

    @property
    def members(self) -> MemberView:
        """Return the members known to this process and their states."""
        return self._membership

    @property
    def is_joined(self) -> bool:
        """Return whether an update from a peer has arrived, or no seeds are configured."""
        return self._membership.is_joined

    @property
    def peers(self) -> PeerSender:
        """Return the sender of messages to peers."""
        return self._peers

    @property
    def peer_counters(self) -> PeerCounters:
        """Return message and byte counts of the peer sockets."""
        return self._peers.counters

    def counts(self) -> NodeCounts:
        """Return the counts exported as metrics."""
        return NodeCounts(
            peers=self._peers.counters,
            dropped_subscriber_full=self.dropped_subscriber_items,
            store_calls=getattr(self._store, "calls", 0),
            store_failures=getattr(self._store, "failures", 0),
            config_version=self._active_configuration.version if self._active_configuration else 0,
            members=Counter(status.state.value for status in self._membership.list_members()),
        )

    @property
    def objects(self) -> ObjectReplica:
        """Return the replica of the store's objects; callers only read it."""
        return self._objects

    @property
    def record(self) -> MemberRecord:
        """Return the record that this process publishes about itself."""
        return self._membership.record

    @property
    def active_configuration(self) -> ActiveConfiguration | None:
        """Return the configuration that this process applies; None until one was received."""
        return self._active_configuration

    @property
    def is_ready(self) -> bool:
        """Return whether this process applies a configuration and has checked for a newer one.

        The store may return a stale version, so a new process also waits for an update from a
        peer, but no longer than PEER_ANSWER_WAIT_MAX_S.
        """
        if self._active_configuration is None:
            return False
        waited_s = self._clock.now_s() - self._started_s
        return (
            self._membership.is_joined and self._watch.has_answered
        ) or waited_s >= PEER_ANSWER_WAIT_MAX_S

    def subscribe_objects(self, *keys: str) -> MemoryObjectReceiveStream[StoredObject]:
        """Return a stream of changed objects, starting with those already in the replica.

        A full buffer drops the object, so the receiver reads the newest one from `objects` on each
        item.
        """
        send, receive = anyio.create_memory_object_stream[StoredObject](OBJECT_BUFFER_ITEMS)
        self._object_subscriptions.append(_ObjectSubscription(keys, send))
        for key in keys:
            stored = self._objects.get(key)
            if stored is not None:
                send.send_nowait(stored)
        return receive

    def subscribe_messages(self, *kinds: type) -> MemoryObjectReceiveStream[Message]:
        """Return a stream of messages of these types; a full buffer drops and counts a message."""
        send, receive = anyio.create_memory_object_stream[Message](MESSAGE_BUFFER_ITEMS)
        for kind in kinds:
            self._message_subscriptions.setdefault(kind, []).append(send)
        return receive

    def apply_object(self, stored: StoredObject) -> bool:
        """Apply an object from the store or an operator; return whether it was newer."""
        is_newer = stored.version > self._objects.version(stored.key)
        self._send(self._replication.apply_object(stored))
        return is_newer and self._objects.version(stored.key) == stored.version

    def set_free_units(self, free_units: Mapping[str, int]) -> None:
        """Set the free units per service, published in heartbeats."""
        self._update_record(attrs.evolve(self.record, free_units=dict(free_units)))

    def set_settled_version(self, version: int) -> None:
        """Set the configuration version whose limits this host's units in use and loans meet."""
        self._update_record(attrs.evolve(self.record, settled_version=version))

    def set_owner_epoch(self, epoch: int) -> None:
        """Set the epoch of this process's owner tokens, published in heartbeats."""
        self._update_record(attrs.evolve(self.record, owner_epoch=epoch))

    def set_store_watching(self, is_watching: bool) -> None:
        """Set whether this process watches the store and the store answers."""
        self._update_record(attrs.evolve(self.record, watching=is_watching))

    def report_store_answer(self, age_s: float) -> None:
        """Tell all members that the store answered this process `age_s` ago."""
        self._send(self._replication.report_store_answer(age_s))

    def set_server_limits(self, limits_per_s: Mapping[str, float]) -> None:
        """Set the limits of servers that this process reports to the other members."""
        if limits_per_s != self.record.server_limits:
            self._update_record(attrs.evolve(self.record, server_limits=dict(limits_per_s)))

    def set_ready(self, ready: bool) -> None:
        """Set whether callers may be routed to this process."""
        self._update_record(attrs.evolve(self.record, ready=ready))

    def announce_leaving(self) -> None:
        """Tell all peers at once that this process is leaving."""
        self._send(self._membership.leave(self._clock.now_s()))

    async def list_platform_hosts(self, max_age_s: float = HOSTS_MAX_AGE_S) -> Mapping[str, str]:
        """Return the platform's host states by host id, read at most `max_age_s` ago.

        The list is read only on demand, so it causes no store calls in steady state. Raises
        StoreError if the read fails.
        """
        async with self._hosts_lock:
            if self._clock.now_s() - self._hosts_read_s > max_age_s:
                self._hosts = await self.store.list_hosts()
                self._hosts_read_s = self._clock.now_s()
            return self._hosts

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run all node tasks until cancelled; raise ListenError if the sockets cannot be opened."""
        async with anyio.create_task_group() as group:
            await group.start(self._peers.run)
            group.start_soon(run_lasting, self._tick_forever)
            if self._store is not None:
                group.start_soon(run_lasting, self._watch_forever)
            task_status.started()

    def _update_record(self, record: MemberRecord) -> None:
        self._membership.update_own_record(record)
        self._wake_event.set()

    def _publish_object(self, stored: StoredObject) -> None:
        if stored.key == "config":
            self._apply_configuration(stored)
        for subscription in self._object_subscriptions:
            if stored.key in subscription.keys:
                self._publish(subscription.stream, stored)

    def _apply_configuration(self, stored: StoredObject) -> None:
        try:
            configuration = decode_json(stored.value)
        except ConfigError as error:
            # Keeps the last valid document; the replica still sends the invalid one to peers.
            _LOG.error(
                "cannot decode config version %d, keeping the former one: %s", stored.version, error
            )
            return
        self._active_configuration = ActiveConfiguration(stored.version, configuration)

    def _publish(self, stream: MemoryObjectSendStream[_Item], item: _Item) -> None:
        try:
            stream.send_nowait(item)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.dropped_subscriber_items += 1

    def _send(self, messages: Sequence[Outgoing]) -> None:
        for outgoing in messages:
            self._peers.send(outgoing.address, outgoing.message)

    def _handle_message(self, message: Message) -> None:
        """Handle one message and publish it; called by the task that owns the sockets."""
        self._send(self._replication.handle(message, self._clock.now_s()))
        for stream in self._message_subscriptions.get(type(message), ()):
            self._publish(stream, message)

    async def _tick_forever(self) -> None:
        while True:
            now_s = self._clock.now_s()
            self._send(self._replication.tick(now_s))
            self._wake_event = anyio.Event()
            with anyio.move_on_after(max(0.0, self._membership.next_due_s - now_s)):
                await self._wake_event.wait()

    async def _watch_forever(self) -> None:
        while True:
            call = self._watch.next_call(self._membership.is_relay)
            if call is None:
                await anyio.sleep(RELAY_CHECK_PERIOD_S)
                continue
            try:
                found = await self._call_store(call)
            except StoreError as error:
                delay_s = self._watch.record_failure()
                _LOG.warning("store call failed, next call in %.1f s: %s", delay_s, error)
            else:
                delay_s = self._watch.record_answer(call, found)
                for stored in found:
                    self.apply_object(stored)
            await anyio.sleep(delay_s)

    async def _call_store(self, call: StoreCall) -> Sequence[StoredObject]:
        if isinstance(call, ReadCall):
            stored = await self.store.get(call.key)
            return () if stored is None else (stored,)
        return (await self.store.watch(call.after_revision, call.wait_s)).objects


def _initial_record(settings: Settings, role: str) -> MemberRecord:
    scheme = "https" if settings.tls.certificate_file else "http"
    return MemberRecord(
        host_id=settings.host.host_id,
        position=settings.host.position,
        availability_zone=settings.host.availability_zone,
        region=settings.host.region,
        role=role,
        incarnation=time.time_ns() // 1_000_000,
        sequence=0,
        leaving=False,
        ready=False,
        http_url=f"{scheme}://{settings.listen.http}",
        peer_address=settings.listen.peers,
        owner_epoch=0,
        settled_version=0,
        config_version=0,
        free_units={},
        capacity=min(settings.host.cpu_cores, settings.host.link_mbit_per_s / MBIT_PER_S_PER_CORE),
    )
