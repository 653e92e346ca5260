"""Track which processes are live: a state machine without sockets, clock or randomness.

Members send heartbeats to the two relays of their availability zone. Relays tell the members of
their zone and three relays of other zones about records that changed, and vouch for all members
of their zone that they do not report as silent. Every message has a bounded number of records, so
that the cost of a node does not grow with the fleet; only the age of load figures does.
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
)
from berylchute.roster import Member, Roster, Timing, is_load_change, is_urgent, order_of
from berylchute.types import MemberState, MemberStatus, Position

__all__ = ["Membership", "Outgoing", "Timing"]

GOSSIP_TARGETS = 3
URGENT_RECORDS_MAX = 24
LOAD_RECORDS_MAX = 4
# Records sent in turn whether or not they changed; they repair what lost messages left out.
ROTATED_RECORDS = 2
SNAPSHOT_RECORDS = 64
# After joining, records that were on their way may be missing; then snapshots follow at a rate of
# SNAPSHOT_RECORDS in each period, whatever the size of the fleet.
EARLY_PULLS_S = (2.0, 4.0, 6.0)
PULL_PERIOD_S = 10.0
ZONE_BEATS_MAX = 32  # today's 6 zones fit in one message, 163 zones in six
LEAVE_REPEATS = 3
# Share of gossip rounds that also try a seed or a gone member, so that partitions heal.
RETRY_GONE_RATIO = 0.25


@attrs.frozen
class Outgoing:
    """A message to send to the peer at `address`."""

    address: str
    message: Message


class Membership:
    """Run the membership protocol of one process; implements MemberView."""

    def __init__(
        self,
        record: MemberRecord,
        seeds: Sequence[str],
        rng: Random,
        now_s: float,
        timing: Timing | None = None,
    ) -> None:
        self._timing = timing or Timing()
        self._rng = rng
        self._seeds = tuple(seed for seed in seeds if seed != record.peer_address)
        self._now_s = now_s
        self._roster = Roster(record, now_s, self._timing)
        self._urgent: dict[str, int] = {}
        self._load: dict[str, int] = {}
        self._rotation: list[str] = []
        self._digest: Mapping[str, int] = {}
        self._leave_repeats = self._beats_sent = self._pulls = 0
        self._joined = not self._seeds
        self._heartbeat_due_s = now_s
        self._update_due_s = now_s + rng.uniform(0.0, self._timing.update_s)
        self._join_due_s = now_s
        self._pull_due_s = now_s
        self._digest_due_s = now_s

    def statuses(self) -> Sequence[MemberStatus]:
        """Return every known member, itself included, ordered by host id."""
        return self._roster.statuses()

    def find_position(self, position: Position) -> MemberStatus | None:
        """Return the newest member at a host position."""
        found = [status for status in self.statuses() if status.record.position == position]
        return max(found, key=lambda status: order_of(status.record), default=None)

    def relays(self, availability_zone: str) -> Sequence[str]:
        """Return the host ids of a zone's relays."""
        return [member.record.host_id for member in self._roster.relays(availability_zone)]

    @property
    def record(self) -> MemberRecord:
        """Return this process's own record."""
        return self._roster.own.record

    @property
    def is_relay(self) -> bool:
        """Tell whether this process is a relay of its zone."""
        return self._roster.own in self._roster.relays(self._roster.own_zone)

    @property
    def is_joined(self) -> bool:
        """Tell whether a peer has answered, or whether there are none to ask."""
        return self._joined

    @property
    def next_due_s(self) -> float:
        """Return the time of the next tick that has work to do."""
        return min(self._heartbeat_due_s, self._update_due_s)

    def set_digest(self, digest: Mapping[str, int]) -> None:
        """Set the object versions that heartbeats and updates carry."""
        self._digest = digest

    def change_record(self, record: MemberRecord) -> None:
        """Replace what this process says of itself; incarnation and sequence stay."""
        old = self.record
        new = attrs.evolve(record, incarnation=old.incarnation, sequence=old.sequence)
        if new == old:
            return
        self._roster.replace(self._roster.own, new, self._now_s)
        if is_urgent(old, new):
            self._heartbeat_due_s = self._now_s
        self._note_change(old, new)

    def leave(self, now_s: float) -> list[Outgoing]:
        """Return the leaving state addressed to all peers; the next ticks repeat it."""
        self._now_s = max(self._now_s, now_s)
        self.change_record(attrs.evolve(self.record, leaving=True))
        self._roster.refresh_member(self._roster.own, self._now_s)
        self._leave_repeats = LEAVE_REPEATS
        return self._heartbeats(self._now_s)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due at `now_s`."""
        gap_s = now_s - self._now_s
        if gap_s > self._timing.pause_s:
            self._roster.forgive(gap_s)
        self._now_s = now_s
        for host_id in self._roster.refresh(now_s, self._zone_slack_s()):
            self._urgent[host_id] = self._rounds()
        out: list[Outgoing] = []
        if now_s >= self._heartbeat_due_s:
            out += self._heartbeats(now_s)
        if now_s >= self._update_due_s:
            self._update_due_s = now_s + self._timing.update_s * self._rng.uniform(0.9, 1.1)
            if self.is_relay:
                out += self._updates(now_s)
            out += self._pull(now_s)
        return out

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Take a message from a peer and return the answers to it."""
        if isinstance(message, Heartbeat):
            self._take_record(message.record, 0, now_s)
        elif isinstance(message, MemberUpdate):
            return self._take_update(message, now_s)
        elif isinstance(message, MemberPull):
            return self._snapshot(message, now_s)
        return []

    def digest_targets(self) -> Sequence[str]:
        """Return the addresses to tell at once when an object here changes."""
        if not self.is_relay:
            return self._relay_addresses()
        return list(dict.fromkeys([*self._zone_addresses(), *self._gossip_addresses()]))

    def _rounds(self) -> int:
        """Return the gossip rounds after which nearly all zones know a change."""
        return ceil(log(max(2, len(self._roster.zones)), GOSSIP_TARGETS + 1)) + 1

    def _zone_slack_s(self) -> float:
        # A message cannot hold the beats of more zones, so that each arrives less often.
        crowding = max(1.0, len(self._roster.zones) / ZONE_BEATS_MAX)
        return self._timing.update_s * self._rounds() * crowding

    def _note_change(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if old is None or is_urgent(old, new):
            self._urgent[new.host_id] = self._rounds()
        elif is_load_change(old, new):
            self._load[new.host_id] = 1

    def _take_update(self, update: MemberUpdate, now_s: float) -> list[Outgoing]:
        self._joined = True
        out: list[Outgoing] = []
        for record, age_ms in zip(update.records, update.ages_ms, strict=False):
            if record.host_id == self.record.host_id:
                out += self._refute(record, age_ms, update.sender, now_s)
            else:
                self._take_record(record, age_ms, now_s, spread=not update.snapshot)
        sender = self._roster.members.get(update.sender)
        for name, beat in update.zone_beats.items():
            heard_s = now_s - update.zone_ages_ms.get(name, 0) / 1000.0
            if self._take_beat(name, beat, heard_s) and sender is not None:
                pull = MemberPull(sender_address=self.record.peer_address, availability_zone=name)
                out.append(Outgoing(sender.record.peer_address, pull))
        return out

    def _take_beat(self, name: str, beat: int, heard_s: float) -> bool:
        """Take a zone's beat; tell whether records of the zone may have been missed."""
        zone = self._roster.zones.get(name)
        if zone is None:
            return True
        if beat > zone.beat:
            zone.beat, zone.heard_s = beat, heard_s
            return zone.state is MemberState.GONE
        if beat == zone.beat:
            zone.heard_s = min(zone.heard_s, heard_s)  # the difference is the delay of a message
        return False

    def _take_record(
        self, record: MemberRecord, age_ms: int, now_s: float, spread: bool = True
    ) -> None:
        age_s = age_ms / 1000.0
        silent = age_s >= self._timing.suspect_s
        member = self._roster.members.get(record.host_id)
        if member is not None and member.record.availability_zone != record.availability_zone:
            if order_of(record) <= order_of(member.record) or member is self._roster.own:
                return
            self._forget(record.host_id)
            member = None
        if member is None:
            if age_s > self._timing.forget_s:
                return
            member = self._roster.add(record, now_s - age_s)
            self._rotation.append(record.host_id)
            if spread:
                self._note_change(None, record)
        elif order_of(record) > order_of(member.record):
            if spread:
                self._note_change(member.record, record)
            self._roster.replace(member, record, now_s - age_s)
        elif silent and order_of(record) == order_of(member.record):
            member.heard_s = min(member.heard_s, now_s - age_s)
        else:
            if silent and not member.silent and self._roster.is_monitored(member):
                self._urgent[record.host_id] = 1  # corrects a relay that missed heartbeats
            return
        if self._roster.set_silent(member, silent) and spread:
            self._urgent[record.host_id] = self._rounds()
        self._roster.refresh_member(member, now_s)

    def _refute(
        self, record: MemberRecord, age_ms: int, sender: str, now_s: float
    ) -> list[Outgoing]:
        own = self.record
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            # A former process started while the time of day was ahead of what it is now.
            incarnation = record.incarnation + 1
        elif record.incarnation < incarnation or age_ms < self._timing.suspect_s * 1000:
            return []
        newest = max(own.sequence, record.sequence)
        newer = attrs.evolve(own, incarnation=incarnation, sequence=newest)
        self._roster.replace(self._roster.own, newer, now_s)
        self._urgent[own.host_id] = self._rounds()
        out = self._heartbeats(now_s)
        accuser = self._roster.members.get(sender)
        if accuser is not None and all(o.address != accuser.record.peer_address for o in out):
            out.append(
                Outgoing(accuser.record.peer_address, out[0].message if out else self._beat())
            )
        return out

    def _forget(self, host_id: str) -> None:
        self._roster.remove(host_id)
        self._urgent.pop(host_id, None)
        self._load.pop(host_id, None)

    def _beat(self) -> Heartbeat:
        return Heartbeat(record=self.record, digest=self._digest)

    def _heartbeats(self, now_s: float) -> list[Outgoing]:
        self._heartbeat_due_s = now_s + self._timing.heartbeat_s
        record = attrs.evolve(self.record, sequence=self.record.sequence + 1)
        self._roster.replace(self._roster.own, record, now_s)
        message = self._beat()
        addresses = self._relay_addresses()
        if self._leave_repeats:
            self._leave_repeats -= 1
            addresses = self._addresses(self._roster.members.values())
        out = [Outgoing(address, message) for address in addresses]
        if not self._joined and now_s >= self._join_due_s:
            self._join_due_s = now_s + self._timing.join_s
            pull = MemberPull(sender_address=record.peer_address)
            out += [Outgoing(seed, message) for seed in self._seeds if seed not in addresses]
            out += [Outgoing(seed, pull) for seed in self._seeds]
        return out

    def _updates(self, now_s: float) -> list[Outgoing]:
        own_zone = self._roster.zones[self._roster.own_zone]
        own_zone.beat += 1
        own_zone.heard_s = now_s
        update = self._update(self._select(), now_s)
        addresses = dict.fromkeys([*self._zone_addresses(), *self._gossip_addresses()])
        out = [Outgoing(address, update) for address in addresses]
        if now_s < self._digest_due_s:
            return out
        self._digest_due_s = now_s + self._timing.digest_s
        digest = ObjectDigest(sender_address=self.record.peer_address, versions=self._digest)
        return out + [Outgoing(address, digest) for address in addresses]

    def _select(self) -> list[Member]:
        """Choose the records of the next update: itself, changes, then some in turn."""
        chosen = [self.record.host_id]
        for queue, count in ((self._urgent, URGENT_RECORDS_MAX), (self._load, LOAD_RECORDS_MAX)):
            for host_id in list(queue)[:count]:
                chosen.append(host_id)
                rounds = queue.pop(host_id) - 1
                if rounds > 0:
                    queue[host_id] = rounds
        turn = self._rotation[:ROTATED_RECORDS]
        # Forgotten members drop out of the rotation here.
        kept = [host_id for host_id in turn if host_id in self._roster.members]
        self._rotation = self._rotation[ROTATED_RECORDS:] + kept
        known = (self._roster.members.get(host_id) for host_id in dict.fromkeys([*chosen, *turn]))
        # A record of a gone zone would come back to life where that zone is already forgotten.
        return [member for member in known if member and not self._is_zone_gone(member)]

    def _is_zone_gone(self, member: Member) -> bool:
        zone = self._roster.zones[member.record.availability_zone]
        return zone.state is MemberState.GONE

    def _update(
        self, members: Iterable[Member], now_s: float, snapshot: bool = False
    ) -> MemberUpdate:
        members = tuple(members)
        zones = self._roster.zones
        names = self._next_beats()
        # Only silence found by a relay of the member's zone counts. The silence of a whole zone
        # may be a partition on this side, so that it is never told as a member's own.
        ages_s = (now_s - member.heard_s if member.silent else 0.0 for member in members)
        return MemberUpdate(
            sender=self.record.host_id,
            records=tuple(member.record for member in members),
            ages_ms=tuple(int(age_s * 1000) for age_s in ages_s),
            zone_beats={name: zones[name].beat for name in names},
            zone_ages_ms={name: int((now_s - zones[name].heard_s) * 1000) for name in names},
            snapshot=snapshot,
        )

    def _next_beats(self) -> list[str]:
        """Return the zones whose beats the next update carries: each in turn."""
        names = [name for name, zone in self._roster.zones.items() if zone.beat]
        if len(names) <= ZONE_BEATS_MAX:
            return names
        start = self._beats_sent % len(names)
        self._beats_sent += ZONE_BEATS_MAX - 1
        turn = (names[start:] + names[:start])[: ZONE_BEATS_MAX - 1]
        return list(dict.fromkeys([self._roster.own_zone, *turn]))

    def _pull(self, now_s: float) -> list[Outgoing]:
        """Ask a relay for all records when it is time to."""
        targets = [*self._relay_addresses(), *self._gossip_addresses()]
        if now_s < self._pull_due_s or not targets or not self._joined:
            return []
        size = max(1.0, len(self._roster.members) / SNAPSHOT_RECORDS)
        early = self._pulls < len(EARLY_PULLS_S)
        delay_s = EARLY_PULLS_S[self._pulls] if early else PULL_PERIOD_S * size
        self._pull_due_s = now_s + delay_s * self._rng.uniform(0.8, 1.2)
        self._pulls += 1
        pull = MemberPull(sender_address=self.record.peer_address)
        return [Outgoing(self._rng.choice(targets), pull)]

    def _snapshot(self, pull: MemberPull, now_s: float) -> list[Outgoing]:
        members = [
            member
            for member in self._roster.members.values()
            if pull.availability_zone in ("", member.record.availability_zone)
        ]
        return [
            Outgoing(
                pull.sender_address,
                self._update(members[start : start + SNAPSHOT_RECORDS], now_s, snapshot=True),
            )
            for start in range(0, len(members), SNAPSHOT_RECORDS)
        ]

    def _addresses(self, members: Iterable[Member]) -> list[str]:
        return [
            member.record.peer_address
            for member in members
            if member is not self._roster.own and member.state is not MemberState.GONE
        ]

    def _relay_addresses(self) -> list[str]:
        return self._addresses(self._roster.relays(self._roster.own_zone))

    def _zone_addresses(self) -> list[str]:
        return self._addresses(self._roster.zones[self._roster.own_zone].members.values())

    def _gossip_addresses(self) -> list[str]:
        others = [
            name
            for name, zone in self._roster.zones.items()
            if name != self._roster.own_zone and zone.state is not MemberState.GONE
        ]
        targets = []
        for name in self._rng.sample(others, min(GOSSIP_TARGETS, len(others))):
            relays = self._addresses(self._roster.relays(name))
            if relays:
                targets.append(self._rng.choice(relays))
        if self._rng.random() < RETRY_GONE_RATIO:
            gone = [m for m in self._roster.members.values() if m.state is MemberState.GONE]
            lost = [*self._seeds, *(member.record.peer_address for member in gone)]
            targets += [self._rng.choice(lost)] if lost else []
        return targets
