"""Define the objects that members share: configuration, registered servers, drained zones."""

import re
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
    "Organisation",
    "Route",
    "RouteKind",
    "RouteShare",
    "RouteTable",
    "ServerEntry",
    "ServerList",
    "ServicePolicy",
    "ZoneDrains",
    "decode_object",
    "encode_object",
    "encoded_bytes_max",
]

ROUTES_KEY = "routes"
SERVERS_KEY = "servers"
ZONE_DRAINS_KEY = "zone_drains"
SHARED_KEYS = (ROUTES_KEY, SERVERS_KEY, ZONE_DRAINS_KEY)

# An encoded object may be this many times as long as what the store holds: a key of three
# characters takes 6 bytes there, its digest 67.
ENCODED_RATIO_MAX = 12
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


class RouteKind(StrEnum):
    """Whether the requests of a route may be retried, and whether their bodies are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once, so that it can be retried."""
        return self is RouteKind.IDEMPOTENT


@attrs.frozen
class RouteShare:
    """A service of a route and its weight, relative to the weights of the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How to route requests to one host name under a path prefix.

    `goal_s` is the latency objective. `attempts_max` counts the first attempt. Priority 0 is the
    most urgent. Empty `home_regions` allow every region. Requests of a public route need no key.
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
    is_public: bool = False


def _check_digests(instance: object, attribute: object, digests: tuple[str, ...]) -> None:
    if not all(_SHA256_HEX.fullmatch(digest) for digest in digests):
        raise ValueError("a digest of a key is not one of SHA-256 in lower-case hexadecimal digits")


@attrs.frozen
class Organisation:
    """An organisation whose callers send one of its keys.

    `key_sha256` holds the digests of the keys in hexadecimal digits. `priority` takes precedence
    over that of the route unless it is None. A `rate_per_s` of 0 is no limit. Empty `home_regions`
    allow every region of the route.
    """

    name: str
    key_sha256: tuple[str, ...] = attrs.field(default=(), validator=_check_digests)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class ServicePolicy:
    """The limits of each server of a service.

    A server is cold for `warmup_s` after its start and accepts `cold_rate_per_s` until then.
    """

    name: str
    connections_max: int
    warmup_s: float
    cold_rate_per_s: float


@attrs.frozen
class CallerLimits:
    """Limits of a caller's connection: sizes of headers and body, and timeouts."""

    header_bytes_max: int = 16384
    body_bytes_max: int = 67108864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class RouteTable:
    """All routes and services of one configuration; `number` increases with each version.

    Without `organisations` callers need no keys.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServicePolicy, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] = ()


@attrs.frozen
class ServerEntry:
    """The registration of a backend server.

    `cold_s` is how long it stays cold, counted from when the entry was written. `started_ms` is
    the start of its process in Unix milliseconds of its own clock, 0 if unknown.
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
    """All registered servers; a server that is not in the list is no longer registered."""

    entries: tuple[ServerEntry, ...]


@attrs.frozen
class ZoneDrains:
    """Drained availability zones, whose servers receive no requests."""

    availability_zones: tuple[str, ...]


SharedObject = RouteTable | ServerList | ZoneDrains
_TYPES: dict[str, type[SharedObject]] = {
    ROUTES_KEY: RouteTable,
    SERVERS_KEY: ServerList,
    ZONE_DRAINS_KEY: ZoneDrains,
}


def encode_object(value: SharedObject) -> bytes:
    """Encode the value of a shared object as JSON."""
    return msgspec.json.encode(value)


def encoded_bytes_max(value_bytes_max: int) -> int:
    """Return the largest size of an encoded object, if the store's values have at most this one."""
    return ENCODED_RATIO_MAX * value_bytes_max


def decode_object(key: str, value: bytes) -> SharedObject:
    """Decode the value of the shared object `key`; raise ConfigError if it is not valid."""
    try:
        return msgspec.json.decode(value, type=_TYPES[key])
    except (KeyError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{key}: {error}") from error
