"""Decide from which load a server is full for a request, by rank and organisation.

Handles load: a surge of less urgent requests, an organisation at several times its usual load, and
servers that lose room. Part of the room is kept free for more urgent requests before they arrive.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import TypeVar

import attrs

from berylchute.priorities.fairshares import excess_ratios
from berylchute.priorities.parameters import AdmissionParameters
from berylchute.selection import (
    FULL_LOAD_RATIO,
    RETURN_FULL_LOAD_RATIO,
    NoServerReason,
    Selection,
)

__all__ = ["RankAdmission", "RequestClass", "ReserveChange"]

_Key = TypeVar("_Key")

_NO_ROOM = (NoServerReason.ALL_FULL, NoServerReason.SPILL_LIMITED)
# Counts below this one are forgotten: a rank or organisation that sends nothing any more.
COUNT_MIN = 0.05
# A rank that sends less than this share of a service's requests has no room reserved for it.
RANK_SHARE_MIN = 0.005
# Part of the room between its own ratio and the present one that returning callers of a rank may
# use. New callers of the most urgent rank keep the rest.
RETURN_PART = 0.5
# Depth of a reserve against requests beyond a fair share, beyond that against their rank.
EXCESS_DEPTH = 0.5
# Shortest time between two reports about one service.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class RequestClass:
    """What admission distinguishes: service, rank (0 is the most urgent) and organisation."""

    service: str
    rank: int
    organisation: str = ""


@attrs.frozen
class ReserveChange:
    """A service has entered or left shortage; `ratios` are in force for new callers by rank."""

    service: str
    is_short: bool
    ratios: Mapping[int, float]


@attrs.define(eq=False)
class _Counts:
    """Requests and served requests of one rank or organisation, decaying with time."""

    demand: float = 0.0
    served: float = 0.0
    last_request_s: float = -math.inf

    def decay(self, factor: float) -> None:
        self.demand *= factor
        self.served *= factor

    @property
    def served_ratio(self) -> float:
        return self.served / self.demand if self.demand else 1.0


@attrs.define(eq=False)
class _Service:
    """The counts and reserves of one service; `depths` are 1 at the floor, 0 without a reserve.

    `correction` is added to the depths of all reserves.

    `window` holds the end of each recent interval, its selections and those without room.
    `selections` and `short_selections` are those since the last interval.
    """

    updated_at_s: float
    selections: int = 0
    short_selections: int = 0
    window: deque[tuple[float, int, int]] = attrs.Factory(deque)
    is_short: bool = False
    correction: float = 0.0
    reported_at_s: float = -math.inf
    is_reported_short: bool = False
    total: _Counts = attrs.Factory(_Counts)
    ranks: dict[int, _Counts] = attrs.Factory(dict)
    organisations: dict[tuple[int, str], _Counts] = attrs.Factory(dict)
    depths: dict[int, float] = attrs.Factory(dict)
    excess: dict[tuple[int, str], float] = attrs.Factory(dict)
    guaranteed_ranks: frozenset[int] = frozenset()
    guaranteed: frozenset[tuple[int, str]] = frozenset()


class RankAdmission:
    """Count demand and outcomes of this process's own selections, and derive reserves from them.

    A fresh process has no counts, and therefore the ratios that hold without shortage.
    """

    def __init__(
        self,
        parameters: AdmissionParameters | None = None,
        report: Callable[[ReserveChange], None] = lambda _: None,
    ) -> None:
        self._parameters = parameters or AdmissionParameters()
        self._report = report
        self._services: dict[str, _Service] = {}

    def full_ratio(
        self, request: RequestClass, now_s: float, rng: Random, *, is_return: bool
    ) -> float:
        """Return the ratio of load to slots from which a server is full for a request."""
        service = self._update(request.service, now_s)
        depth = service.depths.get(request.rank, 0.0)
        key = (request.rank, request.organisation)
        if request.rank in service.guaranteed_ranks or key in service.guaranteed:
            depth = 0.0
        elif key in service.excess and rng.random() < service.excess[key]:
            # Returns of its many refused callers would take the room of the other organisations.
            is_return = False
            depth_max = 1.0 + self._parameters.correction_max
            depth = min(max(1.0, depth + EXCESS_DEPTH), depth_max)
        if not depth:
            return RETURN_FULL_LOAD_RATIO if is_return else FULL_LOAD_RATIO
        ratio = self._ratio(depth)
        return ratio + RETURN_PART * (FULL_LOAD_RATIO - ratio) if is_return else ratio

    def record(
        self,
        request: RequestClass,
        now_s: float,
        *,
        is_served: bool,
        is_short: bool,
    ) -> None:
        """Count the first selection for a request; `is_short` if it found no room or high load.

        Returns count as demand, too: without them, an organisation with many refused callers
        would get more than its fair share.
        """
        service = self._update(request.service, now_s)
        service.selections += 1
        service.short_selections += is_short
        key = (request.rank, request.organisation)
        for counts in (
            service.total,
            service.ranks.setdefault(request.rank, _Counts()),
            service.organisations.setdefault(key, _Counts()),
        ):
            counts.demand += 1.0
            counts.served += is_served
            counts.last_request_s = now_s

    def record_selection(self, request: RequestClass, selection: Selection, now_s: float) -> None:
        """Count the first selection for a request; call it once for each request.

        A request that only a reserve kept from a free slot shows no shortage: otherwise, a deep
        reserve would prolong the shortage that it answers.
        """
        server = selection.server
        is_short = selection.no_server_reason in _NO_ROOM and not selection.has_free_slot
        if server is not None:
            is_short = selection.load >= server.entry.slots
        self.record(request, now_s, is_served=server is not None, is_short=is_short)

    def update(self, now_s: float) -> None:
        """Update all services, so that a shortage ends also without requests."""
        for name in self._services:
            self._update(name, now_s)

    def ratios(self) -> Mapping[str, Mapping[int, float]]:
        """Return the ratio for new callers by service and rank."""
        return {name: self._ratios(service) for name, service in self._services.items()}

    def return_room_per_s(self, request: RequestClass) -> float:
        """Return the rate of room that more urgent ranks leave, by the requests that found room."""
        service = self._services.get(request.service)
        if service is None:
            return 0.0
        served_per_s = service.total.served / self._parameters.demand_window_s
        return served_per_s * (1.0 - self._urgent_share(service, request.rank))

    def position(self, request: RequestClass) -> float | None:
        """Return 0 for the most urgent rank of a service, 1 for the least urgent one.

        None is returned if the service has only one rank.
        """
        service = self._services.get(request.service)
        ranks = sorted(service.ranks) if service else []
        if len(ranks) < 2 or request.rank not in ranks:
            return None
        return ranks.index(request.rank) / (len(ranks) - 1)

    def _ratio(self, depth: float) -> float:
        return FULL_LOAD_RATIO - depth * (FULL_LOAD_RATIO - self._parameters.floor_ratio)

    def _ratios(self, service: _Service) -> dict[int, float]:
        return {
            rank: round(self._ratio(service.depths.get(rank, 0.0)), 3)
            for rank in sorted(service.ranks)
        }

    def _update(self, name: str, now_s: float) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(now_s)
        elapsed_s = now_s - service.updated_at_s
        if elapsed_s >= self._parameters.update_interval_s:
            service.updated_at_s = now_s
            self._decay(service, elapsed_s)
            self._detect_shortage(service, now_s)
            self._set_reserves(service, elapsed_s, now_s)
            self._report_change(name, service, now_s)
        return service

    def _decay(self, service: _Service, elapsed_s: float) -> None:
        factor = math.exp(-elapsed_s / self._parameters.demand_window_s)
        service.total.decay(factor)
        _decay_all(service.ranks, factor)
        _decay_all(service.organisations, factor)

    def _detect_shortage(self, service: _Service, now_s: float) -> None:
        parameters, window = self._parameters, service.window
        window.append((now_s, service.selections, service.short_selections))
        service.selections = service.short_selections = 0
        while now_s - window[0][0] >= parameters.shortage_window_s:
            window.popleft()
        selections = sum(count for _, count, _ in window)
        short = sum(count for _, _, count in window)
        if service.is_short:
            service.is_short = short > parameters.leave_ratio * selections
        else:
            service.is_short = (
                short >= parameters.enter_count and short >= parameters.enter_ratio * selections
            )

    def _set_reserves(self, service: _Service, elapsed_s: float, now_s: float) -> None:
        self._correct(service, elapsed_s, now_s)
        released = elapsed_s / self._parameters.release_s
        depths = {}
        for rank in service.ranks:
            depth = self._needed_depth(service, rank) if service.is_short else 0.0
            depth = max(depth, service.depths.get(rank, 0.0) - released)
            if depth > 0.0:
                depths[rank] = depth
        service.depths = depths
        service.excess = self._find_excess(service) if service.is_short else {}
        served_min = 0.0
        if depths or service.excess:
            served_min = self._parameters.guaranteed_ratio * service.total.served_ratio
        service.guaranteed_ranks = _keys_below(service.ranks, served_min)
        service.guaranteed = _keys_below(service.organisations, served_min)

    def _correct(self, service: _Service, elapsed_s: float, now_s: float) -> None:
        """Deepen the reserves while the most urgent rank is refused in spite of them."""
        parameters = self._parameters
        if not service.is_short or len(service.ranks) < 2:
            service.correction = 0.0
            return
        urgent = service.ranks[min(service.ranks)]
        if now_s - urgent.last_request_s > parameters.shortage_window_s:
            # The ratio of refusals of a rank that sends nothing stays until its counts are gone.
            service.correction = 0.0
            return
        refused = 1.0 - urgent.served_ratio
        change = parameters.correction_per_s * (refused - parameters.urgent_refused_ratio)
        correction = service.correction + elapsed_s * change
        service.correction = min(max(correction, 0.0), parameters.correction_max)

    def _needed_depth(self, service: _Service, rank: int) -> float:
        share = self._urgent_share(service, rank)
        if share < RANK_SHARE_MIN:
            return 0.0
        depth = min(1.0, self._parameters.reserve_min + self._parameters.reserve_gain * share)
        return depth + service.correction

    def _urgent_share(self, service: _Service, rank: int) -> float:
        demand = sum(counts.demand for other, counts in service.ranks.items() if other < rank)
        return min(1.0, demand / max(1.0, service.total.served))

    def _find_excess(self, service: _Service) -> dict[tuple[int, str], float]:
        demands: dict[int, dict[str, float]] = {}
        for (rank, name), counts in service.organisations.items():
            demands.setdefault(rank, {})[name] = counts.demand
        return {
            (rank, name): ratio
            for rank, by_name in demands.items()
            for name, ratio in excess_ratios(
                by_name, service.ranks[rank].served, self._parameters.excess_factor
            ).items()
        }

    def _report_change(self, name: str, service: _Service, now_s: float) -> None:
        if (
            service.is_short is not service.is_reported_short
            and now_s - service.reported_at_s >= REPORT_INTERVAL_S
        ):
            service.is_reported_short = service.is_short
            service.reported_at_s = now_s
            self._report(ReserveChange(name, service.is_short, self._ratios(service)))


def _decay_all(counts_by_key: dict[_Key, _Counts], factor: float) -> None:
    for key, counts in list(counts_by_key.items()):
        counts.decay(factor)
        if counts.demand < COUNT_MIN:
            del counts_by_key[key]


def _keys_below(counts_by_key: Mapping[_Key, _Counts], served_min: float) -> frozenset[_Key]:
    """Return the keys that are served less often than `served_min`."""
    return frozenset(
        key for key, counts in counts_by_key.items() if counts.served_ratio < served_min
    )
