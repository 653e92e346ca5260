"""Hold the known members by availability zone and derive their states from silence."""

from collections.abc import Sequence
from hashlib import blake2b

import attrs

from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus

__all__ = ["Member", "Roster", "Timing", "Zone", "is_load_change", "is_urgent", "order_of"]

RELAYS_PER_ZONE = 2
LOAD_CHANGE_RATIO = 0.2  # smaller changes of free units do not alter a routing decision


@attrs.frozen
class Timing:
    """Periods and limits in seconds."""

    heartbeat_s: float = 0.25
    update_s: float = 0.5
    digest_s: float = 0.0  # digests go with every update; changes are told at once besides
    join_s: float = 0.5
    suspect_s: float = 1.0
    gone_s: float = 3.0
    forget_s: float = 7200.0  # longer than the longest expected partition of one hour
    pause_s: float = 0.75  # a longer gap between ticks is this process's own pause


@attrs.define(eq=False)
class Member:
    """A member's newest record and when it was last heard.

    `silent` means that a relay of its zone, or this process, missed its heartbeats since
    `heard_s`; only a record with a higher sequence clears it.
    """

    record: MemberRecord
    heard_s: float
    weight: bytes
    silent: bool = False
    state: MemberState = MemberState.LIVE


@attrs.define(eq=False)
class Zone:
    """An availability zone; its relays vouch with each beat for members not reported silent."""

    heard_s: float
    beat: int = 0
    members: dict[str, Member] = attrs.field(factory=dict)
    state: MemberState = MemberState.LIVE


def order_of(record: MemberRecord) -> tuple[int, int]:
    """Return what decides which of two records of one host is newer."""
    return record.incarnation, record.sequence


def is_urgent(old: MemberRecord, new: MemberRecord) -> bool:
    """Tell whether others need to know of a change before changes of load."""
    names = (
        "incarnation",
        "leaving",
        "ready",
        "watching",
        "owner_epoch",
        "http_url",
        "peer_address",
    )
    return any(getattr(old, name) != getattr(new, name) for name in names)


def is_load_change(old: MemberRecord, new: MemberRecord) -> bool:
    """Tell whether load or versions changed enough to tell others."""
    if (old.settled_version, old.config_version) != (new.settled_version, new.config_version):
        return True
    for service in old.free_units.keys() | new.free_units.keys():
        before, after = old.free_units.get(service, 0), new.free_units.get(service, 0)
        if abs(after - before) > LOAD_CHANGE_RATIO * max(before, after):
            return True
    return False


def _weight(record: MemberRecord) -> bytes:
    name = f"{record.availability_zone}/{record.host_id}"
    return blake2b(name.encode(), digest_size=8).digest()


class Roster:
    """Hold all members known to this process; `own` is its own entry."""

    def __init__(self, record: MemberRecord, now_s: float, timing: Timing) -> None:
        self._timing = timing
        self._statuses: tuple[MemberStatus, ...] | None = None
        self._monitored: set[str] = set()
        self.members: dict[str, Member] = {}
        self.zones: dict[str, Zone] = {}
        self.silent: set[str] = set()
        self.own = self.add(record, now_s)

    @property
    def own_zone(self) -> str:
        """Return the name of this process's availability zone."""
        return self.own.record.availability_zone

    def statuses(self) -> Sequence[MemberStatus]:
        """Return every known member, itself included, ordered by host id."""
        if self._statuses is None:
            self._statuses = tuple(
                MemberStatus(record=member.record, state=member.state)
                for _, member in sorted(self.members.items())
            )
        return self._statuses

    def relays(self, availability_zone: str) -> Sequence[Member]:
        """Return a zone's relays.

        A suspect relay stays one and is joined by the next candidate, so that its silence does
        not leave the zone without a relay for the time until it is gone.
        """
        zone = self.zones.get(availability_zone)
        chosen: list[Member] = []
        live = 0
        for member in sorted(zone.members.values(), key=lambda m: m.weight) if zone else ():
            if live == RELAYS_PER_ZONE:
                break
            if member.state in (MemberState.LIVE, MemberState.SUSPECT):
                chosen.append(member)
                live += member.state is MemberState.LIVE
        if zone and not live:
            # Members that leave still finish requests and need the view of the fleet.
            leaving = MemberState.LEAVING
            chosen += [member for member in zone.members.values() if member.state is leaving]
        return chosen

    def is_monitored(self, member: Member) -> bool:
        """Tell whether this process itself watches for a member's silence."""
        return member.record.host_id in self._monitored

    def add(self, record: MemberRecord, heard_s: float) -> Member:
        """Add a member that was not known, and return its entry."""
        zone = self.zones.setdefault(record.availability_zone, Zone(heard_s=heard_s))
        member = Member(record=record, heard_s=heard_s, weight=_weight(record))
        if record.leaving:
            member.state = MemberState.LEAVING
        self.members[record.host_id] = zone.members[record.host_id] = member
        self._statuses = None
        return member

    def remove(self, host_id: str) -> None:
        """Forget a member."""
        member = self.members.pop(host_id)
        name = member.record.availability_zone
        del self.zones[name].members[host_id]
        if not self.zones[name].members:
            del self.zones[name]
        self.silent.discard(host_id)
        self._monitored.discard(host_id)
        self._statuses = None

    def replace(self, member: Member, record: MemberRecord, heard_s: float) -> None:
        """Replace a member's record by a newer one, heard at `heard_s`."""
        member.record = record
        member.heard_s = heard_s
        self._statuses = None

    def set_silent(self, member: Member, silent: bool) -> bool:
        """Set whether a member is known to be silent; tell whether that changed."""
        if member.silent is silent:
            return False
        member.silent = silent
        (self.silent.add if silent else self.silent.discard)(member.record.host_id)
        return True

    def forgive(self, gap_s: float) -> None:
        """Leave this process's own pause of `gap_s` out of the others' silence.

        Nothing could be heard meanwhile; without this, the first tick after a pause would report
        the whole fleet as silent.
        """
        for member in self.members.values():
            if not member.silent:
                member.heard_s += gap_s
        for zone in self.zones.values():
            if zone.state is not MemberState.GONE:
                zone.heard_s += gap_s

    def refresh(self, now_s: float, zone_slack_s: float) -> list[str]:
        """Bring all states up to date and return the host ids newly found to be silent.

        `zone_slack_s` is the time that a zone's beat may take to arrive here.
        """
        found = self._find_silent(now_s)
        for name, zone in list(self.zones.items()):
            silence_s = 0.0 if name == self.own_zone else now_s - zone.heard_s - zone_slack_s
            before, zone.state = zone.state, self._state_after(silence_s, leaving=False)
            # The fleet is large; members of a remote zone change with the zone or by records.
            if zone.state is not before or name == self.own_zone:
                for member in zone.members.values():
                    self.refresh_member(member, now_s)
            if silence_s > self._timing.forget_s:
                for host_id in list(zone.members):
                    self.remove(host_id)
        for host_id in list(self.silent):
            member = self.members[host_id]
            self.refresh_member(member, now_s)
            if now_s - member.heard_s > self._timing.forget_s:
                self.remove(host_id)
        return found

    def refresh_member(self, member: Member, now_s: float) -> None:
        """Bring one member's state up to date."""
        zone = self.zones[member.record.availability_zone]
        leaving = member.record.leaving
        if member is self.own or (not member.silent and zone.state is MemberState.LIVE):
            state = self._state_after(0.0, leaving)
        elif member.silent:
            state = self._state_after(now_s - member.heard_s, leaving)
        else:
            state = zone.state
            if leaving and state is MemberState.SUSPECT:
                state = MemberState.LEAVING
        if state is not member.state:
            member.state = state
            self._statuses = None

    def _find_silent(self, now_s: float) -> list[str]:
        """Mark silent members among those that this process hears directly."""
        zone = self.zones[self.own_zone]
        relays = self.relays(self.own_zone)
        watched = list(zone.members.values()) if self.own in relays else relays
        found = []
        for member in watched:
            if member is self.own or member.silent:
                continue
            if not self.is_monitored(member):
                member.heard_s = now_s  # until now its heartbeats went to other relays
            elif now_s - member.heard_s >= self._timing.suspect_s:
                self.set_silent(member, True)
                found.append(member.record.host_id)
        self._monitored = {member.record.host_id for member in watched}
        return found

    def _state_after(self, silence_s: float, leaving: bool) -> MemberState:
        if silence_s >= self._timing.gone_s:
            return MemberState.GONE
        if leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if silence_s >= self._timing.suspect_s else MemberState.LIVE
