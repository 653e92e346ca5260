"""Decide which call a process makes to the store next, without sockets or clock."""

from collections.abc import Sequence
from random import Random
from typing import TypeAlias

import attrs

from berylchute.backoff import Backoff
from berylchute.objects import OBJECT_KEYS, ObjectReplica
from berylchute.types import StoredObject

__all__ = ["ReadCall", "StoreCall", "WatchCall", "WatchPlan"]

PAUSE_S = 0.1  # bounds the calls that a burst of edits causes
RETRY_FIRST_S = 0.2


@attrs.frozen
class WatchCall:
    """Wait up to `wait_s` for objects newer than `after_revision`."""

    after_revision: int
    wait_s: float


@attrs.frozen
class ReadCall:
    """Read one object."""

    key: str


StoreCall: TypeAlias = WatchCall | ReadCall


class WatchPlan:
    """Plan the store calls of one process: everything once, then a watch while it is a relay."""

    def __init__(self, wait_s: float, objects: ObjectReplica, rng: Random) -> None:
        self._wait_s = wait_s
        self._objects = objects
        # Retries never come more often than watches end by themselves, so that the fleet does
        # not exceed its steady call rate when the store returns.
        self._backoff = Backoff(RETRY_FIRST_S, max(RETRY_FIRST_S, wait_s), rng)
        self._has_answered = False
        self._reads_left = 0
        self._next_key = rng.randrange(len(OBJECT_KEYS))

    @property
    def has_answered(self) -> bool:
        """Tell whether the store has answered this process."""
        return self._has_answered

    def next_call(self, is_relay: bool) -> StoreCall | None:
        """Return the call to make now; None if there is none."""
        if not self._has_answered:
            return WatchCall(after_revision=0, wait_s=0.0)
        if not is_relay:
            return None
        if self._reads_left:
            return ReadCall(OBJECT_KEYS[self._next_key])
        # The `revision` of an answer is not used: after a stale answer it could pass over an
        # object that was not in it.
        return WatchCall(self._objects.highest_version(), self._wait_s)

    def take_answer(self, call: StoreCall, found: Sequence[StoredObject]) -> float:
        """Note an answer and return the delay before the next call; call before applying it."""
        self._has_answered = True
        is_news = any(item.version > self._objects.version(item.key) for item in found)
        if isinstance(call, ReadCall):
            self._next_key = (self._next_key + 1) % len(OBJECT_KEYS)
            # News that the watch did not bring means that the watch is broken.
            self._reads_left = len(OBJECT_KEYS) if is_news else self._reads_left - 1
        elif not found and call.wait_s:
            # A broken watch looks like a quiet one; reading one object tells them apart.
            self._reads_left = max(1, self._reads_left)
        elif found and not is_news:
            return self._backoff.next_delay_s()  # a stale answer comes back at once every time
        self._backoff.reset()
        return PAUSE_S

    def take_failure(self) -> float:
        """Note a failed call and return the delay before the next."""
        return self._backoff.next_delay_s()
