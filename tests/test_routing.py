"""Check the selection of region and backend server."""

import random
from collections.abc import Mapping
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute.admission import ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import decode_toml
from berylchute.exceptions import RoutingError
from berylchute.routing import Candidate, RankReason, RouteAction, Router, RouteRequest
from berylchute.spillover import (
    DisplaceFirst,
    FullRegion,
    NextRegionFirst,
    QuickerFirst,
    WaitFirst,
)

LISTS = Path(__file__).parent.parent / "examples" / "cooperativa" / "lists.toml"
CONFIG = decode_toml(LISTS.read_text(encoding="utf-8"))
REGIONS = [region.name for region in CONFIG.regions]
ZONES = [zone.name for zone in CONFIG.availability_zones]
SERVERS = [server.name for server in CONFIG.backend_servers]
SALDO = [server.name for server in CONFIG.backend_servers if server.service == "saldo"]
REGION_OF = {
    server.name: CONFIG.region_of(server.availability_zone) for server in CONFIG.backend_servers
}


@attrs.define
class Views:
    """Drains, shifts, link waits and free units set by a test."""

    draining: set[tuple[str, str]] = attrs.Factory(set)
    weights: Mapping[str, float] = attrs.Factory(dict)
    waits_s: Mapping[str, float] = attrs.Factory(dict)
    free: dict[str, int] = attrs.Factory(dict)

    def is_draining(self, target: str, name: str) -> bool:
        return (target, name) in self.draining

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        return self.weights

    def wait_s(self, link: str, size_bytes: int, now_s: float) -> float:
        return self.waits_s.get(link, 0.0)

    def free_units(self, resource: str, until_s: float, now_s: float) -> int:
        return self.free.get(resource, 9)


def make_router(
    views: Views, observer: ServerObserver | None = None, lists: object = None
) -> Router:
    config = CONFIG if lists is None else lists
    if observer is None:
        observer = ServerObserver("xela-a", "occidente")
        observer.configure(CONFIG, 0.0)
    reserve = ShortReserve()
    router = Router(
        "xela-a", "occidente", observer, views, views, views, views, reserve, DisplaceFirst()
    )
    router.configure(config, {})  # type: ignore[arg-type]
    return router


def make_request(**changes: object) -> RouteRequest:
    return attrs.evolve(RouteRequest("socio", "saldo", "short", 2.0), **changes)  # type: ignore[arg-type]


targets = st.one_of(
    st.tuples(st.just("server"), st.sampled_from(SERVERS)),
    st.tuples(st.just("availability_zone"), st.sampled_from(ZONES)),
    st.tuples(st.just("region"), st.sampled_from(REGIONS)),
)


@given(
    st.sets(targets, max_size=30),
    st.dictionaries(st.sampled_from([f"server:{name}" for name in SERVERS]), st.just(0)),
    st.frozensets(st.sampled_from(SALDO), max_size=4),
    st.booleans(),
    st.integers(0, 1000),
)
def test_draining_excluded_and_full_servers_are_never_offered(
    draining: set[tuple[str, str]],
    free: dict[str, int],
    excluded: frozenset[str],
    may_move: bool,
    seed: int,
) -> None:
    """Guard against new requests on a draining server, zone or region, or on a full server."""
    router = make_router(Views(draining=draining, free=free))
    request = make_request(excluded_servers=excluded, may_redirect=may_move)
    decision = router.route(request, 0.0, random.Random(seed))
    for candidate in [
        *decision.candidates,
        *([decision.preferred_candidate] if decision.preferred_candidate else []),
    ]:
        assert ("server", candidate.server) not in draining
        assert ("availability_zone", candidate.availability_zone) not in draining
        assert ("region", candidate.region) not in draining
        assert candidate.server not in excluded
    assert all(free.get(f"server:{c.server}", 9) > 0 for c in decision.candidates)
    assert (decision.action is RouteAction.DISPATCH) == bool(decision.candidates)


@given(
    st.sets(st.sampled_from(CONFIG.allowances), max_size=len(CONFIG.allowances)),
    st.sampled_from(CONFIG.plans),
    st.sampled_from(CONFIG.services),
    st.integers(0, 1000),
)
def test_only_allowed_regions_and_services_are_offered(
    removed: set[object], plan: object, service: object, seed: int
) -> None:
    """Guard against a plan that reaches a region or service it has no allowance for."""
    allowances = tuple(a for a in CONFIG.allowances if a not in removed)
    lists = attrs.evolve(CONFIG, allowances=allowances)
    router = make_router(Views(), lists=lists)
    plan_name, service_name = plan.name, service.name  # type: ignore[attr-defined]
    allowed = {a.region for a in allowances if (a.plan, a.service) == (plan_name, service_name)}
    request = make_request(
        plan=plan_name, service=service_name, excluded_servers=frozenset(["x", "y"])
    )
    if not allowed:
        with pytest.raises(RoutingError):
            router.route(request, 0.0, random.Random(seed))
        return
    decision = router.route(request, 0.0, random.Random(seed))
    assert decision.candidates
    for candidate in decision.candidates:
        assert candidate.region in allowed
        assert [item.resource for item in candidate.units] == [
            f"server:{candidate.server}",
            f"region:{candidate.region}",
            f"plan:{plan_name}:{candidate.region}:{service_name}",
        ]


def route_many(router: Router, count: int = 200, **changes: object) -> list[Candidate]:
    rng = random.Random(3)
    decisions = [router.route(make_request(**changes), 0.0, rng) for _ in range(count)]
    return [decision.candidates[0] for decision in decisions if decision.candidates]


def test_nearest_zone_comes_first() -> None:
    """Guard against requests that leave their zone although it has free servers."""
    assert {c.reason for c in route_many(make_router(Views()))} == {RankReason.NEAREST_ZONE}


def test_shift_weights_decide_the_first_region() -> None:
    """Guard against a shift that moves a different fraction of requests than its weights."""
    views = Views(weights={"occidente": 0.7, "oriente": 0.3})
    chosen = route_many(make_router(views), 2000)
    moved_ratio = sum(candidate.region == "oriente" for candidate in chosen) / len(chosen)
    assert moved_ratio == pytest.approx(0.3, abs=0.04)
    assert {c.region for c in chosen} == {"occidente", "oriente"}


def test_slow_server_gets_few_requests() -> None:
    """Guard against a slow server that keeps receiving its full share of requests."""
    observer = ServerObserver("xela-a", "occidente")
    observer.configure(CONFIG, 0.0)
    for step in range(40):
        for name in SALDO:
            latency_s = 0.03 + (0.1 if name == "saldo-01" else 0.01)
            observer.record_answer(name, latency_s, -10.0 + step * 0.25)
    chosen = route_many(make_router(Views(), observer))
    assert sum(c.server == "saldo-01" for c in chosen) < len(chosen) * 0.05


def test_overflow_avoids_a_busy_link() -> None:
    """Guard against overflow into a region whose link has no free budget."""
    full = {f"server:{name}": 0 for name in SALDO if REGION_OF[name] == "occidente"}
    views = Views(free=full, waits_s={"link:occidente:oriente": 0.5})
    chosen = route_many(make_router(views), expected_wait_s=1.0)
    assert {candidate.region for candidate in chosen} == {"verapaz"}


def test_third_attempt_leaves_the_region() -> None:
    """Guard against a request whose attempts all go to a region that has failed."""
    chosen = route_many(make_router(Views()), excluded_servers=frozenset(["saldo-01", "saldo-02"]))
    assert "occidente" not in {candidate.region for candidate in chosen}


def test_long_request_leaves_reserved_units() -> None:
    """Guard against long uploads that acquire a region's last units on this host."""
    router = make_router(Views(free={f"region:{name}": 2 for name in REGIONS}))
    request = make_request(service="archivo-recibos", size="long")
    assert router.route(request, 0.0, random.Random(1)).action is RouteAction.DISPATCH
    router = make_router(Views(free={f"region:{name}": 0 for name in REGIONS}))
    decision = router.route(request, 0.0, random.Random(1))
    assert decision.action is not RouteAction.DISPATCH
    assert decision.preferred_candidate is not None


def test_full_region_policies() -> None:
    """Guard against a policy that dispatches, waits or displaces in the wrong case."""
    short_wait = FullRegion(0.01, 0.024, 2.0, lower_plans_queued=3, next_region_free=4)
    long_wait = attrs.evolve(short_wait, expected_wait_s=0.1)
    no_lower = attrs.evolve(long_wait, lower_plans_queued=0)
    next_region_full = attrs.evolve(no_lower, next_region_free=0)
    states = (short_wait, long_wait, no_lower, next_region_full)
    wait, dispatch, displace = RouteAction.WAIT, RouteAction.DISPATCH, RouteAction.DISPLACE
    assert [WaitFirst().choose(s) for s in states] == [wait, wait, wait, wait]
    assert [NextRegionFirst().choose(s) for s in states] == [dispatch, dispatch, dispatch, wait]
    assert [QuickerFirst().choose(s) for s in states] == [wait, dispatch, dispatch, wait]
    assert [DisplaceFirst().choose(s) for s in states] == [wait, displace, dispatch, wait]


def test_sampled_demand_reaches_every_usable_server() -> None:
    """Guard against demand for one server only, which left idle units of others unborrowed."""
    router, rng = make_router(Views(draining={("server", SALDO[0])})), random.Random(1)
    samples = [router.sample_demand("socio", "saldo", rng) for _ in range(2000)]
    assert {units[0].resource for units in samples if units} == {f"server:{s}" for s in SALDO[1:]}
    in_verapaz = [router.sample_demand("socio", "saldo", rng, "verapaz") for _ in range(50)]
    assert {units[1].resource for units in in_verapaz} == {"region:verapaz"}
