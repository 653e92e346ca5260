"""Check what a feed publishes during a store outage, a lost history and the recovery."""

from collections.abc import Mapping
from random import Random

import anyio
import attrs
import pytest

from berylchute.collection import (
    VERSIONS_PER_REVISION,
    Collection,
    CollectionChanges,
    CollectionFeed,
    CollectionListing,
)
from berylchute.exceptions import HistoryGone, StoreUnavailable, WatchCut
from berylchute.sharedobjects import (
    CallerLimits,
    RouteTable,
    SharedObject,
    ZoneDrains,
    decode_object,
    encode_object,
)
from berylchute.storeoutages import EXPIRED_RETENTION_S, StoreOutages
from berylchute.types import StoredObject
from berylchute_platform.documents import is_older_table, make_routes
from tests.httpfakes import ManualClock

Step = CollectionListing | CollectionChanges | Exception


class _Store:
    """Answer calls from a script, and cancel the feed after the last step."""

    def __init__(self, clock: ManualClock, steps: list[tuple[float, Step]]) -> None:
        self.clock = clock
        self.steps = steps
        self.calls: list[str] = []
        self.scope: anyio.CancelScope | None = None

    async def read(self, collection: str) -> CollectionListing:
        step = await self._next("read")
        assert isinstance(step, CollectionListing)
        return step

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> CollectionChanges:
        step = await self._next(f"watch {after_revision}")
        assert isinstance(step, CollectionChanges)
        return step

    async def probe(self, timeout_s: float) -> None:
        raise AssertionError("a feed does not probe the store")

    async def _next(self, call: str) -> Step:
        if not self.steps:
            assert self.scope is not None
            self.scope.cancel()
            await anyio.sleep(1.0)
        self.calls.append(call)
        after_s, step = self.steps.pop(0)
        self.clock.now += after_s
        if isinstance(step, Exception):
            raise step
        return step


def _names(entries: Mapping[str, object]) -> ZoneDrains:
    return ZoneDrains(tuple(sorted(entries)))


def _entries(value: SharedObject) -> Mapping[str, object]:
    assert isinstance(value, ZoneDrains)
    return {name: name for name in value.availability_zones}


SERVERS = Collection("servers", "zone_drains", _names, entries_may_expire=True, split=_entries)
PING_PERIOD_S = 1.5


def _run_feed(
    *steps: tuple[float, Step],
    collection: Collection = SERVERS,
    known: StoredObject | None = None,
    ping_period_s: float = PING_PERIOD_S,
) -> tuple[list[StoredObject], _Store, CollectionFeed]:
    clock = ManualClock()
    store = _Store(clock, list(steps))
    published: list[StoredObject] = []
    feed = CollectionFeed(
        collection,
        store,
        clock,
        Random(1),
        published.append,
        lambda: True,
        watch_wait_s=4.0,
        known_object=lambda key: known,
        outages=StoreOutages(ping_period_s),
    )

    async def main() -> None:
        with anyio.CancelScope() as store.scope:
            await feed.run()

    anyio.run(main)
    return published, store, feed


@pytest.fixture(autouse=True)
def _no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.collection.BURST_PAUSE_S", 0.0)
    monkeypatch.setattr("berylchute.collection.RETRY_MAX_S", 0.0)


def _listing_of_both(revision: int) -> CollectionListing:
    return CollectionListing({"a": "a", "b": "b"}, revision)


def test_changes_follow_a_listing() -> None:
    """Guard against changes that are lost or published with a wrong version after a listing."""
    published, store, _ = _run_feed(
        (0, _listing_of_both(5)), (0, CollectionChanges({"b": None, "c": "c"}, 7))
    )
    assert store.calls == ["read", "watch 5"]
    assert [(item.version, item.value) for item in published] == [
        (5 * VERSIONS_PER_REVISION, b'{"availability_zones":["a","b"]}'),
        (7 * VERSIONS_PER_REVISION, b'{"availability_zones":["a","c"]}'),
    ]


def test_lost_history_is_read_again() -> None:
    """Guard against a feed that stops, or retains removed entries, after HistoryGone."""
    published, store, _ = _run_feed(
        (0, _listing_of_both(5)), (0, HistoryGone("x")), (0, CollectionListing({"a": "a"}, 9))
    )
    assert store.calls == ["read", "watch 5", "read"]
    # The store was reachable all the time, so a missing entry was removed.
    assert published[-1].value == b'{"availability_zones":["a"]}'


def test_entries_that_expired_in_an_outage_are_retained_for_a_while() -> None:
    """Guard against dropping running servers whose entries expired during a store outage."""
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        (0, StoreUnavailable("down")),
        (4.0, CollectionChanges({"b": None}, 6)),
        (EXPIRED_RETENTION_S + 0.1, CollectionChanges({}, 6)),
    )
    retained, dropped = published[-2:]
    assert retained.value == b'{"availability_zones":["a","b"]}'
    assert dropped.value == b'{"availability_zones":["a"]}'
    # Members that hold the value with the expired entry accept the one without it.
    assert retained.version < dropped.version


@pytest.mark.parametrize("cuts", [1, 5])
def test_entries_removed_after_a_cut_watch_are_not_retained(cuts: int) -> None:
    """Guard against requests to servers that left soon after the store ended a waiting watch."""
    published, store, feed = _run_feed(
        (0, _listing_of_both(5)),
        *([(2.0, WatchCut("cut"))] * cuts),
        (0.5, CollectionChanges({"b": None}, 6)),
    )
    assert store.calls == ["read"] + ["watch 5"] * (cuts + 1)
    assert published[-1].value == b'{"availability_zones":["a"]}'
    assert feed.is_connected


@pytest.mark.parametrize("cut_s", [0.0, 0.05, 0.29, 0.31, 1.4])
@pytest.mark.parametrize("cuts", [1, 3])
def test_entries_removed_after_a_young_watch_was_cut_are_not_retained(
    cut_s: float, cuts: int
) -> None:
    # Guard against requests to a server for longer than it may get them: a watch that was cut soon
    # after its begin looks like a store that can't be reached, but no entry expires that soon.
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        *([(cut_s / cuts, StoreUnavailable("cut"))] * cuts),
        (0.05, CollectionChanges({"b": None}, 6)),
    )
    assert published[-1].value == b'{"availability_zones":["a"]}'


@pytest.mark.parametrize(
    ("ping_period_s", "silence_s", "is_retained"),
    [(1.5, 2.0, False), (1.5, 2.4, True), (3.0, 2.4, False), (3.0, 5.0, True)],
)
def test_silence_that_lets_entries_expire_follows_the_ping_period(
    ping_period_s: float, silence_s: float, is_retained: bool
) -> None:
    # Guard against a constant that stands for a setting of the platform.
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        (0, StoreUnavailable("down")),
        (silence_s, CollectionChanges({"b": None}, 6)),
        ping_period_s=ping_period_s,
    )
    assert (b'"b"' in published[-1].value) is is_retained


def test_entries_removed_while_others_watched_are_not_retained() -> None:
    # Guard against requests to servers that left long ago, from a process that watched once, left
    # it to other members, and reads the list again after an outage.
    known = StoredObject("zone_drains", 2**30, encode_object(ZoneDrains(("a", "c"))))
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        (0, StoreUnavailable("down")),
        (8.0, HistoryGone("x")),
        (0, CollectionListing({"a": "a"}, 9)),
        known=known,
    )
    # c is in force among the members and may have expired, b was removed before.
    assert published[-1].value == b'{"availability_zones":["a","c"]}'


def test_entry_that_was_registered_again_is_not_dropped() -> None:
    """Guard against dropping a server that registered again when the retention time ends."""
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        (0, StoreUnavailable("down")),
        (4.0, CollectionChanges({"b": None}, 6)),
        (1.0, CollectionChanges({"b": "b"}, 7)),
        (EXPIRED_RETENTION_S, CollectionChanges({}, 7)),
    )
    assert published[-1].value == b'{"availability_zones":["a","b"]}'


def test_feed_reports_an_outage() -> None:
    """Guard against a feed that still counts as connected after a failed call."""
    _, _, feed = _run_feed((0, _listing_of_both(5)))
    assert feed.is_connected
    _, _, feed = _run_feed((0, _listing_of_both(5)), (0, StoreUnavailable("down")))
    assert feed.has_answered and not feed.is_connected


def test_retained_entries_do_not_replace_newer_values_of_members() -> None:
    """Guard against replacing a newer value of connected members by one with expired entries.

    Only this member lost the store; the others received the removal of b at revision 6.
    """
    published, _, _ = _run_feed(
        (0, _listing_of_both(5)),
        (0, StoreUnavailable("cut off")),
        (8.0, HistoryGone("x")),
        (0, CollectionListing({"a": "a", "c": "c"}, 9)),
        (0.5, CollectionChanges({"d": "d"}, 10)),
        (EXPIRED_RETENTION_S, CollectionChanges({}, 10)),
    )
    first, second, last = published[-3:]
    assert b'"b"' in first.value and b'"b"' in second.value and b'"b"' not in last.value
    known_to_others = 6 * VERSIONS_PER_REVISION
    assert 5 * VERSIONS_PER_REVISION < first.version < second.version < known_to_others
    assert last.version == 10 * VERSIONS_PER_REVISION


def test_older_configuration_of_a_restored_store_is_not_published() -> None:
    # Guard against a confirmed change that comes back older: a store that was restored from a copy
    # may list the configuration before.
    tables = {number: RouteTable(number, (), (), CallerLimits()) for number in (7, 9, 10)}
    published, _, _ = _run_feed(
        (0, CollectionListing({"main": tables[9]}, 49, history=0)),
        (0, HistoryGone("restored")),
        (0, CollectionListing({"main": tables[7]}, 40, history=1)),
        (0, CollectionChanges({"main": tables[7]}, 41, history=1)),
        (0, CollectionChanges({"main": tables[10]}, 42, history=1)),
        collection=Collection("config", "routes", make_routes, is_older=is_older_table),
    )
    numbers = [decode_object("routes", item.value).number for item in published]  # type: ignore
    assert numbers == [9, 9, 9, 10]
    assert [item.version for item in published] == sorted({item.version for item in published})


def test_versions_of_the_first_history_are_those_of_older_builds() -> None:
    # Guard against a fleet of two builds in which one ignores what the other publishes.
    for history in (None, 0):
        published, _, _ = _run_feed((0, attrs.evolve(_listing_of_both(5), history=history)))
        assert [item.version for item in published] == [5 * VERSIONS_PER_REVISION]
