"""Provide fakes at the interfaces to outside systems."""

from collections.abc import Mapping

from berylchute.exceptions import StoreConflict, StoreOutcomeUnknown, StoreUnavailable
from berylchute.types import StoredObject, WatchEvent


class FakeStore:
    """An object store in memory with faults to switch on."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.down_after_lost_answer = False

    async def get(self, key: str) -> StoredObject | None:
        self._check()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        self._check()
        current = self.objects.get(key)
        if (0 if current is None else current.version) != expected_version:
            raise StoreConflict(key)
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreOutcomeUnknown(key)
        self.revision += 1
        stored = self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            self.down = self.down_after_lost_answer
            raise StoreOutcomeUnknown(key)
        return stored

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        self._check()
        newer = [item for item in self.objects.values() if item.version > after_revision]
        return WatchEvent(self.revision, tuple(newer))

    async def list_hosts(self) -> Mapping[str, str]:
        self._check()
        return {}

    async def aclose(self) -> None:
        """Nothing to close."""

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("down")


class FakeHosts:
    """Entry hosts that keep what was pushed to them."""

    def __init__(self) -> None:
        self.pushed: list[StoredObject] = []

    async def push(self, stored: StoredObject) -> int:
        self.pushed.append(stored)
        return 2
