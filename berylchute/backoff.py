"""Compute the delays between retries."""

from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Compute exponential retry delays in seconds, with jitter between half and all of the step."""

    def __init__(self, first_s: float, max_s: float, rng: Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0

    def next_delay_s(self) -> float:
        """Return the delay in seconds before the next attempt and count one failure."""
        step_s = min(self._max_s, self._first_s * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return step_s * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again at the first delay, after a success."""
        self._failures = 0
