"""Decide when a process knows the members that share a bound with it, and assume those it can't."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

from berylchute.types import Clock, MemberStatus

__all__ = ["MEMBER_DISCOVERY_S", "MemberDiscovery"]

# A process knows the other members only after it has received their heartbeats: ten of them.
MEMBER_DISCOVERY_S = 5.0


class MemberDiscovery:
    """Whether this process knows the other members, and which it has to assume.

    It knows them some time after it has joined them. Until then it takes no share of a bound that
    holds for all members together: a process that starts cut off from the others seems to be alone.
    Processes that start cut off together hear of one another only. The hosts that the fleet had, if
    a record of them is known, are assumed beside the known ones. Without a record, members are
    assumed in each availability zone of `zone_regions` from which none was ever heard of.
    """

    def __init__(self, clock: Clock, zone_regions: Mapping[str, str] | None = None) -> None:
        self._clock = clock
        self._zone_regions = zone_regions or {}
        self._joined_at_s = math.inf
        self._members: Sequence[MemberStatus] | None = None
        self._assumed: Mapping[str, str] = {}
        self._recorded_regions: Mapping[str, str] = {}
        self._recorded_capacities: Mapping[str, float] = {}
        # Changes with each change of what follows from the members other than the members.
        self.version = 0

    def update(self, *, is_joined: bool) -> None:
        """Take over whether this process has joined the other members; call it periodically."""
        if is_joined and self._joined_at_s == math.inf:
            self._joined_at_s = self._clock.now_s()
            self.version += 1

    def set_recorded(self, regions: Mapping[str, str], capacities: Mapping[str, float]) -> None:
        """Take over the regions and capacities, by host id, of the hosts that the fleet had."""
        if (regions, capacities) != (self._recorded_regions, self._recorded_capacities):
            self._recorded_regions, self._recorded_capacities = regions, capacities
            self._members = None
            self.version += 1

    @property
    def is_fleet_unknown(self) -> bool:
        """Return whether nothing bounds the number of members that this process can't see."""
        return self._joined_at_s == math.inf and not self._recorded_regions

    def is_complete(self) -> bool:
        """Return whether the members are known."""
        return self._clock.now_s() - self._joined_at_s > MEMBER_DISCOVERY_S

    def assumed_regions(self, members: Sequence[MemberStatus]) -> Mapping[str, str]:
        """Return the regions of the members assumed beside the known ones, by host id.

        Without a record, the host ids are invented.
        """
        if members is not self._members:
            self._members = members
            self._assumed = self._assume(members)
        return self._assumed

    def assumed_capacities(
        self, members: Sequence[MemberStatus], default: float
    ) -> Sequence[float]:
        """Return the capacities of the assumed members, `default` where they aren't recorded."""
        return [
            self._recorded_capacities.get(host_id, default)
            for host_id in self.assumed_regions(members)
        ]

    def has_assumed(self, members: Sequence[MemberStatus]) -> bool:
        """Return whether members are assumed beside the known ones."""
        return bool(self.assumed_regions(members))

    def count_members(self, members: Sequence[MemberStatus]) -> int:
        """Return the number of known and assumed members."""
        return len(members) + len(self.assumed_regions(members))

    def _assume(self, members: Sequence[MemberStatus]) -> Mapping[str, str]:
        if self._recorded_regions:
            known_ids = {status.record.host_id for status in members}
            return {
                host_id: region
                for host_id, region in self._recorded_regions.items()
                if host_id not in known_ids
            }
        known = Counter(status.record.availability_zone for status in members)
        # The size of the other zones is unknown; too many members only leave a part unused.
        zone_size = max(known.values(), default=0)
        return {
            f"{zone}/{number}": region
            for zone, region in self._zone_regions.items()
            if zone not in known
            for number in range(zone_size)
        }
