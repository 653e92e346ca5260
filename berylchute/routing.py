"""Choose backend servers for a request: plan, region, availability zone, server."""

import random
from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

import attrs

from berylchute.admission import ShortReserve, Size
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.types import ResourceId, ResourceUnits

__all__ = [
    "Candidate",
    "DisplaceFirst",
    "DrainView",
    "FullRegion",
    "FullRegionPolicy",
    "HeadroomView",
    "LinkView",
    "NextRegionFirst",
    "RankReason",
    "Route",
    "RouteAction",
    "RouteRequest",
    "Router",
    "ShiftView",
    "WaitFirst",
]


class DrainView(Protocol):
    """Answer which targets are draining."""

    def is_draining(self, target: str, name: str) -> bool:
        """Return whether `name` of type server, host, availability_zone or region drains."""
        ...


class ShiftView(Protocol):
    """Answer where shifts send the requests of a service."""

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        """Return the fraction of requests preferring `region` that each region gets first.

        The fractions sum to 1; the mapping is empty when no shift concerns the region.
        """
        ...


class HeadroomView(Protocol):
    """Answer how many units are free on this host; `CapacityLedger` is one."""

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request ending by `until_s` could take now."""
        ...


class LinkView(Protocol):
    """Answer how long bytes wait for a link's budget on this host."""

    def wait_s(self, link: ResourceId, size_bytes: int, now_s: float) -> float:
        """Return the seconds until `size_bytes` may pass."""
        ...


class RankReason(StrEnum):
    """Why a candidate has its rank."""

    NEAREST_ZONE = "nearest_zone"
    PREFERRED_REGION = "preferred_region"
    SHIFTED_REGION = "shifted_region"
    NEXT_REGION = "next_region"
    LOW_WEIGHT = "low_weight"


class RouteAction(StrEnum):
    """What to do with the request now."""

    DISPATCH = "dispatch"
    WAIT = "wait"
    DISPLACE = "displace"
    NONE_ALLOWED = "none_allowed"


@attrs.frozen
class RouteRequest:
    """What routing needs to know of a request; times are on the host's monotonic clock.

    `until_s` is the deadline; `request_bytes` and `answer_bytes` are expected sizes;
    `expected_wait_s` and `lower_plans_queued` come from the service's admission queue;
    `may_move` sends a displaced request on; `excluded` names servers already tried.
    """

    plan: str
    service: str
    size: Size
    until_s: float
    request_bytes: int = 0
    answer_bytes: int = 0
    expected_wait_s: float = 0.0
    lower_plans_queued: int = 0
    may_move: bool = False
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A backend server that the request may use, with the units that it needs."""

    server: str
    address: str
    availability_zone: str
    region: str
    units: tuple[ResourceUnits, ...]
    link_out: ResourceId
    link_back: ResourceId
    reason: RankReason
    score_s: float


@attrs.frozen
class Route:
    """Candidates with free units, best first, or what to wait for.

    `wanted` is the best candidate in the preferred region whatever its headroom; unmet
    demand is noted for its units.
    """

    action: RouteAction
    candidates: tuple[Candidate, ...]
    wanted: Candidate | None


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


class DisplaceFirst:
    """Displace queued lower-plan work in the preferred region before moving on."""

    def choose(self, state: FullRegion) -> RouteAction:
        """Return DISPLACE when lower plans wait, else the quicker of WAIT and DISPATCH."""
        if state.lower_plans_queued:
            return RouteAction.DISPLACE
        if state.next_region_free and state.expected_wait_s > state.extra_delay_s:
            return RouteAction.DISPATCH
        return RouteAction.WAIT


class Router:
    """Rank backend servers for requests that enter at one host."""

    def __init__(
        self,
        availability_zone: str,
        region: str,
        observer: ServerObserver,
        headroom: HeadroomView,
        drains: DrainView,
        shifts: ShiftView,
        links: LinkView,
        reserve: ShortReserve,
        policy: FullRegionPolicy,
    ) -> None:
        """Set the parts that routing asks; `configure` must follow."""

    def configure(self, configuration: Configuration, base_units: Mapping[ResourceId, int]) -> None:
        """Compile the index; `base_units` (this host's base shares) sets which servers to try."""
        raise NotImplementedError

    def route(self, request: RouteRequest, now_s: float, rng: random.Random) -> Route:
        """Return the candidates; raise RoutingError if the plan may not use the service."""
        raise NotImplementedError
