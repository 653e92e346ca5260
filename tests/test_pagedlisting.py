"""Check that pages read one after the other become a list as of one revision."""

from collections.abc import Mapping
from random import Random

import pytest

from berylchute.collection import CollectionChanges, CollectionListing
from berylchute.pagedlisting import PagedListing

NAMES = [f"n{number}" for number in range(12)]
PAGE = 4


class _Store:
    """A collection that changes between calls; its history has the state of each revision."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.revision = 10
        self.states: dict[int, dict[str, object]] = {10: {}}
        self._names: dict[int, str] = {}
        for _ in range(10):
            self.change()

    def change(self) -> None:
        """Add, change or remove some entries; some changes are of other collections."""
        for _ in range(self._rng.randrange(3)):
            state = dict(self.states[self.revision])
            name = self._rng.choice([*NAMES, "other"])
            if name in state and self._rng.random() < 0.5:
                del state[name]
            elif name != "other":
                state[name] = self.revision + 1
            self.revision += 1
            self.states[self.revision] = state
            self._names[self.revision] = name

    def read_page(self, after: str) -> tuple[Mapping[str, object], bool]:
        names = sorted(name for name in self.states[self.revision] if name > after)
        page = {name: self.states[self.revision][name] for name in names[:PAGE]}
        return page, len(names) > PAGE

    def watch(self, after_revision: int) -> CollectionChanges:
        """Return what changed after a revision, at times only the first changes."""
        until = self._rng.randint(min(after_revision + 1, self.revision), self.revision)
        if not self._changed_names(after_revision, until):
            until = self.revision
        names = self._changed_names(after_revision, until)
        return CollectionChanges({name: self.states[until].get(name) for name in names}, until)

    def _changed_names(self, after_revision: int, until: int) -> set[str]:
        return {self._names[n] for n in range(after_revision + 1, until + 1)} - {"other"}


def _read(store: _Store) -> CollectionListing:
    listing = PagedListing()
    after, has_more = "", True
    while has_more:
        page, has_more = store.read_page(after)
        listing.add_page(page, store.revision)
        after = max(page, default=after)
        store.change()
    while not listing.is_complete:
        listing.add_changes(store.watch(listing.revision))
        store.change()
    return listing.make_listing(None)


@pytest.mark.parametrize("seed", range(200))
def test_list_is_that_of_its_revision(seed: int) -> None:
    # Guard against requests to servers that began to drain between two pages of a list: the watch
    # that follows reports only later changes.
    store = _Store(Random(seed))
    for _ in range(20):
        store.change()
    listing = _read(store)
    assert listing.entries == store.states[listing.revision]


def test_pages_of_one_revision_need_no_changes() -> None:
    # Guard against calls to the store that every list of several pages would cost.
    listing = PagedListing()
    listing.add_page({"a": 1}, 7)
    listing.add_page({"b": 1}, 7)
    assert listing.is_complete
    assert listing.make_listing(None) == CollectionListing({"a": 1, "b": 1}, 7)


def test_list_without_its_changes_counts_as_of_the_first_page() -> None:
    # Guard against a list that replaces a newer one of another member, if the store no longer has
    # the changes between its pages.
    listing = PagedListing()
    listing.add_page({"a": 1}, 7)
    listing.add_page({"b": 1}, 9)
    assert not listing.is_complete
    assert listing.make_listing(None).revision == 7
