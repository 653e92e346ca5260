"""Keep the known members by availability zone and derive their states from missed heartbeats."""

from collections.abc import Sequence
from hashlib import blake2b

import attrs

from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus

__all__ = [
    "Member",
    "MembershipTiming",
    "Roster",
    "Zone",
    "is_load_change",
    "is_urgent_change",
    "recency_key",
]

RELAYS_PER_ZONE = 2
LOAD_CHANGE_RATIO = 0.2  # smaller changes of free units do not change a routing decision


@attrs.frozen
class MembershipTiming:
    """Set the periods and limits of the membership protocol, in seconds."""

    heartbeat_period_s: float = 0.25
    update_period_s: float = 0.5
    digest_period_s: float = (
        0.0  # 0 sends a digest with every update; changed objects are sent at once
    )
    join_retry_period_s: float = 0.5
    suspect_after_s: float = 1.0
    gone_after_s: float = 3.0
    remove_after_s: float = 7200.0  # longer than the longest expected partition of one hour
    own_pause_min_s: float = 0.75  # a longer gap between ticks means that this process was paused


@attrs.define(eq=False)
class Member:
    """Hold a member's newest record and the time of its last known heartbeat.

    `is_silent` means that a relay of the member's zone, or this process, has missed heartbeats
    since `last_heard_s`; only a record with a higher sequence clears it. `relay_rank` orders the
    candidates for relay in a zone, as in rendezvous hashing.
    """

    record: MemberRecord
    last_heard_s: float
    relay_rank: bytes
    is_silent: bool = False
    state: MemberState = MemberState.LIVE


@attrs.define(eq=False)
class Zone:
    """Hold the members and the last beat of an availability zone.

    Each beat of its relays confirms that all its members not reported as silent are live.
    """

    last_heard_s: float
    beat: int = 0
    members: dict[str, Member] = attrs.field(factory=dict)
    state: MemberState = MemberState.LIVE


def recency_key(record: MemberRecord) -> tuple[int, int]:
    """Return the key that orders the records of one host from oldest to newest."""
    return record.incarnation, record.sequence


def is_urgent_change(old: MemberRecord, new: MemberRecord) -> bool:
    """Return whether a change is sent to other members before changes of load."""
    names = (
        "incarnation",
        "leaving",
        "ready",
        "watching",
        "owner_epoch",
        "http_url",
        "peer_address",
        "server_limits",
    )
    return any(getattr(old, name) != getattr(new, name) for name in names)


def is_load_change(old: MemberRecord, new: MemberRecord) -> bool:
    """Return whether versions changed, or free units changed enough to be sent to other members."""
    if (old.settled_version, old.config_version) != (new.settled_version, new.config_version):
        return True
    for service in old.free_units.keys() | new.free_units.keys():
        before, after = old.free_units.get(service, 0), new.free_units.get(service, 0)
        if abs(after - before) > LOAD_CHANGE_RATIO * max(before, after):
            return True
    return False


def _relay_rank(record: MemberRecord) -> bytes:
    name = f"{record.availability_zone}/{record.host_id}"
    return blake2b(name.encode(), digest_size=8).digest()


class Roster:
    """Hold all members known to this process, itself included as `own`."""

    def __init__(self, record: MemberRecord, now_s: float, timing: MembershipTiming) -> None:
        self._timing = timing
        self._statuses: tuple[MemberStatus, ...] | None = None
        self._monitored: set[str] = set()
        self.members: dict[str, Member] = {}
        self.zones: dict[str, Zone] = {}
        self.silent_ids: set[str] = set()
        self.own = self.add(record, now_s)

    @property
    def own_zone(self) -> str:
        """Return the name of this process's availability zone."""
        return self.own.record.availability_zone

    def list_members(self) -> Sequence[MemberStatus]:
        """Return every known member, itself included, ordered by host id."""
        if self._statuses is None:
            self._statuses = tuple(
                MemberStatus(record=member.record, state=member.state)
                for _, member in sorted(self.members.items())
            )
        return self._statuses

    def relays(self, availability_zone: str) -> Sequence[Member]:
        """Return a zone's relays; empty for an unknown zone.

        A suspect relay remains a relay and the next candidate is added, so that the zone is not
        left without a relay until the suspect is declared gone.
        """
        zone = self.zones.get(availability_zone)
        relays_found: list[Member] = []
        live_count = 0
        for member in sorted(zone.members.values(), key=lambda m: m.relay_rank) if zone else ():
            if live_count == RELAYS_PER_ZONE:
                break
            if member.state in (MemberState.LIVE, MemberState.SUSPECT):
                relays_found.append(member)
                live_count += member.state is MemberState.LIVE
        if zone and not live_count:
            # Leaving members still finish requests and need membership updates for that.
            leaving = MemberState.LEAVING
            relays_found += [member for member in zone.members.values() if member.state is leaving]
        return relays_found

    def is_monitored(self, member: Member) -> bool:
        """Return whether this process receives a member's heartbeats and detects when they stop."""
        return member.record.host_id in self._monitored

    def add(self, record: MemberRecord, last_heard_s: float) -> Member:
        """Add an unknown member and return its entry."""
        zone = self.zones.setdefault(record.availability_zone, Zone(last_heard_s=last_heard_s))
        member = Member(record=record, last_heard_s=last_heard_s, relay_rank=_relay_rank(record))
        if record.leaving:
            member.state = MemberState.LEAVING
        self.members[record.host_id] = zone.members[record.host_id] = member
        self._statuses = None
        return member

    def remove(self, host_id: str) -> None:
        """Remove a member, and its zone if that is then empty."""
        member = self.members.pop(host_id)
        name = member.record.availability_zone
        del self.zones[name].members[host_id]
        if not self.zones[name].members:
            del self.zones[name]
        self.silent_ids.discard(host_id)
        self._monitored.discard(host_id)
        self._statuses = None

    def apply_beat(self, name: str, beat: int, last_heard_s: float) -> bool:
        """Apply a zone's beat; return whether records of the zone may have been missed."""
        zone = self.zones.get(name)
        if zone is None:
            return True
        if beat > zone.beat:
            zone.beat, zone.last_heard_s = beat, last_heard_s
            return zone.state is MemberState.GONE
        if beat == zone.beat:
            # Both times are of the same beat; the later one includes a longer message delay.
            zone.last_heard_s = min(zone.last_heard_s, last_heard_s)
        return False

    def replace_record(self, member: Member, record: MemberRecord, last_heard_s: float) -> None:
        """Replace a member's record by a newer one, received at `last_heard_s`."""
        member.record = record
        member.last_heard_s = last_heard_s
        self._statuses = None

    def set_silent(self, member: Member, is_silent: bool) -> bool:
        """Set whether a member is silent; return whether that changed."""
        if member.is_silent is is_silent:
            return False
        member.is_silent = is_silent
        (self.silent_ids.add if is_silent else self.silent_ids.discard)(member.record.host_id)
        return True

    def exclude_own_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process, of `gap_s`, from the silence of other members.

        No message was received during the pause; without this, the first tick after it would
        report the whole fleet as silent.
        """
        for member in self.members.values():
            if not member.is_silent:
                member.last_heard_s += gap_s
        for zone in self.zones.values():
            if zone.state is not MemberState.GONE:
                zone.last_heard_s += gap_s

    def update_states(self, now_s: float, beat_delay_max_s: float) -> list[str]:
        """Update the states of zones and members; return the host ids that became silent.

        `beat_delay_max_s` is the longest time that a zone's beat may take to reach this process.
        Members and zones that were silent for longer than `remove_after_s` are removed.
        """
        newly_silent = self._mark_silent(now_s)
        for name, zone in list(self.zones.items()):
            silence_s = (
                0.0 if name == self.own_zone else now_s - zone.last_heard_s - beat_delay_max_s
            )
            before, zone.state = zone.state, self._state_after(silence_s, leaving=False)
            # Skips remote zones whose state has not changed, as the fleet is large: their members
            # change state only with the zone or through a record.
            if zone.state is not before or name == self.own_zone:
                for member in zone.members.values():
                    self.update_member_state(member, now_s)
            if silence_s > self._timing.remove_after_s:
                for host_id in list(zone.members):
                    self.remove(host_id)
        for host_id in list(self.silent_ids):
            member = self.members[host_id]
            self.update_member_state(member, now_s)
            if now_s - member.last_heard_s > self._timing.remove_after_s:
                self.remove(host_id)
        return newly_silent

    def update_member_state(self, member: Member, now_s: float) -> None:
        """Update one member's state from its own silence and from the state of its zone."""
        zone = self.zones[member.record.availability_zone]
        leaving = member.record.leaving
        if member is self.own or (not member.is_silent and zone.state is MemberState.LIVE):
            state = self._state_after(0.0, leaving)
        elif member.is_silent:
            state = self._state_after(now_s - member.last_heard_s, leaving)
        else:
            state = zone.state
            if leaving and state is MemberState.SUSPECT:
                state = MemberState.LEAVING
        if state is not member.state:
            member.state = state
            self._statuses = None

    def _mark_silent(self, now_s: float) -> list[str]:
        """Mark the monitored members whose heartbeats stopped; return their host ids."""
        zone = self.zones[self.own_zone]
        relays = self.relays(self.own_zone)
        monitored = list(zone.members.values()) if self.own in relays else relays
        newly_silent = []
        for member in monitored:
            if member is self.own or member.is_silent:
                continue
            if not self.is_monitored(member):
                member.last_heard_s = now_s  # its heartbeats went to other relays so far
            elif now_s - member.last_heard_s >= self._timing.suspect_after_s:
                self.set_silent(member, True)
                newly_silent.append(member.record.host_id)
        self._monitored = {member.record.host_id for member in monitored}
        return newly_silent

    def _state_after(self, silence_s: float, leaving: bool) -> MemberState:
        if silence_s >= self._timing.gone_after_s:
            return MemberState.GONE
        if leaving:
            return MemberState.LEAVING
        return (
            MemberState.SUSPECT if silence_s >= self._timing.suspect_after_s else MemberState.LIVE
        )
