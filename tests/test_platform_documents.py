"""Check the decoding of the platform's objects, and that its names are used in its folder only."""

import re
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest

from berylchute.sharedobjects import (
    ROUTES_KEY,
    Organisation,
    RouteKind,
    RouteShare,
    RouteTable,
    ServerEntry,
    decode_object,
    encode_object,
)
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


TENANT: dict[str, Any] = {
    "name": "huka270",
    "api-keys": ["key-1", "key-2"],
    "priority": 1,
    "rate-per-s": 424,
    "burst": 42.5,
    "home-regions": ["ra"],
}


def _decode_tenants(*tenants: dict[str, Any]) -> object | None:
    return decode_document("config", "main", {"spec": {**MANIFEST, "tenants": list(tenants)}})


def test_tenants_become_organisations() -> None:
    # Guard against fields of a tenant that are lost, and keys that are kept as they are.
    table = _decode_tenants(TENANT, {"name": "bare"})
    assert isinstance(table, RouteTable)
    digests = tuple(sha256(key.encode()).hexdigest() for key in TENANT["api-keys"])
    huka, bare = table.organisations
    assert huka == Organisation("huka270", digests, 1, 424.0, 42.5, ("ra",))
    assert bare == Organisation("bare", (), None, 0.0, 0.0, ())
    assert not any(key in repr(table) for key in TENANT["api-keys"])
    encoded = encode_object(table)
    assert decode_object(ROUTES_KEY, encoded) == table
    assert not any(key.encode() in encoded for key in TENANT["api-keys"])


def test_route_is_public_only_if_the_manifest_says_so() -> None:
    # Guard against routes that need no key by mistake.
    public = {**MANIFEST, "routes": [ROUTE, {**ROUTE, "public": True}]}
    table = decode_document("config", "main", {"spec": public})
    assert isinstance(table, RouteTable)
    assert [route.is_public for route in table.routes] == [False, True]


@pytest.mark.parametrize("tenants", [None, []])
def test_manifest_without_tenants_needs_no_keys(tenants: Any) -> None:
    # Guard against 401 for all callers where the list is present but names nobody.
    table = decode_document("config", "main", {"spec": {**MANIFEST, "tenants": tenants}})
    assert isinstance(table, RouteTable) and table.organisations == ()


def test_null_fields_of_a_tenant_are_missing_ones() -> None:
    # Guard against a whole configuration that is rejected for an optional field without a value.
    nulls = {name: None for name in TENANT if name != "name"}
    table = _decode_tenants({**nulls, "name": "bare"})
    assert isinstance(table, RouteTable)
    assert table.organisations == (Organisation("bare"),)


def test_key_that_a_tenant_lists_twice_is_one_key() -> None:
    # Guard against a rejected configuration where a repeat is not ambiguous.
    table = _decode_tenants({**TENANT, "api-keys": ["key-1", "key-1"]})
    assert isinstance(table, RouteTable) and len(table.organisations[0].key_sha256) == 1


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


@pytest.mark.parametrize(
    "name", ["i" * 2048, "i 1", "i-1/..?a=b&c", "-", "0"], ids=lambda name: f"{name[:20]}"
)
def test_server_with_any_id_that_a_header_holds_is_used(name: str) -> None:
    # Guard against servers that get no requests, or go on getting them after they left, for the
    # length or the letters of their id, service or zone, of which no page says anything.
    info = {"service": "s" * 2048, "version": "v1", "zone": "z" * 2048, "slots": 4.0}
    document = {
        "spec": {**SERVER["spec"], "info": info, "born": 1.7e12},
        "status": SERVER["status"],
    }
    entry = decode_document("servers", name, document)
    assert entry == ServerEntry(
        name, "s" * 2048, "10.128.0.9:8080", "z" * 2048, 4, False, 0.0, 1700000000000
    )


def test_null_fields_of_a_registration_are_missing_ones() -> None:
    # Guard against servers that are not used for an optional field without a value.
    status = {"state": "ready", "cold-remaining-s": None}
    document = {"spec": {**SERVER["spec"], "born": None}, "status": status}
    assert decode_document("servers", "i-1", document) == ServerEntry(
        "i-1", "x", "10.128.0.9:8080", "za", 4, False
    )


def test_numbers_and_nulls_of_a_manifest_may_have_any_valid_form() -> None:
    # Guard against a configuration that is ignored since another JSON encoder wrote 390 as 390.0,
    # or an optional field as null.
    nulls = {"home-regions": None, "priority": None, "max-attempts": None, "service": None}
    manifest = {
        "version": "r" + "9" * 30,
        "routes": [{**ROUTE, **nulls, "public": None, "priority": 2.0}],
        "services": [{**MANIFEST["services"][0], "max-conns": 390.0, "warmup-s": None}],
        "limits": {**MANIFEST["limits"], "max-header-bytes": 16384.0, "max-body-bytes": 1e30},
    }
    table = decode_document("config", "main", {"spec": manifest})
    assert isinstance(table, RouteTable)
    assert table.number == int("9" * 30) and table.services[0].connections_max == 390
    assert table.limits.body_bytes_max == int(1e30) and table.routes[0].priority == 2
    assert decode_object(ROUTES_KEY, encode_object(table)) == table


def test_ignored_configuration_is_reported(caplog: pytest.LogCaptureFixture) -> None:
    # Guard against a version that never comes into force without a sign for the operator.
    reported: list[int] = []
    spec = {**MANIFEST, "version": "r12", "limits": None}
    document = {"spec": spec}
    assert decode_document("config", "main", document, lambda: reported.append(1)) is None
    assert reported == [1]
    assert "version 'r12'" in caplog.text and "stays in force" in caplog.text


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
        r"|/v1/ready|/v1/resolve|ttl-s|berylchute_platform|['\"]tenants?['\"]|api-keys|rate-per-s",
        re.IGNORECASE,
    )
    found = [
        f"{path.name}: {line.strip()}"
        for folder in ("berylchute", "lab", "soak")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if path != WIRE
        for line in path.read_text(encoding="utf-8").splitlines()
        if names.search(line)
    ]
    assert found == []
