"""Write what the platform's store, servers, callers and settings say, in the platform's words."""

from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlencode

import attrs
import msgspec

from berylchute.callers import CallerRequest, Header
from berylchute.dialect import Dialect
from berylchute_platform.headers import DIALECT
from berylchute_platform.settings import SETTINGS_VARIABLE

__all__ = [
    "PLAIN",
    "ROUTES",
    "SERVERS",
    "ZONE_DRAINS",
    "EdgeAddresses",
    "StoreQuery",
    "answer_headers",
    "caller_headers",
    "directory_url",
    "expected_server",
    "find_header",
    "list_answer",
    "parse_addresses",
    "routes_document",
    "server_document",
    "server_stamp",
    "settings_environment",
    "settings_text",
    "stored_item",
    "watch_answer",
]

# The store's and the servers' own HTTP side must not take any header out.
PLAIN = Dialect(request_id=DIALECT.request_id, deadline_ms=b"-", expected_server=b"-")
# Collections of the store, and the one name under which the configuration stands.
ROUTES = ("config", "main")
SERVERS = "servers"
ZONE_DRAINS = "evacuations"
HOST = "soak.example"
STAMP = b"server-stamp"
ROUTE_KINDS = {"read": "safe", "post": "unsafe"}


@attrs.frozen
class StoreQuery:
    """A call to the store: a list, or a watch from a revision."""

    collection: str
    after: int | None
    wait_s: float

    @classmethod
    def of(cls, request: CallerRequest) -> "StoreQuery":
        """Return what a request asks for."""
        query = parse_qs(request.target.partition(b"?")[2].decode())
        after = int(query["watch"][0]) if "watch" in query else None
        wait_s = int(query.get("wait-ms", ["0"])[0]) / 1000.0
        return cls(request.path.rpartition("/")[2], after, wait_s)


def stored_item(name: str, revision: int, spec: Any, status: Any) -> Mapping[str, Any]:
    """Return an object as the store shows it."""
    return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": status}


def list_answer(items: Sequence[Mapping[str, Any]], revision: int) -> bytes:
    """Return the body of a list."""
    return msgspec.json.encode({"items": items, "has-more": False, "at-rev": revision})


def watch_answer(changes: Sequence[tuple[Mapping[str, Any], bool]], revision: int) -> bytes:
    """Return the body of a watch; a change is an object and whether it was deleted."""
    events = [{"object": item, "deleted": deleted} for item, deleted in changes]
    return msgspec.json.encode({"events": events, "at-rev": revision})


def server_document(
    service: str, address: str, zone: str, *, slots: int, started_ms: int, is_draining: bool
) -> tuple[Mapping[str, Any], Mapping[str, Any]]:
    """Return the two parts of a server's entry."""
    info = {"service": service, "version": "v1", "zone": zone, "slots": slots}
    spec = {"address": address, "info": info, "born": started_ms}
    return spec, {"state": "draining" if is_draining else "ready", "seq": 1}


def routes_document(number: int, service: str, services: Sequence[str]) -> Mapping[str, Any]:
    """Return a configuration whose routes all lead to one service."""
    route = {
        "host": HOST,
        "timeout-s": 2.0,
        "target-latency-s": 0.3,
        "priority": 1,
        "max-attempts": 2,
        "service": service,
    }
    return {
        "version": f"r{number}",
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
    }


@attrs.frozen
class EdgeAddresses:
    """Where one edge listens, as `ip:port`, and its free ports."""

    callers: str
    ready: str
    peers: str
    directory: str
    free_ports: tuple[int, int]


def settings_text(
    host: str, zone: str, own: EdgeAddresses, seeds: Sequence[str], store: str, grace_s: float
) -> str:
    """Return an edge's settings file; all zones belong to one region."""
    lines = {
        "node-name": host,
        "ip": "127.0.0.1",
        "zone": zone,
        "region": "ra",
        "zones.za": "ra",
        "zones.zb": "ra",
        "listen.front": own.callers,
        "listen.ready": own.ready,
        "listen.control": own.peers,
        "listen.directory": own.directory,
        "internal-ports": ",".join(map(str, own.free_ports)),
        "seeds": ",".join(seeds),
        "bounds": f"grace-s={grace_s:g},retry-budget-ratio=0.2,budget-window-s=10,retry-burst=60",
        "platform.address": store,
    }
    return "".join(f"{name}={value}\n" for name, value in lines.items())


def settings_environment(path: Path) -> Mapping[str, str]:
    """Return the variable that tells a process where its settings are."""
    return {SETTINGS_VARIABLE: str(path)}


def directory_url(directory: str) -> str:
    """Return the address of a directory's answer for a caller."""
    return (
        f"http://{directory}/v1/resolve?{urlencode({'name': HOST, 'region': 'ra', 'zone': 'za'})}"
    )


def parse_addresses(body: bytes) -> list[str]:
    """Return the addresses in a directory's answer."""
    return list(msgspec.json.decode(body)["addresses"])


def caller_headers(request_id: str, time_left_ms: int, key: int) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        DIALECT.request_id.decode().title(): request_id,
        DIALECT.deadline_ms.decode().title(): str(time_left_ms),
        "Cookie": f"{DIALECT.affinity_cookie.decode().title()}={key}",
    }


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header of a name."""
    return next((value for key, value in headers if key.lower() == name), None)


def expected_server(request: CallerRequest) -> bytes | None:
    """Return the id of the server that a request is for."""
    return find_header(request.headers, DIALECT.expected_server)


def server_stamp(headers: Iterable[Header]) -> bytes | None:
    """Return the mark that only a server's own answer carries."""
    return find_header(headers, STAMP)


def answer_headers(
    request_id: str,
    *,
    stamp: str = "",
    running: int | None = None,
    slots: int = 0,
    is_not_run: bool = False,
) -> tuple[Header, ...]:
    """Return the headers of a server's answer."""
    headers: list[Header] = [(DIALECT.request_id, request_id.encode())]
    if running is not None:
        headers.append((DIALECT.load, b"%d,0,%d,100" % (running, slots)))
    if is_not_run:
        headers.append((DIALECT.not_run, b"1"))
    if stamp:
        headers.append((STAMP, stamp.encode()))
    return tuple(headers)
