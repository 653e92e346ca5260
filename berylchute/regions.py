"""Split the requests of a region over the regions whose servers can take them."""

from collections import Counter
from collections.abc import Mapping, Sequence
from hashlib import blake2b

import attrs

__all__ = ["RegionShare", "region_of_key", "region_shares"]

# A region keeps this multiple of what its servers' part of all slots would carry, since callers
# near it are served without crossing regions.
HOME_PREFERENCE = 1.0
_HASH_RANGE = 2.0**64


@attrs.frozen
class RegionShare:
    """The share of a region's requests that go to the servers of `region`."""

    region: str
    share: float


def region_shares(
    own: str, zone_regions: Mapping[str, str], slots: Mapping[str, float]
) -> tuple[RegionShare, ...]:
    """Return where the requests of region `own` go, itself first.

    Demand is taken to be the same in each availability zone, so that the shares change only with
    the servers: moving with traffic would move load between regions at once.
    """
    total_slots = sum(slots.values())
    zones = Counter(zone_regions.values())
    if total_slots <= 0.0 or not zones:
        return ()
    demand = {region: count / len(zone_regions) for region, count in zones.items()}
    supply = {region: units / total_slots for region, units in slots.items()}
    kept = {
        region: min(1.0, HOME_PREFERENCE * supply.get(region, 0.0) / share)
        for region, share in demand.items()
    }
    spare = {
        region: max(0.0, part - demand.get(region, 0.0) * kept.get(region, 0.0))
        for region, part in supply.items()
        if region != own
    }
    at_home = kept.get(own, 0.0)
    total_spare = sum(spare.values())
    if total_spare <= 0.0:
        spare = {region: part for region, part in supply.items() if region != own}
        total_spare = sum(spare.values())
    if total_spare <= 0.0:
        return (RegionShare(own, 1.0),)
    moved = 1.0 - at_home
    others = [
        RegionShare(region, moved * part / total_spare) for region, part in sorted(spare.items())
    ]
    return (RegionShare(own, at_home), *others)


def region_of_key(key: str, shares: Sequence[RegionShare]) -> str:
    """Return the region to which a key belongs, the same for the same shares."""
    if not shares:
        return ""
    digest = blake2b(f"region/{key}".encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / _HASH_RANGE
    for share in shares:
        point -= share.share
        if point < 0.0:
            return share.region
    return shares[-1].region
