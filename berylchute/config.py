"""Model the configuration document: plans, allowances and the topology they refer to."""

import tomllib
from collections.abc import Mapping
from typing import Any, Literal

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = [
    "Allowance",
    "AvailabilityZone",
    "BackendServer",
    "ClientBlock",
    "Configuration",
    "Customer",
    "Distance",
    "HostPosition",
    "Kind",
    "Link",
    "Plan",
    "Region",
    "Service",
    "Site",
    "decode_json",
    "decode_toml",
    "encode_json",
]


@attrs.frozen
class Plan:
    """A plan that customers hold; a higher priority is refused later under overload."""

    name: str
    priority: int


@attrs.frozen
class Customer:
    """A customer, its plan and the SHA-256 digests (hex) of its bearer tokens."""

    name: str
    plan: str
    token_sha256: tuple[str, ...]


@attrs.frozen
class Allowance:
    """Concurrent requests that a plan may have in one region and service."""

    plan: str
    region: str
    service: str
    concurrent: int


@attrs.frozen
class Region:
    """A region and the concurrent requests that it bears."""

    name: str
    concurrent: int


@attrs.frozen
class AvailabilityZone:
    """An availability zone of a region."""

    name: str
    region: str


@attrs.frozen
class Link:
    """One direction of a link between regions."""

    from_region: str
    to_region: str
    rate_bytes_per_s: int


@attrs.frozen
class Distance:
    """One-way delay between two different regions, in either direction."""

    from_region: str
    to_region: str
    one_way_ms: float


@attrs.frozen
class Service:
    """A service; requests for it have paths that begin with `/<name>/`."""

    name: str


@attrs.frozen
class Kind:
    """A kind of request, matched by service, method and path prefix (longest prefix first)."""

    name: str
    service: str
    methods: tuple[str, ...]
    path_prefix: str
    idempotent: bool
    size: Literal["short", "long"]
    deadline_default_ms: int
    deadline_max_ms: int
    may_hedge: bool = False


@attrs.frozen
class BackendServer:
    """A backend server; `address` is `ip:port`."""

    name: str
    service: str
    availability_zone: str
    address: str
    slots: int
    connections: int = 400


@attrs.frozen
class HostPosition:
    """A place for one entry host; hosts are replaced, positions stay."""

    name: str
    availability_zone: str


@attrs.frozen
class Site:
    """A place that client blocks are steered to."""

    name: str
    availability_zone: str


@attrs.frozen
class ClientBlock:
    """A block of client addresses and the site nearest to it."""

    cidr: str
    site: str


@attrs.frozen
class Configuration:
    """The whole configuration document."""

    plans: tuple[Plan, ...]
    customers: tuple[Customer, ...]
    allowances: tuple[Allowance, ...]
    regions: tuple[Region, ...]
    availability_zones: tuple[AvailabilityZone, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    backend_servers: tuple[BackendServer, ...]
    host_positions: tuple[HostPosition, ...]
    links: tuple[Link, ...] = ()
    distances: tuple[Distance, ...] = ()
    availability_zone_one_way_ms: float = 1.5
    sites: tuple[Site, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()
    deployment: str = ""
    edit_id: str = ""
    edit_author: str = ""
    edit_time: str = ""
    generation: int = 0

    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone; raise ConfigError if unknown."""
        for zone in self.availability_zones:
            if zone.name == availability_zone:
                return zone.region
        raise ConfigError(f"availability zone {availability_zone!r} does not exist")


def _refuse_unknown_keys(value: Any, kind: Any, path: str) -> None:
    if attrs.has(kind) and isinstance(value, Mapping):
        known = {field.name: field.type for field in attrs.fields(kind)}
        for key, child in value.items():
            if key not in known:
                raise ConfigError(f"{path}{key}: unknown key; allowed: {', '.join(sorted(known))}")
            _refuse_unknown_keys(child, known[key], f"{path}{key}.")
    elif isinstance(value, list):
        for index, child in enumerate(value):
            element = getattr(kind, "__args__", (None,))[0]
            _refuse_unknown_keys(child, element, f"{path[:-1]}[{index}].")


def _convert(raw: Any) -> Configuration:
    _refuse_unknown_keys(raw, Configuration, "")
    try:
        return msgspec.convert(raw, Configuration)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error)) from error


def decode_toml(text: str) -> Configuration:
    """Return the document in TOML text; raise ConfigError naming key and reason."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"not TOML: {error}") from error
    return _convert(raw)


def decode_json(value: bytes) -> Configuration:
    """Return the document in JSON bytes; raise ConfigError naming key and reason."""
    try:
        raw = msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise ConfigError(f"not JSON: {error}") from error
    return _convert(raw)


def encode_json(configuration: Configuration) -> bytes:
    """Return the document as JSON bytes."""
    return msgspec.json.encode(configuration)
