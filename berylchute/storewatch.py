"""Plan a process's next call to the store, without I/O or clock."""

from collections.abc import Sequence
from random import Random
from typing import TypeAlias

import attrs

from berylchute.backoff import Backoff
from berylchute.objects import OBJECT_KEYS, ObjectReplica
from berylchute.types import StoredObject

__all__ = ["ReadCall", "StoreCall", "WatchCall", "WatchPlan"]

CALL_PAUSE_S = 0.1  # bounds the call rate during a burst of edits
RETRY_FIRST_S = 0.2


@attrs.frozen
class WatchCall:
    """Request a wait of up to `wait_s` for objects newer than `after_revision`."""

    after_revision: int
    wait_s: float


@attrs.frozen
class ReadCall:
    """Request a read of one object."""

    key: str


StoreCall: TypeAlias = WatchCall | ReadCall


class WatchPlan:
    """Plan the store calls of one process: all objects once, then a watch while it is a relay."""

    def __init__(self, wait_s: float, objects: ObjectReplica, rng: Random) -> None:
        self._wait_s = wait_s
        self._objects = objects
        # The retry delay grows to the length of a watch, so that the fleet's call rate does not
        # exceed the steady one when the store is available again.
        self._backoff = Backoff(RETRY_FIRST_S, max(RETRY_FIRST_S, wait_s), rng)
        self._has_answered = False
        self._reads_left = 0
        self._next_key = rng.randrange(len(OBJECT_KEYS))

    @property
    def has_answered(self) -> bool:
        """Return whether a call of this process has succeeded."""
        return self._has_answered

    def next_call(self, is_relay: bool) -> StoreCall | None:
        """Return the call to make now; None if there is none."""
        if not self._has_answered:
            return WatchCall(after_revision=0, wait_s=0.0)
        if not is_relay:
            return None
        if self._reads_left:
            return ReadCall(OBJECT_KEYS[self._next_key])
        # The `revision` of an answer is not used: that of a stale answer could be beyond an object
        # that the answer did not contain, which would then be skipped.
        return WatchCall(self._objects.highest_version(), self._wait_s)

    def record_answer(self, call: StoreCall, objects_found: Sequence[StoredObject]) -> float:
        """Record an answer and return the delay before the next call.

        Must be called before the objects found are applied to the replica.
        """
        self._has_answered = True
        has_newer = any(item.version > self._objects.version(item.key) for item in objects_found)
        if isinstance(call, ReadCall):
            self._next_key = (self._next_key + 1) % len(OBJECT_KEYS)
            # A newer object that the watch did not return means that the watch is broken.
            self._reads_left = len(OBJECT_KEYS) if has_newer else self._reads_left - 1
        elif not objects_found and call.wait_s:
            # A broken watch looks like one without changes; a read of one object detects it.
            self._reads_left = max(1, self._reads_left)
        elif objects_found and not has_newer:
            return self._backoff.next_delay_s()  # a stale answer would return at once every time
        self._backoff.reset()
        return CALL_PAUSE_S

    def record_failure(self) -> float:
        """Record a failed call and return the delay before the next one."""
        return self._backoff.next_delay_s()
