"""Bound hedges and retries, and estimate when a hedge is due."""

from bisect import bisect_left, insort
from collections import deque

import attrs

__all__ = ["ExtraLoadBudget", "HedgeDelays"]

EXTRA_LOAD_FRACTION = 0.05
# Tokens above this would let a burst of hedges follow a long quiet period.
BUDGET_TOKENS_MAX = 20.0
# Retries keep a small allowance so that a rarely used host can still retry.
RETRY_TOKENS_MAX = 5.0
RETRY_TOKENS_PER_S = 1.0
SAMPLES_KEPT = 512
# Fewer samples say nothing about a 95th percentile.
SAMPLES_MIN = 20


@attrs.define
class ExtraLoadBudget:
    """Limit hedges and retries together to a fraction of the first attempts.

    A retry after an attempt in state `not_sent` puts no load on a server and needs no budget.
    """

    fraction: float = EXTRA_LOAD_FRACTION
    tokens_max: float = BUDGET_TOKENS_MAX
    retry_tokens_max: float = RETRY_TOKENS_MAX
    retry_tokens_per_s: float = RETRY_TOKENS_PER_S
    _tokens: float = attrs.field(default=0.0, init=False)
    _retry_tokens: float = attrs.field(default=0.0, init=False)
    _refilled_s: float | None = attrs.field(default=None, init=False)

    def record_first_attempt(self) -> None:
        """Earn a fraction of a token for a request's first attempt."""
        self._tokens = min(self.tokens_max, self._tokens + self.fraction)

    def try_hedge(self) -> bool:
        """Spend a token on a hedge; False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_retry(self, now_s: float) -> bool:
        """Spend a token on a retry, else one of the small time-based allowance."""
        self._refill(now_s)
        if self.try_hedge():
            return True
        if self._retry_tokens < 1.0:
            return False
        self._retry_tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is None:
            self._retry_tokens = self.retry_tokens_max
        else:
            earned = max(0.0, now_s - self._refilled_s) * self.retry_tokens_per_s
            self._retry_tokens = min(self.retry_tokens_max, self._retry_tokens + earned)
        self._refilled_s = now_s


@attrs.define
class _Window:
    """The last samples of one kind in order of arrival and of value."""

    arrived: deque[float] = attrs.field(factory=deque)
    ordered: list[float] = attrs.field(factory=list)

    def add(self, value: float, size: int) -> None:
        self.arrived.append(value)
        insort(self.ordered, value)
        if len(self.arrived) > size:
            oldest = self.arrived.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]


@attrs.define
class HedgeDelays:
    """Estimate quantiles of latency per kind over the last samples."""

    samples_kept: int = SAMPLES_KEPT
    _windows: dict[str, _Window] = attrs.field(factory=dict, init=False)

    def record(self, kind: str, latency_s: float) -> None:
        """Add the latency of an answer, in seconds."""
        self._windows.setdefault(kind, _Window()).add(latency_s, self.samples_kept)

    def quantile_s(self, kind: str, fraction: float) -> float | None:
        """Return a quantile in seconds; None with too few samples."""
        window = self._windows.get(kind)
        if window is None or len(window.ordered) < SAMPLES_MIN:
            return None
        return window.ordered[min(len(window.ordered) - 1, int(len(window.ordered) * fraction))]

    def delay_s(self, kind: str) -> float | None:
        """Return after how many seconds a hedge is due; None while that is unknown."""
        return self.quantile_s(kind, 0.95)
