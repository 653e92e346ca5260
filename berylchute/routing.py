"""Select backend servers for a request by plan, region, availability zone and server."""

import operator
import random
from collections.abc import Mapping, Sequence

import attrs

from berylchute.admission import ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import RoutingError
from berylchute.regionindex import IndexedRegion, IndexedServer, IndexedZone, compile_region_index
from berylchute.routes import Candidate, RankReason, RouteRequest, RoutingDecision
from berylchute.routingviews import DrainView, FreeUnitsView, LinkView, ShiftView
from berylchute.spillover import (
    DisplaceFirst,
    FullRegion,
    FullRegionPolicy,
    NextRegionFirst,
    QuickerFirst,
    RouteAction,
    WaitFirst,
)
from berylchute.types import ResourceId, ResourceUnits

__all__ = [
    "Candidate",
    "DisplaceFirst",
    "DrainView",
    "FullRegion",
    "FullRegionPolicy",
    "FreeUnitsView",
    "LinkView",
    "NextRegionFirst",
    "QuickerFirst",
    "RankReason",
    "RouteAction",
    "RouteRequest",
    "Router",
    "RoutingDecision",
    "ShiftView",
    "WaitFirst",
]

# Per decision, at most this many regions are searched for servers, including the preferred one, and
# at most this many other regions are first compared by distance and link wait. With 44 regions,
# searching more would take too long for a decision.
REGIONS_SEARCHED_MAX = 3
REGIONS_COMPARED_MAX = 3
# Bounds the time of a decision when most servers are full.
PROBES_PER_REGION_MAX = 8
# Share of demand samples that go to the preferred region while other regions are usable too.
PREFERRED_SAMPLE_RATIO = 0.5
# Ranks a server with a reduced weight after all others.
LOW_WEIGHT_COST_S = 1.0
# After this many failed attempts a request leaves its region, which may have failed as a whole.
ATTEMPTS_PER_REGION_MAX = 2
# Power of two choices.
SERVER_CHOICES = 2


@attrs.define
class _RankedRegion:
    """Candidates found in one region; `wanted` is the best one and may have no free units."""

    region: IndexedRegion
    free_units: int
    free_candidates: list[Candidate] = attrs.field(factory=list)
    wanted: Candidate | None = None
    probes_left: int = PROBES_PER_REGION_MAX


class Router:
    """Rank backend servers for requests that enter at one host."""

    def __init__(
        self,
        availability_zone: str,
        region: str,
        observer: ServerObserver,
        free_units: FreeUnitsView,
        drains: DrainView,
        shifts: ShiftView,
        links: LinkView,
        reserve: ShortReserve,
        policy: FullRegionPolicy,
    ) -> None:
        """Set the state that routing reads; call `configure` before `route`."""
        self._availability_zone = availability_zone
        self._region = region
        self._observer = observer
        self._free_units = free_units
        self._drains = drains
        self._shifts = shifts
        self._links = links
        self._reserve = reserve
        self._policy = policy
        self._index: dict[tuple[str, str], tuple[IndexedRegion, ...]] = {}

    def configure(self, configuration: Configuration, base_units: Mapping[ResourceId, int]) -> None:
        """Compile the index; servers with a base share in `base_units` on this host come first."""
        self._index = compile_region_index(
            configuration, self._availability_zone, self._region, base_units
        )

    def route(self, request: RouteRequest, now_s: float, rng: random.Random) -> RoutingDecision:
        """Return ranked candidates; raise RoutingError if the plan may not use the service."""
        regions = self._index.get((request.plan, request.service))
        if regions is None:
            raise RoutingError(f"plan {request.plan!r} may not use service {request.service!r}")
        preferred, is_shifted = self._select_preferred(regions, request.service, rng)
        if preferred is None:
            return RoutingDecision(RouteAction.NONE_ALLOWED, (), None)
        reason = RankReason.SHIFTED_REGION if is_shifted else RankReason.PREFERRED_REGION
        first = self._rank_region(preferred, request, reason, now_s, rng)
        if first.free_candidates:
            first.wanted = first.free_candidates[0]
            has_used_attempts = len(request.excluded_servers) >= ATTEMPTS_PER_REGION_MAX
            if not has_used_attempts and not self._is_slow(first):
                return RoutingDecision(
                    RouteAction.DISPATCH, tuple(first.free_candidates), first.wanted
                )
        others = self._rank_others(regions, preferred, request, now_s, rng)
        if first.free_candidates:
            return self._order_regions(first, others, request, now_s)
        other_candidates = [candidate for ranked in others for candidate in ranked.free_candidates]
        if first.wanted is None:
            return _route_without_preferred(other_candidates, others)
        return self._route_from_full_region(request, first, others, other_candidates, now_s)

    def sample_demand(
        self, plan: str, service: str, rng: random.Random, region_name: str = ""
    ) -> tuple[ResourceUnits, ...]:
        """Select a random server and return its units, to record a request's demand for them.

        Half of the samples are from the preferred region and half from the others, or all from
        `region_name`. Demand for the best server alone would borrow units of that server only.
        """
        regions = self._index.get((plan, service), ())
        preferred, _ = self._select_preferred(regions, service, rng)
        is_draining = self._drains.is_draining
        others = [r for r in regions if r is not preferred and not is_draining("region", r.name)]
        region = preferred
        if region_name:
            region = next((r for r in regions if r.name == region_name), None)
        elif others and rng.random() >= PREFERRED_SAMPLE_RATIO:
            region = rng.choice(others)
        if region is None:
            return ()
        zone = rng.choice((*region.own_zones, *region.other_zones))
        server = rng.choice(rng.choice(zone.server_groups))
        if is_draining("server", server.name) or is_draining("availability_zone", zone.name):
            return ()
        return (server.server_units, server.region_units, region.plan_units)

    def _is_slow(self, ranked: _RankedRegion) -> bool:
        """Return whether a more distant server may be faster than the best one found."""
        best = ranked.free_candidates[0]
        return best.reason is _LOW_WEIGHT or self._observer.is_slow(best.indexed_server.name)

    def _rank_others(
        self,
        regions: Sequence[IndexedRegion],
        preferred: IndexedRegion,
        request: RouteRequest,
        now_s: float,
        rng: random.Random,
    ) -> list[_RankedRegion]:
        """Rank other regions, nearest first, until one has a free server that is not slow."""
        compared: list[tuple[float, float, IndexedRegion]] = []
        for region in regions:
            if region is preferred or self._drains.is_draining("region", region.name):
                continue
            compared.append((self._distance_s(region, request, now_s), rng.random(), region))
            if len(compared) == REGIONS_COMPARED_MAX:
                break
        compared.sort(key=_distance)
        others: list[_RankedRegion] = []
        for _, _, region in compared[: REGIONS_SEARCHED_MAX - 1]:
            ranked = self._rank_region(region, request, RankReason.NEXT_REGION, now_s, rng)
            others.append(ranked)
            if ranked.free_candidates and not self._is_slow(ranked):
                break
        if len(others) > 1:
            others.sort(key=lambda ranked: self._region_cost_s(ranked, request, now_s))
        return others

    def _order_regions(
        self,
        first: _RankedRegion,
        others: Sequence[_RankedRegion],
        request: RouteRequest,
        now_s: float,
    ) -> RoutingDecision:
        """Rank other regions before a preferred region that is slower or has failed."""
        ordered = [first, *(ranked for ranked in others if ranked.free_candidates)]
        if len(request.excluded_servers) >= ATTEMPTS_PER_REGION_MAX:
            ordered = [*ordered[1:], first]
        else:
            ordered.sort(key=lambda ranked: self._region_cost_s(ranked, request, now_s))
        candidates = tuple(candidate for ranked in ordered for candidate in ranked.free_candidates)
        return RoutingDecision(RouteAction.DISPATCH, candidates, first.wanted)

    def _select_preferred(
        self, regions: Sequence[IndexedRegion], service: str, rng: random.Random
    ) -> tuple[IndexedRegion | None, bool]:
        """Return the nearest region that is not draining, or the target region of a shift."""
        is_draining = self._drains.is_draining
        nearest = next((r for r in regions if not is_draining("region", r.name)), None)
        if nearest is None:
            return None, False
        weights = self._shifts.region_weights(service, nearest.name)
        if weights:
            draw = rng.random()
            for region in regions:
                draw -= weights.get(region.name, 0.0)
                if draw < 0.0:
                    if is_draining("region", region.name):
                        break
                    return region, region is not nearest
        return nearest, False

    def _route_from_full_region(
        self,
        request: RouteRequest,
        first: _RankedRegion,
        others: Sequence[_RankedRegion],
        other_candidates: Sequence[Candidate],
        now_s: float,
    ) -> RoutingDecision:
        """Wait, displace a request or use another region, because the preferred region is full."""
        if request.may_redirect and other_candidates:
            return RoutingDecision(RouteAction.DISPATCH, tuple(other_candidates), first.wanted)
        nearest = next((ranked for ranked in others if ranked.free_candidates), None)
        extra_delay_s = 0.0
        if nearest is not None:
            extra_delay_s = 2 * (nearest.region.one_way_delay_s - first.region.one_way_delay_s)
        action = self._policy.choose(
            FullRegion(
                expected_wait_s=request.expected_wait_s,
                extra_delay_s=extra_delay_s,
                remaining_s=request.deadline_s - now_s,
                lower_plans_queued=request.lower_plans_queued,
                next_region_free=nearest.free_units if nearest else 0,
            )
        )
        candidates = tuple(other_candidates) if action is RouteAction.DISPATCH else ()
        return RoutingDecision(action, candidates, first.wanted)

    def _distance_s(self, region: IndexedRegion, request: RouteRequest, now_s: float) -> float:
        """Return the round trip plus the wait for link budgets, in seconds."""
        if not region.outbound_link:
            return 2 * region.one_way_delay_s
        out_wait_s = self._links.wait_s(region.outbound_link, request.request_bytes, now_s)
        back_wait_s = self._links.wait_s(region.return_link, request.answer_bytes, now_s)
        return 2 * region.one_way_delay_s + out_wait_s + back_wait_s

    def _region_cost_s(self, ranked: _RankedRegion, request: RouteRequest, now_s: float) -> float:
        """Return the distance plus the latency of the best free server, for comparing regions."""
        cost_s = self._distance_s(ranked.region, request, now_s)
        if ranked.free_candidates:
            best = ranked.free_candidates[0]
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
    ) -> _RankedRegion:
        """Sample servers, nearest zone first; rank those with a low weight last."""
        ranked = _RankedRegion(region, self._region_units(region, request, now_s))
        near_reason = reason if reason is not _PREFERRED else RankReason.NEAREST_ZONE
        for zone in region.own_zones:
            if not self._drains.is_draining("availability_zone", zone.name):
                self._search_zone(ranked, zone, request, near_reason, now_s, rng)
        if len(ranked.free_candidates) >= SERVER_CHOICES:
            ranked.free_candidates.sort(key=_score)
            if not self._is_slow(ranked):
                return ranked
        self._search_far_zones(ranked, request, reason, now_s, rng)
        ranked.free_candidates.sort(key=_score)
        return ranked

    def _search_far_zones(
        self,
        ranked: _RankedRegion,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Add servers of the region's other zones, from a random one on, until two are found."""
        zones = ranked.region.other_zones
        count = len(zones)
        offset = int(rng.random() * count)
        candidates_wanted = len(ranked.free_candidates) + SERVER_CHOICES
        for step in range(count):
            zone = zones[(offset + step) % count]
            if self._drains.is_draining("availability_zone", zone.name):
                continue
            self._search_zone(ranked, zone, request, reason, now_s, rng)
            if len(ranked.free_candidates) >= candidates_wanted or not ranked.probes_left:
                return

    def _search_zone(
        self,
        ranked: _RankedRegion,
        zone: IndexedZone,
        request: RouteRequest,
        reason: RankReason,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Add up to two servers with a free slot; set `wanted`, if it is None, to one without."""
        free_units = self._free_units.free_units
        excluded, until_s = request.excluded_servers, request.deadline_s
        has_free_units, has_wanted = ranked.free_units > 0, ranked.wanted is not None
        if has_wanted and not has_free_units:
            return
        candidates_wanted = len(ranked.free_candidates) + SERVER_CHOICES
        for servers in zone.server_groups:
            index = int(rng.random() * len(servers))
            rotated = servers[index:] + servers[:index]
            for server in rotated[: ranked.probes_left]:
                ranked.probes_left -= 1
                slots = free_units(server.resource, until_s, now_s) if has_free_units else 0
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
                    ranked.free_candidates.append(candidate)
                    if len(ranked.free_candidates) >= candidates_wanted:
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
        score_s += 2 * zone.one_way_delay_s
        if weight < 1.0 and rng.random() >= weight:
            reason = RankReason.LOW_WEIGHT
            score_s += LOW_WEIGHT_COST_S
        return Candidate(server, region.plan_units, reason, score_s)

    def _region_units(self, region: IndexedRegion, request: RouteRequest, now_s: float) -> int:
        """Return the units free in region and plan, 0 if reserved for short kinds."""
        free = self._free_units.free_units
        region_free = free(region.region_units.resource, request.deadline_s, now_s)
        if not self._reserve.allows(request.size, region.region_units.resource, region_free):
            return 0
        return min(region_free, free(region.plan_units.resource, request.deadline_s, now_s))


_distance = operator.itemgetter(0, 1)
_LOW_WEIGHT = RankReason.LOW_WEIGHT
_PREFERRED = RankReason.PREFERRED_REGION
_score = operator.attrgetter("score_s")


def _route_without_preferred(
    other_candidates: Sequence[Candidate], others: Sequence[_RankedRegion]
) -> RoutingDecision:
    """Return the decision when no server probed in the preferred region is usable."""
    if other_candidates:
        return RoutingDecision(RouteAction.DISPATCH, tuple(other_candidates), other_candidates[0])
    wanted = next((ranked.wanted for ranked in others if ranked.wanted), None)
    return RoutingDecision(RouteAction.WAIT if wanted else RouteAction.NONE_ALLOWED, (), wanted)
