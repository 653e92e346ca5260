"""Decide when a process knows the members that share a bound with it."""

import math

from berylchute.types import Clock

__all__ = ["MEMBER_DISCOVERY_S", "MemberDiscovery"]

# A process knows the other members only after it has received their heartbeats: ten of them.
MEMBER_DISCOVERY_S = 5.0


class MemberDiscovery:
    """Whether this process knows the other members.

    It does some time after it has joined them. Until then it takes no share of a bound that holds
    for all members together: a process that starts cut off from the others seems to be alone.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._joined_at_s = math.inf

    def update(self, *, is_joined: bool) -> None:
        """Take over whether this process has joined the other members; call it periodically."""
        if is_joined and self._joined_at_s == math.inf:
            self._joined_at_s = self._clock.now_s()

    def is_complete(self) -> bool:
        """Return whether the members are known."""
        return self._clock.now_s() - self._joined_at_s > MEMBER_DISCOVERY_S
