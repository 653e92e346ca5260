"""Limit how fast the share of requests that are served outside of their region changes."""

import math
from enum import Enum, auto
from hashlib import blake2b

import attrs

__all__ = ["SpillLimiter", "SpillMode"]

# Change of a service's spilled share per second, and the change allowed at once.
RISE_PER_S = 0.04
FALL_PER_S = 0.025
TOLERANCE = 0.02
# Time constant of the averages over a service's requests, and the greatest weight of one request:
# few requests a second are averaged over a longer time.
AVERAGE_TIME_S = 0.4
SAMPLE_WEIGHT_MAX = 0.03
# Requests of a service may leave their region at once for this time after its first one.
START_S = 3.0
_HASH_RANGE = 2.0**64


class SpillMode(Enum):
    """How a request may use the servers outside of its region.

    USUAL uses them if its own region has no room, FIRST prefers them, and NEVER doesn't use them.
    """

    USUAL = auto()
    FIRST = auto()
    NEVER = auto()


@attrs.define
class _ServiceSpill:
    """Averages of one service's requests, and the limit that follows them.

    `spilled` is the share of sent requests that left their region, `wanted` the share of those that
    had to or would have. `limit` follows `wanted` slowly.
    """

    started_at_s: float
    updated_at_s: float
    spilled: float = 0.0
    wanted: float = 0.0
    limit: float = 0.0


class SpillLimiter:
    """Keep the share of a service's requests that leave their region near a limit.

    The limit rises and falls slowly, so that neither a crowd nor the end of an overload moves much
    traffic at once to servers that hold other objects. While servers come and go (`is_disrupted`),
    requests may leave their region at once, but they return slowly all the same.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceSpill] = {}

    def mode(self, service: str, key: str, now_s: float, *, is_disrupted: bool) -> SpillMode:
        """Return how a request with this affinity key may use servers outside of its region.

        When fewer requests leave than the limit, those that are made to are always of the same
        keys, since servers elsewhere hold their objects.
        """
        spill = self._services.get(service)
        if spill is None:
            return SpillMode.USUAL
        if spill.spilled < spill.limit - TOLERANCE and _point(key) < spill.limit:
            return SpillMode.FIRST
        if is_disrupted or now_s - spill.started_at_s < START_S:
            return SpillMode.USUAL
        return SpillMode.NEVER if spill.spilled > spill.limit + TOLERANCE else SpillMode.USUAL

    def record(
        self,
        service: str,
        now_s: float,
        *,
        is_spilled: bool | None,
        is_wanted: bool,
        is_disrupted: bool,
    ) -> None:
        """Record a request that was sent; `is_spilled` is None if only its mode prevented that."""
        spill = self._services.get(service)
        if spill is None:
            spill = self._services[service] = _ServiceSpill(now_s, now_s)
        elapsed_s = now_s - spill.updated_at_s
        spill.updated_at_s = now_s
        weight = min(SAMPLE_WEIGHT_MAX, 1.0 - math.exp(-elapsed_s / AVERAGE_TIME_S))
        if is_spilled is not None:
            spill.spilled += weight * (is_spilled - spill.spilled)
        spill.wanted += weight * (is_wanted - spill.wanted)
        change = spill.wanted - spill.limit
        spill.limit += max(-FALL_PER_S * elapsed_s, min(RISE_PER_S * elapsed_s, change))
        if is_disrupted or now_s - spill.started_at_s < START_S:
            spill.limit = max(spill.limit, spill.spilled)


def _point(key: str) -> float:
    digest = blake2b(f"spill/{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE
