"""Select the members to which callers should connect."""

from collections.abc import Sequence

from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus

__all__ = [
    "CAPACITY_RATIO_MIN",
    "DIRECTORY_TTL_DEFAULT_S",
    "Directory",
    "select_high_capacity",
]

# Short, since members stop at any time.
DIRECTORY_TTL_DEFAULT_S = 2.0
# Addresses returned to a caller, so that one of them may fail. If the caller's zone has fewer
# members, those of its region are added.
ADDRESSES_MIN = 2
# Callers spread evenly over the addresses, so a member with less than half of the highest capacity
# would be twice as busy as the strongest one. It is omitted while enough others are available.
CAPACITY_RATIO_MIN = 0.5


class Directory:
    """The members that accept callers, by zone and region; callers hold answers for `ttl_s`."""

    def __init__(self, ttl_s: float = DIRECTORY_TTL_DEFAULT_S) -> None:
        self.ttl_s = ttl_s
        self._members: Sequence[MemberStatus] = ()
        self._by_zone: dict[str, list[MemberRecord]] = {}
        self._by_region: dict[str, list[MemberRecord]] = {}
        self._all: list[MemberRecord] = []

    def update(self, members: Sequence[MemberStatus]) -> None:
        """Update the members; only live ones that are ready and not leaving are used."""
        if members is self._members:
            return
        self._members = members
        self._by_zone, self._by_region, self._all = {}, {}, []
        for status in members:
            record = status.record
            if status.state is not MemberState.LIVE or not record.ready or record.leaving:
                continue
            self._by_zone.setdefault(record.availability_zone, []).append(record)
            self._by_region.setdefault(record.region, []).append(record)
            self._all.append(record)

    def select_addresses(
        self, availability_zone: str, region: str, home_regions: frozenset[str] = frozenset()
    ) -> Sequence[str]:
        """Return the addresses `ip:port` of the members nearest to a caller; may be empty.

        If a host name's routes are bound to `home_regions`, those are preferred when the caller's
        own region has no members.
        """
        nearest = self._by_zone.get(availability_zone, [])
        if len(nearest) < ADDRESSES_MIN:
            nearest = self._by_region.get(region, nearest)
        if not nearest:
            nearest = [r for home in sorted(home_regions) for r in self._by_region.get(home, ())]
        return [
            record.http_url.rpartition("/")[2]
            for record in select_high_capacity(nearest or self._all)
        ]


def select_high_capacity(records: Sequence[MemberRecord]) -> Sequence[MemberRecord]:
    """Omit records of low capacity, but keep at least ADDRESSES_MIN if there are as many."""
    ordered = sorted(records, key=lambda record: record.capacity, reverse=True)
    bound = CAPACITY_RATIO_MIN * ordered[0].capacity if ordered else 0.0
    return [
        record
        for index, record in enumerate(ordered)
        if index < ADDRESSES_MIN or record.capacity >= bound
    ]
