"""Check the split of requests over regions: near callers, but within each region's slots."""

from collections import Counter

import pytest

from berylchute.regions import RegionShare, move_shares, region_of_key, region_shares

ZONES = {f"z{region}{number}": region for region in "abc" for number in (1, 2)}


def shares(own: str, **slots: float) -> dict[str, float]:
    return {share.region: share.share for share in region_shares(own, ZONES, slots)}


def test_even_servers_keep_requests_at_home() -> None:
    # Guard against requests that cross regions although their own region has enough servers.
    assert shares("a", a=10.0, b=10.0, c=10.0) == {"a": 1.0, "b": 0.0, "c": 0.0}


def test_small_region_moves_what_exceeds_its_slots() -> None:
    # Guard against overload of a region with few servers: each one should get its share of all
    # slots.
    slots = {"a": 2.0, "b": 10.0, "c": 8.0}
    total = Counter[str]()
    for own in "abc":
        for region, share in shares(own, **slots).items():
            total[region] += share / 3
    # The share of each region in all requests equals its share of all slots.
    assert {region: round(part, 6) for region, part in total.items()} == {
        "a": 0.1,
        "b": 0.5,
        "c": 0.4,
    }
    assert shares("a", **slots)["a"] == pytest.approx(0.3)


def test_region_without_servers_uses_the_others() -> None:
    # Guard against requests without a region after all servers of their own one are gone.
    assert shares("a", b=5.0, c=5.0) == {"a": 0.0, "b": 0.5, "c": 0.5}
    assert shares("a", a=5.0) == {"a": 1.0}
    assert shares("a") == {}


def test_keys_follow_the_shares_and_few_move() -> None:
    # Guard against many keys that change their region, and so lose their objects, after a small
    # change of slots.
    found = region_shares("a", ZONES, {"a": 2.0, "b": 10.0, "c": 8.0})
    regions = [region_of_key(str(key), found) for key in range(2000)]
    assert 0.25 < regions.count("a") / 2000 < 0.35
    smaller = region_shares("a", ZONES, {"a": 1.5, "b": 10.0, "c": 8.5})
    moved = sum(region_of_key(str(key), smaller) != region for key, region in enumerate(regions))
    assert moved / 2000 < 0.15


def test_shares_move_by_a_bounded_part_of_the_keys() -> None:
    # Guard against keys that all change their region when servers are registered or expire.
    current = (RegionShare("ra", 0.5), RegionShare("rb", 0.5))
    target = (RegionShare("ra", 0.2), RegionShare("rc", 0.8))
    shares = {share.region: share.share for share in move_shares(current, target, 0.1)}
    assert shares == pytest.approx({"ra": 0.4625, "rb": 0.4375, "rc": 0.1})
    moved: tuple[RegionShare, ...] = current
    for _ in range(9):
        moved = move_shares(moved, target, 0.1)
    assert moved == target


def test_first_shares_are_taken_at_once() -> None:
    # Guard against a service whose keys belong to no region after it was registered.
    target = (RegionShare("ra", 1.0),)
    assert move_shares((), target, 0.01) == target
