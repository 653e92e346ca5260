"""Split the requests of a region over all regions by the capacity of their servers."""

from collections import Counter
from collections.abc import Mapping, Sequence
from hashlib import blake2b

import attrs

__all__ = ["RegionShare", "move_shares", "region_of_key", "region_shares"]

# A region keeps its own requests up to this multiple of what its share of all slots can carry,
# since its servers serve callers nearby without crossing regions.
HOME_SHARE_FACTOR = 1.0
_HASH_RANGE = 2.0**64


@attrs.frozen
class RegionShare:
    """The share (0 to 1) of a region's requests that go to the servers of `region`."""

    region: str
    share: float


def region_shares(
    own_region: str, zone_regions: Mapping[str, str], slots: Mapping[str, float]
) -> tuple[RegionShare, ...]:
    """Return how the requests of `own_region` are split over all regions, itself first.

    `slots` counts the slots by region; the shares sum up to 1 unless there are none. Each
    availability zone is assumed to have the same demand, so that the shares change only with the
    servers: shares that followed the traffic would move load between regions at once.
    """
    total_slots = sum(slots.values())
    zones = Counter(zone_regions.values())
    if total_slots <= 0.0 or not zones:
        return ()
    demand_by_region = {region: count / len(zone_regions) for region, count in zones.items()}
    supply_by_region = {region: slot_count / total_slots for region, slot_count in slots.items()}
    kept_shares = {
        region: min(1.0, HOME_SHARE_FACTOR * supply_by_region.get(region, 0.0) / share)
        for region, share in demand_by_region.items()
    }
    spare_by_region = {
        region: max(
            0.0, supply_share - demand_by_region.get(region, 0.0) * kept_shares.get(region, 0.0)
        )
        for region, supply_share in supply_by_region.items()
        if region != own_region
    }
    own_share = kept_shares.get(own_region, 0.0)
    total_spare = sum(spare_by_region.values())
    if total_spare <= 0.0:
        spare_by_region = {
            region: supply_share
            for region, supply_share in supply_by_region.items()
            if region != own_region
        }
        total_spare = sum(spare_by_region.values())
    if total_spare <= 0.0:
        return (RegionShare(own_region, 1.0),)
    moved_share = 1.0 - own_share
    others = [
        RegionShare(region, moved_share * supply_share / total_spare)
        for region, supply_share in sorted(spare_by_region.items())
    ]
    return (RegionShare(own_region, own_share), *others)


def move_shares(
    current: Sequence[RegionShare], target: Sequence[RegionShare], change_max: float
) -> tuple[RegionShare, ...]:
    """Return the shares after a move of at most `change_max` of all keys from current to target."""
    before = {share.region: share.share for share in current}
    after = {share.region: share.share for share in target}
    regions = [*after, *(region for region in before if region not in after)]
    changes = {region: after.get(region, 0.0) - before.get(region, 0.0) for region in regions}
    moved = sum(max(0.0, change) for change in changes.values())
    if moved <= change_max or not before:
        return tuple(target)
    ratio = change_max / moved
    return tuple(
        RegionShare(region, before.get(region, 0.0) + ratio * changes[region]) for region in regions
    )


def region_of_key(key: str, shares: Sequence[RegionShare]) -> str:
    """Return the region of a key by its hash; it changes only if the shares change.

    Without shares, the region is empty.
    """
    if not shares:
        return ""
    digest = blake2b(f"region/{key}".encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / _HASH_RANGE
    for share in shares:
        point -= share.share
        if point < 0.0:
            return share.region
    return shares[-1].region
