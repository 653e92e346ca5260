"""The platform's documents, headers and settings, as the simulated parts write them."""

from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlencode

import attrs
import msgspec

from berylchute.callers import CallerRequest, Header
from berylchute.headernames import HeaderNames
from berylchute_platform.headers import HEADER_NAMES, STORE_ERA
from berylchute_platform.records import RECORD_KIND, RECORD_NAME
from berylchute_platform.settings import SETTINGS_VARIABLE

__all__ = [
    "FLEET_RECORD_KEY",
    "ROUTES_KEY",
    "SERVERS_COLLECTION",
    "UNFILTERED_HEADER_NAMES",
    "ZONE_DRAINS_COLLECTION",
    "EdgeAddresses",
    "StoreQuery",
    "StoreWrite",
    "caller_headers",
    "directory_url",
    "encode_list",
    "encode_object",
    "encode_watch",
    "expected_server",
    "find_header",
    "has_api_key",
    "is_object_path",
    "make_object",
    "object_path",
    "organisation",
    "parse_addresses",
    "response_headers",
    "routes_document",
    "server_document",
    "server_stamp",
    "settings_environment",
    "settings_text",
    "store_headers",
]

# CallerServer removes the deadline and the expected-server header from requests. No header is named
# `-`, so the simulated store and servers get both.
UNFILTERED_HEADER_NAMES = HeaderNames(
    request_id=HEADER_NAMES.request_id, deadline_ms=b"-", expected_server=b"-"
)
# Collections of the store; the configuration is the only object of its collection.
FLEET_RECORD_KEY = (RECORD_KIND, RECORD_NAME)
ROUTES_KEY = ("config", "main")
SERVERS_COLLECTION = "servers"
ZONE_DRAINS_COLLECTION = "evacuations"
DOMAIN = "soak.example"
STAMP_HEADER = b"server-stamp"
ROUTE_KINDS = {"read": "safe", "post": "unsafe"}


@attrs.frozen
class StoreQuery:
    """A request to the store: a list, or a watch of the changes after a revision.

    `watch_revision` is None for a list; `wait_s` is how long a watch may wait for a change.
    """

    collection: str
    watch_revision: int | None
    wait_s: float

    @classmethod
    def from_request(cls, request: CallerRequest) -> "StoreQuery":
        """Parse the collection and the parameters of a request's target."""
        query = parse_qs(request.target.partition(b"?")[2].decode())
        watch_revision = int(query["watch"][0]) if "watch" in query else None
        wait_s = int(query.get("wait-ms", ["0"])[0]) / 1000.0
        return cls(request.path.rpartition("/")[2], watch_revision, wait_s)


@attrs.frozen
class StoreWrite:
    """A write of a single object; `revision` is 0 if it must not exist."""

    kind: str
    name: str
    revision: int
    spec: Any

    @classmethod
    def from_request(cls, request: CallerRequest) -> "StoreWrite | None":
        """Parse a request, None if it is no write."""
        if request.method not in (b"POST", b"PUT"):
            return None
        body = msgspec.json.decode(bytes(request.body))
        kind = request.path.split("/")[3]
        metadata = body["metadata"]
        return cls(kind, metadata["name"], metadata.get("revision", 0), body["spec"])


def object_path(request: CallerRequest) -> tuple[str, str]:
    """Return the kind and the name in the path of a single object."""
    _, _, _, kind, name = request.path.split("/")
    return kind, name


def is_object_path(request: CallerRequest) -> bool:
    """Return whether a path names a single object."""
    return request.path.count("/") == 4


def encode_object(item: Mapping[str, Any]) -> bytes:
    """Encode the body of an answer with a single object."""
    return msgspec.json.encode(item)


def store_headers(era: int) -> tuple[Header, ...]:
    """Return the headers of a store's answer; `era` counts its restores from 1."""
    return ((b"Content-Type", b"application/json"), (STORE_ERA, b"%d" % era))


def make_object(name: str, revision: int, spec: Any, status: Any) -> Mapping[str, Any]:
    """Return an object as lists and watches contain it."""
    return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": status}


def encode_list(items: Sequence[Mapping[str, Any]], revision: int) -> bytes:
    """Encode the body of a response to a list."""
    return msgspec.json.encode({"items": items, "has-more": False, "at-rev": revision})


def encode_watch(changes: Sequence[tuple[Mapping[str, Any], bool]], revision: int) -> bytes:
    """Encode the body of a watch response; a change is an object and whether it was deleted."""
    events = [{"object": item, "deleted": deleted} for item, deleted in changes]
    return msgspec.json.encode({"events": events, "at-rev": revision})


def server_document(
    service: str, address: str, zone: str, *, slots: int, started_ms: int, is_draining: bool
) -> tuple[Mapping[str, Any], Mapping[str, Any]]:
    """Return the spec and the status of a server's object."""
    info = {"service": service, "version": "v1", "zone": zone, "slots": slots}
    spec = {"address": address, "info": info, "born": started_ms}
    return spec, {"state": "draining" if is_draining else "ready", "seq": 1}


def routes_document(
    version: int, service: str, services: Sequence[str], keys: Mapping[str, Sequence[str]] = {}
) -> Mapping[str, Any]:
    """Return a configuration that routes all requests to `service`.

    `keys` maps organisations to their API keys; without any, callers need none.
    """
    route = {
        "host": DOMAIN,
        "timeout-s": 2.0,
        "target-latency-s": 0.3,
        "priority": 1,
        "max-attempts": 2,
        "service": service,
    }
    return {
        "version": f"r{version}",
        "routes": [
            {**route, "name": name, "path-prefix": f"/{name}/", "kind": kind}
            for name, kind in ROUTE_KINDS.items()
        ],
        "services": [
            {"name": name, "max-conns": 200, "warmup-s": 0.0, "cold-per-s": 50.0}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "tenants": [{"name": name, "api-keys": list(values)} for name, values in keys.items()],
    }


@attrs.frozen
class EdgeAddresses:
    """The `ip:port` of each listener of an edge, and two ports for its internal use."""

    caller_address: str
    readiness_address: str
    peer_address: str
    directory_address: str
    free_ports: tuple[int, int]


def settings_text(
    edge_name: str,
    zone: str,
    addresses: EdgeAddresses,
    seeds: Sequence[str],
    store_address: str,
    grace_s: float,
) -> str:
    """Return the text of an edge's settings file; all zones belong to one region."""
    settings = {
        "node-name": edge_name,
        "ip": "127.0.0.1",
        "zone": zone,
        "region": "ra",
        "zones.za": "ra",
        "zones.zb": "ra",
        "listen.front": addresses.caller_address,
        "listen.ready": addresses.readiness_address,
        "listen.control": addresses.peer_address,
        "listen.directory": addresses.directory_address,
        "internal-ports": ",".join(map(str, addresses.free_ports)),
        "seeds": ",".join(seeds),
        "bounds": f"grace-s={grace_s:g},retry-budget-ratio=0.2,budget-window-s=10,retry-burst=60",
        "platform.address": store_address,
    }
    return "".join(f"{name}={value}\n" for name, value in settings.items())


def settings_environment(path: Path) -> Mapping[str, str]:
    """Return the environment variable that points a process to its settings file."""
    return {SETTINGS_VARIABLE: str(path)}


def directory_url(directory_address: str) -> str:
    """Return the URL at which a caller resolves the edges' addresses."""
    return (
        f"http://{directory_address}/v1/resolve?"
        f"{urlencode({'name': DOMAIN, 'region': 'ra', 'zone': 'za'})}"
    )


def parse_addresses(body: bytes) -> list[str]:
    """Parse the `ip:port` addresses from the body of a directory's response."""
    return list(msgspec.json.decode(body)["addresses"])


def caller_headers(
    request_id: str, deadline_ms: int, affinity_key: int, api_key: str = ""
) -> dict[str, str]:
    """Return the headers of a caller's request; `deadline_ms` is the time left for it."""
    authorization = {"Authorization": f"Bearer {api_key}"} if api_key else {}
    return {
        **authorization,
        "Host": DOMAIN,
        HEADER_NAMES.request_id.decode().title(): request_id,
        HEADER_NAMES.deadline_ms.decode().title(): str(deadline_ms),
        "Cookie": f"{HEADER_NAMES.affinity_cookie.decode().title()}={affinity_key}",
    }


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name, or None."""
    return next((value for header, value in headers if header.lower() == name), None)


def expected_server(request: CallerRequest) -> bytes | None:
    """Return the id of the server that the edge selected for a request, or None."""
    return find_header(request.headers, HEADER_NAMES.expected_server)


def organisation(request: CallerRequest) -> str:
    """Return the name of the organisation that a request names to its server; "" if none."""
    return (find_header(request.headers, HEADER_NAMES.organisation) or b"").decode()


def has_api_key(request: CallerRequest) -> bool:
    """Return whether a request has the header of an API key."""
    return find_header(request.headers, b"authorization") is not None


def server_stamp(headers: Iterable[Header]) -> bytes | None:
    """Return the unique value that a server adds to its 200 responses, or None."""
    return find_header(headers, STAMP_HEADER)


def response_headers(
    request_id: str,
    *,
    stamp: str = "",
    in_flight: int | None = None,
    slots: int = 0,
    is_not_run: bool = False,
    limit_per_s: float | None = None,
) -> tuple[Header, ...]:
    """Return the headers of a server's response.

    `in_flight` and `slots` form the load report; `is_not_run` marks a request that was not
    executed. `limit_per_s` is the limit that the server states for all edges together.
    """
    headers: list[Header] = [(HEADER_NAMES.request_id, request_id.encode())]
    if in_flight is not None:
        headers.append((HEADER_NAMES.server_load, b"%d,0,%d,100" % (in_flight, slots)))
    if is_not_run:
        headers.append((HEADER_NAMES.not_run, b"1"))
    if limit_per_s is not None:
        headers.append((HEADER_NAMES.server_limit, b"%.1f" % limit_per_s))
    if stamp:
        headers.append((STAMP_HEADER, stamp.encode()))
    return tuple(headers)
