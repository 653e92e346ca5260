"""Check the identification of requests by their keys, home regions and effective priorities."""

from hashlib import sha256
from typing import cast

import pytest

from berylchute.attempts import ActiveRequest
from berylchute.callers import CallerRequest, Header, PendingRequest
from berylchute.exceptions import ConfigError
from berylchute.organisations import (
    Identity,
    OrganisationDirectory,
    UnauthorizedReason,
    combine_home_regions,
    identify_request,
)
from berylchute.organisations.directory import CACHED_VALUE_BYTES_MAX, CACHED_VALUES_MAX
from berylchute.routeindex import RouteIndex
from berylchute.sharedobjects import (
    ROUTES_KEY,
    CallerLimits,
    Organisation,
    RouteTable,
    decode_object,
    encode_object,
)
from tests.test_routeindex import route

TENANT_HEADER = b"berylchute-organisation"


def organisation(name: str, *keys: str, **fields: object) -> Organisation:
    digests = tuple(sha256(key.encode()).hexdigest() for key in keys)
    return Organisation(name, digests, **fields)  # type: ignore[arg-type]


DIRECTORY = OrganisationDirectory([organisation("one", "k1", "k2"), organisation("two", "k3")])


def _identify(*headers: Header, is_public: bool = False) -> Identity | UnauthorizedReason:
    return identify_request(DIRECTORY, headers, TENANT_HEADER, is_public=is_public)


@pytest.mark.parametrize(
    ("authorization", "name"),
    [
        (b"Bearer k1", "one"),
        (b"bearer k2", "one"),
        (b"BEARER k3", "two"),
        (b"Bearer  k3 ", "two"),
    ],
)
def test_known_key_names_its_organisation(authorization: bytes, name: str) -> None:
    # Guard against valid keys that are refused for the case of the scheme or for spaces.
    identity = _identify((b"AUTHORIZATION", authorization))
    assert isinstance(identity, Identity) and identity.organisation is not None
    assert identity.organisation.name == name


@pytest.mark.parametrize(
    "authorization",
    [b"", b"Bearer", b"Bearer ", b"k1", b"Basic k1", b"Bearer K1", b"Bearer k1k1", b"Bearer k"]
    + [b"Bearer \xff\xfe\x80", b"Bearer k1, Bearer k3", b"\xc3\xa9earer k1"],
)
def test_unknown_key_is_refused(authorization: bytes) -> None:
    # Guard against access without a key, and against errors from bytes that are not ASCII.
    assert _identify((b"Authorization", authorization)) is UnauthorizedReason.UNKNOWN_KEY


def test_request_without_a_key_is_refused() -> None:
    # Guard against access by naming an organisation without its key.
    headers = ((b"X", b"y"), (b"Berylchute-Organisation", b"one"))
    assert _identify(*headers) is UnauthorizedReason.NO_KEY


def test_several_authorization_headers_are_refused() -> None:
    # Guard against two programs that read different headers and so see different callers.
    headers = ((b"Authorization", b"Bearer k1"), (b"authorization", b"Bearer k1"))
    assert _identify(*headers) is UnauthorizedReason.SEVERAL_KEYS
    identity = _identify(*headers, is_public=True)
    assert isinstance(identity, Identity) and identity.organisation is None
    assert identity.headers == []


def test_servers_get_the_name_and_no_key() -> None:
    # Guard against keys that reach servers, and names of organisations that callers make up.
    identity = _identify(
        (b"BERYLCHUTE-organisation", b"two"),
        (b"A", b"1"),
        (b"Authorization", b"Bearer k1"),
        (b"B", b"2"),
    )
    assert isinstance(identity, Identity)
    assert identity.headers == [(b"A", b"1"), (b"B", b"2"), (b"Berylchute-Organisation", b"one")]
    assert "k1" not in repr(identity)


@pytest.mark.parametrize("value", [None, b"Bearer wrong"])
def test_public_route_needs_no_key(value: bytes | None) -> None:
    # Guard against a public route that needs a key, passes on an invalid one or a made-up name.
    headers = [(b"A", b"1"), (b"Berylchute-Organisation", b"two")]
    headers += [(b"Authorization", value)] if value else []
    identity = _identify(*headers, is_public=True)
    assert isinstance(identity, Identity) and identity.organisation is None
    assert identity.headers == [(b"A", b"1")]


def test_public_route_names_the_organisation_of_a_valid_key() -> None:
    # Guard against a server of a public route that does not get the name of its caller.
    identity = _identify((b"Authorization", b"Bearer k3"), is_public=True)
    assert isinstance(identity, Identity) and identity.organisation is not None
    assert identity.headers == [(b"Berylchute-Organisation", b"two")]


def test_cache_is_bounded_and_holds_known_keys_only() -> None:
    # Guard against memory that callers fill with variants of a key or with unknown ones.
    directory = OrganisationDirectory([organisation("one", "k1")])
    for number in range(CACHED_VALUES_MAX + 10):
        assert directory.find(b"Bearer " + b" " * (number % 400) + b"x%d" % number) is None
    assert not directory._cache
    for first in range(40):
        for last in range(40):
            assert directory.find(b"Bearer " + b" " * first + b"k1" + b" " * last)
    assert len(directory._cache) == CACHED_VALUES_MAX
    directory = OrganisationDirectory([organisation("one", "k1")])
    assert directory.find(b"Bearer k1" + b" " * CACHED_VALUE_BYTES_MAX)
    assert not directory._cache
    assert directory.find(b"Bearer k1") is directory.find(b"Bearer k1")
    assert "k1" not in repr(directory)


@pytest.mark.parametrize(
    ("of_route", "of_organisation", "expected"),
    [
        ((), (), None),
        (("ra",), (), {"ra"}),
        ((), ("rb",), {"rb"}),
        (("ra", "rb"), ("rb", "rc"), {"rb"}),
        (("ra",), ("rb",), set()),
    ],
)
def test_home_regions_are_those_of_both(
    of_route: tuple[str, ...], of_organisation: tuple[str, ...], expected: set[str] | None
) -> None:
    # Guard against a request outside of its home regions, also where no region is left.
    regions = combine_home_regions(
        route("/a/", home_regions=of_route), Organisation("one", home_regions=of_organisation)
    )
    assert (None if regions is None else set(regions)) == expected


@pytest.mark.parametrize(("priority", "expected"), [(None, 1), (0, 1), (3, 3001)])
def test_priority_of_the_organisation_precedes_that_of_the_route(
    priority: int | None, expected: int
) -> None:
    # Guard against the priority of the route where the organisation has its own, also 0, and
    # against urgent and less urgent routes that are alike for organisations of the same priority.
    request = CallerRequest(b"GET", b"/a/", "/a/", "a", [], b"", 0.0)
    active = ActiveRequest(cast(PendingRequest, None), request, route("/a/"), "s", "k", 1.0)
    assert active.priority == 1 and active.organisation is None
    active.apply_identity(Identity(Organisation("one", priority=priority), [], DIRECTORY))
    assert active.priority == expected


def test_directory_changes_with_each_configuration() -> None:
    # Guard against keys of a former configuration that stay valid, and an older one that returns.
    index = RouteIndex()
    limits = CallerLimits()
    index.replace(RouteTable(1, (), (), limits, (organisation("one", "k1"),)))
    first = index.organisations
    assert first is not None and first.find(b"Bearer k1")
    index.replace(RouteTable(2, (), (), limits, (organisation("one", "k2"),)))
    assert index.organisations is not first and index.organisations is not None
    assert index.organisations.find(b"Bearer k1") is None
    assert not index.replace(RouteTable(1, (), (), limits, (organisation("one", "k1"),)))
    assert index.organisations.find(b"Bearer k1") is None
    index.replace(RouteTable(3, (), (), limits))
    assert index.organisations is None


@pytest.mark.parametrize("digest", ["zz" * 32, "ab", "", "AB" * 32, "ab" * 32 + "\\n"])
def test_table_with_an_invalid_digest_is_rejected(digest: str) -> None:
    # Guard against a table of a member that is applied in part: its routes without its keys.
    limits = CallerLimits()
    table = RouteTable(1, (), (), limits, (organisation("one", "k1"),))
    known = table.organisations[0].key_sha256[0]
    with pytest.raises(ConfigError):
        decode_object(ROUTES_KEY, encode_object(table).replace(known.encode(), digest.encode()))


def test_table_of_an_older_build_has_no_organisations() -> None:
    # Guard against members that can't decode the table of a member of another build.
    text = b'{"number":1,"routes":[{"name":"r","host":"a","path_prefix":"/","kind":"idempotent",'
    text += b'"timeout_s":1,"goal_s":1,"attempts_max":1,"priority":0,"shares":[]}],"services":[],'
    text += b'"limits":{},"a_later_field":1}'
    table = decode_object(ROUTES_KEY, text)
    assert isinstance(table, RouteTable)
    assert table.organisations == () and not table.routes[0].is_public
