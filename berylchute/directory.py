"""Tell callers which members to connect to."""

from collections.abc import Sequence

from berylchute.types import MemberState, MemberStatus

__all__ = ["Directory"]

# Members offered to a caller; fewer than this in its zone are joined by others of its region.
OFFERS_MIN = 2


class Directory:
    """Hold the members that take callers."""

    def __init__(self) -> None:
        self._statuses: Sequence[MemberStatus] = ()
        self._by_zone: dict[str, list[str]] = {}
        self._by_region: dict[str, list[str]] = {}
        self._all: list[str] = []

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
            address = record.http_url.rpartition("/")[2]
            self._by_zone.setdefault(record.availability_zone, []).append(address)
            self._by_region.setdefault(record.region, []).append(address)
            self._all.append(address)

    def offers(
        self, availability_zone: str, region: str, homes: frozenset[str] = frozenset()
    ) -> Sequence[str]:
        """Return addresses `ip:port` for a caller, of the nearest place that has some.

        Where a host name is bound to regions, `homes` and the caller's own region are preferred.
        """
        near = self._by_zone.get(availability_zone, [])
        if len(near) >= OFFERS_MIN:
            return near
        near = self._by_region.get(region, near)
        if near:
            return near
        bound = [a for home in sorted(homes) for a in self._by_region.get(home, ())]
        return bound or self._all
