"""Choose backend servers for a request: plan, region, availability zone, server."""

import random
from collections.abc import Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Protocol

import attrs

from berylchute.admission import ShortReserve, Size
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import RoutingError
from berylchute.spillover import (
    DisplaceFirst,
    FullRegion,
    FullRegionPolicy,
    NextRegionFirst,
    RouteAction,
    WaitFirst,
)
from berylchute.topology import IndexedRegion, IndexedServer, IndexedZone, compile_index
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

# Regions examined per decision; more would not fit the time of a decision at 44 regions.
REGIONS_MAX = 3
# Servers examined per zone and group; bounds a decision when most servers are full.
PROBES_MAX = 8
# Power of two choices.
CHOICES = 2


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


@attrs.define
class _Ranked:
    """Candidates found in one region; `wanted` is the best whatever its headroom."""

    region: IndexedRegion
    has_room: bool
    free: list[Candidate]
    wanted: Candidate | None
    free_units: int


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
        self._availability_zone = availability_zone
        self._region = region
        self._observer = observer
        self._headroom = headroom
        self._drains = drains
        self._shifts = shifts
        self._links = links
        self._reserve = reserve
        self._policy = policy
        self._index: dict[tuple[str, str], tuple[IndexedRegion, ...]] = {}

    def configure(self, configuration: Configuration, base_units: Mapping[ResourceId, int]) -> None:
        """Compile the index; `base_units` (this host's base shares) sets which servers to try."""
        self._index = compile_index(
            configuration, self._availability_zone, self._region, base_units
        )

    def route(self, request: RouteRequest, now_s: float, rng: random.Random) -> Route:
        """Return the candidates; raise RoutingError if the plan may not use the service."""
        regions = self._index.get((request.plan, request.service))
        if regions is None:
            raise RoutingError(f"plan {request.plan!r} may not use service {request.service!r}")
        usable = [r for r in regions if not self._drains.is_draining("region", r.name)]
        preferred, is_shifted = self._prefer(usable, request.service, rng)
        if preferred is None:
            return Route(RouteAction.NONE_ALLOWED, (), None)
        reason = RankReason.SHIFTED_REGION if is_shifted else RankReason.PREFERRED_REGION
        first = self._rank_region(preferred, request, reason, now_s, rng)
        rest = [region for region in usable if region is not preferred][: REGIONS_MAX - 1]
        others = [
            self._rank_region(region, request, RankReason.NEXT_REGION, now_s, rng)
            for region in rest
        ]
        others.sort(key=lambda ranked: self._region_cost_s(ranked, request, now_s))
        elsewhere = [candidate for ranked in others for candidate in ranked.free]
        if first.wanted is None:
            return _next_route(elsewhere, others)
        if first.free:
            return Route(RouteAction.DISPATCH, (*first.free, *elsewhere), first.wanted)
        return self._leave_full(request, first, others, elsewhere, now_s)

    def _prefer(
        self, usable: Sequence[IndexedRegion], service: str, rng: random.Random
    ) -> tuple[IndexedRegion | None, bool]:
        """Return the nearest usable region, or the one that a shift sends the request to."""
        if not usable:
            return None, False
        nearest = usable[0]
        weights = self._shifts.region_weights(service, nearest.name)
        if weights:
            drawn = rng.random()
            for region in usable:
                drawn -= weights.get(region.name, 0.0)
                if drawn < 0.0:
                    return region, region is not nearest
        return nearest, False

    def _leave_full(
        self,
        request: RouteRequest,
        first: _Ranked,
        others: Sequence[_Ranked],
        elsewhere: Sequence[Candidate],
        now_s: float,
    ) -> Route:
        """Choose between waiting, displacing and moving for a full preferred region."""
        if request.may_move and elsewhere:
            return Route(RouteAction.DISPATCH, tuple(elsewhere), first.wanted)
        nearest = next((ranked for ranked in others if ranked.free), None)
        extra_s = 0.0
        if nearest is not None:
            extra_s = 2 * (nearest.region.delay_s - first.region.delay_s)
        action = self._policy.choose(
            FullRegion(
                expected_wait_s=request.expected_wait_s,
                extra_delay_s=extra_s,
                remaining_s=request.until_s - now_s,
                lower_plans_queued=request.lower_plans_queued,
                next_region_free=nearest.free_units if nearest else 0,
            )
        )
        candidates = tuple(elsewhere) if action is RouteAction.DISPATCH else ()
        return Route(action, candidates, first.wanted)

    def _region_cost_s(self, ranked: _Ranked, request: RouteRequest, now_s: float) -> float:
        region = ranked.region
        cost_s = 2 * region.delay_s
        if region.link_out:
            cost_s += self._links.wait_s(region.link_out, request.request_bytes, now_s)
            cost_s += self._links.wait_s(region.link_back, request.answer_bytes, now_s)
        if ranked.free:
            cost_s += self._observer.latency_s(ranked.free[0].server, now_s)
        return cost_s

    def _rank_region(
        self,
        region: IndexedRegion,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> _Ranked:
        """Sample servers zone by zone; free ones with their full share come first."""
        free_units = self._region_units(region, request, now_s)
        free: list[Candidate] = []
        weak: list[Candidate] = []
        wanted: Candidate | None = None
        for zone in region.zones:
            if self._drains.is_draining("availability_zone", zone.name):
                continue
            near = zone.is_near and reason is RankReason.PREFERRED_REGION
            zone_reason = RankReason.NEAREST_ZONE if near else reason
            for server, has_slot in self._sample(zone, request, free_units > 0, now_s, rng):
                weight = self._observer.weight(server.name, now_s)
                is_weak = weight < 1.0 and rng.random() >= weight
                why = RankReason.LOW_WEIGHT if is_weak else zone_reason
                score_s = self._observer.score_s(server.name, now_s) + 2 * zone.delay_s
                candidate = _candidate(server, zone, region, why, score_s)
                if not is_weak and (wanted is None or score_s < wanted.score_s):
                    wanted = candidate
                if has_slot:
                    (weak if is_weak else free).append(candidate)
                elif is_weak and wanted is None:
                    wanted = candidate
        free.sort(key=_score)
        weak.sort(key=_score)
        free.extend(weak)
        if wanted is None and free:
            wanted = free[0]
        return _Ranked(region, free_units > 0, free, wanted, free_units)

    def _region_units(self, region: IndexedRegion, request: RouteRequest, now_s: float) -> int:
        """Return the units free for the request in region and plan, 0 if reserved for short."""
        free = self._headroom.free_units
        region_free = free(region.units.resource, request.until_s, now_s)
        if not self._reserve.allows(request.size, region.units.resource, region_free):
            return 0
        return min(region_free, free(region.plan_units.resource, request.until_s, now_s))

    def _sample(
        self,
        zone: IndexedZone,
        request: RouteRequest,
        has_room: bool,
        now_s: float,
        rng: random.Random,
    ) -> Iterator[tuple[IndexedServer, bool]]:
        """Yield up to two servers with a free slot, and one without when there are none."""
        found = 0
        full: IndexedServer | None = None
        for servers in (zone.owned, zone.others):
            count = len(servers)
            offset = int(rng.random() * count)
            for step in range(min(count, PROBES_MAX)):
                server = servers[(offset + step) % count]
                if server.name in request.excluded:
                    continue
                if self._drains.is_draining("server", server.name):
                    continue
                if has_room and self._has_slot(server, request, now_s):
                    yield server, True
                    found += 1
                    if found == CHOICES:
                        return
                elif full is None:
                    full = server
                    if not has_room:
                        yield server, False
                        return
        if full is not None and not found:
            yield full, False

    def _has_slot(self, server: IndexedServer, request: RouteRequest, now_s: float) -> bool:
        resource = server.units.resource
        slots = self._headroom.free_units(resource, request.until_s, now_s)
        return self._reserve.allows(request.size, resource, slots)


def _score(candidate: Candidate) -> float:
    return candidate.score_s


def _next_route(elsewhere: Sequence[Candidate], others: Sequence[_Ranked]) -> Route:
    """Return a route when the preferred region has no server that may be used."""
    if elsewhere:
        return Route(RouteAction.DISPATCH, tuple(elsewhere), elsewhere[0])
    wanted = next((ranked.wanted for ranked in others if ranked.wanted), None)
    return Route(RouteAction.WAIT if wanted else RouteAction.NONE_ALLOWED, (), wanted)


def _candidate(
    server: IndexedServer,
    zone: IndexedZone,
    region: IndexedRegion,
    reason: RankReason,
    score_s: float,
) -> Candidate:
    return Candidate(
        server.name,
        server.address,
        zone.name,
        region.name,
        (server.units, region.units, region.plan_units),
        region.link_out,
        region.link_back,
        reason,
        score_s,
    )
