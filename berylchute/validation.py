"""Validate a whole configuration document before it is accepted."""

import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import attrs

from berylchute import config
from berylchute.config import BackendServer, Configuration, HostPosition, Site
from berylchute.objects import STORE_VALUE_BYTES_MAX

__all__ = ["ConfigurationProblem", "find_problems"]

# Link capacity is counted in units of 1 MB/s; a smaller number is usually meant as Mbit/s.
LINK_RATE_BYTES_PER_S_MIN = 1_000_000
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")


@attrs.frozen
class ConfigurationProblem:
    """An invalid value in a document: its path, the reason and the allowed values."""

    path: str
    value: str
    reason: str
    allowed_values: str

    def __str__(self) -> str:
        """Return the problem as one line for the operator."""
        return f"{self.path}: {self.reason}: {self.value!r}; allowed: {self.allowed_values}"


def _check_names(table: str, names: Sequence[str]) -> Iterator[ConfigurationProblem]:
    counts = Counter(names)
    for index, name in enumerate(names):
        path = f"{table}[{index}].name"
        if not NAME_PATTERN.fullmatch(name):
            yield ConfigurationProblem(
                path, name, "invalid name", "1 to 63 of a-z, 0-9, '.', '_', '-'"
            )
        if counts[name] > 1 and names.index(name) != index:
            yield ConfigurationProblem(path, name, "duplicate name", "each name once in the table")


def _check_reference(
    path: str, value: str, entity: str, known: Iterable[str]
) -> Iterator[ConfigurationProblem]:
    allowed = sorted(known)
    if value not in allowed:
        yield ConfigurationProblem(
            path, value, f"unknown {entity}", ", ".join(allowed[:12]) or "none defined"
        )


def _check_minimum(path: str, value: float, minimum: float) -> Iterator[ConfigurationProblem]:
    if not value >= minimum:
        yield ConfigurationProblem(path, str(value), "too small", f"at least {minimum}")


def _check_plans_and_customers(document: Configuration) -> Iterator[ConfigurationProblem]:
    plans = {plan.name for plan in document.plans}
    for index, plan in enumerate(document.plans):
        yield from _check_minimum(f"plans[{index}].priority", plan.priority, 0)
    seen: set[str] = set()
    for index, customer in enumerate(document.customers):
        path = f"customers[{index}]"
        yield from _check_reference(f"{path}.plan", customer.plan, "plan", plans)
        for digest in customer.token_sha256:
            if not DIGEST_PATTERN.fullmatch(digest):
                yield ConfigurationProblem(
                    f"{path}.token_sha256",
                    digest,
                    "not a SHA-256 digest",
                    "64 lower-case hex digits",
                )
            if digest in seen:
                yield ConfigurationProblem(
                    f"{path}.token_sha256", digest, "duplicate token", "each token once"
                )
            seen.add(digest)


def _service_slots(document: Configuration) -> Counter[tuple[str, str]]:
    region_of = {zone.name: zone.region for zone in document.availability_zones}
    slots: Counter[tuple[str, str]] = Counter()
    for server in document.backend_servers:
        slots[region_of.get(server.availability_zone, ""), server.service] += server.slots
    return slots


def _check_allowances(document: Configuration) -> Iterator[ConfigurationProblem]:
    plans = {plan.name for plan in document.plans}
    regions = {region.name: region.concurrent for region in document.regions}
    services = {service.name for service in document.services}
    slots = _service_slots(document)
    seen: set[tuple[str, str, str]] = set()
    for index, allowance in enumerate(document.allowances):
        path = f"allowances[{index}]"
        key = (allowance.plan, allowance.region, allowance.service)
        if key in seen:
            yield ConfigurationProblem(
                path, "/".join(key), "duplicate allowance", "one per plan, region and service"
            )
        seen.add(key)
        yield from _check_reference(f"{path}.plan", allowance.plan, "plan", plans)
        yield from _check_reference(f"{path}.region", allowance.region, "region", regions)
        yield from _check_reference(f"{path}.service", allowance.service, "service", services)
        yield from _check_minimum(f"{path}.concurrent", allowance.concurrent, 0)
        limit = min(regions.get(allowance.region, 0), slots[allowance.region, allowance.service])
        if allowance.region in regions and allowance.concurrent > limit:
            yield ConfigurationProblem(
                f"{path}.concurrent",
                str(allowance.concurrent),
                "above the region's capacity for the service",
                f"at most {limit}",
            )


def _check_locations(document: Configuration) -> Iterator[ConfigurationProblem]:
    regions = {region.name for region in document.regions}
    zones = {zone.name for zone in document.availability_zones}
    for index, region in enumerate(document.regions):
        yield from _check_minimum(f"regions[{index}].concurrent", region.concurrent, 1)
    for index, zone in enumerate(document.availability_zones):
        yield from _check_reference(
            f"availability_zones[{index}].region", zone.region, "region", regions
        )
    entries_by_table: dict[str, Sequence[HostPosition | Site | BackendServer]] = {
        "host_positions": document.host_positions,
        "sites": document.sites,
        "backend_servers": document.backend_servers,
    }
    for table, entries in entries_by_table.items():
        for index, entry in enumerate(entries):
            path = f"{table}[{index}].availability_zone"
            yield from _check_reference(path, entry.availability_zone, "availability zone", zones)
    yield from _check_minimum(
        "availability_zone_one_way_ms", document.availability_zone_one_way_ms, 0
    )


def _check_links_and_distances(document: Configuration) -> Iterator[ConfigurationProblem]:
    regions = {region.name for region in document.regions}
    seen: set[tuple[str, str]] = set()
    for index, link in enumerate(document.links):
        path = f"links[{index}]"
        yield from _check_reference(f"{path}.from_region", link.from_region, "region", regions)
        yield from _check_reference(f"{path}.to_region", link.to_region, "region", regions)
        yield from _check_minimum(
            f"{path}.rate_bytes_per_s", link.rate_bytes_per_s, LINK_RATE_BYTES_PER_S_MIN
        )
        ends = (link.from_region, link.to_region)
        if ends in seen or link.from_region == link.to_region:
            yield ConfigurationProblem(
                path,
                " to ".join(ends),
                "duplicate link or link to itself",
                "one per direction between two different regions",
            )
        seen.add(ends)
    for index, distance in enumerate(document.distances):
        path = f"distances[{index}]"
        yield from _check_reference(f"{path}.from_region", distance.from_region, "region", regions)
        yield from _check_reference(f"{path}.to_region", distance.to_region, "region", regions)
        yield from _check_minimum(f"{path}.one_way_ms", distance.one_way_ms, 0)


def _check_request_kinds(document: Configuration) -> Iterator[ConfigurationProblem]:
    services = {service.name for service in document.services}
    for index, kind in enumerate(document.kinds):
        path = f"kinds[{index}]"
        yield from _check_reference(f"{path}.service", kind.service, "service", services)
        for method in kind.methods:
            yield from _check_reference(f"{path}.methods", method, "method", METHODS)
        if not kind.path_prefix.startswith(f"/{kind.service}/"):
            yield ConfigurationProblem(
                f"{path}.path_prefix",
                kind.path_prefix,
                "outside the paths of the service",
                f"begins with /{kind.service}/",
            )
        yield from _check_minimum(f"{path}.deadline_default_ms", kind.deadline_default_ms, 1)
        yield from _check_minimum(
            f"{path}.deadline_max_ms", kind.deadline_max_ms, kind.deadline_default_ms
        )
        if kind.may_hedge and not kind.idempotent:
            yield ConfigurationProblem(
                f"{path}.may_hedge",
                "true",
                "a hedge of a non-idempotent request may run it twice",
                "false unless idempotent",
            )


def _check_backend_servers(document: Configuration) -> Iterator[ConfigurationProblem]:
    services = {service.name for service in document.services}
    seen: set[str] = set()
    for index, server in enumerate(document.backend_servers):
        path = f"backend_servers[{index}]"
        yield from _check_reference(f"{path}.service", server.service, "service", services)
        yield from _check_minimum(f"{path}.slots", server.slots, 1)
        yield from _check_minimum(f"{path}.connections", server.connections, server.slots)
        if server.address in seen:
            yield ConfigurationProblem(
                f"{path}.address", server.address, "duplicate address", "each address once"
            )
        seen.add(server.address)
        host, _, port = server.address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            is_valid = 0 < int(port) < 65536
        except ValueError:
            is_valid = False
        if not is_valid:
            yield ConfigurationProblem(
                f"{path}.address",
                server.address,
                "not an IP address with port",
                "ip:port",
            )


def _check_client_blocks(document: Configuration) -> Iterator[ConfigurationProblem]:
    sites = {site.name for site in document.sites}
    seen: set[str] = set()
    for index, block in enumerate(document.client_blocks):
        path = f"client_blocks[{index}]"
        yield from _check_reference(f"{path}.site", block.site, "site", sites)
        try:
            network = str(ipaddress.ip_network(block.cidr))
        except ValueError as error:
            yield ConfigurationProblem(
                f"{path}.cidr", block.cidr, str(error), "an address block such as 10.0.0.0/16"
            )
            continue
        if network in seen:
            yield ConfigurationProblem(
                f"{path}.cidr", block.cidr, "duplicate address block", "each block once"
            )
        seen.add(network)


def find_problems(document: Configuration) -> list[ConfigurationProblem]:
    """Return all problems of the document; it may be accepted if there are none."""
    problems: list[ConfigurationProblem] = []
    for table in (
        "plans",
        "customers",
        "regions",
        "availability_zones",
        "services",
        "kinds",
        "backend_servers",
        "host_positions",
        "sites",
    ):
        problems += _check_names(table, [entry.name for entry in getattr(document, table)])
    for check in (
        _check_plans_and_customers,
        _check_allowances,
        _check_locations,
        _check_links_and_distances,
        _check_request_kinds,
        _check_backend_servers,
        _check_client_blocks,
    ):
        problems += check(document)
    size_bytes = len(config.encode_json(document))
    if size_bytes > STORE_VALUE_BYTES_MAX:
        allowed = f"at most {STORE_VALUE_BYTES_MAX} bytes as JSON"
        problems.append(
            ConfigurationProblem("document", f"{size_bytes} bytes", "too large", allowed)
        )
    return problems
