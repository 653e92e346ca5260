"""Account for the units in use, lent and borrowed per capped resource on this host."""

import heapq
from collections.abc import Iterable, Mapping, Sequence

import attrs

from berylchute.types import Hold, ResourceId, ResourceUnits

__all__ = ["Demand", "Ledger", "Usage"]

# The reserve kept from lending is the peak use in the current and the previous window.
PEAK_WINDOW_S = 0.25
# A host that lacked units of a resource this recently lends none of it.
DEMAND_MEMORY_S = 0.5
# Demand with a longer horizon is kept apart, so that short work does not cause long loans.
LONG_HORIZON_S = 10.0


@attrs.frozen
class Usage:
    """Units of one resource on this host; `in_use` counts own and borrowed units."""

    resource: ResourceId
    share: int
    in_use: int
    lent: int
    borrowed: int
    borrowed_in_use: int


@attrs.frozen
class Demand:
    """Units of one resource that requests lacked; `horizon_s` is the longest time they need."""

    resource: ResourceId
    units: int
    horizon_s: float
    is_long: bool


@attrs.define
class _Borrowed:
    """Units of one loan; `peak` is the highest use since `take_idle` last asked."""

    units: int
    expires_s: float
    used: int = 0
    peak: int = 0
    recalled: bool = False

    def free(self, until_s: float) -> int:
        if until_s > self.expires_s or self.recalled:
            return 0
        return self.units - self.used


@attrs.define
class _Account:
    """Books of one resource; own use and lent units together stay within `share`."""

    share: int = 0
    used: int = 0
    lent: dict[str, int] = attrs.Factory(dict)
    lent_units: int = 0
    borrowed: dict[str, _Borrowed] = attrs.Factory(dict)
    peak: int = 0
    peak_before: int = 0
    window_s: float = float("-inf")
    demand_s: float = float("-inf")

    def own_free(self) -> int:
        free = self.share - self.lent_units - self.used
        return free if free > 0 else 0

    def excess(self) -> int:
        return self.used + self.lent_units - self.share

    def free(self, until_s: float) -> int:
        units = self.own_free()
        if not self.borrowed:
            return units
        for loan in self.borrowed.values():
            units += loan.free(until_s)
        return units

    def roll(self, now_s: float) -> None:
        if now_s - self.window_s >= PEAK_WINDOW_S:
            stale = now_s - self.window_s >= 2 * PEAK_WINDOW_S
            self.peak_before = self.used if stale else self.peak
            self.peak, self.window_s = self.used, now_s
        self.peak = max(self.peak, self.used)


@attrs.define
class _Part:
    """Units of a hold taken from the own share (`loan` is None) or from one loan."""

    account: _Account
    loan: _Borrowed | None
    units: int


class Ledger:
    """Keep the books of every resource; implements the `CapacityLedger` Protocol."""

    def __init__(self, shares: Mapping[ResourceId, int] | None = None) -> None:
        self._accounts: dict[ResourceId, _Account] = {}
        self._holds: dict[int, list[_Part]] = {}
        self._hold_ends: list[tuple[float, int]] = []
        self._loan_ends: list[tuple[float, ResourceId, str]] = []
        self._lent_ends: list[tuple[float, ResourceId, str]] = []
        self._demand: dict[tuple[ResourceId, bool], Demand] = {}
        self._overdrawn: set[ResourceId] = set()
        self._next_hold = 1
        self._next_end_s = float("inf")
        self.set_shares(shares or {})

    def set_shares(self, shares: Mapping[ResourceId, int]) -> None:
        """Replace the own share of every resource; units in use or lent stay on the books."""
        for resource, account in self._accounts.items():
            account.share = shares.get(resource, 0)
        for resource, units in shares.items():
            self._account(resource).share = units
        self._overdrawn = {r for r, account in self._accounts.items() if account.excess() > 0}

    def try_acquire(
        self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float
    ) -> Hold | None:
        """Take all units or none; a borrowed unit is used only if its loan outlasts `until_s`."""
        self.expire(now_s)
        if until_s <= now_s:
            return None
        accounts = self._accounts
        for item in wanted:
            account = accounts.get(item.resource)
            if account is None:
                return None
            if account.own_free() < item.units and account.free(until_s) < item.units:
                return None
        parts: list[_Part] = []
        for item in wanted:
            account = accounts[item.resource]
            if not self._take(account, item.units, until_s, parts):
                self._give_back(parts)
                return None
            account.roll(now_s)
        hold = Hold(self._next_hold, tuple(wanted), until_s)
        self._next_hold += 1
        self._holds[hold.hold_id] = parts
        self._next_end_s = min(self._next_end_s, until_s)
        heapq.heappush(self._hold_ends, (until_s, hold.hold_id))
        return hold

    def release(self, hold: Hold) -> None:
        """Give the units back now; the server answered or confirmed the cancellation."""
        self._give_back(self._holds.pop(hold.hold_id, []))

    def abandon(self, hold: Hold) -> None:
        """Keep the units taken until `hold.until_s`; the work may still be running."""
        # Every hold ends by itself at `until_s`, so nothing changes on the books.

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request ending by `until_s` could take now."""
        # Routing asks this for every candidate, most often with nothing to expire.
        if now_s >= self._next_end_s:
            self.expire(now_s)
        account = self._accounts.get(resource)
        return account.free(until_s) if account is not None and until_s > now_s else 0

    def note_demand(self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float) -> None:
        """Record unmet demand; lending asks peers for it.

        A waiting request is noted again at each failed try: lending takes the highest
        sum of recent ticks, so repeats do not add up and a lost note does no harm.
        """
        horizon_s = until_s - now_s
        if horizon_s <= 0:
            return
        is_long = horizon_s > LONG_HORIZON_S
        for item in wanted:
            before = self._demand.get((item.resource, is_long))
            units = item.units + (before.units if before else 0)
            horizon = max(horizon_s, before.horizon_s if before else 0.0)
            self._demand[item.resource, is_long] = Demand(item.resource, units, horizon, is_long)

    def take_demand(self, now_s: float) -> list[Demand]:
        """Return the demand noted since the last call beyond what is free now, and forget it."""
        noted, self._demand = self._demand, {}
        lacking: list[Demand] = []
        for demand in noted.values():
            units = demand.units - self.free_units(demand.resource, now_s + demand.horizon_s, now_s)
            if units > 0:
                lacking.append(attrs.evolve(demand, units=units))
                self._account(demand.resource).demand_s = now_s
        return lacking

    def expire(self, now_s: float) -> None:
        """Drop holds past their deadline, borrowed loans past expiry and lent units now back."""
        while self._hold_ends and self._hold_ends[0][0] <= now_s:
            self._give_back(self._holds.pop(heapq.heappop(self._hold_ends)[1], []))
        while self._loan_ends and self._loan_ends[0][0] <= now_s:
            _, resource, loan_id = heapq.heappop(self._loan_ends)
            self._accounts[resource].borrowed.pop(loan_id, None)
        while self._lent_ends and self._lent_ends[0][0] <= now_s:
            _, resource, loan_id = heapq.heappop(self._lent_ends)
            self.limit_lent(loan_id, resource, 0)
        heads = (self._hold_ends, self._loan_ends, self._lent_ends)
        self._next_end_s = min((heap[0][0] for heap in heads if heap), default=float("inf"))

    def lendable(self, resource: ResourceId, now_s: float) -> int:
        """Return the own units that may be lent now, without the reserve for recent use."""
        self.expire(now_s)
        account = self._accounts.get(resource)
        if account is None or self.is_in_need(resource, now_s):
            return 0
        account.roll(now_s)
        reserve = max(account.peak, account.peak_before, account.used)
        return max(0, account.share - account.lent_units - reserve)

    def lend(self, loan_id: str, resource: ResourceId, units: int, back_s: float) -> None:
        """Deduct units for a loan until `back_s`; the caller asked `lendable` before."""
        account = self._account(resource)
        account.lent[loan_id] = account.lent.get(loan_id, 0) + units
        account.lent_units += units
        self._next_end_s = min(self._next_end_s, back_s)
        heapq.heappush(self._lent_ends, (back_s, resource, loan_id))

    def limit_lent(self, loan_id: str, resource: ResourceId, remaining: int) -> None:
        """Take back all but `remaining` units of a loan; never raises what is lent."""
        account = self._accounts.get(resource)
        if account is None or account.lent.get(loan_id, 0) <= remaining:
            return
        account.lent_units -= account.lent[loan_id] - remaining
        account.lent[loan_id] = remaining
        if remaining == 0:
            del account.lent[loan_id]

    def move_lent(
        self, old_id: str, loan_id: str, resource: ResourceId, units: int, back_s: float
    ) -> None:
        """Move the units out under a loan to its renewal; what exceeds `units` comes back."""
        self.limit_lent(old_id, resource, 0)
        self.lend(loan_id, resource, units, back_s)

    def is_in_need(self, resource: ResourceId, now_s: float) -> bool:
        """Tell whether requests on this host lacked units of the resource just now."""
        account = self._accounts.get(resource)
        return account is not None and now_s - account.demand_s < DEMAND_MEMORY_S

    def lent_units(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units that are out under a loan."""
        account = self._accounts.get(resource)
        return account.lent.get(loan_id, 0) if account is not None else 0

    def borrow(self, loan_id: str, resource: ResourceId, units: int, expires_s: float) -> None:
        """Add the units of one granted loan; a loan id is added once only."""
        account = self._account(resource)
        if loan_id not in account.borrowed:
            account.borrowed[loan_id] = _Borrowed(units, expires_s, peak=units)
            self._next_end_s = min(self._next_end_s, expires_s)
            heapq.heappush(self._loan_ends, (expires_s, resource, loan_id))

    def renew(
        self, old_id: str, loan_id: str, resource: ResourceId, units: int, expires_s: float
    ) -> None:
        """Replace a loan by its renewal, whose units cover the old ones in use."""
        account = self._account(resource)
        loan = account.borrowed.pop(old_id, None)
        self.borrow(loan_id, resource, units, expires_s)
        if loan is not None and loan_id in account.borrowed:
            # The same object stays, because holds refer to it.
            loan.units, loan.expires_s = units, expires_s
            account.borrowed[loan_id] = loan

    def return_unused(self, loan_id: str, resource: ResourceId, idle: int | None = None) -> int:
        """Drop `idle` (None: all) unused units of a loan; return the units that remain."""
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        if account is None or loan is None:
            return 0
        free = loan.units - loan.used
        loan.units -= free if idle is None else min(free, idle)
        if loan.units == 0:
            del account.borrowed[loan_id]
        return loan.units

    def recall(self, loan_id: str, resource: ResourceId) -> None:
        """Use no further unit of a loan; units in use leave as their requests end."""
        account = self._accounts.get(resource)
        if account is not None and loan_id in account.borrowed:
            account.borrowed[loan_id].recalled = True

    def take_idle(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units of a loan that stayed unused since the last call."""
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        if loan is None:
            return 0
        idle, loan.peak = loan.units - max(loan.peak, loan.used), loan.used
        return idle

    def borrowed_units(self, loan_id: str, resource: ResourceId) -> int:
        """Return the units of a borrowed loan."""
        account = self._accounts.get(resource)
        loan = account.borrowed.get(loan_id) if account is not None else None
        return loan.units if loan is not None else 0

    def usage(self, resource: ResourceId, now_s: float) -> Usage:
        """Return the books of one resource."""
        self.expire(now_s)
        account = self._accounts.get(resource, _Account())
        borrowed = sum(loan.units for loan in account.borrowed.values())
        used = sum(loan.used for loan in account.borrowed.values())
        return Usage(
            resource, account.share, account.used + used, account.lent_units, borrowed, used
        )

    def usages(self, now_s: float) -> list[Usage]:
        """Return the books of every resource, ordered by resource."""
        return [self.usage(resource, now_s) for resource in sorted(self._accounts)]

    def overdrawn(self, now_s: float) -> dict[ResourceId, int]:
        """Return the units in use or lent beyond the share, after the share shrank."""
        if not self._overdrawn:
            return {}
        self.expire(now_s)
        excess = {r: self._accounts[r].excess() for r in self._overdrawn}
        self._overdrawn = {r for r, units in excess.items() if units > 0}
        return {r: excess[r] for r in self._overdrawn}

    def _account(self, resource: ResourceId) -> _Account:
        return self._accounts.setdefault(resource, _Account())

    @staticmethod
    def _take(account: _Account, units: int, until_s: float, parts: list[_Part]) -> bool:
        own = min(units, account.own_free())
        if own:
            account.used += own
            parts.append(_Part(account, None, own))
            units -= own
        if units == 0:
            return True
        # The loan that ends first is used first: later ones can still bear longer requests.
        for loan in sorted(account.borrowed.values(), key=lambda loan: loan.expires_s):
            taken = min(units, loan.free(until_s))
            if taken > 0:
                loan.used += taken
                loan.peak = max(loan.peak, loan.used)
                parts.append(_Part(account, loan, taken))
                units -= taken
        return units == 0

    @staticmethod
    def _give_back(parts: Iterable[_Part]) -> None:
        for part in parts:
            if part.loan is None:
                part.account.used -= part.units
            else:
                part.loan.used -= part.units
