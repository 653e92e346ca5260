"""Measure the steady demand of an organisation at one host.

Load handled: steady requests, for which tokens are requested in advance, and single ones, for which
they would expire unused.
"""

import math

from berylchute.allotments.limits import PREFETCH_S

__all__ = ["SteadyDemand"]

_SLOT_S = 0.5
_STEADY_MIN_PER_S = 5.0


class SteadyDemand:
    """The requests of the last whole slots of time; the lower count is the steady demand."""

    def __init__(self) -> None:
        self._slot = 0
        self._counts = [0, 0, 0]

    def record(self, now_s: float) -> None:
        """Count a request."""
        self._shift(now_s)
        self._counts[0] += 1

    def prefetch_count(self, now_s: float) -> int:
        """Return the tokens that this host should hold in advance, 0 without steady demand."""
        self._shift(now_s)
        steady_per_s = min(self._counts[1:]) / _SLOT_S
        return int(steady_per_s * PREFETCH_S) if steady_per_s >= _STEADY_MIN_PER_S else 0

    def _shift(self, now_s: float) -> None:
        slot = math.floor(now_s / _SLOT_S)
        passed = slot - self._slot
        if passed > 0:
            self._counts = ([0] * min(passed, 3) + self._counts)[:3]
            self._slot = slot
