"""Limit events to a mean rate with a bounded burst."""

import attrs

__all__ = ["TokenBucket"]


@attrs.define
class TokenBucket:
    """A bucket of tokens that starts empty at `filled_at_s`; each event takes one token.

    Rate and depth are passed with each refill, since both may change while the bucket is in use.
    """

    filled_at_s: float
    tokens: float = 0.0

    def refill(self, rate_per_s: float, depth: float, now_s: float) -> None:
        """Add the tokens since the last refill, up to `depth`."""
        added = rate_per_s * max(0.0, now_s - self.filled_at_s)
        self.tokens = min(depth, self.tokens + added)
        self.filled_at_s = now_s

    def has_token(self, *, debt: float = 0.0) -> bool:
        """Return whether an event may take place, if the count may fall to `-debt`."""
        return self.tokens + debt >= 1.0

    def take(self) -> None:
        """Take one token; the count falls below zero if there is none."""
        self.tokens -= 1.0
