"""Place attempts on backend servers: queue, route and acquire units of each capped resource."""

import heapq
import math
import random
from collections import Counter
from collections.abc import Mapping
from typing import Any

import anyio
import attrs

from berylchute.admission import AdmissionQueue, QueuedRequest, QueueRefusalReason, ShortReserve
from berylchute.balance import ServerObserver
from berylchute.config import Configuration
from berylchute.exceptions import RoutingError
from berylchute.exchange import ServerTarget
from berylchute.forwardedrequest import AttemptEnd, ForwardedRequest, Placement, split_address
from berylchute.lending import TICK_INTERVAL_S as LENDING_TICK_S
from berylchute.placements import CapacityPlacement, Waiter
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.routing import Candidate, RouteAction, Router, RouteRequest, RoutingDecision
from berylchute.tracing import QUEUE, SLOT
from berylchute.types import CapacityLedger, Clock, Reservation, ResourceId

__all__ = ["CapacityPlacement", "CapacityPlacer"]

# Units of expired reservations and loans become free without an event, so queued requests are
# retried at this interval.
TICK_INTERVAL_S = 0.01
# A server counts the deadline from the arrival of the request, so it may run the request this much
# longer than the host waits. Without the margin, servers exceeded their slots under overload.
RESERVATION_MARGIN_S = 0.25
_REFUSALS: Mapping[QueueRefusalReason, tuple[RefusalCode, str]] = {
    QueueRefusalReason.QUEUE_FULL: (RefusalCode.QUEUE_FULL, "the queue of the service is full"),
    QueueRefusalReason.DEADLINE_UNREACHABLE: (
        RefusalCode.DEADLINE_UNREACHABLE,
        "the queue is too long for the deadline",
    ),
    QueueRefusalReason.EXPIRED: (RefusalCode.DEADLINE_PASSED, "the deadline passed in the queue"),
}


@attrs.frozen
class _UnitsKey:
    """Requests with the same key can use the same units."""

    service: str
    plan: str
    size: str


def _units_key(request: ForwardedRequest) -> _UnitsKey:
    return _UnitsKey(request.kind.service, request.caller.plan, request.kind.size)


class CapacityPlacer:
    """Place attempts within the units of the ledger; implements `Placer`."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        router: Router,
        ledger: CapacityLedger,
        observer: ServerObserver,
        reserve: ShortReserve,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._router = router
        self._ledger = ledger
        self._observer = observer
        self._reserve = reserve
        self._queues: dict[str, AdmissionQueue] = {}
        self._waiters: dict[str, Waiter] = {}
        self._targets: dict[str, ServerTarget] = {}
        self._unconfirmed: list[tuple[float, int, CapacityPlacement]] = []
        self._queued_by_key: Counter[_UnitsKey] = Counter()
        self._demand_recorded_s = 0.0

    def configure(
        self,
        configuration: Configuration,
        base_units: Mapping[ResourceId, int],
        connections: Mapping[str, int],
    ) -> None:
        """Apply a configuration and this host's base shares of units and connections."""
        self._router.configure(configuration, base_units)
        self._observer.configure(configuration, self._clock.now_s())
        self._targets = {}
        for server in configuration.backend_servers:
            host, port = split_address(server.address)
            limit = max(1, connections.get(server.name, 0))
            self._targets[server.name] = ServerTarget(server.name, host, port, limit)
        for service in configuration.services:
            if service.name not in self._queues:
                self._queues[service.name] = AdmissionQueue(service.name)

    def queued_counts(self) -> Mapping[str, int]:
        """Return the number of queued requests per service."""
        return {name: len(queue) for name, queue in self._queues.items()}

    async def place(self, request: ForwardedRequest, excluded_servers: frozenset[str]) -> Placement:
        """Wait for a server with a free slot; raise RefusedError if the request is refused."""
        queue = self._queues[request.kind.service]
        start_s = self._clock.now_s()
        # Queued requests with another key cannot use the units that are free, so this request need
        # not wait behind them.
        if not self._queued_by_key[_units_key(request)]:
            placement = self._try_start(
                request, excluded_servers, may_redirect=False, now_s=start_s
            )
            if placement is not None:
                request.record.stage_s[SLOT] += self._clock.now_s() - start_s
                return placement
        placement = await self._wait_in_queue(queue, request, excluded_servers, start_s)
        request.record.stage_s[QUEUE] += self._clock.now_s() - start_s
        return placement

    def try_place(
        self, request: ForwardedRequest, excluded_servers: frozenset[str]
    ) -> Placement | None:
        """Return a server that has a free slot now; None if none has or requests are queued."""
        if len(self._queues[request.kind.service]):
            return None
        try:
            return self._try_start(
                request,
                excluded_servers,
                may_redirect=False,
                now_s=self._clock.now_s(),
                is_hedge=True,
            )
        except RefusedError:
            return None

    def finish(self, placement: Placement, end: AttemptEnd, *, is_end_confirmed: bool) -> None:
        """End an attempt; release its units only if it is confirmed not to be running."""
        assert isinstance(placement, CapacityPlacement)
        now_s = self._clock.now_s()
        self._record_end(placement, end, now_s)
        if is_end_confirmed:
            self._release(placement)
            self._start_queued(placement.service)
        else:
            self._ledger.keep_until_deadline(placement.reservation)
            entry = (placement.reservation.until_s, placement.reservation.reservation_id, placement)
            heapq.heappush(self._unconfirmed, entry)

    def release_confirmed(self, placement: Placement) -> None:
        """Release the units of an attempt after its server confirmed that it ended."""
        assert isinstance(placement, CapacityPlacement)
        self._release(placement)
        self._start_queued(placement.service)

    def tick(self) -> None:
        """Release expired units and start queued requests; call every TICK_INTERVAL_S."""
        now_s = self._clock.now_s()
        while self._unconfirmed and self._unconfirmed[0][0] <= now_s:
            self._release(heapq.heappop(self._unconfirmed)[2])
        for service, queue in self._queues.items():
            if len(queue):
                self._refuse_all(queue.refuse_expired(now_s))
                self._start_queued(service)
        if self._waiters and now_s - self._demand_recorded_s >= LENDING_TICK_S:
            self._demand_recorded_s = now_s
            self._record_queued_demand(now_s)

    def _record_queued_demand(self, now_s: float) -> None:
        """Record the demand of each queued request once per tick of lending."""
        for waiter in self._waiters.values():
            if waiter.placement is None:
                self._record_demand(waiter.request, now_s)

    def _record_demand(self, request: ForwardedRequest, now_s: float, region: str = "") -> None:
        units = self._router.sample_demand(
            request.caller.plan, request.kind.service, self._rng, region
        )
        if units:
            self._ledger.record_demand(units, request.deadline_s + RESERVATION_MARGIN_S, now_s)

    async def run(self) -> None:
        """Call `tick` every TICK_INTERVAL_S until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self.tick()

    async def _wait_in_queue(
        self,
        queue: AdmissionQueue,
        request: ForwardedRequest,
        excluded_servers: frozenset[str],
        now_s: float,
    ) -> CapacityPlacement:
        caller = request.caller
        queued = QueuedRequest(
            request.attempt_prefix,
            caller.plan,
            caller.priority,
            request.kind.name,
            request.kind.size,
            request.deadline_s,
            now_s,
        )
        waiter = Waiter(request, excluded_servers, anyio.Event())
        self._waiters[queued.request_id] = waiter
        self._queued_by_key[_units_key(request)] += 1
        try:
            self._refuse_all(queue.enqueue(queued, now_s))
            self._start_queued(request.kind.service)
            await waiter.ready.wait()
        except BaseException:
            # Units may have been acquired just before the request was cancelled.
            if waiter.placement is not None:
                self.finish(waiter.placement, AttemptEnd.NOT_SENT, is_end_confirmed=True)
            raise
        finally:
            self._waiters.pop(queued.request_id, None)
            self._queued_by_key[_units_key(request)] -= 1
            queue.remove(queued.request_id)
        if waiter.error is not None:
            raise waiter.error
        if waiter.placement is None:
            code, reason = _REFUSALS[waiter.refusal or QueueRefusalReason.EXPIRED]
            raise RefusedError(code, reason, not_run=True)
        return waiter.placement

    def _refuse_all(self, refusals: Any) -> None:
        for refusal in refusals:
            waiter = self._waiters.get(refusal.request.request_id)
            if waiter is not None:
                waiter.refusal = refusal.reason
                waiter.ready.set()

    def _start_queued(self, service: str) -> None:
        """Start queued requests while units are free."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now_s = self._clock.now_s()
        # If a request cannot start, neither can later ones of the same plan and size: they have
        # later deadlines, so they need units for longer.
        failed_keys: set[tuple[str, str, bool]] = set()

        def try_start(queued: QueuedRequest, may_redirect: bool) -> bool:
            waiter = self._waiters.get(queued.request_id)
            if waiter is None:
                return True
            key = (queued.plan, queued.size, may_redirect)
            if not waiter.excluded_servers and key in failed_keys:
                return False
            try:
                waiter.placement = self._try_start(
                    waiter.request,
                    waiter.excluded_servers,
                    may_redirect=may_redirect,
                    now_s=now_s,
                    queued=queued,
                )
            except RefusedError as error:
                waiter.error = error
            if waiter.placement is None and waiter.error is None:
                if not waiter.excluded_servers:
                    failed_keys.add(key)
                return False
            waiter.ready.set()
            return True

        while queue.start_next(now_s, try_start) is not None:
            pass

    def _try_start(
        self,
        request: ForwardedRequest,
        excluded_servers: frozenset[str],
        *,
        may_redirect: bool,
        now_s: float,
        queued: QueuedRequest | None = None,
        is_hedge: bool = False,
    ) -> CapacityPlacement | None:
        """Route and acquire units; return None if the request must wait or has expired."""
        if request.deadline_s <= now_s:
            return None
        until_s = request.deadline_s + RESERVATION_MARGIN_S
        service = request.kind.service
        queue = self._queues[service]
        route_request = RouteRequest(
            plan=request.caller.plan,
            service=service,
            size=request.kind.size,
            deadline_s=until_s,
            request_bytes=request.body_bytes,
            answer_bytes=request.answer_bytes,
            expected_wait_s=_last_wait_s(queue, request, now_s),
            lower_plans_queued=queue.count_lower_plans(queued) if queued is not None else 0,
            may_redirect=may_redirect,
            excluded_servers=excluded_servers,
        )
        try:
            decision = self._router.route(route_request, now_s, self._rng)
        except RoutingError as error:
            raise RefusedError(RefusalCode.FORBIDDEN, str(error), not_run=True) from error
        for candidate in decision.candidates:
            reservation = self._ledger.try_acquire(candidate.units, until_s, now_s)
            if reservation is not None:
                request.record.decisions.append(decision)
                preferred_region = (
                    decision.preferred_candidate.indexed_server.region
                    if decision.preferred_candidate is not None
                    else ""
                )
                if preferred_region not in ("", candidate.indexed_server.region):
                    # Without recorded demand, a preferred region without units would never borrow
                    # any, and a shift to it could not start.
                    self._record_demand(request, now_s, preferred_region)
                return self._make_placement(request, candidate, reservation, now_s)
        if is_hedge:
            return None
        self._handle_unplaced(request, decision, queued, now_s)
        return None

    def _handle_unplaced(
        self,
        request: ForwardedRequest,
        decision: RoutingDecision,
        queued: QueuedRequest | None,
        now_s: float,
    ) -> None:
        """Record demand for the missing units; raise RefusedError if waiting cannot help."""
        if decision.action is RouteAction.NONE_ALLOWED:
            request.record.decisions.append(decision)
            raise RefusedError(RefusalCode.NO_ROUTE, "no backend server is allowed", not_run=True)
        if decision.preferred_candidate is not None and queued is None:
            self._record_demand(request, now_s)
        if decision.action is RouteAction.DISPLACE:
            self._queues[request.kind.service].displace(request.attempt_prefix)

    def _make_placement(
        self,
        request: ForwardedRequest,
        candidate: Candidate,
        reservation: Reservation,
        now_s: float,
    ) -> CapacityPlacement:
        for item in candidate.units:
            self._reserve.record_start(item.resource)
        self._observer.record_sent(candidate.server, now_s)
        target = self._targets[candidate.server]
        return CapacityPlacement(
            target,
            now_s,
            candidate,
            reservation,
            request.kind.service,
            request.kind.name,
            outbound_link=candidate.outbound_link,
            return_link=candidate.return_link,
        )

    def _release(self, placement: CapacityPlacement) -> None:
        if placement.is_released:
            return
        placement.is_released = True
        self._ledger.release(placement.reservation)
        for item in placement.candidate.units:
            self._reserve.record_end(item.resource)

    def _record_end(self, placement: CapacityPlacement, end: AttemptEnd, now_s: float) -> None:
        server = placement.candidate.server
        elapsed_s = now_s - placement.started_s
        if end is AttemptEnd.ANSWERED:
            self._observer.record_answer(server, elapsed_s, now_s)
            self._queues[placement.service].record_finish(placement.kind, elapsed_s, now_s)
        elif end is AttemptEnd.SHED:
            self._observer.record_shed(server, now_s)
        elif end is AttemptEnd.CANCELLED:
            self._observer.record_cancel(server, elapsed_s, now_s)
        elif end is AttemptEnd.NOT_SENT:
            self._observer.record_cancel(server, 0.0, now_s)
        else:
            self._observer.record_failure(server, now_s, was_sent=True)


def _last_wait_s(queue: AdmissionQueue, request: ForwardedRequest, now_s: float) -> float:
    """Return the expected wait in seconds of the last request in the queue.

    A request that moves to another region shortens the wait of all behind it. With a request's
    own wait instead, the first one always waited while units of other regions stayed idle.
    """
    if not len(queue):
        return 0.0
    # The start rate is unknown until requests have started; waiting for it leaves units idle.
    return queue.expected_wait_s(math.inf, now_s) or request.deadline_s - now_s
