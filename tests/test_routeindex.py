"""Check the selection of routes by prefix, the versions of the table, and weights."""

from collections import Counter
from random import Random

from berylchute.routeindex import RouteIndex
from berylchute.sharedobjects import CallerLimits, Route, RouteKind, RouteShare, RouteTable


def route(prefix: str, *shares: RouteShare, host: str = "a", **changes: object) -> Route:
    fields: dict[str, object] = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "goal_s": 0.3,
        "attempts_max": 2,
        "priority": 1,
        "shares": shares or (RouteShare("s", 1.0),),
        **changes,
    }
    return Route(**fields)  # type: ignore[arg-type]


def table(number: int, *routes: Route) -> RouteTable:
    return RouteTable(number, routes, (), CallerLimits())


def test_longest_prefix_of_the_host_is_found() -> None:
    # Guard against a request on the route of a shorter prefix or of another host.
    index = RouteIndex()
    index.replace(table(1, route("/a/"), route("/a/b/"), route("/a/b/c/", host="b")))
    found = index.find("a", "/a/b/c/d")
    assert found is not None and found.path_prefix == "/a/b/"
    assert index.find("a", "/ab/") is None
    assert index.find("c", "/a/") is None


def test_look_up_finds_what_a_search_of_all_routes_finds() -> None:
    # Guard against a route that the index by prefix misses, among prefixes of many lengths.
    rng = Random(1)
    prefixes = {
        "/" + "".join(rng.choices(["a/", "b/", "ab/"], k=rng.randrange(5))) for _ in range(60)
    }
    index = RouteIndex()
    index.replace(table(1, *(route(prefix) for prefix in prefixes)))
    for _ in range(500):
        path = "/" + "".join(rng.choices(["a", "b", "/"], k=rng.randrange(9)))
        expected = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
        found = index.find("a", path)
        assert (found.path_prefix if found else None) == expected


def test_older_table_changes_nothing() -> None:
    # Guard against a rollback of the routes when an older table arrives late.
    index = RouteIndex()
    assert index.replace(table(7, route("/a/")))
    assert not index.replace(table(6, route("/b/")))
    assert index.find("a", "/a/") is not None and index.find("a", "/b/") is None


def test_shares_are_exact_over_any_hundred_requests() -> None:
    # Guard against weights of a split that are kept only on average.
    split = route("/a/", RouteShare("s", 90.0), RouteShare("t", 10.0))
    index = RouteIndex()
    index.replace(table(1, split))
    assert Counter(index.select_service(split) for _ in range(100)) == {"s": 90, "t": 10}


def test_home_regions_of_a_host() -> None:
    # Guard against home regions that miss those of some routes of a host.
    index = RouteIndex()
    index.replace(table(1, route("/a/", home_regions=("r1",)), route("/b/", home_regions=("r2",))))
    assert index.home_regions("a") == {"r1", "r2"}
    assert index.home_regions("x") == frozenset()
