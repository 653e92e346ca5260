"""Compute the effect of a configuration change or drain on slots and hosts in advance."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from berylchute.config import Configuration

__all__ = [
    "SlotChange",
    "HostChange",
    "slot_changes",
    "host_changes",
    "slots_by_region_and_service",
    "without_drained_servers",
]


@attrs.frozen
class SlotChange:
    """Slots of a service in a region before and after a change, and slots in use now."""

    region: str
    service: str
    slots_before: int
    slots_after: int
    in_use: int

    @property
    def free_after(self) -> int:
        """Return the free slots after the change; negative if more are in use than remain."""
        return self.slots_after - self.in_use


@attrs.frozen
class HostChange:
    """Positions of entry hosts in an availability zone before and after a host drain."""

    region: str
    availability_zone: str
    hosts_before: int
    hosts_after: int


def host_changes(document: Configuration, host_position: str) -> list[HostChange]:
    """Return one row per availability zone that loses an entry host to a drain."""
    region_of = {zone.name: zone.region for zone in document.availability_zones}
    zones = Counter(position.availability_zone for position in document.host_positions)
    return [
        HostChange(
            region_of[position.availability_zone],
            position.availability_zone,
            zones[position.availability_zone],
            zones[position.availability_zone] - 1,
        )
        for position in document.host_positions
        if position.name == host_position
    ]


def slots_by_region_and_service(document: Configuration) -> Counter[tuple[str, str]]:
    """Return the number of slots by (region, service)."""
    region_of = {zone.name: zone.region for zone in document.availability_zones}
    slots: Counter[tuple[str, str]] = Counter()
    for server in document.backend_servers:
        slots[region_of[server.availability_zone], server.service] += server.slots
    return slots


def without_drained_servers(document: Configuration, target: str, name: str) -> Configuration:
    """Return the document without the servers that a drain of the target takes out of use.

    `target` is "server", "availability_zone" or "region"; a drained host removes no servers.
    """
    region_of = {zone.name: zone.region for zone in document.availability_zones}

    def is_kept(server_name: str, zone: str) -> bool:
        names = {"server": server_name, "availability_zone": zone, "region": region_of[zone]}
        return names.get(target) != name

    kept = [
        server
        for server in document.backend_servers
        if is_kept(server.name, server.availability_zone)
    ]
    return attrs.evolve(document, backend_servers=tuple(kept))


def slot_changes(
    before: Configuration, after: Configuration, in_use_by_server: Mapping[str, int]
) -> list[SlotChange]:
    """Return one row per region and service whose slots change, in sorted order."""
    region_of = {zone.name: zone.region for zone in before.availability_zones}
    in_use: Counter[tuple[str, str]] = Counter()
    for server in before.backend_servers:
        place = (region_of[server.availability_zone], server.service)
        in_use[place] += in_use_by_server.get(server.name, 0)
    old, new = slots_by_region_and_service(before), slots_by_region_and_service(after)
    places: Iterable[tuple[str, str]] = sorted({*old, *new})
    return [
        SlotChange(region, service, old[region, service], new[region, service], in_use[place])
        for place in places
        for region, service in [place]
        if old[place] != new[place]
    ]
