"""Check that no two hosts hold one position and that no position stays unclaimed."""

from collections.abc import Mapping
from random import Random

import anyio
import attrs
import pytest

from berylchute.claims import ClaimIdentity, ClaimTask, decode_claims, encode_claims, plan_claim
from berylchute.config import encode_json
from berylchute.exceptions import StoreConflict, StoreOutcomeUnknown, StoreUnavailable
from berylchute.ledger import Ledger
from berylchute.sharecontrol import Claim, ClaimTable, ShareController
from berylchute.types import MemberStatus, StoredObject, WatchEvent
from tests.test_sharecontrol import configuration


@attrs.define
class FakeStore:
    """An in-memory store that can fail, or lose the response to a write that took effect."""

    objects: dict[str, StoredObject] = attrs.Factory(dict)
    hosts: dict[str, str] = attrs.Factory(dict)
    revision: int = 1
    lose_answers: int = 0
    is_down: bool = False

    async def get(self, key: str) -> StoredObject | None:
        if self.is_down:
            raise StoreUnavailable("down")
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        if self.is_down:
            raise StoreUnavailable("down")
        current = self.objects.get(key)
        if (current.version if current else 0) != expected_version:
            raise StoreConflict(key)
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknown(key)
        return self.objects[key]

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        return WatchEvent(self.revision, ())

    async def list_hosts(self) -> Mapping[str, str]:
        return self.hosts


@attrs.define
class FakeNode:
    """Replica, members and clock of one process."""

    objects: dict[str, StoredObject] = attrs.Factory(dict)
    settled: list[int] = attrs.Factory(list)
    time_s: float = 0.0

    def now_s(self) -> float:
        return self.time_s

    def get(self, key: str) -> StoredObject | None:
        return self.objects.get(key)

    def apply_object(self, stored: StoredObject) -> None:
        self.objects[stored.key] = stored

    def list_members(self) -> list[MemberStatus]:
        return []

    def find_by_position(self, position: str) -> MemberStatus | None:
        return None


def task_of(host_id: str, store: FakeStore, incarnation: int = 1) -> tuple[ClaimTask, FakeNode]:
    node = FakeNode()
    node.apply_object(StoredObject("config", 1, encode_json(configuration("a"))))
    controller = ShareController(host_id, "a", incarnation, 0.0, Ledger())
    identity = ClaimIdentity(host_id, "a", incarnation)
    task = ClaimTask(
        identity,
        controller,
        store,
        node,
        node,
        node,
        Random(1),
        node.apply_object,
        node.settled.append,
    )
    return task, node


def run_for(task: ClaimTask, node: FakeNode, seconds: float) -> None:
    async def steps() -> None:
        ends_s = node.time_s + seconds
        while node.time_s < ends_s:
            task.update_shares()
            await task.sync_store()
            node.time_s += 0.1

    anyio.run(steps)


def holder(store: FakeStore) -> Claim | None:
    stored = store.objects.get("claims")
    return decode_claims(stored.value).find("a") if stored else None


def test_claim_is_kept_after_a_lost_response() -> None:
    """Guard against a second claim after the response to a successful write was lost."""
    store = FakeStore(lose_answers=1)
    task, node = task_of("a1", store)
    run_for(task, node, 3.0)
    assert holder(store) == Claim("a", "a1", 1, True)
    assert store.revision == 2
    assert node.settled == [1]


def test_store_outage_only_delays_the_claim() -> None:
    """Guard against a task that stops at the first store error and never claims its position."""
    store = FakeStore(is_down=True)
    task, node = task_of("a1", store)
    run_for(task, node, 1.0)
    assert holder(store) is None
    store.is_down = False
    run_for(task, node, 2.0)
    assert holder(store) == Claim("a", "a1", 1, True)


def test_position_is_claimed_only_when_its_holder_is_gone() -> None:
    """Guard against a host that claims a position while its holder may still run."""
    store = FakeStore(hosts={"a1": "leaving"})
    run_for(*task_of("a1", store), 1.0)
    task, node = task_of("a2", store)
    run_for(task, node, 10.0)
    assert holder(store) == Claim("a", "a1", 1, True)
    store.hosts["a1"] = "gone"
    run_for(task, node, 10.0)
    assert holder(store) == Claim("a", "a2", 1, False)


def test_claim_based_on_a_stale_read_fails() -> None:
    """Guard against two holders of one position when a host pauses between read and write."""
    store = FakeStore(hosts={"a1": "gone"})
    first = encode_claims(ClaimTable((Claim("a", "a1", 1, True),)))
    store.objects["claims"] = StoredObject("claims", 2, first)
    store.revision = 2
    plans = [
        plan_claim(decode_claims(first), "a", host_id, 1, store.hosts) for host_id in ("a2", "a3")
    ]
    assert all(plans)

    async def write(plan: ClaimTable | None) -> bool:
        assert plan is not None
        try:
            await store.put("claims", encode_claims(plan), 2)
        except StoreConflict:
            return False
        return True

    assert [anyio.run(write, plan) for plan in plans] == [True, False]
    assert holder(store) == Claim("a", "a2", 1, False)


def test_bad_config_does_not_hide_newer_claims(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against claims that stay unread, and a line each 0.1 s, while a config is invalid."""
    store = FakeStore()
    task, node = task_of("h1", store)
    node.apply_object(StoredObject("config", 2, b"no JSON"))
    table = ClaimTable((Claim("a", "h9", 1, True),))
    node.apply_object(StoredObject("claims", 3, encode_claims(table)))
    for _ in range(5):
        task.update_shares()
    assert task._controller.claims_version == 3
    assert len([record for record in caplog.records if "config" in record.message]) == 1
    node.apply_object(StoredObject("claims", 4, b"no JSON"))
    for _ in range(5):
        task.update_shares()
    assert len([record for record in caplog.records if "claims" in record.message]) == 1
