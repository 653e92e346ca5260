"""Describe routes, services, their registered servers and drained zones, as members share them."""

from enum import StrEnum

import attrs
import msgspec

from berylchute.exceptions import ConfigError

__all__ = [
    "ROUTES_KEY",
    "SERVERS_KEY",
    "SHARED_KEYS",
    "ZONE_DRAINS_KEY",
    "CallerLimits",
    "Route",
    "RouteKind",
    "RouteShare",
    "RouteTable",
    "ServerEntry",
    "ServerList",
    "ServicePolicy",
    "ZoneDrains",
    "decode",
    "encode",
]

ROUTES_KEY = "routes"
SERVERS_KEY = "servers"
ZONE_DRAINS_KEY = "zone_drains"
SHARED_KEYS = (ROUTES_KEY, SERVERS_KEY, ZONE_DRAINS_KEY)


class RouteKind(StrEnum):
    """What may be repeated on a route, and how large its bodies are."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is RouteKind.IDEMPOTENT


@attrs.frozen
class RouteShare:
    """A service that carries the share `weight` of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests to one host name under a path prefix, and how they are carried.

    `goal_s` is the latency objective, `priority` 0 is the most urgent, and empty `home_regions`
    allow every region.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    attempts_max: int
    priority: int
    shares: tuple[RouteShare, ...]
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class ServicePolicy:
    """What the servers of one service bear; a cold server bears `cold_rate_per_s`."""

    name: str
    connections_max: int
    warmup_s: float
    cold_rate_per_s: float


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes_max: int = 16384
    body_bytes_max: int = 67108864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class RouteTable:
    """All routes and services of one configuration; `number` only grows."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServicePolicy, ...]
    limits: CallerLimits


@attrs.frozen
class ServerEntry:
    """What a backend server registered of itself.

    `cold_s` is how long it stays cold, counted from when the entry was written; `started_ms` is in
    Unix milliseconds of the server's own clock, 0 where it is not told.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    cold_s: float = 0.0
    started_ms: int = 0


@attrs.frozen
class ServerList:
    """All registered servers."""

    entries: tuple[ServerEntry, ...]


@attrs.frozen
class ZoneDrains:
    """Availability zones whose servers are to receive nothing."""

    availability_zones: tuple[str, ...]


Shared = RouteTable | ServerList | ZoneDrains
_TYPES: dict[str, type[Shared]] = {
    ROUTES_KEY: RouteTable,
    SERVERS_KEY: ServerList,
    ZONE_DRAINS_KEY: ZoneDrains,
}


def encode(value: Shared) -> bytes:
    """Return an object's value as JSON."""
    return msgspec.json.encode(value)


def decode(key: str, value: bytes) -> Shared:
    """Return the typed value of an object; raise ConfigError."""
    try:
        return msgspec.json.decode(value, type=_TYPES[key])
    except (KeyError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{key}: {error}") from error
