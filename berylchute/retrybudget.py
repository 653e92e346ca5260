"""Limit the retries that this process sends to its share of the budget of all members."""

from collections import deque

import attrs

from berylchute.discovery import MemberDiscovery

__all__ = ["RetryBounds", "RetryBudget"]

# Ratio of the budget that is used. The budget may be checked over other windows than the last one:
# they begin up to a quarter of a window earlier or later, and may hold only this ratio of its
# requests.
USED_RATIO = 0.75
# Ratio of the used budget that is reserved for callers that return after a refusal.
RESERVED_RATIO = 0.5


@attrs.frozen
class RetryBounds:
    """The retries that all members together may send per service in any `window_s`.

    The bound is `ratio` times the number of requests in the window, plus `burst`.
    """

    ratio: float = 0.2
    burst: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """The retry budget of one service, over a sliding window of requests and retries.

    Without the other members, a process has no part of the burst.
    """

    def __init__(self, bounds: RetryBounds, discovery: MemberDiscovery) -> None:
        self.bounds = bounds
        self._discovery = discovery
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Record a caller's request, which increases the budget."""
        self._requests.append(now_s)
        self._discard_old(now_s)

    def remaining(self, member_count: int, now_s: float, *, is_return: bool = True) -> float:
        """Return the retries that may be sent now; `member_count` members share the burst.

        A part is reserved for callers that return after a refusal (`is_return`): they would be
        refused again, while new callers can still come back.
        """
        self._discard_old(now_s)
        allowed = self.bounds.ratio * len(self._requests)
        if self._discovery.is_complete():
            allowed += self.bounds.burst / max(1, member_count)
        usable_ratio = USED_RATIO if is_return else USED_RATIO * (1.0 - RESERVED_RATIO)
        return allowed * usable_ratio - len(self._retries)

    def acquire(self, member_count: int, now_s: float, *, is_return: bool = True) -> bool:
        """Spend one retry; return whether the budget allows it."""
        if self.remaining(member_count, now_s, is_return=is_return) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _discard_old(self, now_s: float) -> None:
        oldest_s = now_s - self.bounds.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
