"""Define, decode and encode the configuration document: plans, allowances and topology."""

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
    "Link",
    "Plan",
    "Region",
    "RequestKind",
    "Service",
    "Site",
    "decode_json",
    "decode_toml",
    "encode_json",
]


@attrs.frozen
class Plan:
    """A customer plan; under overload, requests of plans with low `priority` are refused first."""

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
    """Maximum of concurrent requests of a plan in one region and service."""

    plan: str
    region: str
    service: str
    concurrent: int


@attrs.frozen
class Region:
    """A region and the maximum of its concurrent requests."""

    name: str
    concurrent: int


@attrs.frozen
class AvailabilityZone:
    """An availability zone of a region."""

    name: str
    region: str


@attrs.frozen
class Link:
    """A network link from one region to another; each direction is a link of its own."""

    from_region: str
    to_region: str
    rate_bytes_per_s: int


@attrs.frozen
class Distance:
    """One-way delay between two different regions; it applies to both directions."""

    from_region: str
    to_region: str
    one_way_ms: float


@attrs.frozen
class Service:
    """A service; requests for it have paths that begin with `/<name>/`."""

    name: str


@attrs.frozen
class RequestKind:
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
    """A backend server at `address` (`ip:port`); `slots` bounds its concurrent requests."""

    name: str
    service: str
    availability_zone: str
    address: str
    slots: int
    connections: int = 400


@attrs.frozen
class HostPosition:
    """A position that one entry host fills; it remains when the host is replaced."""

    name: str
    availability_zone: str


@attrs.frozen
class Site:
    """A location that client blocks are steered to."""

    name: str
    availability_zone: str


@attrs.frozen
class ClientBlock:
    """A block of client addresses and the site nearest to it."""

    cidr: str
    site: str


@attrs.frozen
class Configuration:
    """The configuration document; its fields are the keys of the operator's file."""

    plans: tuple[Plan, ...]
    customers: tuple[Customer, ...]
    allowances: tuple[Allowance, ...]
    regions: tuple[Region, ...]
    availability_zones: tuple[AvailabilityZone, ...]
    services: tuple[Service, ...]
    kinds: tuple[RequestKind, ...]
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


def _reject_unknown_keys(value: Any, value_type: Any, path: str) -> None:
    if attrs.has(value_type) and isinstance(value, Mapping):
        known = {field.name: field.type for field in attrs.fields(value_type)}
        for key, child in value.items():
            if key not in known:
                raise ConfigError(f"{path}{key}: unknown key; allowed: {', '.join(sorted(known))}")
            _reject_unknown_keys(child, known[key], f"{path}{key}.")
    elif isinstance(value, list):
        for index, child in enumerate(value):
            element_type = getattr(value_type, "__args__", (None,))[0]
            _reject_unknown_keys(child, element_type, f"{path[:-1]}[{index}].")


def _build_configuration(raw: Any) -> Configuration:
    _reject_unknown_keys(raw, Configuration, "")
    try:
        return msgspec.convert(raw, Configuration)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error)) from error


def decode_toml(text: str) -> Configuration:
    """Return the document decoded from TOML; raise ConfigError with key and reason."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"document is not valid TOML: {error}") from error
    return _build_configuration(raw)


def decode_json(value: bytes) -> Configuration:
    """Return the document decoded from JSON; raise ConfigError with key and reason."""
    try:
        raw = msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise ConfigError(f"document is not valid JSON: {error}") from error
    return _build_configuration(raw)


def encode_json(configuration: Configuration) -> bytes:
    """Return the document as JSON, as it is put into the store."""
    return msgspec.json.encode(configuration)
