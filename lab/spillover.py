"""Compare the policies for a full preferred region on a virtual clock and without I/O."""

import functools
import heapq
import itertools
import json
import random
import sys
from collections import Counter, defaultdict
from collections.abc import Callable

import attrs

from berylchute import spillover
from berylchute.admission import AdmissionQueue, QueuedRequest, ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import Configuration, Plan, decode_toml
from berylchute.ledger import Ledger
from berylchute.routing import Candidate, RouteAction, Router, RouteRequest
from berylchute.shares import resource_caps
from lab.decide import EXAMPLES, StubViews

__all__ = ["POLICIES", "Simulation"]

DURATION_S = 5.0
WARM_UP_S = 1.0
SERVICE_MEAN_S = 0.1
# One request in 50 is a straggler that takes 8 times as long.
STRAGGLER_RATIO = 0.02
STRAGGLER_FACTOR = 8.0
DEADLINE_S = 2.0
# Load of all regions except the first, relative to their slots.
OTHER_REGIONS_LOAD_RATIO = 0.5
POLICIES: tuple[type[spillover.FullRegionPolicy], ...] = (
    spillover.WaitFirst,
    spillover.NextRegionFirst,
    spillover.QuickerFirst,
    spillover.DisplaceFirst,
)


@attrs.define
class _EntryHost:
    """All entry hosts of one region, simulated as one host."""

    region: str
    router: Router
    observer: ServerObserver
    queue: AdmissionQueue


class Simulation:
    """Simulation of open-loop arrivals in every region through queue, router and ledger."""

    def __init__(self, config: Configuration, policy: spillover.FullRegionPolicy, seed: int):
        """Build one entry host per region; `seed` determines arrivals and service times."""
        self.config, self.rng = config, random.Random(seed)
        self.ledger = Ledger(resource_caps(config))
        self.service = config.services[0].name
        self.latencies_s: dict[str, list[float]] = defaultdict(list)
        self.offered: Counter[str] = Counter()
        self.started = self.moved = 0
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_numbers = itertools.count()
        self.delays_s = {
            frozenset((d.from_region, d.to_region)): d.one_way_ms / 1000 for d in config.distances
        }
        self.slots: Counter[str] = Counter()
        for server in config.backend_servers:
            region = config.region_of(server.availability_zone)
            self.slots[region] += server.slots * (server.service == self.service)
        self.entries = [self._build_entry(region.name, policy) for region in config.regions]

    def _build_entry(self, region: str, policy: spillover.FullRegionPolicy) -> _EntryHost:
        zone = next(z.name for z in self.config.availability_zones if z.region == region)
        observer, views = ServerObserver(zone, region), StubViews()
        observer.configure(self.config, 0.0)
        reserve = ShortReserve()
        router = Router(zone, region, observer, self.ledger, views, views, views, reserve, policy)
        router.configure(self.config, {})
        return _EntryHost(region, router, observer, AdmissionQueue(self.service))

    def run(self, load: float) -> dict[str, float]:
        """Run at `load` times the slots of the first region and return the figures."""
        for entry in self.entries:
            slots = self.slots[entry.region]
            load_ratio = load if entry is self.entries[0] else OTHER_REGIONS_LOAD_RATIO
            mean_s = SERVICE_MEAN_S * (1 + STRAGGLER_RATIO * (STRAGGLER_FACTOR - 1))
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(slots * load_ratio / mean_s)) < DURATION_S:
                plan = self.rng.choice(self.config.plans)
                self._schedule(
                    at_s, functools.partial(self._arrive, entry, plan, f"{entry.region}/{at_s}")
                )
        while self.events:
            now_s, _, action = heapq.heappop(self.events)
            action(now_s)
        return self._figures()

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.event_numbers), action))

    def _arrive(self, entry: _EntryHost, plan: Plan, name: str, now_s: float) -> None:
        self.offered[plan.name] += now_s > WARM_UP_S
        deadline_s = now_s + DEADLINE_S
        entry.queue.enqueue(
            QueuedRequest(name, plan.name, plan.priority, "k", "short", deadline_s, now_s), now_s
        )
        self._start_queued(entry, now_s)

    def _start_queued(self, entry: _EntryHost, now_s: float) -> None:
        entry.queue.refuse_expired(now_s)
        while entry.queue.start_next(
            now_s, lambda q, may_redirect: self._try_start(entry, q, may_redirect, now_s)
        ):
            pass

    def _try_start(
        self, entry: _EntryHost, queued: QueuedRequest, may_redirect: bool, now_s: float
    ) -> bool:
        request = RouteRequest(
            queued.plan, self.service, "short", queued.deadline_s, may_redirect=may_redirect,
            expected_wait_s=entry.queue.expected_wait_s(queued.deadline_s, now_s),
            lower_plans_queued=entry.queue.count_lower_plans(queued),
        )  # fmt: skip
        decision = entry.router.route(request, now_s, self.rng)
        if decision.action is RouteAction.DISPLACE:
            entry.queue.displace(queued.request_id)
        if not decision.candidates:
            return False
        candidate = decision.candidates[0]
        reservation = self.ledger.try_acquire(candidate.units, now_s + 1e6, now_s)
        assert reservation is not None, "the router returned a candidate without free units"
        # Drawn per request, so that every policy gets the same service times.
        request_rng = random.Random(queued.request_id)
        service_s = request_rng.expovariate(1 / SERVICE_MEAN_S)
        service_s *= STRAGGLER_FACTOR if request_rng.random() < STRAGGLER_RATIO else 1.0
        delay_s = self.delays_s.get(frozenset((entry.region, candidate.region)), 0.0)
        entry.observer.record_sent(candidate.server, now_s)
        self.started += now_s > WARM_UP_S
        self.moved += now_s > WARM_UP_S and candidate.region != entry.region

        def finish(end_s: float) -> None:
            self.ledger.release(reservation)
            self._finish(entry, queued, candidate, now_s, end_s)

        self._schedule(now_s + service_s + 2 * delay_s, finish)
        return True

    def _finish(
        self,
        entry: _EntryHost,
        queued: QueuedRequest,
        candidate: Candidate,
        start_s: float,
        now_s: float,
    ) -> None:
        entry.queue.record_finish("k", now_s - start_s, now_s)
        entry.observer.record_answer(candidate.server, now_s - start_s, now_s)
        if queued.enqueued_s > WARM_UP_S and now_s <= queued.deadline_s:
            self.latencies_s[queued.plan].append(now_s - queued.enqueued_s)
        for waiting_entry in self.entries:
            self._start_queued(waiting_entry, now_s)

    def _figures(self) -> dict[str, float]:
        figures = {"moved": round(self.moved / self.started, 3)}
        for plan in self.config.plans:
            sorted_s = sorted(self.latencies_s[plan.name])
            figures[f"{plan.name}_answered"] = round(len(sorted_s) / self.offered[plan.name], 4)
            figures[f"{plan.name}_mean_ms"] = round(1e3 * sum(sorted_s) / len(sorted_s), 1)
            figures[f"{plan.name}_p99_ms"] = round(1e3 * sorted_s[len(sorted_s) * 99 // 100], 1)
        return figures


if __name__ == "__main__":
    seed_argument = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    lists = decode_toml((EXAMPLES / "cooperativa" / "lists.toml").read_text(encoding="utf-8"))
    for offered_load in (0.9, 1.3, 1.7):
        for policy_type in POLICIES:
            result = Simulation(lists, policy_type(), seed_argument).run(offered_load)
            print(json.dumps({"policy": policy_type.__name__, "load": offered_load} | result))
