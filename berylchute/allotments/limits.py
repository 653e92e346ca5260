"""Define the limit of an organisation and the times of the allotment protocol.

Load handled: an organisation that sends several times its rate to all hosts at once.
"""

import attrs

__all__ = [
    "ASK_AGAIN_S",
    "ASK_WAIT_MAX_S",
    "DENIAL_MAX_S",
    "DENIAL_MIN_S",
    "PREFETCH_S",
    "RETRY_AFTER_MAX_S",
    "STOCK_LIFE_S",
    "UNCERTAIN_RATIO",
    "AllotmentLimit",
    "fallback_ratio",
]

# Longest time that a request waits for the answer of an owner.
ASK_WAIT_MAX_S = 0.1
# After an unanswered request, a host uses its own share for this time before it asks again.
ASK_AGAIN_S = 0.5
# Bounds of the time in which a host without tokens refuses requests without asking. The lower one
# bounds the messages of a hot organisation to 25 a second per host; the upper one keeps the rate in
# use.
DENIAL_MIN_S = 0.04
DENIAL_MAX_S = 0.1
# Tokens that are not used expire this long after they were requested. What was granted in this time
# adds to the requests of a window: 0.5 s of the rate is a tenth of what a window of 5 s allows.
STOCK_LIFE_S = 0.5
# A host with steady demand requests tokens for this time in advance.
PREFETCH_S = 0.2
# Part of its share that a host uses while others may still grant or use the same tokens.
UNCERTAIN_RATIO = 0.5
# Longest Retry-After; longer ones exceed a third of the usual time budgets of callers.
RETRY_AFTER_MAX_S = 2.0
# The least depth of a bucket: what accrues in the longest denial time, and four requests. With a
# depth of two, random arrivals at 1.5 times a rate of 2 a second use 0.87 of it, with four 0.98.
_DEPTH_MIN_S = DENIAL_MAX_S
_DEPTH_MIN = 4.0
# An owner grants the whole rate for up to 3.1 s after it was cut off from other zones, since it
# still counts their members as live. If two thirds of the weight are cut off, their shares add 2.07
# s of the rate. These two numbers keep that within the tolerance of a window, of a tenth and 20
# requests.
_FALLBACK_RATIO = 0.2
_FALLBACK_RATE_PER_S = 8.0


@attrs.frozen
class AllotmentLimit:
    """The requests that an organisation may send to all hosts together."""

    rate_per_s: float
    burst: float = 0.0

    @property
    def depth_min(self) -> float:
        """Return the least depth of a bucket that lets the whole rate be used."""
        return max(_DEPTH_MIN, _DEPTH_MIN_S * self.rate_per_s)

    @property
    def depth(self) -> float:
        """Return the depth of the organisation's bucket."""
        return max(self.burst, self.depth_min)


def fallback_ratio(rate_per_s: float) -> float:
    """Return the part of its share that a host uses while the owner doesn't answer.

    The owner may be alive and still grant the whole rate to other hosts.
    """
    return min(1.0, _FALLBACK_RATIO + _FALLBACK_RATE_PER_S / rate_per_s)
