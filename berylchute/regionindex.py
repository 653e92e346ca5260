"""Compile the configuration into the index that `routing` reads."""

from collections.abc import Mapping

import attrs

from berylchute.config import BackendServer, Configuration
from berylchute.types import ResourceId, ResourceUnits

__all__ = [
    "IndexedRegion",
    "IndexedServer",
    "IndexedZone",
    "compile_one_way_delays_s",
    "compile_region_index",
]

# High enough that a region without a configured distance is tried last.
UNKNOWN_DELAY_S = 1.0


@attrs.frozen
class IndexedServer:
    """A backend server with the resources that a request to it from this host takes.

    `outbound_link` carries requests and `return_link` responses; both are empty in the host's
    region.
    """

    name: str
    address: str
    availability_zone: str
    region: str
    resource: ResourceId
    server_units: ResourceUnits
    region_units: ResourceUnits
    outbound_link: ResourceId
    return_link: ResourceId


@attrs.frozen
class IndexedZone:
    """The servers of one service in one zone; `one_way_delay_s` is one way from this host.

    The servers in which this host has a base share form the first group; an empty group is omitted.
    """

    name: str
    one_way_delay_s: float
    server_groups: tuple[tuple[IndexedServer, ...], ...]


@attrs.frozen
class IndexedRegion:
    """A region that a plan may use for a service, with its delay from this host's region.

    `own_zones` holds the host's own zone if it has servers of the service, `other_zones` the
    others.
    """

    name: str
    one_way_delay_s: float
    region_units: ResourceUnits
    plan_units: ResourceUnits
    outbound_link: ResourceId
    return_link: ResourceId
    own_zones: tuple[IndexedZone, ...]
    other_zones: tuple[IndexedZone, ...]


def _compile_server(server: BackendServer, region: str, host_region: str) -> IndexedServer:
    is_host_region = region == host_region
    return IndexedServer(
        name=server.name,
        address=server.address,
        availability_zone=server.availability_zone,
        region=region,
        resource=f"server:{server.name}",
        server_units=ResourceUnits(f"server:{server.name}", 1),
        region_units=ResourceUnits(f"region:{region}", 1),
        outbound_link="" if is_host_region else f"link:{host_region}:{region}",
        return_link="" if is_host_region else f"link:{region}:{host_region}",
    )


def _compile_zones(
    configuration: Configuration,
    availability_zone: str,
    host_region: str,
    base_units: Mapping[ResourceId, int],
) -> dict[tuple[str, str], list[IndexedZone]]:
    """Return the zones of each (region, service), sorted by zone name."""
    region_of = {zone.name: zone.region for zone in configuration.availability_zones}
    servers: dict[tuple[str, str], tuple[list[IndexedServer], list[IndexedServer]]] = {}
    for server in configuration.backend_servers:
        groups = servers.setdefault((server.availability_zone, server.service), ([], []))
        compiled = _compile_server(server, region_of[server.availability_zone], host_region)
        groups[0 if base_units.get(compiled.server_units.resource, 0) else 1].append(compiled)
    zones: dict[tuple[str, str], list[IndexedZone]] = {}
    for (zone_name, service), groups in sorted(servers.items()):
        is_own_zone = zone_name == availability_zone
        delay_s = 0.0 if is_own_zone else configuration.availability_zone_one_way_ms / 1000
        compiled_groups = tuple(tuple(group) for group in groups if group)
        zone = IndexedZone(zone_name, delay_s, compiled_groups)
        zones.setdefault((region_of[zone_name], service), []).append(zone)
    return zones


def compile_one_way_delays_s(configuration: Configuration, host_region: str) -> dict[str, float]:
    """Return the one-way delay in seconds from the host's region to each region in `distances`."""
    delays_s = {host_region: 0.0}
    for distance in configuration.distances:
        if distance.from_region == host_region:
            delays_s[distance.to_region] = distance.one_way_ms / 1000
        elif distance.to_region == host_region:
            delays_s[distance.from_region] = distance.one_way_ms / 1000
    return delays_s


def compile_region_index(
    configuration: Configuration,
    availability_zone: str,
    host_region: str,
    base_units: Mapping[ResourceId, int],
) -> dict[tuple[str, str], tuple[IndexedRegion, ...]]:
    """Return the regions that each (plan, service) may use, nearest first.

    `base_units` is this host's base share in units by resource.
    """
    delays_s = compile_one_way_delays_s(configuration, host_region)
    zones = _compile_zones(configuration, availability_zone, host_region, base_units)
    index: dict[tuple[str, str], list[IndexedRegion]] = {}
    for allowance in configuration.allowances:
        entries = index.setdefault((allowance.plan, allowance.service), [])
        region = allowance.region
        service_zones = zones.get((region, allowance.service))
        if not service_zones or allowance.concurrent < 1:
            continue
        plan_resource = f"plan:{allowance.plan}:{region}:{allowance.service}"
        is_host_region = region == host_region
        entries.append(
            IndexedRegion(
                name=region,
                one_way_delay_s=delays_s.get(region, UNKNOWN_DELAY_S),
                region_units=ResourceUnits(f"region:{region}", 1),
                plan_units=ResourceUnits(plan_resource, 1),
                outbound_link="" if is_host_region else f"link:{host_region}:{region}",
                return_link="" if is_host_region else f"link:{region}:{host_region}",
                own_zones=tuple(zone for zone in service_zones if zone.name == availability_zone),
                other_zones=tuple(zone for zone in service_zones if zone.name != availability_zone),
            )
        )
    return {
        key: tuple(sorted(entries, key=lambda entry: (entry.one_way_delay_s, entry.name)))
        for key, entries in index.items()
    }
