"""Guard what a member believes of the store while it is down, forgets, or comes back."""

from collections.abc import Mapping
from random import Random

import anyio
import pytest

from berylchute.collection import (
    LAPSE_GRACE_S,
    VERSIONS_A_REVISION,
    Changes,
    Collection,
    CollectionFeed,
    Listing,
)
from berylchute.exceptions import HistoryGone, StoreUnavailable
from berylchute.services import ZoneDrains
from berylchute.types import StoredObject
from tests.httpfakes import ManualClock

Step = Listing | Changes | Exception


class _Store:
    """Answer calls by a script, and stop the feed at its end."""

    def __init__(self, clock: ManualClock, steps: list[tuple[float, Step]]) -> None:
        self.clock = clock
        self.steps = steps
        self.calls: list[str] = []
        self.scope: anyio.CancelScope | None = None

    async def read(self, collection: str) -> Listing:
        step = await self._next("read")
        assert isinstance(step, Listing)
        return step

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> Changes:
        step = await self._next(f"watch {after_revision}")
        assert isinstance(step, Changes)
        return step

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


def _play(*steps: tuple[float, Step]) -> tuple[list[StoredObject], _Store, CollectionFeed]:
    clock = ManualClock()
    store = _Store(clock, list(steps))
    published: list[StoredObject] = []
    feed = CollectionFeed(
        Collection("servers", "zone_drains", _names, may_lapse=True),
        store,
        clock,
        Random(1),
        published.append,
        lambda: True,
    )

    async def main() -> None:
        with anyio.CancelScope() as store.scope:
            await feed.run()

    anyio.run(main)
    return published, store, feed


@pytest.fixture(autouse=True)
def _no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.collection.PAUSE_S", 0.0)
    monkeypatch.setattr("berylchute.collection.RETRY_MAX_S", 0.0)


def _both(revision: int) -> Listing:
    return Listing({"a": "a", "b": "b"}, revision)


def test_changes_follow_a_listing() -> None:
    published, store, _ = _play((0, _both(5)), (0, Changes({"b": None, "c": "c"}, 7)))
    assert store.calls == ["read", "watch 5"]
    assert [(item.version, item.value) for item in published] == [
        (5 * VERSIONS_A_REVISION, b'{"availability_zones":["a","b"]}'),
        (7 * VERSIONS_A_REVISION, b'{"availability_zones":["a","c"]}'),
    ]


def test_lost_history_is_read_again() -> None:
    published, store, _ = _play((0, _both(5)), (0, HistoryGone("x")), (0, Listing({"a": "a"}, 9)))
    assert store.calls == ["read", "watch 5", "read"]
    # The store was there all the while, so that what is missing is gone.
    assert published[-1].value == b'{"availability_zones":["a"]}'


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while() -> None:
    published, _, _ = _play(
        (0, _both(5)),
        (0, StoreUnavailable("down")),
        (4.0, Changes({"b": None}, 6)),
        (LAPSE_GRACE_S + 0.1, Changes({}, 6)),
    )
    kept, dropped = published[-2:]
    assert kept.value == b'{"availability_zones":["a","b"]}'
    assert dropped.value == b'{"availability_zones":["a"]}'
    # Members that hold the list with the lapsed entry take the one without it.
    assert kept.version < dropped.version


def test_entry_that_came_back_is_not_dropped() -> None:
    published, _, _ = _play(
        (0, _both(5)),
        (0, StoreUnavailable("down")),
        (4.0, Changes({"b": None}, 6)),
        (1.0, Changes({"b": "b"}, 7)),
        (LAPSE_GRACE_S, Changes({}, 7)),
    )
    assert published[-1].value == b'{"availability_zones":["a","b"]}'


def test_outage_is_told_by_the_feed() -> None:
    _, _, feed = _play((0, _both(5)))
    assert feed.is_in_touch
    _, _, feed = _play((0, _both(5)), (0, StoreUnavailable("down")))
    assert feed.has_answered and not feed.is_in_touch


def test_kept_entries_do_not_replace_what_members_learned_meanwhile() -> None:
    # This member alone was cut off; the others saw at revision 6 that b had left.
    published, _, _ = _play(
        (0, _both(5)),
        (0, StoreUnavailable("cut off")),
        (8.0, HistoryGone("x")),
        (0, Listing({"a": "a", "c": "c"}, 9)),
        (0.5, Changes({"d": "d"}, 10)),
        (LAPSE_GRACE_S, Changes({}, 10)),
    )
    first, second, last = published[-3:]
    assert b'"b"' in first.value and b'"b"' in second.value and b'"b"' not in last.value
    known_to_others = 6 * VERSIONS_A_REVISION
    assert 5 * VERSIONS_A_REVISION < first.version < second.version < known_to_others
    assert last.version == 10 * VERSIONS_A_REVISION
