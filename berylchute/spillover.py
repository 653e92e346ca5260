"""Choose what a request does whose preferred region is full."""

from enum import StrEnum
from typing import Protocol

import attrs

__all__ = [
    "DisplaceFirst",
    "FullRegion",
    "FullRegionPolicy",
    "NextRegionFirst",
    "QuickerFirst",
    "RouteAction",
    "WaitFirst",
]


class RouteAction(StrEnum):
    """What to do with the request now."""

    DISPATCH = "dispatch"
    WAIT = "wait"
    DISPLACE = "displace"
    NONE_ALLOWED = "none_allowed"


@attrs.frozen
class FullRegion:
    """The state in which a full preferred region leaves a request; times in seconds."""

    expected_wait_s: float
    extra_delay_s: float
    remaining_s: float
    lower_plans_queued: int
    next_region_free: int


class FullRegionPolicy(Protocol):
    """Choose what a request does whose preferred region is full."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return WAIT, DISPLACE, or DISPATCH to go to the next region."""
        ...


class WaitFirst:
    """Wait for spare share in the preferred region while the deadline allows."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return WAIT unless the expected wait reaches the deadline."""
        if state.next_region_free and state.expected_wait_s >= state.remaining_s:
            return RouteAction.DISPATCH
        return RouteAction.WAIT


class NextRegionFirst:
    """Go to the next region at once when it has free units."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPATCH when the next region has free units, else WAIT."""
        return RouteAction.DISPATCH if state.next_region_free else RouteAction.WAIT


class QuickerFirst:
    """Take the quicker of waiting and going to the next region; the default.

    In `lab.spillover` it answered more requests in time near the limit of all regions than
    moving at once or displacing, and moved fewer to other regions.
    """

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPATCH when the wait is expected to last longer than the extra delay."""
        if state.next_region_free and state.expected_wait_s > state.extra_delay_s:
            return RouteAction.DISPATCH
        return RouteAction.WAIT


class DisplaceFirst:
    """Displace queued lower-plan work in the preferred region before moving on.

    KEP-582 calls this preference "Preempt Based On Flavor Order". Here it shortens the wait of
    the highest plan, but moves more requests and answers fewer in time near the limit.
    """

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPLACE where QuickerFirst would move and lower plans wait ahead."""
        if state.expected_wait_s <= state.extra_delay_s:
            return RouteAction.WAIT
        if state.lower_plans_queued:
            return RouteAction.DISPLACE
        return RouteAction.DISPATCH if state.next_region_free else RouteAction.WAIT
