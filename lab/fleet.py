"""Run the membership and replication code of a whole fleet on a virtual clock."""

import heapq
import time
from collections.abc import Sequence
from random import Random

import attrs

from berylchute import messages
from berylchute.membership import Membership
from berylchute.messages import MemberRecord, MemberUpdate, Message, Outgoing
from berylchute.objects import ObjectReplica
from berylchute.replication import Replication
from berylchute.types import MemberState, StoredObject

__all__ = ["NetworkFaults", "VirtualFleet", "VirtualHost", "make_member_record"]


@attrs.define
class NetworkFaults:
    """Loss and duplication probabilities per message, and the range of message delays."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_min_s: float = 0.0015
    delay_max_s: float = 0.012


@attrs.define(eq=False)
class VirtualHost:
    """One process of the fleet and its counters; `history` lists its `config` versions in order."""

    replication: Replication
    history: list[int]
    paused_until_s: float = 0.0
    is_up: bool = True
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0

    @property
    def name(self) -> str:
        """Return the host id."""
        return self.replication.membership.record.host_id

    @property
    def zone(self) -> str:
        """Return the availability zone."""
        return self.replication.membership.record.availability_zone

    def state_of(self, host_id: str) -> MemberState | None:
        """Return the state that this process assigns to a member, or None for an unknown one."""
        for status in self.replication.membership.list_members():
            if status.record.host_id == host_id:
                return status.state
        return None


@attrs.frozen(order=True)
class _Event:
    """Delivery of a message, or a timer of the target if `frames` is None.

    Events due at the same time are processed in the order in which they were scheduled.
    """

    at_s: float
    sequence_number: int
    address: str
    target: VirtualHost = attrs.field(order=False)
    frames: list[bytes] | None = attrs.field(order=False, default=None)


def make_member_record(host_id: str, zone: str, region: str, incarnation: int) -> MemberRecord:
    """Return a sample record with fields of typical length; the peer address is the host id."""
    return MemberRecord(
        host_id=host_id,
        position=host_id,
        availability_zone=zone,
        region=region,
        role="entry",
        incarnation=incarnation,
        sequence=0,
        leaving=False,
        ready=True,
        http_url="http://127.0.0.1:18000",
        peer_address=host_id,
        owner_epoch=1,
        settled_version=1,
        config_version=0,
        free_units={"saldo": 9, "libro-anticipos": 8, "archivo-recibos": 3},
    )


class VirtualFleet:
    """Simulate hosts, their messages and network faults in virtual time."""

    def __init__(self, seed: int, faults: NetworkFaults | None = None) -> None:
        self.now_s = 100.0
        self.rng = Random(seed)
        self.faults = faults or NetworkFaults()
        self.hosts: dict[str, VirtualHost] = {}
        self.blocked: set[tuple[str, str]] = set()
        self._events: list[_Event] = []
        self._event_count = 0
        self._incarnation = 1_700_000_000_000

    def start(self, host_id: str, zone: str, region: str, seeds: Sequence[str]) -> VirtualHost:
        """Start a process without state; it replaces any process with the same host id."""
        self._incarnation += 1
        record = make_member_record(host_id, zone, region, self._incarnation)
        membership = Membership(record, seeds, Random(self.rng.random()), self.now_s)
        history: list[int] = []

        def record_version(stored: StoredObject) -> None:
            if stored.key == "config":
                history.append(stored.version)

        host = VirtualHost(Replication(membership, ObjectReplica(), record_version), history)
        self.hosts[host_id] = host
        self._schedule(self.now_s + self.rng.uniform(0.0, 0.05), host_id, None)
        return host

    def share_all_records(self) -> None:
        """Deliver the records of all hosts to every host: the state long after the start."""
        records = tuple(host.replication.membership.record for host in self.hosts.values())
        zones = {record.availability_zone for record in records}
        update = MemberUpdate(
            sender="",
            records=records,
            ages_ms=(0,) * len(records),
            zone_beats=dict.fromkeys(zones, 1),
            zone_ages_ms=dict.fromkeys(zones, 0),
            snapshot=True,
        )
        for host in self.hosts.values():
            host.replication.handle(update, self.now_s)

    def stop(self, host_id: str) -> None:
        """Stop a process without an announcement to its peers."""
        self.hosts[host_id].is_up = False

    def pause(self, host_id: str, duration_s: float) -> None:
        """Pause a process for a time; messages to it are delivered when it resumes."""
        self.hosts[host_id].paused_until_s = self.now_s + duration_s

    def deliver_config(self, host_id: str, version: int, value: bytes = b"{}") -> None:
        """Deliver a configuration version to one host, as the store or an operator does."""
        host = self.hosts[host_id]
        stored = StoredObject(key="config", version=version, value=value)
        self._send(host, host.replication.apply_object(stored))

    def leave(self, host_id: str) -> None:
        """Announce to the peers that a process is leaving; it keeps running."""
        host = self.hosts[host_id]
        self._send(host, host.replication.membership.leave(self.now_s))

    def run(self, duration_s: float) -> None:
        """Advance the virtual clock and process the events that become due."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0].at_s <= end_s:
            event = heapq.heappop(self._events)
            self.now_s = max(self.now_s, event.at_s)
            self._process_event(event)
        self.now_s = end_s

    def running_hosts(self) -> list[VirtualHost]:
        """Return the running hosts."""
        return [host for host in self.hosts.values() if host.is_up]

    def _process_event(self, event: _Event) -> None:
        host = self.hosts.get(event.address)
        if host is None or not host.is_up:
            return
        if event.frames is None and event.target is not host:
            return  # timer of a replaced process
        if host.paused_until_s > self.now_s:
            self._schedule(host.paused_until_s, event.address, event.frames)
            return
        started_s = time.process_time()
        if event.frames is None:
            outgoing = host.replication.tick(self.now_s)
        else:
            host.received_messages += 1
            host.received_bytes += sum(map(len, event.frames))
            outgoing = host.replication.handle(messages.decode(event.frames), self.now_s)
        host.cpu_s += time.process_time() - started_s
        self._send(host, outgoing)
        if event.frames is None:
            due_s = host.replication.membership.next_due_s
            self._schedule(max(due_s, self.now_s + 0.001), event.address, None)

    def _send(self, host: VirtualHost, outgoing: Sequence[Outgoing]) -> None:
        last_message: Message | None = None
        frames: list[bytes] = []
        for item in outgoing:
            if item.message is not last_message:
                started_s = time.process_time()
                last_message, frames = item.message, messages.encode(item.message)
                host.cpu_s += time.process_time() - started_s
            host.sent_messages += 1
            host.sent_bytes += sum(map(len, frames))
            self._schedule_deliveries(host, item.address, frames)

    def _schedule_deliveries(self, host: VirtualHost, address: str, frames: list[bytes]) -> None:
        target = self.hosts.get(address)
        if target is None or (host.zone, target.zone) in self.blocked:
            return
        copies = 1 + (self.rng.random() < self.faults.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                delay_s = self.rng.uniform(self.faults.delay_min_s, self.faults.delay_max_s)
                self._schedule(self.now_s + delay_s, address, frames)

    def _schedule(self, at_s: float, address: str, frames: list[bytes] | None) -> None:
        self._event_count += 1
        event = _Event(at_s, self._event_count, address, self.hosts[address], frames)
        heapq.heappush(self._events, event)
