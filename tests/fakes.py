"""Fakes of the object store and of entry hosts."""

from collections.abc import Mapping

from berylchute.exceptions import StoreConflict, StoreOutcomeUnknown, StoreUnavailable
from berylchute.types import StoredObject, WatchEvent


class FakeStore:
    """An in-memory object store with injectable faults.

    `lose_answers` and `lose_writes` count the next writes that fail with an unknown outcome, after
    or before they take effect. `down_after_lost_answer` makes the store unavailable from then on,
    `refuse_writes_after_loss` refuses all writes after a lost one.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.down_after_lost_answer = False
        self.refuse_writes_after_loss = False
        self._refuses_writes = False

    async def get(self, key: str) -> StoredObject | None:
        self._raise_if_down()
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        self._raise_if_down()
        if self._refuses_writes:
            raise StoreUnavailable("the fake store refuses writes")
        current = self.objects.get(key)
        if (0 if current is None else current.version) != expected_version:
            raise StoreConflict(key)
        if self.lose_writes:
            self.lose_writes -= 1
            self._refuses_writes = self.refuse_writes_after_loss
            raise StoreOutcomeUnknown(key)
        self.revision += 1
        stored = self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose_answers:
            self.lose_answers -= 1
            self.down = self.down_after_lost_answer
            raise StoreOutcomeUnknown(key)
        return stored

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        self._raise_if_down()
        newer = [item for item in self.objects.values() if item.version > after_revision]
        return WatchEvent(self.revision, tuple(newer))

    async def list_hosts(self) -> Mapping[str, str]:
        self._raise_if_down()
        return {}

    async def aclose(self) -> None:
        """Do nothing; there is no connection."""

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreUnavailable("the fake store is down")


class FakeHosts:
    """Entry hosts that record the pushed objects."""

    def __init__(self) -> None:
        self.pushed: list[StoredObject] = []

    async def push(self, stored: StoredObject) -> int:
        self.pushed.append(stored)
        return 2
