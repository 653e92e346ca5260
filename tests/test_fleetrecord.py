"""Check the record of the fleet's hosts, and who reads and writes it, without a network."""

import asyncio
from random import Random
from typing import Any

import attrs
import pytest

from berylchute.discovery import MEMBER_DISCOVERY_S, MemberDiscovery
from berylchute.exceptions import ConfigError, StoreUnavailable
from berylchute.fleetrecord import (
    FleetRecord,
    FleetRecordKeeper,
    RecordedHost,
    StoredRecord,
)
from berylchute.fleetrecord.keeper import WRITE_PERIOD_S
from berylchute.fleetrecord.record import (
    ABSENT_KEPT_MS,
    LEFT_KEPT_MS,
    decode_record,
    encode_record,
    update_record,
)
from berylchute.types import MemberState, MemberStatus
from tests.test_directory import member
from tests.virtualtime import LoopClock, run_in_virtual_time

NOW_MS = 1_800_000_000_000
HOST = RecordedHost("ra", 1.0)


def _seen(name: str, **changes: Any) -> MemberStatus:
    return member(name, "za", "ra", **{"capacity": 1.0, **changes})


def test_new_hosts_are_added_and_unseen_ones_kept() -> None:
    # Guard against a record that forgets the hosts on the other side of a cut.
    record = update_record(FleetRecord({"a": HOST, "b": HOST}), [_seen("a"), _seen("c")], NOW_MS)
    assert record.hosts == {"a": HOST, "b": RecordedHost("ra", 1.0, NOW_MS), "c": HOST}
    again = update_record(record, [_seen("a"), _seen("c")], NOW_MS + ABSENT_KEPT_MS)
    assert again == record
    later = update_record(record, [_seen("a"), _seen("c")], NOW_MS + ABSENT_KEPT_MS + 1)
    assert sorted(later.hosts) == ["a", "c"]


def test_host_that_left_is_removed_sooner_and_one_that_returns_stays() -> None:
    # Guard against a part of each rate that stays unused for hours after hosts are taken away, and
    # against a host that is forgotten while it restarts.
    left = _seen("b", leaving=True, state=MemberState.GONE)
    record = update_record(FleetRecord({"a": HOST, "b": HOST}), [_seen("a"), left], NOW_MS)
    assert record.hosts["b"].absent_since_ms == NOW_MS
    assert "b" in update_record(record, [_seen("a"), left], NOW_MS + LEFT_KEPT_MS).hosts
    assert "b" not in update_record(record, [_seen("a"), left], NOW_MS + LEFT_KEPT_MS + 1).hosts
    assert update_record(record, [_seen("a"), _seen("b")], NOW_MS + 1).hosts["b"] == HOST


def test_gone_members_are_not_added() -> None:
    # Guard against hosts that are recorded as live since someone remembers them.
    assert not update_record(FleetRecord(), [_seen("a", state=MemberState.GONE)], NOW_MS).hosts


@pytest.mark.parametrize(
    "value",
    [
        None,
        5,
        {},
        {"items": []},
        {"hosts": {}},
        {"hosts": {"a": {}}},
        {"hosts": {"a": {"region": "ra", "capacity": 0.0}}},
        {"hosts": {"a": {"region": "ra", "capacity": -1.0}}},
        {"hosts": {"a": {"region": 5, "capacity": 1.0}}},
    ],
)
def test_odd_record_is_none(value: object) -> None:
    # Guard against parts of a rate that follow from what another writer left in the store.
    with pytest.raises(ConfigError):
        decode_record(value)


def test_record_is_read_as_it_was_written() -> None:
    # Guard against a record that no host can read.
    record = FleetRecord({"a": HOST, "b": RecordedHost("rb", 0.3, NOW_MS)})
    assert decode_record(encode_record(record)) == record


@attrs.define
class _Store:
    """A store of one record; `keeps` is unset for one that answers writes and keeps nothing."""

    stored: StoredRecord | None = None
    keeps: bool = True
    is_down: bool = False
    reads: int = 0
    writes: int = 0

    async def read_record(self, *, may_be_stale: bool) -> StoredRecord | None:
        self.reads += 1
        if self.is_down:
            raise StoreUnavailable("down")
        return self.stored

    async def write_record(self, value: object, revision: int) -> None:
        self.writes += 1
        if self.is_down:
            raise StoreUnavailable("down")
        if revision != (self.stored.revision if self.stored else 0):
            raise StoreUnavailable("another revision")
        if self.keeps:
            self.stored = StoredRecord(value, revision + 1)


class _Members:
    def __init__(self, *names: str) -> None:
        self.statuses = [_seen(name, watching=True) for name in names]

    def list_members(self) -> list[MemberStatus]:
        return self.statuses

    def find_by_position(self, position: str) -> MemberStatus | None:
        return None


def _run(
    store: _Store, members: _Members, seconds: float, *, own: str = "a", is_joined: bool = True
) -> MemberDiscovery:
    """Run one keeper for some time; return what its process knows of the fleet."""
    found: list[MemberDiscovery] = []

    async def main() -> None:
        clock = LoopClock()
        discovery = MemberDiscovery(clock, {"za": "ra", "zb": "rb"})
        found.append(discovery)
        discovery.update(is_joined=is_joined)
        keeper = FleetRecordKeeper(store, discovery, members, own, clock, Random(1), lambda: NOW_MS)
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(seconds)
        assert not task.done()
        task.cancel()

    run_in_virtual_time(main())
    return found[0]


def test_first_member_writes_the_record_and_others_read_it() -> None:
    # Guard against a record that nobody writes, or that all members write.
    store, members = _Store(), _Members("a", "b", "c")
    _run(store, members, MEMBER_DISCOVERY_S + 3.0, own="b")
    assert store.writes == 0
    _run(store, members, MEMBER_DISCOVERY_S + 3.0)
    assert store.writes == 1 and store.stored is not None
    assert sorted(decode_record(store.stored.value).hosts) == ["a", "b", "c"]
    alone = _run(store, _Members("b"), 1.0, own="b", is_joined=False)
    assert not alone.is_fleet_unknown
    assert alone.count_members(_Members("b").statuses) == 3


def test_store_in_good_order_is_called_rarely() -> None:
    # Guard against calls that grow with the time that a fleet runs.
    store = _Store()
    _run(store, _Members("a", "b"), 600.0)
    assert store.writes == 1 and store.reads <= 4
    store.reads = 0
    _run(store, _Members("a", "b"), 600.0, own="b")
    assert store.reads == 1


@pytest.mark.parametrize("is_joined", [True, False])
def test_store_that_keeps_nothing_tells_nothing(is_joined: bool) -> None:
    # Guard against a process that takes what it wrote for what the store holds, and against a store
    # that is called without end.
    store = _Store(keeps=False)
    members = _Members("a")
    discovery = _run(store, members, 300.0, is_joined=is_joined)
    assert discovery.is_fleet_unknown is not is_joined
    assert store.reads + store.writes <= 40
    assert all(count <= 2 for count in (len(discovery.assumed_regions(members.statuses)),))


def test_record_is_read_once_the_store_is_back() -> None:
    # Guard against a process that gives up after an outage of the store at its start.
    value = encode_record(FleetRecord({"a": HOST, "b": HOST}))
    store = _Store(StoredRecord(value, 7), is_down=True)

    async def main() -> None:
        clock = LoopClock()
        discovery = MemberDiscovery(clock)
        keeper = FleetRecordKeeper(
            store, discovery, _Members("a"), "a", clock, Random(1), lambda: NOW_MS
        )
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(20.0)
        assert discovery.is_fleet_unknown
        store.is_down = False
        await asyncio.sleep(WRITE_PERIOD_S)
        assert not discovery.is_fleet_unknown
        task.cancel()

    run_in_virtual_time(main())


def test_record_of_another_writer_is_extended() -> None:
    # Guard against two sides of a cut that each replace the record of the other.
    store = _Store(StoredRecord(encode_record(FleetRecord({"x": HOST})), 7))
    _run(store, _Members("a", "b"), MEMBER_DISCOVERY_S + 3.0)
    assert store.stored is not None and store.stored.revision == 8
    assert sorted(decode_record(store.stored.value).hosts) == ["a", "b", "x"]


def test_unreadable_record_is_replaced() -> None:
    # Guard against a record that another writer spoiled and that no member can write again.
    store = _Store(StoredRecord({"hosts": "odd"}, 7))
    alone = _run(store, _Members("b"), 60.0, own="b", is_joined=False)
    assert alone.is_fleet_unknown
    _run(store, _Members("a", "b"), MEMBER_DISCOVERY_S + 3.0)
    assert store.stored is not None and store.stored.revision == 8
    assert sorted(decode_record(store.stored.value).hosts) == ["a", "b"]
