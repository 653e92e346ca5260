"""Limit hedges and retries, and estimate the delay before a hedge."""

from bisect import bisect_left, insort
from collections import deque

import attrs

__all__ = ["ExtraLoadBudget", "HedgeDelays"]

EXTRA_LOAD_RATIO = 0.05
# Without this limit a burst of hedges could follow a long period without any.
BUDGET_TOKENS_MAX = 20.0
# A small time-based allowance lets a host with little traffic retry.
RETRY_TOKENS_MAX = 5.0
RETRY_TOKENS_PER_S = 1.0
SAMPLES_KEPT = 512
# A 95th percentile over fewer samples is unreliable.
SAMPLES_MIN = 20


@attrs.define
class ExtraLoadBudget:
    """Limit hedges and retries together to a fraction of the first attempts.

    A retry after an attempt in state `not_sent` puts no load on a server and needs no token.
    """

    fraction: float = EXTRA_LOAD_RATIO
    tokens_max: float = BUDGET_TOKENS_MAX
    retry_tokens_max: float = RETRY_TOKENS_MAX
    retry_tokens_per_s: float = RETRY_TOKENS_PER_S
    _tokens: float = attrs.field(default=0.0, init=False)
    _retry_tokens: float = attrs.field(default=0.0, init=False)
    _refilled_s: float | None = attrs.field(default=None, init=False)

    def record_first_attempt(self) -> None:
        """Add `fraction` of a token for a request's first attempt."""
        self._tokens = min(self.tokens_max, self._tokens + self.fraction)

    def try_spend_hedge(self) -> bool:
        """Spend a token on a hedge; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_spend_retry(self, now_s: float) -> bool:
        """Spend a token on a retry, or one of the time-based allowance if none is left."""
        self._refill(now_s)
        if self.try_spend_hedge():
            return True
        if self._retry_tokens < 1.0:
            return False
        self._retry_tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is None:
            self._retry_tokens = self.retry_tokens_max
        else:
            added = max(0.0, now_s - self._refilled_s) * self.retry_tokens_per_s
            self._retry_tokens = min(self.retry_tokens_max, self._retry_tokens + added)
        self._refilled_s = now_s


@attrs.define
class _SampleWindow:
    """The last samples of one kind, in order of arrival and sorted by value."""

    arrived: deque[float] = attrs.field(factory=deque)
    sorted_values: list[float] = attrs.field(factory=list)

    def add(self, value: float, size: int) -> None:
        self.arrived.append(value)
        insort(self.sorted_values, value)
        if len(self.arrived) > size:
            oldest = self.arrived.popleft()
            del self.sorted_values[bisect_left(self.sorted_values, oldest)]


@attrs.define
class HedgeDelays:
    """Estimate latency quantiles per kind from the last samples."""

    samples_kept: int = SAMPLES_KEPT
    _windows: dict[str, _SampleWindow] = attrs.field(factory=dict, init=False)

    def record(self, kind: str, latency_s: float) -> None:
        """Record the latency of an answer, in seconds."""
        self._windows.setdefault(kind, _SampleWindow()).add(latency_s, self.samples_kept)

    def quantile_s(self, kind: str, fraction: float) -> float | None:
        """Return the latency quantile in seconds, or None with too few samples."""
        window = self._windows.get(kind)
        if window is None or len(window.sorted_values) < SAMPLES_MIN:
            return None
        return window.sorted_values[
            min(len(window.sorted_values) - 1, int(len(window.sorted_values) * fraction))
        ]

    def delay_s(self, kind: str) -> float | None:
        """Return the 95th percentile in seconds, after which a hedge is due, or None if unknown."""
        return self.quantile_s(kind, 0.95)
