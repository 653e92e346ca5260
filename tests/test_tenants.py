"""Check the organisations that follow from the tenants of a configuration."""

import logging
import re
from hashlib import sha256
from typing import Any

import pytest

from berylchute.organisations import OrganisationDirectory
from berylchute.sharedobjects import RouteTable
from berylchute_platform.documents import decode_document
from tests.test_platform_documents import MANIFEST, TENANT

SOUND: dict[str, Any] = {"name": "sound", "api-keys": ["sound-key"], "rate-per-s": 5}
HEAD_BYTES_MAX = MANIFEST["limits"]["max-header-bytes"]


def _decode(*tenants: Any) -> tuple[object | None, int]:
    """Return the route table and the number of reported problems."""
    problems: list[int] = []
    spec = {**MANIFEST, "tenants": list(tenants)}
    table = decode_document("config", "main", {"spec": spec}, lambda: problems.append(1))
    return table, len(problems)


def _owner(table: object, key: bytes) -> str | None:
    assert isinstance(table, RouteTable)
    organisation = OrganisationDirectory(table.organisations).find(b"Bearer " + key)
    return organisation.name if organisation else None


@pytest.mark.parametrize(
    "key",
    [
        "k",
        "k" * 257,
        "k" * 500,
        "k" * 16_000,
        "two words",
        "a.b-c_d~e+f/g==",
        "k\u00e9",
        "\u4e2d\u6587",
    ],
    ids=lambda key: f"{key[:20]}-{len(key)}",
)
def test_key_of_any_length_and_alphabet_is_in_force(key: str) -> None:
    # Guard against a configuration that is ignored as a whole, so that keys that it drops go on
    # working and what it adds is refused, for the length or the letters of one key.
    table, problems = _decode({**TENANT, "api-keys": [key]}, SOUND)
    assert problems == 0
    assert _owner(table, key.encode()) == TENANT["name"]
    assert _owner(table, b"sound-key") == "sound"
    assert _owner(table, b"key-1") is None


def test_key_is_known_in_both_encodings_of_headers() -> None:
    # Guard against 401 for callers that send headers in Latin-1, as most clients do.
    table, _ = _decode({**TENANT, "api-keys": ["k\u00e9"]})
    assert _owner(table, b"k\xe9") == _owner(table, b"k\xc3\xa9") == TENANT["name"]


@pytest.mark.parametrize(
    "name", ["n", "county clerk", "n" * 257, "n" * HEAD_BYTES_MAX, "\u4e2d\u6587 \u00e9", "a,b;c=d"]
)
def test_tenant_with_any_name_that_a_header_holds_is_in_force(name: str) -> None:
    # Guard against the same for the name of a tenant.
    table, problems = _decode({**TENANT, "name": name}, SOUND)
    assert problems == 0
    assert _owner(table, b"key-1") == name and _owner(table, b"sound-key") == "sound"


def test_many_keys_are_in_force() -> None:
    # Guard against a bound on the number of keys or tenants, of which no page says anything.
    tenants = [{"name": f"t{n}", "api-keys": [f"k{n}-{i}" for i in range(40)]} for n in range(500)]
    table, problems = _decode(*tenants)
    assert problems == 0 and _owner(table, b"k499-39") == "t499"


def test_tenant_that_is_listed_twice_holds_the_keys_of_both() -> None:
    # Guard against a tenant that loses keys where its entries say the same otherwise.
    table, problems = _decode(TENANT, {**TENANT, "api-keys": ["key-3", "key-1"]})
    assert problems == 0
    assert {_owner(table, key) for key in (b"key-1", b"key-2", b"key-3")} == {TENANT["name"]}


MALFORMED: list[tuple[list[Any], list[bytes]]] = [
    ([TENANT, {"name": "other", "api-keys": ["key-2"]}], [b"key-2"]),
    ([TENANT, {"name": "huka270", "api-keys": ["secret"]}], [b"secret"]),
    ([{**TENANT, "api-keys": ["", "secret"]}], [b""]),
    ([{**TENANT, "api-keys": [" secret"]}], [b"secret", b" secret"]),
    ([{**TENANT, "api-keys": ["secret\r\nX: y"]}], [b"secret"]),
    ([{**TENANT, "api-keys": "secret"}], [b"secret", b"s"]),
    ([{**TENANT, "api-keys": [5]}], [b"5"]),
    ([{**TENANT, "name": "a\r\nX: y"}], [b"key-1"]),
    ([{**TENANT, "name": ""}], [b"key-1"]),
    ([{**TENANT, "name": " a"}], [b"key-1"]),
    ([{**TENANT, "name": "n" * (HEAD_BYTES_MAX + 1)}], [b"key-1"]),
    ([{"api-keys": ["secret"]}], [b"secret"]),
    ([{**TENANT, "priority": -1}], [b"key-1"]),
    ([{**TENANT, "priority": "first"}], [b"key-1"]),
    ([{**TENANT, "rate-per-s": -1}], [b"key-1"]),
    ([{**TENANT, "burst": -0.5}], [b"key-1"]),
    ([{**TENANT, "home-regions": "ra"}], [b"key-1"]),
    (["secret"], [b"secret"]),
]


@pytest.mark.parametrize(("tenants", "refused"), MALFORMED)
def test_malformed_tenant_costs_only_its_own_keys(
    tenants: list[Any], refused: list[bytes], caplog: pytest.LogCaptureFixture
) -> None:
    # Guard against a configuration that is ignored as a whole for a part of it, against requests
    # under the wrong organisation, and against keys in the log line that reports it.
    with caplog.at_level(logging.DEBUG):
        table, problems = _decode(*tenants, SOUND)
    assert [_owner(table, key) for key in refused] == [None] * len(refused)
    assert _owner(table, b"sound-key") == "sound"
    assert problems == len(caplog.records) >= 1
    assert "r7" in caplog.text
    assert not re.search(r"key-|secret", caplog.text)


@pytest.mark.parametrize(
    "tenants", [["secret"], [{**TENANT, "name": ""}, {"api-keys": ["secret"]}], "secret", {"a": 1}]
)
def test_configuration_without_a_usable_tenant_is_ignored(
    tenants: Any, caplog: pytest.LogCaptureFixture
) -> None:
    # Guard against callers that need no key since no tenant of the configuration could be read.
    spec = {**MANIFEST, "tenants": tenants}
    assert decode_document("config", "main", {"spec": spec}) is None
    assert len(caplog.records) == 1 and "secret" not in caplog.text


def test_keys_stay_out_of_the_table() -> None:
    # Guard against keys that members pass on, or that a dump of the table shows.
    table, _ = _decode({**TENANT, "api-keys": ["secret-1"]})
    assert isinstance(table, RouteTable) and "secret" not in repr(table)
    assert table.organisations[0].key_sha256 == (sha256(b"secret-1").hexdigest(),)
