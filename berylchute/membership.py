"""Track which processes are live, as a state machine without sockets, clock or randomness.

Members send heartbeats to the two relays of their availability zone. Relays send changed records
to the members of their zone and to three relays of other zones. Each update also confirms that
the members of the relay's zone are live, except those that it reports as silent. The number of
records in a message is bounded, so the cost per node does not grow with the fleet; only the age
of load figures does.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil, log
from random import Random

import attrs

from berylchute.messages import (
    Heartbeat,
    MemberPull,
    MemberRecord,
    MemberUpdate,
    Message,
    ObjectDigest,
    Outgoing,
)
from berylchute.roster import (
    Member,
    MembershipTiming,
    Roster,
    is_load_change,
    is_urgent_change,
    recency_key,
)
from berylchute.types import MemberState, MemberStatus, Position
from berylchute.updatequeue import UpdateQueue

__all__ = ["Membership", "MembershipTiming"]

GOSSIP_FANOUT = 3
SNAPSHOT_RECORDS_MAX = 64
# The first pulls follow soon after the join, because records in flight at that time may be missing.
# Later pulls bring SNAPSHOT_RECORDS_MAX records per PULL_PERIOD_S, whatever the size of the fleet.
EARLY_PULL_DELAYS_S = (2.0, 4.0, 6.0)
PULL_PERIOD_S = 10.0
ZONE_BEATS_MAX = 32  # 6 zones fit in one message; 163 zones take six messages
LEAVE_REPEATS = 3
# Share of gossip rounds that also address a seed or a gone member, so that partitions heal.
RETRY_GONE_RATIO = 0.25


class Membership:
    """Run the membership protocol of one process; implements MemberView.

    `tick` and the handlers return the messages that the caller sends.
    """

    def __init__(
        self,
        record: MemberRecord,
        seeds: Sequence[str],
        rng: Random,
        now_s: float,
        timing: MembershipTiming | None = None,
    ) -> None:
        self._timing = timing or MembershipTiming()
        self._rng = rng
        self._seeds = tuple(seed for seed in seeds if seed != record.peer_address)
        self._now_s = now_s
        self._roster = Roster(record, now_s, self._timing)
        self._queue = UpdateQueue()
        self._digest: Mapping[str, int] = {}
        self._leave_repeats_left = self._beat_offset = self._pull_count = 0
        self._has_joined = not self._seeds
        self._heartbeat_due_s = now_s
        self._update_due_s = now_s + rng.uniform(0.0, self._timing.update_period_s)
        self._join_due_s = now_s
        self._pull_due_s = now_s
        self._digest_due_s = now_s

    def list_members(self) -> Sequence[MemberStatus]:
        """Return every known member, itself included, ordered by host id."""
        return self._roster.list_members()

    def find_by_position(self, position: Position) -> MemberStatus | None:
        """Return the member with the newest record at a host position, or None."""
        found = [status for status in self.list_members() if status.record.position == position]
        return max(found, key=lambda status: recency_key(status.record), default=None)

    def relays(self, availability_zone: str) -> Sequence[str]:
        """Return the host ids of a zone's relays; empty for an unknown zone."""
        return [member.record.host_id for member in self._roster.relays(availability_zone)]

    @property
    def record(self) -> MemberRecord:
        """Return the record that this process publishes about itself."""
        return self._roster.own.record

    @property
    def is_relay(self) -> bool:
        """Return whether this process is a relay of its zone."""
        return self._roster.own in self._roster.relays(self._roster.own_zone)

    @property
    def is_joined(self) -> bool:
        """Return whether an update from a peer has arrived, or no seeds are configured."""
        return self._has_joined

    @property
    def next_due_s(self) -> float:
        """Return the clock time at which the next tick has messages due."""
        return min(self._heartbeat_due_s, self._update_due_s)

    def set_digest(self, digest: Mapping[str, int]) -> None:
        """Set the object versions sent in heartbeats and digests."""
        self._digest = digest

    def update_own_record(self, record: MemberRecord) -> None:
        """Replace this process's own record, except its incarnation and sequence."""
        old = self.record
        new = attrs.evolve(record, incarnation=old.incarnation, sequence=old.sequence)
        if new == old:
            return
        self._roster.replace_record(self._roster.own, new, self._now_s)
        if is_urgent_change(old, new):
            self._heartbeat_due_s = self._now_s
        self._queue_change(old, new)

    def leave(self, now_s: float) -> list[Outgoing]:
        """Return heartbeats with the leaving state for all peers; later ticks repeat them."""
        self._now_s = max(self._now_s, now_s)
        self.update_own_record(attrs.evolve(self.record, leaving=True))
        self._roster.update_member_state(self._roster.own, self._now_s)
        self._leave_repeats_left = LEAVE_REPEATS
        return self._heartbeat_messages(self._now_s)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due at `now_s`."""
        gap_s = now_s - self._now_s
        if gap_s > self._timing.own_pause_min_s:
            self._roster.exclude_own_pause(gap_s)
        self._now_s = now_s
        for host_id in self._roster.update_states(now_s, self._beat_delay_max_s()):
            self._queue.add_urgent(host_id, self._spread_rounds())
        out: list[Outgoing] = []
        if now_s >= self._heartbeat_due_s:
            out += self._heartbeat_messages(now_s)
        if now_s >= self._update_due_s:
            self._update_due_s = now_s + self._timing.update_period_s * self._rng.uniform(0.9, 1.1)
            if self.is_relay:
                out += self._update_messages(now_s)
            out += self._pull_messages(now_s)
        return out

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Apply a message from a peer and return the replies."""
        if isinstance(message, Heartbeat):
            self._apply_record(message.record, 0, now_s)
        elif isinstance(message, MemberUpdate):
            return self._apply_update(message, now_s)
        elif isinstance(message, MemberPull):
            return self._snapshot_messages(message, now_s)
        return []

    def digest_addresses(self) -> Sequence[str]:
        """Return the addresses that receive a digest at once when a local object changes."""
        if not self.is_relay:
            return self._relay_addresses()
        return list(dict.fromkeys([*self._zone_addresses(), *self._gossip_addresses()]))

    def _spread_rounds(self) -> int:
        """Return the number of gossip rounds in which a change reaches nearly all zones."""
        return ceil(log(max(2, len(self._roster.zones)), GOSSIP_FANOUT + 1)) + 1

    def _beat_delay_max_s(self) -> float:
        # With more zones than fit in one message, not every message holds the beat of a zone.
        rounds_per_beat = max(1.0, len(self._roster.zones) / ZONE_BEATS_MAX)
        return self._timing.update_period_s * self._spread_rounds() * rounds_per_beat

    def _queue_change(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if old is None or is_urgent_change(old, new):
            self._queue.add_urgent(new.host_id, self._spread_rounds())
        elif is_load_change(old, new):
            self._queue.add_load(new.host_id)

    def _apply_update(self, update: MemberUpdate, now_s: float) -> list[Outgoing]:
        self._has_joined = True
        out: list[Outgoing] = []
        for record, age_ms in zip(update.records, update.ages_ms, strict=False):
            if record.host_id == self.record.host_id:
                out += self._refute(record, age_ms, update.sender, now_s)
            else:
                self._apply_record(record, age_ms, now_s, may_gossip=not update.snapshot)
        sender = self._roster.members.get(update.sender)
        for name, beat in update.zone_beats.items():
            last_heard_s = now_s - update.zone_ages_ms.get(name, 0) / 1000.0
            if self._roster.apply_beat(name, beat, last_heard_s) and sender is not None:
                pull = MemberPull(sender_address=self.record.peer_address, availability_zone=name)
                out.append(Outgoing(sender.record.peer_address, pull))
        return out

    def _apply_record(
        self, record: MemberRecord, age_ms: int, now_s: float, may_gossip: bool = True
    ) -> None:
        age_s = age_ms / 1000.0
        is_silent = age_s >= self._timing.suspect_after_s
        member = self._roster.members.get(record.host_id)
        if member is not None and member.record.availability_zone != record.availability_zone:
            if recency_key(record) <= recency_key(member.record) or member is self._roster.own:
                return
            self._remove_member(record.host_id)
            member = None
        if member is None:
            if age_s > self._timing.remove_after_s:
                return
            member = self._roster.add(record, now_s - age_s)
            self._queue.add_member(record.host_id)
            if may_gossip:
                self._queue_change(None, record)
        elif recency_key(record) > recency_key(member.record):
            if may_gossip:
                self._queue_change(member.record, record)
            self._roster.replace_record(member, record, now_s - age_s)
        elif is_silent and recency_key(record) == recency_key(member.record):
            member.last_heard_s = min(member.last_heard_s, now_s - age_s)
        else:
            if is_silent and not member.is_silent and self._roster.is_monitored(member):
                self._queue.add_urgent(record.host_id, 1)  # corrects a relay that missed heartbeats
            return
        if self._roster.set_silent(member, is_silent) and may_gossip:
            self._queue.add_urgent(record.host_id, self._spread_rounds())
        self._roster.update_member_state(member, now_s)

    def _refute(
        self, record: MemberRecord, age_ms: int, sender: str, now_s: float
    ) -> list[Outgoing]:
        """Publish a newer own record if `record` reports silence or has a later incarnation."""
        own = self.record
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            # A former process here started while the wall clock was ahead of the present time.
            incarnation = record.incarnation + 1
        elif record.incarnation < incarnation or age_ms < self._timing.suspect_after_s * 1000:
            return []
        newest_sequence = max(own.sequence, record.sequence)
        refutation = attrs.evolve(own, incarnation=incarnation, sequence=newest_sequence)
        self._roster.replace_record(self._roster.own, refutation, now_s)
        self._queue.add_urgent(own.host_id, self._spread_rounds())
        out = self._heartbeat_messages(now_s)
        reporter = self._roster.members.get(sender)
        if reporter is not None and all(o.address != reporter.record.peer_address for o in out):
            out.append(
                Outgoing(
                    reporter.record.peer_address, out[0].message if out else self._own_heartbeat()
                )
            )
        return out

    def _remove_member(self, host_id: str) -> None:
        self._roster.remove(host_id)
        self._queue.remove_member(host_id)

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(record=self.record, digest=self._digest)

    def _heartbeat_messages(self, now_s: float) -> list[Outgoing]:
        self._heartbeat_due_s = now_s + self._timing.heartbeat_period_s
        record = attrs.evolve(self.record, sequence=self.record.sequence + 1)
        self._roster.replace_record(self._roster.own, record, now_s)
        message = self._own_heartbeat()
        addresses = self._relay_addresses()
        if self._leave_repeats_left:
            self._leave_repeats_left -= 1
            addresses = self._addresses_of(self._roster.members.values())
        out = [Outgoing(address, message) for address in addresses]
        if not self._has_joined and now_s >= self._join_due_s:
            self._join_due_s = now_s + self._timing.join_retry_period_s
            pull = MemberPull(sender_address=record.peer_address)
            out += [Outgoing(seed, message) for seed in self._seeds if seed not in addresses]
            out += [Outgoing(seed, pull) for seed in self._seeds]
        return out

    def _update_messages(self, now_s: float) -> list[Outgoing]:
        own_zone = self._roster.zones[self._roster.own_zone]
        own_zone.beat += 1
        own_zone.last_heard_s = now_s
        update = self._build_update(self._select_members(), now_s)
        addresses = dict.fromkeys([*self._zone_addresses(), *self._gossip_addresses()])
        out = [Outgoing(address, update) for address in addresses]
        if now_s < self._digest_due_s:
            return out
        self._digest_due_s = now_s + self._timing.digest_period_s
        digest = ObjectDigest(sender_address=self.record.peer_address, versions=self._digest)
        return out + [Outgoing(address, digest) for address in addresses]

    def _select_members(self) -> list[Member]:
        """Return the members whose records go into the next update."""
        host_ids = self._queue.pop_next(self.record.host_id)
        known = (self._roster.members.get(host_id) for host_id in host_ids)
        # A receiver that has already removed a gone zone would add its member again as live.
        return [member for member in known if member and not self._is_zone_gone(member)]

    def _is_zone_gone(self, member: Member) -> bool:
        zone = self._roster.zones[member.record.availability_zone]
        return zone.state is MemberState.GONE

    def _build_update(
        self, members: Iterable[Member], now_s: float, snapshot: bool = False
    ) -> MemberUpdate:
        members = tuple(members)
        zones = self._roster.zones
        names = self._next_beat_zones()
        # Reports only silence detected by a relay of the member's zone. The silence of a whole zone
        # may be a partition on this side, so it is not reported as silence of its members.
        ages_s = (now_s - member.last_heard_s if member.is_silent else 0.0 for member in members)
        return MemberUpdate(
            sender=self.record.host_id,
            records=tuple(member.record for member in members),
            ages_ms=tuple(int(age_s * 1000) for age_s in ages_s),
            zone_beats={name: zones[name].beat for name in names},
            zone_ages_ms={name: int((now_s - zones[name].last_heard_s) * 1000) for name in names},
            snapshot=snapshot,
        )

    def _next_beat_zones(self) -> list[str]:
        """Return the zones whose beats go into the next update: all, or a round-robin share."""
        names = [name for name, zone in self._roster.zones.items() if zone.beat]
        if len(names) <= ZONE_BEATS_MAX:
            return names
        start = self._beat_offset % len(names)
        self._beat_offset += ZONE_BEATS_MAX - 1
        rotated = (names[start:] + names[:start])[: ZONE_BEATS_MAX - 1]
        return list(dict.fromkeys([self._roster.own_zone, *rotated]))

    def _pull_messages(self, now_s: float) -> list[Outgoing]:
        """Return a pull of all records from one relay if it is due."""
        targets = [*self._relay_addresses(), *self._gossip_addresses()]
        if now_s < self._pull_due_s or not targets or not self._has_joined:
            return []
        snapshot_count = max(1.0, len(self._roster.members) / SNAPSHOT_RECORDS_MAX)
        is_early = self._pull_count < len(EARLY_PULL_DELAYS_S)
        delay_s = (
            EARLY_PULL_DELAYS_S[self._pull_count] if is_early else PULL_PERIOD_S * snapshot_count
        )
        self._pull_due_s = now_s + delay_s * self._rng.uniform(0.8, 1.2)
        self._pull_count += 1
        pull = MemberPull(sender_address=self.record.peer_address)
        return [Outgoing(self._rng.choice(targets), pull)]

    def _snapshot_messages(self, pull: MemberPull, now_s: float) -> list[Outgoing]:
        members = [
            member
            for member in self._roster.members.values()
            if pull.availability_zone in ("", member.record.availability_zone)
        ]
        return [
            Outgoing(
                pull.sender_address,
                self._build_update(
                    members[start : start + SNAPSHOT_RECORDS_MAX], now_s, snapshot=True
                ),
            )
            for start in range(0, len(members), SNAPSHOT_RECORDS_MAX)
        ]

    def _addresses_of(self, members: Iterable[Member]) -> list[str]:
        return [
            member.record.peer_address
            for member in members
            if member is not self._roster.own and member.state is not MemberState.GONE
        ]

    def _relay_addresses(self) -> list[str]:
        return self._addresses_of(self._roster.relays(self._roster.own_zone))

    def _zone_addresses(self) -> list[str]:
        return self._addresses_of(self._roster.zones[self._roster.own_zone].members.values())

    def _gossip_addresses(self) -> list[str]:
        others = [
            name
            for name, zone in self._roster.zones.items()
            if name != self._roster.own_zone and zone.state is not MemberState.GONE
        ]
        targets = []
        for name in self._rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            relays = self._addresses_of(self._roster.relays(name))
            if relays:
                targets.append(self._rng.choice(relays))
        if self._rng.random() < RETRY_GONE_RATIO:
            gone = [m for m in self._roster.members.values() if m.state is MemberState.GONE]
            unreached = [*self._seeds, *(member.record.peer_address for member in gone)]
            targets += [self._rng.choice(unreached)] if unreached else []
        return targets
