"""Compile the configuration into the index that routing reads."""

from collections.abc import Mapping

import attrs

from berylchute.config import Configuration
from berylchute.types import ResourceId, ResourceUnits

__all__ = ["IndexedRegion", "IndexedServer", "IndexedZone", "compile_index"]

# A region without a configured distance is tried last.
UNKNOWN_DELAY_S = 1.0


@attrs.frozen
class IndexedServer:
    name: str
    address: str
    units: ResourceUnits


@attrs.frozen
class IndexedZone:
    """Servers of one service in one zone; `owned` are those with a base share on this host."""

    name: str
    is_near: bool
    delay_s: float
    owned: tuple[IndexedServer, ...]
    others: tuple[IndexedServer, ...]


@attrs.frozen
class IndexedRegion:
    name: str
    delay_s: float
    units: ResourceUnits
    plan_units: ResourceUnits
    link_out: ResourceId
    link_back: ResourceId
    zones: tuple[IndexedZone, ...]


def _compile_zones(
    configuration: Configuration,
    availability_zone: str,
    base_units: Mapping[ResourceId, int],
) -> dict[tuple[str, str], list[IndexedZone]]:
    """Return the zones of each (region, service), the host's own zone first."""
    region_of = {zone.name: zone.region for zone in configuration.availability_zones}
    members: dict[tuple[str, str], tuple[list[IndexedServer], list[IndexedServer]]] = {}
    for server in configuration.backend_servers:
        resource = f"server:{server.name}"
        groups = members.setdefault((server.availability_zone, server.service), ([], []))
        compiled = IndexedServer(server.name, server.address, ResourceUnits(resource, 1))
        groups[0 if base_units.get(resource, 0) else 1].append(compiled)
    zones: dict[tuple[str, str], list[IndexedZone]] = {}
    for (zone_name, service), (owned, others) in members.items():
        is_near = zone_name == availability_zone
        delay_s = 0.0 if is_near else configuration.availability_zone_one_way_ms / 1000
        zone = IndexedZone(zone_name, is_near, delay_s, tuple(owned), tuple(others))
        zones.setdefault((region_of[zone_name], service), []).append(zone)
    for found in zones.values():
        found.sort(key=lambda zone: (zone.delay_s, zone.name))
    return zones


def compile_index(
    configuration: Configuration,
    availability_zone: str,
    region: str,
    base_units: Mapping[ResourceId, int],
) -> dict[tuple[str, str], tuple[IndexedRegion, ...]]:
    """Return the regions of each (plan, service) in order of distance."""
    delays_s = {region: 0.0}
    for distance in configuration.distances:
        if region in (distance.from_region, distance.to_region):
            other = distance.to_region if distance.from_region == region else distance.from_region
            delays_s[other] = distance.one_way_ms / 1000
    zones = _compile_zones(configuration, availability_zone, base_units)
    index: dict[tuple[str, str], list[IndexedRegion]] = {}
    for allowance in configuration.allowances:
        entries = index.setdefault((allowance.plan, allowance.service), [])
        name = allowance.region
        found = zones.get((name, allowance.service))
        if not found or allowance.concurrent < 1:
            continue
        is_home = name == region
        entries.append(
            IndexedRegion(
                name=name,
                delay_s=delays_s.get(name, UNKNOWN_DELAY_S),
                units=ResourceUnits(f"region:{name}", 1),
                plan_units=ResourceUnits(f"plan:{allowance.plan}:{name}:{allowance.service}", 1),
                link_out="" if is_home else f"link:{region}:{name}",
                link_back="" if is_home else f"link:{name}:{region}",
                zones=tuple(found),
            )
        )
    return {
        key: tuple(sorted(entries, key=lambda entry: (entry.delay_s, entry.name)))
        for key, entries in index.items()
    }
