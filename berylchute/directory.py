"""Tell callers which members to connect to."""

from collections.abc import Sequence

from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus

__all__ = ["Directory"]

# Members offered to a caller, so that one may fail; fewer than this in its zone are joined by
# others of its region.
OFFERS_MIN = 2
# Callers choose evenly among the offers, so that members with less than half of the strongest one's
# capacity, which would be twice as busy, are left out while enough others are there.
CAPACITY_RATIO_MIN = 0.5


class Directory:
    """Hold the members that take callers."""

    def __init__(self) -> None:
        self._statuses: Sequence[MemberStatus] = ()
        self._by_zone: dict[str, list[MemberRecord]] = {}
        self._by_region: dict[str, list[MemberRecord]] = {}
        self._all: list[MemberRecord] = []

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Take the current members."""
        if statuses is self._statuses:
            return
        self._statuses = statuses
        self._by_zone, self._by_region, self._all = {}, {}, []
        for status in statuses:
            record = status.record
            if status.state is not MemberState.LIVE or not record.ready or record.leaving:
                continue
            self._by_zone.setdefault(record.availability_zone, []).append(record)
            self._by_region.setdefault(record.region, []).append(record)
            self._all.append(record)

    def offers(
        self, availability_zone: str, region: str, homes: frozenset[str] = frozenset()
    ) -> Sequence[str]:
        """Return addresses `ip:port` for a caller, of the nearest place that has some.

        Where a host name is bound to regions, `homes` and the caller's own region are preferred.
        """
        near = self._by_zone.get(availability_zone, [])
        if len(near) < OFFERS_MIN:
            near = self._by_region.get(region, near)
        if not near:
            near = [r for home in sorted(homes) for r in self._by_region.get(home, ())]
        return [record.http_url.rpartition("/")[2] for record in _strong(near or self._all)]


def _strong(records: Sequence[MemberRecord]) -> Sequence[MemberRecord]:
    """Return the records near the highest capacity, OFFERS_MIN at least if there are as many."""
    ordered = sorted(records, key=lambda record: record.capacity, reverse=True)
    bound = CAPACITY_RATIO_MIN * ordered[0].capacity if ordered else 0.0
    return [
        record
        for index, record in enumerate(ordered)
        if index < OFFERS_MIN or record.capacity >= bound
    ]
