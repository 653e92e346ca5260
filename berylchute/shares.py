"""Split every cap of a configuration over its host positions."""

from collections.abc import Iterable, Mapping, Sequence

from berylchute.config import BackendServer, Configuration
from berylchute.types import Position, ResourceId

__all__ = [
    "LINK_UNIT_BYTES_PER_S",
    "base_shares",
    "connection_shares",
    "link_resource",
    "plan_resource",
    "region_resource",
    "resource_caps",
    "server_resource",
]

LINK_UNIT_BYTES_PER_S = 1_000_000

Split = dict[Position, dict[ResourceId, int]]


def server_resource(server: str) -> ResourceId:
    """Return the resource id of a backend server's slots."""
    return f"server:{server}"


def region_resource(region: str) -> ResourceId:
    """Return the resource id of a region's concurrent requests."""
    return f"region:{region}"


def plan_resource(plan: str, region: str, service: str) -> ResourceId:
    """Return the resource id of a plan's concurrent requests in a region and service."""
    return f"plan:{plan}:{region}:{service}"


def link_resource(from_region: str, to_region: str) -> ResourceId:
    """Return the resource id of one direction of a link, in units of 1,000,000 bytes/s."""
    return f"link:{from_region}:{to_region}"


def resource_caps(config: Configuration) -> dict[ResourceId, int]:
    """Return the cap of every lendable resource, in whole units by resource id."""
    caps = {server_resource(s.name): s.slots for s in config.backend_servers}
    caps |= {region_resource(r.name): r.concurrent for r in config.regions}
    caps |= {plan_resource(a.plan, a.region, a.service): a.concurrent for a in config.allowances}
    caps |= {
        link_resource(k.from_region, k.to_region): k.rate_bytes_per_s // LINK_UNIT_BYTES_PER_S
        for k in config.links
    }
    return caps


def base_shares(config: Configuration) -> Mapping[Position, Mapping[ResourceId, int]]:
    """Return the units per position and resource; per resource they sum to the cap exactly."""
    positions = [p.name for p in config.host_positions]
    split: Split = {position: {} for position in positions}
    if not positions:
        return split
    for service in dict.fromkeys(server.service for server in config.backend_servers):
        servers = [s for s in config.backend_servers if s.service == service]
        _split_service(config, servers, split)
    _split_regions_and_plans(config, split)
    _split_links(config, split)
    return split


def connection_shares(config: Configuration) -> Mapping[Position, Mapping[str, int]]:
    """Return the connections per position and server name; they are fixed and never lent."""
    positions = [p.name for p in config.host_positions]
    split: Split = {position: {} for position in positions}
    for offset, server in enumerate(config.backend_servers):
        rotated = _rotate(positions, offset)
        for position, units in _apportion(server.connections, [(p, 1) for p in rotated]):
            split[position][server.name] = units
    return split


def _rotate(items: Sequence[str], offset: int) -> list[str]:
    """Rotate by `offset`, so that remainders of different caps go to different positions."""
    start = offset % len(items) if items else 0
    return [*items[start:], *items[:start]]


def _apportion(cap: int, weights: Sequence[tuple[str, int]]) -> list[tuple[str, int]]:
    """Divide `cap` by weight, with the largest remainder method.

    Of equal remainders, earlier entries come first. If all weights are 0, they count as equal.
    """
    total = sum(weight for _, weight in weights)
    if total == 0:
        weights, total = [(name, 1) for name, _ in weights], len(weights)
    counts = [cap * weight // total for _, weight in weights]
    by_remainder = sorted(range(len(weights)), key=lambda i: -(cap * weights[i][1] % total))
    for index in by_remainder[: cap - sum(counts)]:
        counts[index] += 1
    return [(name, units) for (name, _), units in zip(weights, counts, strict=True)]


def _split_service(config: Configuration, servers: Sequence[BackendServer], split: Split) -> None:
    """Assign each position an equal quota of a service's slots, nearest servers first."""
    region = {z.name: z.region for z in config.availability_zones}
    zone = {p.name: p.availability_zone for p in config.host_positions}
    total = sum(server.slots for server in servers)
    quota = dict(_apportion(total, [(position, 1) for position in zone]))
    slots_left = {server.name: server.slots for server in servers}

    def distance(server: BackendServer, position: Position) -> int:
        if zone[position] == server.availability_zone:
            return 0
        return 1 if region[zone[position]] == region[server.availability_zone] else 2

    for rank in range(3):
        near = {s.name: [p for p in zone if distance(s, p) == rank] for s in servers}
        _assign_slots(servers, near, slots_left, quota, split)


def _assign_slots(
    servers: Sequence[BackendServer],
    near: Mapping[str, Sequence[Position]],
    slots_left: dict[str, int],
    quota: dict[Position, int],
    split: Split,
) -> None:
    """Assign slots one at a time in rotation over the servers.

    Each slot goes to the position with the largest remaining quota, so that no server or position
    is preferred.
    """
    has_assigned = True
    while has_assigned:
        has_assigned = False
        for server in servers:
            candidates = [p for p in near[server.name] if quota[p] > 0]
            if not candidates or slots_left[server.name] == 0:
                continue
            selected = max(candidates, key=lambda p: quota[p])
            resource = server_resource(server.name)
            split[selected][resource] = split[selected].get(resource, 0) + 1
            slots_left[server.name] -= 1
            quota[selected] -= 1
            has_assigned = True


def _split_regions_and_plans(config: Configuration, split: Split) -> None:
    """Split region and plan caps by the server slots of each position.

    A unit of a region or plan can be used only together with a server slot in that region.
    """
    region = {z.name: z.region for z in config.availability_zones}
    slots: dict[tuple[Position, str, str], int] = {}
    for server in config.backend_servers:
        region_name = region[server.availability_zone]
        for position, units in split.items():
            key = (position, region_name, server.service)
            slots[key] = slots.get(key, 0) + units.get(server_resource(server.name), 0)
    services = {service.name for service in config.services}
    for index, item in enumerate(config.regions):
        resource = region_resource(item.name)
        _split_by_slots(item.concurrent, resource, item.name, services, index, slots, split)
    for index, allowance in enumerate(config.allowances):
        resource = plan_resource(allowance.plan, allowance.region, allowance.service)
        plan_services = {allowance.service}
        _split_by_slots(
            allowance.concurrent, resource, allowance.region, plan_services, index, slots, split
        )


def _split_by_slots(
    cap: int,
    resource: ResourceId,
    region: str,
    services: Iterable[str],
    offset: int,
    slots: Mapping[tuple[Position, str, str], int],
    split: Split,
) -> None:
    """Split one cap by the slots that each position has for the services in the region."""
    services = list(services)
    weights = [
        (position, sum(slots.get((position, region, service), 0) for service in services))
        for position in _rotate(list(split), offset)
    ]
    for position, units in _apportion(cap, weights):
        if units:
            split[position][resource] = units


def _split_links(config: Configuration, split: Split) -> None:
    region = {z.name: z.region for z in config.availability_zones}
    for index, link in enumerate(config.links):
        link_regions = (link.from_region, link.to_region)
        near = [
            p.name for p in config.host_positions if region[p.availability_zone] in link_regions
        ]
        candidates = _rotate(near or list(split), index)
        cap = link.rate_bytes_per_s // LINK_UNIT_BYTES_PER_S
        for position, units in _apportion(cap, [(candidate, 1) for candidate in candidates]):
            if units:
                split[position][link_resource(*link_regions)] = units
