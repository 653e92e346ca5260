"""Decide whether what was written to a caller is sent, and how long to wait until it is.

Load handled: callers that read slowly, or not at all.
"""

from enum import StrEnum

import attrs

__all__ = ["LINGER_S", "STALLED_S", "Linger", "LingerStep", "SendProgress"]

# A caller for which bytes have waited for this time may be disconnected for others.
STALLED_S = 1.0
# After everything is sent, the time for the caller to close the connection from its side.
LINGER_S = 3.0


@attrs.define
class SendProgress:
    """How many written bytes wait until the caller reads, as periodic checks see it.

    `waiting_s` is since when there have been any, None if there are none; `moved_s` is when their
    number last changed.
    """

    unsent_bytes: int = 0
    waiting_s: float | None = None
    moved_s: float = 0.0

    def record(self, unsent_bytes: int, now_s: float) -> int:
        """Record the number of waiting bytes and return its change."""
        change = unsent_bytes - self.unsent_bytes
        if change:
            self.unsent_bytes = unsent_bytes
            self.moved_s = now_s
        if not unsent_bytes:
            self.waiting_s = None
        elif self.waiting_s is None:
            self.waiting_s = now_s
        return change


class LingerStep(StrEnum):
    """What to do with a connection whose sending side was ended."""

    WAIT = "wait"
    CLOSE = "close"
    RESET = "reset"


@attrs.define
class Linger:
    """The time between the end of the sending side of a connection and its close.

    `sent_s` is since when everything is sent, None before. `progress` includes what the caller has
    not acknowledged.
    """

    progress: SendProgress = attrs.field(factory=SendProgress)
    sent_s: float | None = None

    def next_step(self, unsent_bytes: int, now_s: float, stalled_timeout_s: float) -> LingerStep:
        """Return what to do now; a caller that reads nothing for the time-out is reset."""
        self.progress.record(unsent_bytes, now_s)
        if unsent_bytes:
            self.sent_s = None
            is_stalled = now_s - self.progress.moved_s > stalled_timeout_s
            return LingerStep.RESET if is_stalled else LingerStep.WAIT
        if self.sent_s is None:
            self.sent_s = now_s
        return LingerStep.CLOSE if now_s - self.sent_s > LINGER_S else LingerStep.WAIT
