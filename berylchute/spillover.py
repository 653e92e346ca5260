"""Policies for requests whose preferred region is full."""

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
    """What happens to a request after a routing decision."""

    DISPATCH = "dispatch"
    WAIT = "wait"
    DISPLACE = "displace"
    NONE_ALLOWED = "none_allowed"


@attrs.frozen
class FullRegion:
    """The input of a policy for a request whose preferred region is full; times in seconds.

    `next_region_free` counts the free units of the next region.
    """

    expected_wait_s: float
    extra_delay_s: float
    remaining_s: float
    lower_plans_queued: int
    next_region_free: int


class FullRegionPolicy(Protocol):
    """Select the action for a request whose preferred region is full."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return WAIT, DISPLACE, or DISPATCH to use the next region."""
        ...


class WaitFirst:
    """Wait for a free unit in the preferred region while the deadline allows."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPATCH if the wait is expected to reach the deadline, else WAIT."""
        if state.next_region_free and state.expected_wait_s >= state.remaining_s:
            return RouteAction.DISPATCH
        return RouteAction.WAIT


class NextRegionFirst:
    """Use the next region immediately when it has free units."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPATCH when the next region has free units, else WAIT."""
        return RouteAction.DISPATCH if state.next_region_free else RouteAction.WAIT


class QuickerFirst:
    """Select the shorter of the wait and the extra delay of the next region; the default.

    With the load near the limit of all regions, it answers more requests in time and moves fewer
    to other regions than NextRegionFirst and DisplaceFirst (see `lab.spillover`).
    """

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPATCH when the expected wait exceeds the extra delay, else WAIT."""
        if state.next_region_free and state.expected_wait_s > state.extra_delay_s:
            return RouteAction.DISPATCH
        return RouteAction.WAIT


class DisplaceFirst:
    """Displace queued requests of lower plans before using the next region.

    KEP-582 calls this preference "Preempt Based On Flavor Order". It shortens the wait of the
    highest plan, but moves more requests and answers fewer in time near the limit.
    """

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPLACE where QuickerFirst dispatches and earlier requests have lower plans."""
        if state.expected_wait_s <= state.extra_delay_s:
            return RouteAction.WAIT
        if state.lower_plans_queued:
            return RouteAction.DISPLACE
        return RouteAction.DISPATCH if state.next_region_free else RouteAction.WAIT
