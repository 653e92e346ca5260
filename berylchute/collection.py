"""Follow collections of the platform's store and hand them on as objects for the members."""

import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

import anyio
import attrs

from berylchute.backoff import Backoff
from berylchute.exceptions import HistoryGone, StoreError
from berylchute.services import Shared, encode
from berylchute.types import Clock, StoredObject

__all__ = ["Changes", "Collection", "CollectionFeed", "CollectionStore", "Listing"]

_LOG = logging.getLogger(__name__)

# A watch on a connection that went silent is noticed after this time; longer ones would cost fewer
# calls and be noticed later.
WATCH_WAIT_S = 4.0
# Delays after failed calls. The longest is a fraction of the time within which a change must be in
# force (2 s and more), so that a store that is back is noticed in time.
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
# Bounds the calls that a burst of changes causes, to ten a second.
PAUSE_S = 0.1
# Period of the check whether this member is to watch; a fraction of the time to suspect a member.
WANTED_CHECK_S = 0.2
# Servers whose entries lapsed while the store was away register again within about 2 s.
LAPSE_GRACE_S = 2.2
# Object versions between two revisions of the store, for lists that keep lapsed entries.
VERSIONS_A_REVISION = 4096

Entry = object


@attrs.frozen
class Listing:
    """All entries of a collection by name, at a revision of the store."""

    entries: Mapping[str, Entry]
    revision: int


@attrs.frozen
class Changes:
    """Changed entries by name, None where an entry is gone, up to a revision of the store."""

    entries: Mapping[str, Entry | None]
    revision: int


class CollectionStore(Protocol):
    """Read collections; every call has a timeout and raises StoreError."""

    async def read(self, collection: str) -> Listing:
        """Return all entries."""
        ...

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` for changes after a revision; raise HistoryGone if it is too old."""
        ...


@attrs.frozen
class Collection:
    """A collection, the key of its object, and how its entries make up the object's value.

    `may_lapse`: entries expire while the store is away although what they tell of still lives.
    """

    name: str
    key: str
    combine: Callable[[Mapping[str, Entry]], Shared | None]
    may_lapse: bool = False


class CollectionFeed:
    """Follow one collection while `is_wanted`, and once at the start."""

    def __init__(
        self,
        collection: Collection,
        store: CollectionStore,
        clock: Clock,
        rng: Random,
        publish: Callable[[StoredObject], None],
        is_wanted: Callable[[], bool],
    ) -> None:
        self._collection = collection
        self._store = store
        self._clock = clock
        self._publish = publish
        self._is_wanted = is_wanted
        self._backoff = Backoff(RETRY_FIRST_S, RETRY_MAX_S, rng)
        self._entries: dict[str, Entry] = {}
        self._lapsed: dict[str, Entry] = {}
        self._revision = 0
        self._whole_revision = 0
        self._provisional = 0
        self._is_current = False
        self._was_away = False
        self._back_s = float("-inf")
        self.calls = 0
        self.failures = 0
        self.has_answered = False
        self.is_in_touch = False
        self.answered_s = float("-inf")

    @property
    def name(self) -> str:
        """Return the collection's name."""
        return self._collection.name

    async def run(self) -> None:
        """Follow the collection until cancelled."""
        while True:
            if self.has_answered and not self._is_wanted():
                self._is_current = False
                self.is_in_touch = False
                await anyio.sleep(WANTED_CHECK_S)
                continue
            self.calls += 1
            try:
                await self._step()
            except HistoryGone as error:
                _LOG.info("%s: %s", self._collection.name, error)
                self._is_current = False
            except StoreError as error:
                self.failures += 1
                self._lose(error)
                await anyio.sleep(self._backoff.next_delay_s())

    async def _step(self) -> None:
        if not self._is_current:
            listing = await self._store.read(self._collection.name)
            self._regain()
            self._take_listing(listing)
            return
        wait_s = WATCH_WAIT_S
        if self._lapsed:
            wait_s = min(wait_s, max(0.05, self._back_s + LAPSE_GRACE_S - self._clock.now_s()))
        name, after = self._collection.name, self._revision
        changes = await self._store.watch(name, after, wait_s)
        self._regain()
        self._take_changes(changes)
        if changes.entries:
            await anyio.sleep(PAUSE_S)

    def _take_listing(self, listing: Listing) -> None:
        before, self._entries = self._entries, dict(listing.entries)
        self._is_current = True
        self._hold({name: e for name, e in before.items() if name not in self._entries})
        self._revision = listing.revision
        self._offer()

    def _take_changes(self, changes: Changes) -> None:
        gone: dict[str, Entry] = {}
        for name, entry in changes.entries.items():
            if entry is not None:
                self._entries[name] = entry
                self._lapsed.pop(name, None)
            elif name in self._entries:
                gone[name] = self._entries.pop(name)
        self._hold(gone)
        had_lapsed = bool(self._lapsed)
        if had_lapsed and self._clock.now_s() - self._back_s >= LAPSE_GRACE_S:
            self._lapsed.clear()
        self._revision = max(self._revision, changes.revision)
        if changes.entries or had_lapsed != bool(self._lapsed):
            self._offer()

    def _hold(self, gone: Mapping[str, Entry]) -> None:
        """Keep entries that went missing around an outage until they can be back."""
        if self._collection.may_lapse and self._clock.now_s() - self._back_s < LAPSE_GRACE_S:
            self._lapsed.update(gone)

    def _offer(self) -> None:
        value = self._collection.combine({**self._lapsed, **self._entries})
        if value is None:
            return
        if self._lapsed:
            # Members that were not cut off know better, from a later revision than the last whole
            # list here; their lists must not be replaced.
            self._provisional = min(self._provisional + 1, VERSIONS_A_REVISION - 1)
        else:
            self._whole_revision, self._provisional = self._revision, 0
        version = self._whole_revision * VERSIONS_A_REVISION + self._provisional
        self._publish(StoredObject(self._collection.key, version, encode(value)))

    def _regain(self) -> None:
        now_s = self._clock.now_s()
        if self._was_away:
            self._was_away = False
            self._back_s = now_s
            _LOG.info("store regained for %s", self._collection.name)
        self._backoff.reset()
        self.has_answered = True
        self.is_in_touch = True
        self.answered_s = now_s

    def _lose(self, error: StoreError) -> None:
        if not self._was_away:
            _LOG.warning("store lost for %s: %s", self._collection.name, error)
        self._was_away = True
        self.is_in_touch = False
