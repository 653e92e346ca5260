"""Choose backend servers for a request: plan, region, availability zone, server."""

import operator
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from berylchute.admission import ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import RoutingError
from berylchute.routes import Candidate, RankReason, Route, RouteRequest
from berylchute.spillover import (
    DisplaceFirst,
    FullRegion,
    FullRegionPolicy,
    NextRegionFirst,
    QuickerFirst,
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
    "QuickerFirst",
    "RankReason",
    "Route",
    "RouteAction",
    "RouteRequest",
    "Router",
    "ShiftView",
    "WaitFirst",
]

# Regions examined per decision, and those compared by distance and links before; more would
# not fit the time of a decision at 44 regions.
REGIONS_MAX = 3
REGIONS_COMPARED_MAX = 3
# Servers examined per region; bounds a decision when most servers are full.
PROBES_MAX = 8
# Share of sampled demand that is for the preferred region while others may be used as well.
PREFERRED_SAMPLES = 0.5
# Ranks a server that should get less than its share after all others.
LOW_WEIGHT_COST_S = 1.0
# After this many failed attempts a request leaves its region, which may be lost as a whole.
TRIES_PER_REGION = 2
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


@attrs.define
class _Ranked:
    """Candidates found in one region; `wanted` is the best whatever its headroom."""

    region: IndexedRegion
    free_units: int
    free: list[Candidate] = attrs.field(factory=list)
    wanted: Candidate | None = None
    probes: int = PROBES_MAX


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
        preferred, is_shifted = self._prefer(regions, request.service, rng)
        if preferred is None:
            return Route(RouteAction.NONE_ALLOWED, (), None)
        reason = RankReason.SHIFTED_REGION if is_shifted else RankReason.PREFERRED_REGION
        first = self._rank_region(preferred, request, reason, now_s, rng)
        if first.free:
            first.wanted = first.free[0]
            has_tried = len(request.excluded) >= TRIES_PER_REGION
            if not has_tried and not self._is_slow(first):
                return Route(RouteAction.DISPATCH, tuple(first.free), first.wanted)
        others = self._rank_others(regions, preferred, request, now_s, rng)
        if first.free:
            return self._compare(first, others, request, now_s)
        elsewhere = [candidate for ranked in others for candidate in ranked.free]
        if first.wanted is None:
            return _next_route(elsewhere, others)
        return self._leave_full(request, first, others, elsewhere, now_s)

    def sample_wanted(
        self, plan: str, service: str, rng: random.Random, region_name: str = ""
    ) -> tuple[ResourceUnits, ...]:
        """Return the units of a random server that a request without free units could use.

        Half of the samples are of the preferred region and half of the others, or all of
        `region_name`. Always asking for the best server would borrow the units of that one only.
        """
        regions = self._index.get((plan, service), ())
        preferred, _ = self._prefer(regions, service, rng)
        is_draining = self._drains.is_draining
        others = [r for r in regions if r is not preferred and not is_draining("region", r.name)]
        region = preferred
        if region_name:
            region = next((r for r in regions if r.name == region_name), None)
        elif others and rng.random() >= PREFERRED_SAMPLES:
            region = rng.choice(others)
        if region is None:
            return ()
        zone = rng.choice((*region.near_zones, *region.zones))
        server = rng.choice(rng.choice(zone.groups))
        if is_draining("server", server.name) or is_draining("availability_zone", zone.name):
            return ()
        return (server.units, server.region_units, region.plan_units)

    def _is_slow(self, ranked: _Ranked) -> bool:
        """Return whether a better server may be found farther away."""
        best = ranked.free[0]
        return best.reason is _LOW_WEIGHT or self._observer.is_slow(best.target.name)

    def _rank_others(
        self,
        regions: Sequence[IndexedRegion],
        preferred: IndexedRegion,
        request: RouteRequest,
        now_s: float,
        rng: random.Random,
    ) -> list[_Ranked]:
        """Rank other regions, nearest first, until one has a free server that is not slow."""
        near: list[tuple[float, float, IndexedRegion]] = []
        for region in regions:
            if region is preferred or self._drains.is_draining("region", region.name):
                continue
            near.append((self._distance_s(region, request, now_s), rng.random(), region))
            if len(near) == REGIONS_COMPARED_MAX:
                break
        near.sort(key=_distance)
        others: list[_Ranked] = []
        for _, _, region in near[: REGIONS_MAX - 1]:
            ranked = self._rank_region(region, request, RankReason.NEXT_REGION, now_s, rng)
            others.append(ranked)
            if ranked.free and not self._is_slow(ranked):
                break
        if len(others) > 1:
            others.sort(key=lambda ranked: self._region_cost_s(ranked, request, now_s))
        return others

    def _compare(
        self, first: _Ranked, others: Sequence[_Ranked], request: RouteRequest, now_s: float
    ) -> Route:
        """Put other regions before a preferred region that is slower or has failed."""
        ordered = [first, *(ranked for ranked in others if ranked.free)]
        if len(request.excluded) >= TRIES_PER_REGION:
            ordered = [*ordered[1:], first]
        else:
            ordered.sort(key=lambda ranked: self._region_cost_s(ranked, request, now_s))
        candidates = tuple(candidate for ranked in ordered for candidate in ranked.free)
        return Route(RouteAction.DISPATCH, candidates, first.wanted)

    def _prefer(
        self, regions: Sequence[IndexedRegion], service: str, rng: random.Random
    ) -> tuple[IndexedRegion | None, bool]:
        """Return the nearest usable region, or the one that a shift sends the request to."""
        is_draining = self._drains.is_draining
        nearest = next((r for r in regions if not is_draining("region", r.name)), None)
        if nearest is None:
            return None, False
        weights = self._shifts.region_weights(service, nearest.name)
        if weights:
            drawn = rng.random()
            for region in regions:
                drawn -= weights.get(region.name, 0.0)
                if drawn < 0.0:
                    if is_draining("region", region.name):
                        break
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

    def _distance_s(self, region: IndexedRegion, request: RouteRequest, now_s: float) -> float:
        """Return the round trip and the wait for the links' budgets, in seconds."""
        if not region.link_out:
            return 2 * region.delay_s
        out_s = self._links.wait_s(region.link_out, request.request_bytes, now_s)
        back_s = self._links.wait_s(region.link_back, request.answer_bytes, now_s)
        return 2 * region.delay_s + out_s + back_s

    def _region_cost_s(self, ranked: _Ranked, request: RouteRequest, now_s: float) -> float:
        cost_s = self._distance_s(ranked.region, request, now_s)
        if ranked.free:
            best = ranked.free[0]
            cost_s += self._observer.latency_s(best.server, now_s)
            if best.reason is RankReason.LOW_WEIGHT:
                cost_s += LOW_WEIGHT_COST_S
        return cost_s

    def _rank_region(
        self,
        region: IndexedRegion,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> _Ranked:
        """Sample servers, nearest zone first; weak ones come last."""
        ranked = _Ranked(region, self._region_units(region, request, now_s))
        near_reason = reason if reason is not _PREFERRED else RankReason.NEAREST_ZONE
        for zone in region.near_zones:
            if not self._drains.is_draining("availability_zone", zone.name):
                self._search_zone(ranked, zone, request, near_reason, now_s, rng)
        if len(ranked.free) >= CHOICES:
            ranked.free.sort(key=_score)
            if not self._is_slow(ranked):
                return ranked
        self._search_far_zones(ranked, request, reason, now_s, rng)
        ranked.free.sort(key=_score)
        return ranked

    def _search_far_zones(
        self,
        ranked: _Ranked,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Add servers of the region's other zones, from a random one on, until two are found."""
        zones = ranked.region.zones
        count = len(zones)
        offset = int(rng.random() * count)
        enough = len(ranked.free) + CHOICES
        for step in range(count):
            zone = zones[(offset + step) % count]
            if self._drains.is_draining("availability_zone", zone.name):
                continue
            self._search_zone(ranked, zone, request, reason, now_s, rng)
            if len(ranked.free) >= enough or not ranked.probes:
                return

    def _search_zone(
        self,
        ranked: _Ranked,
        zone: IndexedZone,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Add up to two servers with a free slot; remember one without for `wanted`."""
        free_units = self._headroom.free_units
        excluded, until_s = request.excluded, request.until_s
        has_room, has_wanted = ranked.free_units > 0, ranked.wanted is not None
        if has_wanted and not has_room:
            return
        enough = len(ranked.free) + CHOICES
        for servers in zone.groups:
            index = int(rng.random() * len(servers))
            rotated = servers[index:] + servers[:index]
            for server in rotated[: ranked.probes]:
                ranked.probes -= 1
                slots = free_units(server.resource, until_s, now_s) if has_room else 0
                if (slots < 1 and has_wanted) or server.name in excluded:
                    continue
                if self._drains.is_draining("server", server.name):
                    continue
                is_free = slots > 0 and (
                    request.size == "short" or self._reserve.allows("long", server.resource, slots)
                )
                if not is_free and has_wanted:
                    continue
                candidate = self._score_server(ranked.region, zone, server, reason, now_s, rng)
                if is_free:
                    ranked.free.append(candidate)
                    if len(ranked.free) >= enough:
                        return
                else:
                    ranked.wanted, has_wanted = candidate, True

    def _score_server(
        self,
        region: IndexedRegion,
        zone: IndexedZone,
        server: IndexedServer,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> Candidate:
        score_s, weight = self._observer.score(server.name, now_s)
        score_s += 2 * zone.delay_s
        if weight < 1.0 and rng.random() >= weight:
            reason = RankReason.LOW_WEIGHT
            score_s += LOW_WEIGHT_COST_S
        return Candidate(server, region.plan_units, reason, score_s)

    def _region_units(self, region: IndexedRegion, request: RouteRequest, now_s: float) -> int:
        """Return the units free for the request in region and plan, 0 if reserved for short."""
        free = self._headroom.free_units
        region_free = free(region.units.resource, request.until_s, now_s)
        if not self._reserve.allows(request.size, region.units.resource, region_free):
            return 0
        return min(region_free, free(region.plan_units.resource, request.until_s, now_s))


_distance = operator.itemgetter(0, 1)
_LOW_WEIGHT = RankReason.LOW_WEIGHT
_PREFERRED = RankReason.PREFERRED_REGION
_score = operator.attrgetter("score_s")


def _next_route(elsewhere: Sequence[Candidate], others: Sequence[_Ranked]) -> Route:
    """Return a route when the preferred region has no server that may be used."""
    if elsewhere:
        return Route(RouteAction.DISPATCH, tuple(elsewhere), elsewhere[0])
    wanted = next((ranked.wanted for ranked in others if ranked.wanted), None)
    return Route(RouteAction.WAIT if wanted else RouteAction.NONE_ALLOWED, (), wanted)
