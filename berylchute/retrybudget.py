"""Bound the repeats that this process sends, as its share of what all members may send."""

from collections import deque

import attrs

__all__ = ["RetryBounds", "RetryBudget"]

# Part of the fleet's allowance that is used. An allowance may be counted over other windows than
# the last one, which begin up to a quarter of a window earlier or later and hold this part of its
# requests.
USED_SHARE = 0.75
# A fresh process does not know how many share the allowance until it has heard from the others;
# ten heartbeats.
LEARNING_S = 5.0


@attrs.frozen
class RetryBounds:
    """What all members together may repeat per service in any `window_s`."""

    ratio: float = 0.2
    burst: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """Count requests and repeats of one service in a sliding window."""

    def __init__(self, bounds: RetryBounds, started_s: float) -> None:
        self.bounds = bounds
        self._started_s = started_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def left(self, members: int, now_s: float) -> float:
        """Return the repeats that may still be sent now, with `members` processes sharing."""
        self._forget(now_s)
        allowed = self.bounds.ratio * len(self._requests)
        if now_s - self._started_s > LEARNING_S:
            allowed += self.bounds.burst / max(1, members)
        return allowed * USED_SHARE - len(self._repeats)

    def take(self, members: int, now_s: float) -> bool:
        """Reserve one repeat; tell whether the budget allows it."""
        if self.left(members, now_s) < 1.0:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        before_s = now_s - self.bounds.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < before_s:
                times.popleft()
