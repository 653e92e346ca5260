"""Track when the store last answered, so that members notice when nobody hears its changes."""

from collections.abc import Callable
from typing import Protocol

import anyio

from berylchute.exceptions import StoreError
from berylchute.storeoutages import PING_PERIOD_DEFAULT_S, StoreOutages
from berylchute.types import Clock

__all__ = ["CHANGE_APPLY_DEFAULT_S", "ProbedStore", "StoreContact", "StoreProbe"]

CHANGE_APPLY_DEFAULT_S = 2.0
# Shorter times are taken for this one, which bounds the rate of calls to the store.
CHANGE_APPLY_MIN_S = 0.5
# All are parts of the time within which a change must be in force. A change that the watching
# members miss is read after SILENCE_MAX_RATIO; the rest is for the read and for passing it on.
PROBE_PERIOD_RATIO = 0.2
SILENCE_MAX_RATIO = 0.55
WATCH_WAIT_RATIO = 0.75


class StoreContact:
    """The time of the store's last answer to this process, and to any member that reported one.

    Members that don't watch the store rely on those that do. A watch on a link that is cut looks
    like one without changes, so members report ages; a flag would hold until withdrawn.
    """

    def __init__(
        self, clock: Clock, change_apply_s: float, ping_period_s: float = PING_PERIOD_DEFAULT_S
    ) -> None:
        """Create a contact without an answer.

        Changes must be in force in `change_apply_s`; servers write their entries every
        `ping_period_s`.
        """
        self._clock = clock
        self.outages = StoreOutages(ping_period_s)
        change_apply_s = max(CHANGE_APPLY_MIN_S, change_apply_s)
        self._own_answer_s = self._last_answer_s = float("-inf")
        self._silence_max_s = SILENCE_MAX_RATIO * change_apply_s
        self.probe_period_s = PROBE_PERIOD_RATIO * change_apply_s
        self.watch_wait_s = WATCH_WAIT_RATIO * change_apply_s

    @property
    def is_lost(self) -> bool:
        """Return whether the store has answered no member for too long."""
        return self._clock.now_s() - self._last_answer_s > self._silence_max_s

    @property
    def is_own_lost(self) -> bool:
        """Return whether the store has not answered this process for too long."""
        return self._clock.now_s() - self._own_answer_s > self._silence_max_s

    def record_answer(self, asked_s: float) -> None:
        """Record an answer of the store to a call that this process began at `asked_s`."""
        self._own_answer_s = max(self._own_answer_s, asked_s)
        self._last_answer_s = max(self._last_answer_s, asked_s)
        self.outages.record_answer(self._clock.now_s())

    def record_report(self, age_s: float) -> None:
        """Record another member's report that the store answered it `age_s` ago."""
        answered_s = self._clock.now_s() - max(0.0, age_s)
        self._last_answer_s = max(self._last_answer_s, answered_s)
        self.outages.record_answer(answered_s)


class ProbedStore(Protocol):
    """A store that can be asked for a sign of life."""

    async def probe(self, timeout_s: float) -> None:
        """Return once the store has answered a call without data; raise StoreError."""
        ...


class StoreProbe:
    """Probe the store while this process watches it, and report each answer to the members."""

    # In counts of calls to the store by collection.
    name = "probe"

    def __init__(
        self,
        store: ProbedStore,
        contact: StoreContact,
        clock: Clock,
        is_watching: Callable[[], bool],
        report: Callable[[float], None],
    ) -> None:
        """Create a probe; `report` gets the age of the store's answer in seconds."""
        self._store = store
        self._contact = contact
        self._clock = clock
        self._is_watching = is_watching
        self._report = report
        self.calls = 0
        self.failures = 0

    async def run(self) -> None:
        """Probe the store until cancelled."""
        period_s = self._contact.probe_period_s
        while True:
            asked_s = self._clock.now_s()
            if self._is_watching():
                await self._probe(asked_s, 2.0 * period_s)
            await anyio.sleep(max(0.0, asked_s + period_s - self._clock.now_s()))

    async def _probe(self, asked_s: float, timeout_s: float) -> None:
        self.calls += 1
        try:
            await self._store.probe(timeout_s)
        except StoreError:
            # The watches log an outage, and the published record withdraws `watching`.
            self.failures += 1
            self._contact.outages.record_failure(self._clock.now_s())
            return
        self._contact.record_answer(asked_s)
        self._report(self._clock.now_s() - asked_s)
