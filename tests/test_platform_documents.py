"""Check the decoding of the platform's objects, and that its names are used in its folder only."""

import re
from pathlib import Path
from typing import Any

import pytest

from berylchute.sharedobjects import RouteKind, RouteShare, RouteTable, ServerEntry
from berylchute_platform.documents import (
    decode_document,
    make_routes,
    make_servers,
    make_zone_drains,
)

ROOT = Path(__file__).parent.parent
WIRE = ROOT / "soak" / "wire.py"
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "Jepu9.example",
    "path-prefix": "/lepu270/",
    "kind": "safe",
    "timeout-s": 1.2,
    "target-latency-s": 0.3,
    "priority": 2,
    "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
    "max-attempts": 2,
    "sticky": True,
    "home-regions": ["ra"],
}
MANIFEST: dict[str, Any] = {
    "version": "r7",
    "routes": [ROUTE],
    "services": [
        {
            "name": "x",
            "health-path": "/health",
            "max-conns": 390,
            "protocol": "h1",
            "tls": False,
            "warmup-s": 3.0,
            "cold-per-s": 14.0,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-s": 3,
        "idle-timeout-s": 15,
    },
}
SERVER: dict[str, Any] = {
    "spec": {
        "address": "10.128.0.9:8080",
        "info": {"service": "x", "version": "v1", "zone": "za", "slots": 4},
        "born": 1700000000000,
    },
    "status": {"state": "ready", "seq": 4, "cold-remaining-s": 0},
}


def test_manifest_becomes_a_route_table() -> None:
    # Guard against fields of the platform's manifest that are lost or translated wrongly.
    table = decode_document("config", "main", {"spec": MANIFEST})
    assert isinstance(table, RouteTable)
    assert table.number == 7 and table.limits.idle_timeout_s == 15
    (route,) = table.routes
    assert (route.host, route.kind, route.goal_s) == ("jepu9.example", RouteKind.IDEMPOTENT, 0.3)
    assert route.shares == (RouteShare("x", 90.0), RouteShare("y", 10.0))
    assert route.home_regions == ("ra",)
    assert make_routes({"main": table}) is table


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": "rx"},
        {"routes": [{**ROUTE, "kind": "odd"}]},
        {"routes": [{**ROUTE, "split": None}]},
        {"routes": [{**ROUTE, "timeout-s": "1"}]},
        {"limits": None},
    ],
)
def test_malformed_manifest_is_ignored(change: dict[str, Any]) -> None:
    # Guard against an exception or an incomplete route table when the manifest is malformed.
    assert decode_document("config", "main", {"spec": {**MANIFEST, **change}}) is None
    assert make_routes({}) is None


def test_server_registration_becomes_an_entry() -> None:
    # Guard against fields of a server's registration that are lost or translated wrongly.
    entry = decode_document("servers", "i-1", SERVER)
    assert entry == ServerEntry("i-1", "x", "10.128.0.9:8080", "za", 4, False, 0.0, 1700000000000)
    cold = {**SERVER, "status": {"state": "draining", "seq": 4, "cold-remaining-s": 2.5}}
    entry = decode_document("servers", "i-1", cold)
    assert isinstance(entry, ServerEntry) and entry.is_draining and entry.cold_s == 2.5
    assert make_servers({"i-1": entry}).entries == (entry,)


@pytest.mark.parametrize(
    "document",
    [
        {},
        {"spec": None, "status": None},
        {"spec": "bytes", "status": 5},
        {**SERVER, "status": {"state": "odd"}},
        {**SERVER, "status": {"state": 7}},
        {**SERVER, "spec": {**SERVER["spec"], "address": "nowhere"}},
        {**SERVER, "spec": {**SERVER["spec"], "info": {"service": "x", "zone": "za"}}},
        {**SERVER, "spec": {**SERVER["spec"], "info": {**SERVER["spec"]["info"], "slots": 0}}},
    ],
)
def test_malformed_registration_is_ignored(document: dict[str, Any]) -> None:
    # Guard against an exception or an unusable server when the entry of another writer is
    # malformed.
    assert decode_document("servers", "i-1", document) is None


def test_evacuations_name_zones() -> None:
    # Guard against drained zones that are lost or unsorted.
    entries = {
        name: entry
        for name in ("zb", "za")
        if (entry := decode_document("evacuations", name, {"spec": {}})) is not None
    }
    assert make_zone_drains(entries).availability_zones == ("za", "zb")


def test_platform_names_stay_in_their_folder() -> None:
    # Guard against names of the platform in modules that should work without it.
    # soak/wire.py writes the platform's objects for the stand-ins, and may use its names.
    names = re.compile(
        r"at-rev|has-more|cold-remaining|server-stamp|expect-instance|['\"]not-run|path-prefix"
        r"|BERYLCHUTE_SETTINGS|home-regions|max-conns|cold-per-s|target-latency|(?<!berylchute)/v1/objects"
        r"|/v1/ready|/v1/resolve|ttl-s|berylchute_platform",
        re.IGNORECASE,
    )
    found = [
        f"{path.name}: {line.strip()}"
        for folder in ("berylchute", "lab", "soak")
        for path in sorted((ROOT / folder).glob("*.py"))
        if path != WIRE
        for line in path.read_text(encoding="utf-8").splitlines()
        if names.search(line)
    ]
    assert found == []
