"""A fleet that follows a store, simulated without sockets: feeds, probes and messages."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from random import Random

import attrs

from berylchute.assignments import StoreWatchSelector
from berylchute.collection import (
    Collection,
    CollectionChanges,
    CollectionFeed,
    CollectionListing,
    choose_first_read_delay_s,
)
from berylchute.edge import MEMBER_TIMING, REPORT_INTERVAL_S
from berylchute.exceptions import StoreUnavailable
from berylchute.membership import Membership
from berylchute.messages import Outgoing
from berylchute.objects import ObjectReplica
from berylchute.replication import Replication
from berylchute.sharedobjects import ZoneDrains
from berylchute.storecontact import StoreContact, StoreProbe
from berylchute.types import StoredObject
from tests.test_directory import member
from tests.virtualtime import LoopClock

__all__ = ["CHANGE_APPLY_S", "WatchFleet"]

CHANGE_APPLY_S = 2.0
READ_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0
STORE_DELAY_S = 0.01
MESSAGE_DELAY_S = 0.015
DRAINS = Collection("drains", "zone_drains", lambda entries: ZoneDrains(tuple(sorted(entries))))


class _Store:
    """One collection; members in `cut` get no answer, as on a link that drops all packets."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.cut: set[str] = set()
        self.calls = 0
        self._changed = asyncio.Event()

    def add(self, name: str) -> None:
        self.names.append(name)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, after_revision: int, wait_s: float) -> CollectionChanges:
        if len(self.names) <= after_revision:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                return CollectionChanges({}, after_revision)
        return CollectionChanges(dict.fromkeys(self.names[after_revision:], 1), len(self.names))


class _StoreClient:
    """The store as one member reaches it."""

    def __init__(self, store: _Store, name: str) -> None:
        self._store = store
        self._name = name

    async def read(self, collection: str) -> CollectionListing:
        await self._pass(READ_TIMEOUT_S)
        return CollectionListing(dict.fromkeys(self._store.names, 1), len(self._store.names))

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> CollectionChanges:
        started_s = asyncio.get_running_loop().time()
        await self._pass(wait_s + WATCH_MARGIN_S)
        changes = await self._store.wait_for_change(after_revision, wait_s)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await self._pass(wait_s + WATCH_MARGIN_S - elapsed_s)
        return changes

    async def probe(self, timeout_s: float) -> None:
        await self._pass(timeout_s)

    async def _pass(self, timeout_s: float) -> None:
        self._store.calls += 1
        if self._name in self._store.cut:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable("silent")
        await asyncio.sleep(STORE_DELAY_S)


class _Member:
    """One member: feed, probe, membership and the drained zones that it knows."""

    def __init__(
        self,
        fleet: "WatchFleet",
        name: str,
        zone: str,
        seeds: Sequence[str],
        *,
        is_first_start: bool,
    ) -> None:
        self._fleet = fleet
        self._clock = LoopClock()
        self.name = name
        self.known: dict[str, float] = {}
        record = member(name, zone, zone[0], peer_address=name).record
        membership = Membership(
            record, seeds, Random(name), self._clock.now_s(), timing=MEMBER_TIMING
        )
        self.membership = membership
        contact = self._contact = StoreContact(self._clock, CHANGE_APPLY_S)
        self.replication = Replication(
            membership, ObjectReplica([DRAINS.object_key]), self._record, contact
        )
        client = _StoreClient(fleet.store, name)
        self.feed = CollectionFeed(
            DRAINS,
            client,
            self._clock,
            Random(name),
            lambda stored: fleet.deliver(name, self.replication.apply_object(stored)),
            StoreWatchSelector(
                name, contact, membership, self._clock, is_first_start=is_first_start
            ).should_watch,
            contact.watch_wait_s,
            self.replication.objects.get,
            choose_first_read_delay_s(
                Random(name), is_first_start=is_first_start, is_seed=name in seeds
            ),
        )
        self._probe = StoreProbe(
            client,
            contact,
            self._clock,
            lambda: self.feed.is_connected,
            lambda age_s: fleet.deliver(name, self.replication.report_store_answer(age_s)),
        )
        self.tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (self.feed.run(), self._probe.run(), self._tick(), self._report())
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def _record(self, stored: StoredObject) -> None:
        for name in self._fleet.store.names:
            if f'"{name}"'.encode() in stored.value:
                self.known.setdefault(name, self._clock.now_s())

    async def _tick(self) -> None:
        while True:
            self._fleet.deliver(self.name, self.replication.tick(self._clock.now_s()))
            await asyncio.sleep(0.1)

    async def _report(self) -> None:
        while True:
            watching = self.feed.is_connected and not self._contact.is_own_lost
            self.membership.update_own_record(
                attrs.evolve(self.membership.record, watching=watching)
            )
            await asyncio.sleep(REPORT_INTERVAL_S)


class WatchFleet:
    """Members of three zones that follow one store and send one another messages."""

    def __init__(self, zone_size: int = 4, *, is_first_start: bool = False) -> None:
        self.store = _Store()
        self.members: dict[str, _Member] = {}
        self.separated: set[str] = set()
        names = [f"m{number}" for number in range(1, 3 * zone_size + 1)]
        for index, name in enumerate(names):
            self.members[name] = _Member(
                self, name, "abc"[index % 3] + "-1", names[:3], is_first_start=is_first_start
            )

    def deliver(self, sender: str, messages: Iterable[Outgoing]) -> None:
        """Deliver messages, but those between `separated` members and the others."""
        loop = asyncio.get_running_loop()
        for outgoing in messages:
            loop.call_later(MESSAGE_DELAY_S, self._receive, sender, outgoing)

    def _receive(self, sender: str, outgoing: Outgoing) -> None:
        receiver = self.members.get(outgoing.address)
        if receiver is None or sender not in self.members:
            return
        if (sender in self.separated) is not (receiver.name in self.separated):
            return
        now_s = asyncio.get_running_loop().time()
        self.deliver(receiver.name, receiver.replication.handle(outgoing.message, now_s))

    def watching(self) -> list[str]:
        """Return the members whose watches the store answers."""
        return [name for name, member in self.members.items() if member.feed.is_connected]

    def lose_power(self, names: Iterable[str]) -> None:
        """End members without a farewell."""
        for name in names:
            self.members.pop(name).stop()

    async def delays_s(self, change: str, names: Iterable[str]) -> Mapping[str, float]:
        """Write a change and return how long each of `names` took to know it."""
        written_s = asyncio.get_running_loop().time()
        self.store.add(change)
        await asyncio.sleep(10.0)
        return {
            name: self.members[name].known.get(change, float("inf")) - written_s for name in names
        }
