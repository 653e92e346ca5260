"""Select the owner of each organisation, and divide rates among members by their capacity.

Load handled: hosts that start, leave, fail or are cut off from others while organisations use
their whole rates.
"""

from collections.abc import Container, Sequence

from berylchute.directory import CAPACITY_RATIO_MIN, select_high_capacity
from berylchute.discovery import MemberDiscovery
from berylchute.messages import MemberRecord
from berylchute.sendershares import sender_rank
from berylchute.types import MemberState, MemberStatus

__all__ = ["MemberShares"]

# Factor of the weight of members that the directory omits: hardly any caller connects to them.
_LOW_CAPACITY_FACTOR = 0.01


class MemberShares:
    """The owners of organisations, and parts (0 to 1) of the weight of all known members.

    Members that are gone keep their weight unless they announced that they leave: they may only be
    cut off. So do members that are only assumed. While nothing tells how large the fleet is, this
    member has no part: any part could be too much for all hosts together.
    """

    def __init__(self, own_host_id: str, discovery: MemberDiscovery) -> None:
        self._own_host_id = own_host_id
        self._discovery = discovery
        self._members: Sequence[MemberStatus] | None = None
        self._discovery_version = -1
        self._candidates: dict[str, MemberRecord] = {}
        self._owners: dict[str, MemberRecord | None] = {}
        self.own_part = 0.0
        self.live_part = 0.0

    @property
    def is_certain(self) -> bool:
        """Return whether this process knows the other members."""
        return self._discovery.is_complete()

    def update(self, members: Sequence[MemberStatus]) -> None:
        """Take over the members."""
        version = self._discovery.version
        if members is self._members and version == self._discovery_version:
            return
        self._members, self._discovery_version = members, version
        self._update_parts(members)
        ready = [
            status.record
            for status in members
            if status.state is MemberState.LIVE
            and status.record.ready
            and not status.record.leaving
            and not self._discovery.is_fleet_unknown
        ]
        candidates = {record.host_id: record for record in select_high_capacity(ready)}
        if _identities(candidates) != _identities(self._candidates):
            self._owners.clear()
        self._candidates = candidates

    def find_owner(self, organisation: str) -> MemberRecord | None:
        """Return the member that owns an organisation's bucket.

        None if no member is ready, or nothing is known of the fleet.
        """
        if organisation not in self._owners:
            self._owners[organisation] = min(
                self._candidates.values(),
                key=lambda record: sender_rank(organisation, record.host_id, 1.0),
                default=None,
            )
        return self._owners[organisation]

    def is_owner(self, organisation: str) -> bool:
        """Return whether this member owns an organisation's bucket."""
        owner = self.find_owner(organisation)
        return owner is not None and owner.host_id == self._own_host_id

    def retain(self, organisations: Container[str]) -> None:
        """Drop what is cached for organisations other than these."""
        for name in [name for name in self._owners if name not in organisations]:
            del self._owners[name]

    def _update_parts(self, members: Sequence[MemberStatus]) -> None:
        if self._discovery.is_fleet_unknown:
            self.own_part = self.live_part = 0.0
            return
        counted = [
            status
            for status in members
            if not status.record.leaving or status.record.host_id == self._own_host_id
        ]
        highest = max((status.record.capacity for status in counted), default=0.0)
        assumed = self._discovery.assumed_capacities(members, highest)
        highest = max(highest, *assumed) if assumed else highest
        total, live, own = sum(_weight(capacity, highest) for capacity in assumed), 0.0, 0.0
        for status in counted:
            weight = _weight(status.record.capacity, highest)
            total += weight
            if status.record.host_id == self._own_host_id:
                own = weight
                live += weight
            elif status.state is MemberState.LIVE:
                live += weight
        self.own_part = own / total if total > 0.0 else 0.0
        self.live_part = live / total if total > 0.0 else 0.0


def _weight(capacity: float, highest: float) -> float:
    is_low = capacity < CAPACITY_RATIO_MIN * highest
    return capacity * _LOW_CAPACITY_FACTOR if is_low else capacity


def _identities(records: dict[str, MemberRecord]) -> list[tuple[str, int, str]]:
    return [(r.host_id, r.incarnation, r.peer_address) for r in records.values()]
