"""Watch collections of the platform's store and publish each as an object to the members."""

import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

import anyio
import attrs

from berylchute.backoff import Backoff
from berylchute.exceptions import ConfigError, HistoryGone, StoreError, WatchCut
from berylchute.sharedobjects import SharedObject, decode_object, encode_object
from berylchute.storecontact import ProbedStore
from berylchute.storeoutages import EXPIRED_RETENTION_S, StoreOutages
from berylchute.types import Clock, StoredObject

__all__ = [
    "Collection",
    "CollectionChanges",
    "CollectionFeed",
    "CollectionListing",
    "CollectionStore",
    "choose_first_read_delay_s",
]

_LOG = logging.getLogger(__name__)

# Delays after failed calls. The longest is a fraction of the time within which a change must be
# applied (2 s and more), so that the recovery of the store is detected in time.
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
# Bounds the call rate during a burst of changes to ten per second.
BURST_PAUSE_S = 0.1
# Period of the check whether this member should watch; a fraction of the time to suspect a member.
WANTED_CHECK_PERIOD_S = 0.2
# Range of the delay of the first read while all hosts start for the first time. Without it, each of
# them reads and watches every collection before it knows that others do. The watching members need
# about a second until the others have heard of them.
FIRST_READ_DELAY_RANGE_S = (1.0, 3.0)
# Period of the check whether another member has published the collection during a first start.
FIRST_START_CHECK_PERIOD_S = 0.1
# Each store revision has this many object versions: the first for the complete value, the others
# for values that retain expired entries.
VERSIONS_PER_REVISION = 4096
# Each history of the store has this many revisions. A version fits into 64 bits with 32,767
# histories.
REVISIONS_PER_HISTORY = 2**36

Entry = object


@attrs.frozen
class CollectionListing:
    """Hold all entries of a collection by name, as of a store revision.

    `history` counts how often the store was restored from a copy: it then gives out revisions
    again. It is None if the store doesn't say. `malformed` counts objects that can't be used, or
    parts of them.
    """

    entries: Mapping[str, Entry]
    revision: int
    history: int | None = None
    malformed: int = 0


@attrs.frozen
class CollectionChanges:
    """Hold changed entries by name, None for a removed one, up to a store revision.

    `malformed` counts objects that can't be used, or parts of them.
    """

    entries: Mapping[str, Entry | None]
    revision: int
    history: int | None = None
    malformed: int = 0


class CollectionStore(ProbedStore, Protocol):
    """Read and watch collections; every call has a timeout and raises StoreError."""

    async def read(self, collection: str) -> CollectionListing:
        """Return all entries of a collection."""
        ...

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> CollectionChanges:
        """Wait up to `wait_s` for changes.

        Raises HistoryGone if `after_revision` is too old, WatchCut if the store ended the watch.
        """
        ...


@attrs.frozen
class Collection:
    """Describe a collection, the key of its object and how to build the object from its entries.

    `combine` returns None if nothing is to be published, `split` returns the entries of an object.
    `entries_may_expire` is set if entries expire during a store outage although the servers that
    they describe are still running.
    `is_older` returns whether an entry, the first argument, is an older one than another of the
    same name; a store that was restored may list such entries.
    """

    name: str
    object_key: str
    combine: Callable[[Mapping[str, Entry]], SharedObject | None]
    entries_may_expire: bool = False
    is_older: Callable[[Entry, Entry], bool] = lambda entry, other: False
    split: Callable[[SharedObject], Mapping[str, Entry]] | None = None


def choose_first_read_delay_s(rng: Random, *, is_first_start: bool, is_seed: bool) -> float:
    """Return how long a process waits for the other members before it reads the store.

    The seeds read at once: the other members join them first.
    """
    return rng.uniform(*FIRST_READ_DELAY_RANGE_S) if is_first_start and not is_seed else 0.0


class CollectionFeed:
    """Read one collection at the start, then watch it while `is_wanted` returns true.

    `publish` is called with each new object. A watch waits up to `watch_wait_s`, which bounds the
    time until one on a dead connection is detected. The collection is not read at the start if
    another member publishes it within `first_read_delay_s`; `known_object` returns the object that
    this process has, by its key. `outages` is shared with all that calls the store.
    """

    def __init__(
        self,
        collection: Collection,
        store: CollectionStore,
        clock: Clock,
        rng: Random,
        publish: Callable[[StoredObject], None],
        is_wanted: Callable[[], bool],
        watch_wait_s: float,
        known_object: Callable[[str], StoredObject | None] = lambda key: None,
        first_read_delay_s: float = 0.0,
        outages: StoreOutages | None = None,
    ) -> None:
        self._collection = collection
        self._store = store
        self._clock = clock
        self._publish = publish
        self._is_wanted = is_wanted
        self._watch_wait_s = watch_wait_s
        self._known_object = known_object
        self._first_read_delay_s = first_read_delay_s
        self._outages = outages or StoreOutages()
        self._backoff = Backoff(RETRY_FIRST_S, RETRY_MAX_S, rng)
        self._entries: dict[str, Entry] = {}
        self._expired: dict[str, Entry] = {}
        self._history = 0
        self._revision = 0
        self._complete_version = 0
        self._provisional_count = 0
        self._is_current = False
        self._is_unreachable = False
        self._restored_s = float("-inf")
        self.calls = 0
        self.failures = 0
        self.malformed = 0
        self.has_answered = False
        self.is_connected = False
        self.last_success_s = float("-inf")

    @property
    def name(self) -> str:
        """Return the collection's name."""
        return self._collection.name

    async def run(self) -> None:
        """Read and watch the collection until cancelled."""
        await self._wait_for_members()
        while True:
            if self._can_leave_to_members():
                self._is_current = False
                self.is_connected = False
                await anyio.sleep(WANTED_CHECK_PERIOD_S)
                continue
            self.calls += 1
            try:
                await self._read_or_watch()
            except HistoryGone as error:
                self._outages.record_answer(self._clock.now_s())
                _LOG.info(
                    "store history of %s lost, reading all entries: %s",
                    self._collection.name,
                    error,
                )
                self._is_current = False
                await anyio.sleep(BURST_PAUSE_S)
            except WatchCut as error:
                # No outage: entries that are missing from now on were removed, and did not expire.
                _LOG.info("watch of %s again: %s", self._collection.name, error)
                await anyio.sleep(BURST_PAUSE_S)
            except StoreError as error:
                self.failures += 1
                self._record_failure(error)
                await anyio.sleep(self._backoff.next_delay_s())

    async def _wait_for_members(self) -> None:
        """Wait until another member publishes the collection, or the delay of the read is over.

        Answers load: all hosts of a large fleet that are started at the same time.
        """
        read_at_s = self._clock.now_s() + self._first_read_delay_s
        while self._clock.now_s() < read_at_s and not self._can_leave_to_members():
            await anyio.sleep(FIRST_START_CHECK_PERIOD_S)

    def _can_leave_to_members(self) -> bool:
        is_known = self.has_answered or self._known_object(self._collection.object_key) is not None
        return is_known and not self._is_wanted()

    async def _read_or_watch(self) -> None:
        if not self._is_current:
            listing = await self._store.read(self._collection.name)
            self._record_success()
            self.malformed += listing.malformed
            self._apply_listing(listing)
            return
        wait_s = self._watch_wait_s
        if self._expired:
            wait_s = min(wait_s, max(0.05, self._retain_until_s - self._clock.now_s()))
        name, after_revision = self._collection.name, self._revision
        changes = await self._store.watch(name, after_revision, wait_s)
        self._record_success()
        self.malformed += changes.malformed
        if changes.history not in (None, self._history):
            raise HistoryGone(f"the store was restored, history {changes.history}")
        self._apply_changes(changes)
        if changes.entries:
            await anyio.sleep(BURST_PAUSE_S)

    def _apply_listing(self, listing: CollectionListing) -> None:
        history = self._history if listing.history is None else listing.history
        if history < self._history:
            raise StoreError(f"the answer is of history {history}, {self._history} is known")
        if history > self._history and self._revision:
            _LOG.warning(
                "store restored, history %d of %s after %d: keeping missing entries for %.1f s",
                history,
                self._collection.name,
                self._history,
                EXPIRED_RETENTION_S,
            )
            self._restored_s = self._clock.now_s()
        self._history = history
        before, self._entries = self._known_entries(), dict(listing.entries)
        for name, entry in before.items():
            if name in self._entries and self._collection.is_older(self._entries[name], entry):
                self._entries[name] = entry
        self._is_current = True
        self._retain_expired({name: e for name, e in before.items() if name not in self._entries})
        self._revision = listing.revision
        self._publish_entries()

    def _apply_changes(self, changes: CollectionChanges) -> None:
        removed: dict[str, Entry] = {}
        for name, entry in changes.entries.items():
            if entry is not None:
                known = self._entries.get(name)
                if known is None or not self._collection.is_older(entry, known):
                    self._entries[name] = entry
                self._expired.pop(name, None)
            elif name in self._entries:
                removed[name] = self._entries.pop(name)
        self._retain_expired(removed)
        had_expired = bool(self._expired)
        if had_expired and self._clock.now_s() >= self._retain_until_s:
            self._expired.clear()
        self._revision = max(self._revision, changes.revision)
        if changes.entries or had_expired != bool(self._expired):
            self._publish_entries()

    def _known_entries(self) -> Mapping[str, Entry]:
        """Return the entries in force: other members may have watched since the last call here."""
        known = self._known_object(self._collection.object_key)
        if self._collection.split is None or known is None:
            return self._entries
        try:
            return self._collection.split(decode_object(known.key, known.value))
        except ConfigError:
            return self._entries

    @property
    def _retain_until_s(self) -> float:
        """Return until when missing entries are retained, so that they can be written again.

        They expired in an outage, or a restored store lacks them.
        """
        restored_until_s = self._restored_s + EXPIRED_RETENTION_S
        if not self._collection.entries_may_expire:
            return restored_until_s
        return max(restored_until_s, self._outages.retain_until_s)

    def _retain_expired(self, removed: Mapping[str, Entry]) -> None:
        if self._clock.now_s() < self._retain_until_s:
            self._expired.update(removed)

    def _publish_entries(self) -> None:
        value = self._collection.combine({**self._expired, **self._entries})
        if value is None:
            return
        if self._expired:
            # Members that were still connected may hold a value from a later revision than the last
            # complete one here, which must not be replaced by one with expired entries.
            self._provisional_count = min(self._provisional_count + 1, VERSIONS_PER_REVISION - 1)
        else:
            revision = self._history * REVISIONS_PER_HISTORY + self._revision
            self._complete_version = revision * VERSIONS_PER_REVISION
            self._provisional_count = 0
        version = self._complete_version + self._provisional_count
        self._publish(StoredObject(self._collection.object_key, version, encode_object(value)))

    def _record_success(self) -> None:
        now_s = self._clock.now_s()
        self._outages.record_answer(now_s)
        if self._is_unreachable:
            self._is_unreachable = False
            _LOG.info("store reachable again for %s", self._collection.name)
        self._backoff.reset()
        self.has_answered = True
        self.is_connected = True
        self.last_success_s = now_s

    def _record_failure(self, error: StoreError) -> None:
        self._outages.record_failure(self._clock.now_s())
        if not self._is_unreachable:
            _LOG.warning(
                "store unreachable for %s, keeping the last entries and retrying: %s",
                self._collection.name,
                error,
            )
        self._is_unreachable = True
        self.is_connected = False
