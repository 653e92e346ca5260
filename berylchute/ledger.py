"""Count the units of each capped resource that this host uses, lends and borrows."""

import heapq
from collections.abc import Iterable, Mapping, Sequence

import attrs

from berylchute.accounts import Account, BorrowedLoan
from berylchute.types import Reservation, ResourceId, ResourceUnits

__all__ = ["Ledger", "UnmetDemand", "Usage"]

# A host that lacked units of a resource this recently lends none of it: two busy hosts would pass
# the same unit back and forth.
NO_LENDING_AFTER_SHORTAGE_S = 0.5
# Demand with a longer horizon is counted separately, so that short requests do not cause long
# loans.
LONG_HORIZON_S = 10.0


@attrs.frozen
class Usage:
    """Unit counts of one resource on this host.

    `in_use` counts own and borrowed units; `borrowed_in_use` is the borrowed part of it.
    """

    resource: ResourceId
    share: int
    in_use: int
    lent: int
    borrowed: int
    borrowed_in_use: int


@attrs.frozen
class UnmetDemand:
    """Units of one resource that requests could not get.

    `horizon_s` is the longest time for which one of these requests needs its units; `is_long` is
    set if it exceeds LONG_HORIZON_S.
    """

    resource: ResourceId
    units: int
    horizon_s: float
    is_long: bool


@attrs.define
class _ReservationPart:
    """Units of a reservation from the own share (`loan` is None) or from one loan."""

    account: Account
    loan: BorrowedLoan | None
    units: int


class Ledger:
    """Count the units of every resource; implements the `CapacityLedger` protocol.

    Times are seconds on this host's monotonic clock.
    """

    def __init__(self, shares: Mapping[ResourceId, int] | None = None) -> None:
        self._accounts: dict[ResourceId, Account] = {}
        self._reservations: dict[int, list[_ReservationPart]] = {}
        self._reservation_expiries: list[tuple[float, int]] = []
        self._borrowed_expiries: list[tuple[float, ResourceId, str]] = []
        self._lent_expiries: list[tuple[float, ResourceId, str]] = []
        self._recorded_demand: dict[tuple[ResourceId, bool], UnmetDemand] = {}
        self._over_share: set[ResourceId] = set()
        self._next_reservation_id = 1
        self._next_expiry_s = float("inf")
        self.set_shares(shares or {})

    def set_shares(self, shares: Mapping[ResourceId, int]) -> None:
        """Replace the own share of every resource; units in use or lent are still counted."""
        for resource, account in self._accounts.items():
            account.share = shares.get(resource, 0)
        for resource, units in shares.items():
            self._account(resource).share = units
        self._over_share = {r for r, account in self._accounts.items() if account.excess() > 0}

    def try_acquire(
        self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float
    ) -> Reservation | None:
        """Return a reservation of all units until `until_s`, or None if some are not available.

        A borrowed unit is used only if its loan does not expire before `until_s`.
        """
        self.expire(now_s)
        if until_s <= now_s:
            return None
        accounts = self._accounts
        for item in wanted:
            account = accounts.get(item.resource)
            if account is None:
                return None
            if account.own_free_units() < item.units and account.free_units(until_s) < item.units:
                return None
        parts: list[_ReservationPart] = []
        for item in wanted:
            account = accounts[item.resource]
            if not self._acquire_units(account, item.units, until_s, parts):
                self._release_parts(parts)
                return None
            account.update_peak(now_s)
        reservation = Reservation(self._next_reservation_id, tuple(wanted), until_s)
        self._next_reservation_id += 1
        self._reservations[reservation.reservation_id] = parts
        self._next_expiry_s = min(self._next_expiry_s, until_s)
        heapq.heappush(self._reservation_expiries, (until_s, reservation.reservation_id))
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Release the units of a reservation; a repeated or late call has no effect.

        Call it after the server answered or confirmed a cancellation.
        """
        self._release_parts(self._reservations.pop(reservation.reservation_id, []))

    def keep_until_deadline(self, reservation: Reservation) -> None:
        """Keep the units acquired until `reservation.until_s`; the request may still be running."""
        # Nothing to update: `expire` releases every reservation at its `until_s`.

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request ending by `until_s` could acquire now."""
        # Routing calls this for every candidate, mostly with nothing to expire.
        if now_s >= self._next_expiry_s:
            self.expire(now_s)
        account = self._accounts.get(resource)
        return account.free_units(until_s) if account is not None and until_s > now_s else 0

    def record_demand(self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float) -> None:
        """Record units that a request could not acquire; lending requests them from peers.

        A waiting request is recorded again at each failed attempt. Lending uses the highest sum
        of recent ticks, so repeated records do not add up and a missing one does no harm.
        """
        horizon_s = until_s - now_s
        if horizon_s <= 0:
            return
        is_long = horizon_s > LONG_HORIZON_S
        for item in wanted:
            previous = self._recorded_demand.get((item.resource, is_long))
            units = item.units + (previous.units if previous else 0)
            longest_s = max(horizon_s, previous.horizon_s if previous else 0.0)
            self._recorded_demand[item.resource, is_long] = UnmetDemand(
                item.resource, units, longest_s, is_long
            )

    def pop_unmet_demand(self, now_s: float) -> list[UnmetDemand]:
        """Return the recorded demand that free units do not cover, and clear the record."""
        recorded, self._recorded_demand = self._recorded_demand, {}
        unmet: list[UnmetDemand] = []
        for demand in recorded.values():
            units = demand.units - self.free_units(demand.resource, now_s + demand.horizon_s, now_s)
            if units > 0:
                unmet.append(attrs.evolve(demand, units=units))
                self._account(demand.resource).last_shortage_s = now_s
        return unmet

    def expire(self, now_s: float) -> None:
        """Release expired reservations, drop expired loans and reclaim lent units now due."""
        while self._reservation_expiries and self._reservation_expiries[0][0] <= now_s:
            self._release_parts(
                self._reservations.pop(heapq.heappop(self._reservation_expiries)[1], [])
            )
        while self._borrowed_expiries and self._borrowed_expiries[0][0] <= now_s:
            _, resource, loan_id = heapq.heappop(self._borrowed_expiries)
            self._accounts[resource].borrowed.pop(loan_id, None)
        while self._lent_expiries and self._lent_expiries[0][0] <= now_s:
            _, resource, loan_id = heapq.heappop(self._lent_expiries)
            self.reclaim_lent(loan_id, resource, 0)
        expiry_heaps = (self._reservation_expiries, self._borrowed_expiries, self._lent_expiries)
        self._next_expiry_s = min(
            (heap[0][0] for heap in expiry_heaps if heap), default=float("inf")
        )

    def lendable_units(self, resource: ResourceId, now_s: float) -> int:
        """Return the own units that may be lent now: those above the recent peak use.

        None may be lent while this host itself lacks units of the resource.
        """
        self.expire(now_s)
        account = self._accounts.get(resource)
        if account is None or self.has_recent_shortage(resource, now_s):
            return 0
        account.update_peak(now_s)
        reserve = max(account.peak, account.previous_peak, account.used)
        return max(0, account.share - account.lent_units - reserve)

    def record_lent(self, loan_id: str, resource: ResourceId, units: int, reclaim_s: float) -> None:
        """Deduct units for a loan until `reclaim_s`; the caller checks `lendable_units` first."""
        account = self._account(resource)
        account.lent[loan_id] = account.lent.get(loan_id, 0) + units
        account.lent_units += units
        self._next_expiry_s = min(self._next_expiry_s, reclaim_s)
        heapq.heappush(self._lent_expiries, (reclaim_s, resource, loan_id))

    def reclaim_lent(self, loan_id: str, resource: ResourceId, remaining: int) -> None:
        """Reclaim all but `remaining` units of a loan; never increases the lent units."""
        account = self._accounts.get(resource)
        if account is None or account.lent.get(loan_id, 0) <= remaining:
            return
        account.lent_units -= account.lent[loan_id] - remaining
        account.lent[loan_id] = remaining
        if remaining == 0:
            del account.lent[loan_id]

    def renew_lent(
        self, old_loan_id: str, loan_id: str, resource: ResourceId, units: int, reclaim_s: float
    ) -> None:
        """Move `units` of a loan to its renewal and reclaim the other units of the loan."""
        self.reclaim_lent(old_loan_id, resource, 0)
        self.record_lent(loan_id, resource, units, reclaim_s)

    def has_recent_shortage(self, resource: ResourceId, now_s: float) -> bool:
        """Return whether requests on this host recently lacked units of the resource."""
        account = self._accounts.get(resource)
        return account is not None and now_s - account.last_shortage_s < NO_LENDING_AFTER_SHORTAGE_S

    def lent_units(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units that this host has lent under a loan id; 0 if there are none."""
        account = self._accounts.get(resource)
        return account.lent.get(loan_id, 0) if account is not None else 0

    def add_borrowed(
        self, loan_id: str, resource: ResourceId, units: int, expires_s: float
    ) -> None:
        """Add the units of a granted loan; a known loan id is ignored."""
        account = self._account(resource)
        if loan_id not in account.borrowed:
            account.borrowed[loan_id] = BorrowedLoan(units, expires_s, peak=units)
            self._next_expiry_s = min(self._next_expiry_s, expires_s)
            heapq.heappush(self._borrowed_expiries, (expires_s, resource, loan_id))

    def renew_borrowed(
        self, old_loan_id: str, loan_id: str, resource: ResourceId, units: int, expires_s: float
    ) -> None:
        """Replace a loan by its renewal, whose units include those in use under the old loan."""
        account = self._account(resource)
        loan = account.borrowed.pop(old_loan_id, None)
        self.add_borrowed(loan_id, resource, units, expires_s)
        if loan is not None and loan_id in account.borrowed:
            # Reservations refer to the old object, so it is updated and kept.
            loan.units, loan.expires_s = units, expires_s
            account.borrowed[loan_id] = loan

    def return_unused(
        self, loan_id: str, resource: ResourceId, idle_units: int | None = None
    ) -> int:
        """Remove unused units of a loan and return the units that remain.

        At most `idle_units` units are removed, or all unused ones if it is None.
        """
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        if account is None or loan is None:
            return 0
        free = loan.units - loan.used
        loan.units -= free if idle_units is None else min(free, idle_units)
        if loan.units == 0:
            del account.borrowed[loan_id]
        return loan.units

    def stop_using(self, loan_id: str, resource: ResourceId) -> None:
        """Stop acquiring units of a loan; units in use stay until their requests end."""
        account = self._accounts.get(resource)
        if account is not None and loan_id in account.borrowed:
            account.borrowed[loan_id].is_recalled = True

    def pop_idle_units(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units of a loan that were never in use since the last call."""
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        if loan is None:
            return 0
        idle_units, loan.peak = loan.units - max(loan.peak, loan.used), loan.used
        return idle_units

    def borrowed_units(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units borrowed under a loan id, used or not; 0 if there are none."""
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        return loan.units if loan is not None else 0

    def usage(self, resource: ResourceId, now_s: float) -> Usage:
        """Return the current unit counts of one resource."""
        self.expire(now_s)
        account = self._accounts.get(resource, Account())
        borrowed = sum(loan.units for loan in account.borrowed.values())
        used = sum(loan.used for loan in account.borrowed.values())
        return Usage(
            resource, account.share, account.used + used, account.lent_units, borrowed, used
        )

    def usages(self, now_s: float) -> list[Usage]:
        """Return the current unit counts of every resource, ordered by resource."""
        return [self.usage(resource, now_s) for resource in sorted(self._accounts)]

    def units_over_share(self, now_s: float) -> dict[ResourceId, int]:
        """Return the units in use or lent above the share, per resource whose share was reduced."""
        if not self._over_share:
            return {}
        self.expire(now_s)
        excess = {r: self._accounts[r].excess() for r in self._over_share}
        self._over_share = {r for r, units in excess.items() if units > 0}
        return {r: excess[r] for r in self._over_share}

    def _account(self, resource: ResourceId) -> Account:
        return self._accounts.setdefault(resource, Account())

    @staticmethod
    def _acquire_units(
        account: Account, units: int, until_s: float, parts: list[_ReservationPart]
    ) -> bool:
        """Add units of a resource to `parts`, own ones first; return whether there were enough."""
        own_units = min(units, account.own_free_units())
        if own_units:
            account.used += own_units
            parts.append(_ReservationPart(account, None, own_units))
            units -= own_units
        if units == 0:
            return True
        # The loan that expires first is used first: later ones can still serve longer requests.
        for loan in sorted(account.borrowed.values(), key=lambda loan: loan.expires_s):
            taken = min(units, loan.free_units(until_s))
            if taken > 0:
                loan.used += taken
                loan.peak = max(loan.peak, loan.used)
                parts.append(_ReservationPart(account, loan, taken))
                units -= taken
        return units == 0

    @staticmethod
    def _release_parts(parts: Iterable[_ReservationPart]) -> None:
        for part in parts:
            if part.loan is None:
                part.account.used -= part.units
            else:
                part.loan.used -= part.units
