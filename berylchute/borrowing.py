"""Borrow units from other hosts, use them until the loans expire, and renew or return them."""

from collections.abc import Mapping, Sequence

import attrs

from berylchute.ledger import Ledger, UnmetDemand
from berylchute.loanterm import LOAN_TERM_MAX_S, loan_term_s
from berylchute.messages import (
    LoanGrant,
    LoanOffer,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Outgoing,
)
from berylchute.types import Position, ResourceId

__all__ = ["LOAN_TERM_MAX_S", "Borrower", "LenderCandidate", "loan_term_s"]

# Demand that is not recorded again for this long is dropped.
DEMAND_TTL_S = 0.3
# A lender that granted less of a resource than requested gets no request for it for this long.
REFUSAL_BACKOFF_S = 0.25
# A lender that did not reply in time gets no request for a new loan for this long.
TIMEOUT_BACKOFF_S = 1.0
REPLY_MARGIN_S = 0.1
ATTEMPTS_MAX = 3
IDLE_WINDOW_S = 0.5
SWEEP_INTERVAL_S = 1.0


@attrs.frozen
class LenderCandidate:
    """A host that may lend; `shares` are the units of its base share per resource."""

    position: Position
    address: str
    one_way_ms: float
    shares: Mapping[ResourceId, int]


@attrs.define
class _Loan:
    """A request to a lender and, once granted, the loan.

    `renewal_id` is the loan id of the renewal in progress, if any. `horizon_s` is the longest
    time for which a request needs the units.
    """

    peer: LenderCandidate
    request: LoanRequest
    requested_s: float
    horizon_s: float
    is_long: bool
    retry_s: float
    attempts: int = 1
    is_granted: bool = False
    is_closed: bool = False
    expires_s: float = 0.0
    idle_checked_s: float = 0.0
    renewal_id: str = ""
    is_recalled: bool = False
    sequence: int = 0

    @property
    def is_pending(self) -> bool:
        return not self.is_granted and not self.is_closed

    @property
    def term_s(self) -> float:
        return self.request.term_ms / 1000


@attrs.define
class _Shortage:
    units: int
    horizon_s: float
    until_s: float


class Borrower:
    """Request loans from the nearest lenders first, renew those in use and return unused units."""

    def __init__(self, host_id: str, incarnation: int, address: str, ledger: Ledger) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._address = address
        self._ledger = ledger
        self._peers: tuple[LenderCandidate, ...] = ()
        self._lenders: dict[ResourceId, list[LenderCandidate]] = {}
        self._loans: dict[str, _Loan] = {}
        self._shortages: dict[tuple[ResourceId, bool], _Shortage] = {}
        self._refusal_backoff_until_s: dict[tuple[Position, ResourceId], float] = {}
        self._timeout_backoff_until_s: dict[Position, float] = {}
        self._last_request_number = 0
        self._next_sweep_s = float("-inf")
        self.is_leaving = False

    def set_peers(self, peers: Sequence[LenderCandidate]) -> None:
        """Replace the hosts from which units may be borrowed."""
        self._peers = tuple(sorted(peers, key=lambda peer: (peer.one_way_ms, peer.position)))
        self._lenders = {}

    def record_demand(self, demands: Sequence[UnmetDemand], now_s: float) -> None:
        """Record unmet demand until it is covered, or for `DEMAND_TTL_S` after its last record."""
        for demand in demands:
            key = (demand.resource, demand.is_long)
            shortage = self._shortages.get(key)
            if shortage is None or shortage.until_s <= now_s:
                shortage = self._shortages[key] = _Shortage(0, 0.0, 0.0)
            shortage.units = max(shortage.units, demand.units)
            shortage.horizon_s = max(shortage.horizon_s, demand.horizon_s)
            shortage.until_s = now_s + DEMAND_TTL_S

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages to send now: retries, returns, renewals and new requests."""
        outgoing: list[Outgoing] = []
        for loan_id, loan in list(self._loans.items()):
            # Most are closed, because a refused loan is kept for its whole term.
            if loan.is_closed:
                continue
            if loan.is_granted:
                outgoing += self._update_granted(loan_id, loan, now_s)
            else:
                outgoing += self._retry(loan, now_s)
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            self._drop_expired(now_s)
        if not self.is_leaving:
            outgoing += self._request_loans(now_s)
        return outgoing

    def _drop_expired(self, now_s: float) -> None:
        """Drop loans whose term has ended for both lender and borrower."""
        expired_ids = [
            loan_id
            for loan_id, loan in self._loans.items()
            if now_s > max(loan.requested_s + loan.term_s, loan.expires_s)
        ]
        for loan_id in expired_ids:
            del self._loans[loan_id]

    def handle_grant(self, grant: LoanGrant, now_s: float) -> list[Outgoing]:
        """Add the units of a grant until the loan expires; return a grant that cannot be used.

        The term counts from the request, so that the loan expires before the lender reclaims it.
        """
        loan = self._loans.get(grant.loan_id)
        if loan is None or loan.is_closed or loan.is_granted:
            if loan is not None and loan.is_granted and not loan.is_closed:
                return []
            if not self._is_own(grant.loan_id):
                return []
            return [Outgoing(grant.lender_address, self._make_return(grant.loan_id, loan, ()))]
        old_loan = self._loans.get(loan.request.renews)
        requested_units = {offer.resource: offer.units for offer in loan.request.wanted}
        loan.expires_s = loan.requested_s + min(loan.term_s, grant.term_ms / 1000)
        if old_loan is not None:
            loan.expires_s = max(loan.expires_s, old_loan.expires_s)
        if loan.expires_s <= now_s:
            loan.is_closed = True
            return [Outgoing(grant.lender_address, self._make_return(grant.loan_id, loan, ()))]
        loan.is_granted, loan.idle_checked_s = True, now_s
        self._timeout_backoff_until_s.pop(loan.peer.position, None)
        for offer in grant.granted:
            units = min(offer.units, requested_units.get(offer.resource, 0))
            self._add_granted(loan, offer.resource, units, now_s)
            if units < requested_units.get(offer.resource, 0):
                key = (loan.peer.position, offer.resource)
                self._refusal_backoff_until_s[key] = now_s + REFUSAL_BACKOFF_S
        loan.is_closed = not any(offer.units for offer in grant.granted)
        if old_loan is not None:
            # The lender needs the units that it did not renew, or lost its record of them in a
            # restart.
            old_loan.renewal_id, old_loan.is_recalled = "", True
            for offer in old_loan.request.wanted:
                self._ledger.stop_using(loan.request.renews, offer.resource)
        return []

    def handle_recall(self, message: LoanRecall, now_s: float) -> list[Outgoing]:
        """Return the unused units at once and the others when their requests end."""
        loan = self._loans.get(message.loan_id)
        # Requests at servers may still use a loan of an earlier incarnation, and a pending renewal
        # includes units in use under the old loan. Neither is returned; both expire.
        if loan is None or not self._is_own(message.loan_id):
            return []
        if loan.is_pending:
            if loan.request.renews:
                return []
            loan.is_closed = True
        if loan.is_closed:
            return [Outgoing(loan.peer.address, self._make_return(message.loan_id, loan, ()))]
        loan.is_recalled = True
        for offer in loan.request.wanted:
            self._ledger.stop_using(message.loan_id, offer.resource)
        return self._return_unused(message.loan_id, loan, now_s)

    def return_all(self, now_s: float) -> list[Outgoing]:
        """Return every unused unit and request no more loans; call again as requests end."""
        self.is_leaving = True
        outgoing = []
        for loan_id, loan in self._loans.items():
            if loan.is_granted and not loan.is_closed:
                loan.is_recalled = True
                outgoing += self._return_unused(loan_id, loan, now_s)
        return outgoing

    def _is_own(self, loan_id: str) -> bool:
        return loan_id.startswith(f"{self._host_id}.{self._incarnation}.")

    def _add_granted(self, loan: _Loan, resource: ResourceId, units: int, now_s: float) -> None:
        if units <= 0:
            return
        loan_id, renews = loan.request.loan_id, loan.request.renews
        if renews:
            self._ledger.renew_borrowed(renews, loan_id, resource, units, loan.expires_s)
        else:
            self._ledger.add_borrowed(loan_id, resource, units, loan.expires_s)
            shortage = self._shortages.get((resource, loan.is_long))
            if shortage is not None:
                shortage.units -= units

    def _retry(self, loan: _Loan, now_s: float) -> list[Outgoing]:
        """Repeat an unanswered request under the same loan id, up to `ATTEMPTS_MAX` attempts.

        Then a new loan is closed and returned, since the lender may have granted it. A renewal is
        left pending.
        """
        if now_s < loan.retry_s:
            return []
        self._timeout_backoff_until_s[loan.peer.position] = now_s + TIMEOUT_BACKOFF_S
        if loan.attempts < ATTEMPTS_MAX:
            loan.attempts += 1
            loan.retry_s = now_s + _reply_timeout_s(loan.peer)
            return [Outgoing(loan.peer.address, loan.request)]
        loan.retry_s = float("inf")
        if loan.request.renews:
            return []
        loan.is_closed = True
        return [Outgoing(loan.peer.address, self._make_return(loan.request.loan_id, loan, ()))]

    def _update_granted(self, loan_id: str, loan: _Loan, now_s: float) -> list[Outgoing]:
        if loan.is_recalled:
            return self._return_unused(loan_id, loan, now_s)
        outgoing: list[Outgoing] = []
        if now_s - loan.idle_checked_s >= IDLE_WINDOW_S:
            loan.idle_checked_s = now_s
            for offer in loan.request.wanted:
                idle = self._ledger.pop_idle_units(loan_id, offer.resource)
                if idle > 0 and not loan.renewal_id:
                    self._ledger.return_unused(loan_id, offer.resource, idle)
                    outgoing = self._report_remaining(loan_id, loan)
        usable_s = loan.expires_s - now_s - loan.horizon_s
        margin_s = max(0.5, (loan.term_s - loan.horizon_s) / 4)
        if (
            usable_s < margin_s
            and not loan.renewal_id
            and not loan.is_closed
            and not self.is_leaving
        ):
            outgoing += self._renew(loan_id, loan, now_s)
        return outgoing

    def _renew(self, loan_id: str, loan: _Loan, now_s: float) -> list[Outgoing]:
        units = {
            offer.resource: self._ledger.borrowed_units(loan_id, offer.resource)
            for offer in loan.request.wanted
        }
        wanted = {resource: count for resource, count in units.items() if count > 0}
        if not wanted:
            return []
        request = self._make_request(wanted, loan.term_s, loan_id)
        loan.renewal_id = request.loan_id
        return [self._add_loan(loan.peer, request, loan.horizon_s, loan.is_long, now_s)]

    def _return_unused(self, loan_id: str, loan: _Loan, now_s: float) -> list[Outgoing]:
        before = self._units_of(loan_id, loan)
        self._ledger.expire(now_s)
        for offer in loan.request.wanted:
            self._ledger.return_unused(loan_id, offer.resource)
        has_changed = before != self._units_of(loan_id, loan)
        return self._report_remaining(loan_id, loan) if has_changed else []

    def _units_of(self, loan_id: str, loan: _Loan) -> list[LoanOffer]:
        return [
            LoanOffer(offer.resource, self._ledger.borrowed_units(loan_id, offer.resource))
            for offer in loan.request.wanted
        ]

    def _report_remaining(self, loan_id: str, loan: _Loan) -> list[Outgoing]:
        remaining = tuple(offer for offer in self._units_of(loan_id, loan) if offer.units)
        # A pending renewal still includes the units of this loan: the lender must not reclaim them
        # yet, and the loan stays open.
        loan.is_closed = not remaining and not loan.renewal_id
        return [Outgoing(loan.peer.address, self._make_return(loan_id, loan, remaining))]

    def _make_return(
        self, loan_id: str, loan: _Loan | None, remaining: tuple[LoanOffer, ...]
    ) -> LoanReturn:
        sequence = 0
        if loan is not None:
            loan.sequence += 1
            sequence = loan.sequence
        return LoanReturn(loan_id, self._host_id, self._incarnation, sequence, remaining)

    def _make_request(
        self, wanted: Mapping[ResourceId, int], term_s: float, renews: str = ""
    ) -> LoanRequest:
        self._last_request_number += 1
        return LoanRequest(
            f"{self._host_id}.{self._incarnation}.{self._last_request_number}",
            self._host_id,
            self._incarnation,
            self._address,
            tuple(LoanOffer(resource, units) for resource, units in wanted.items()),
            int(term_s * 1000),
            renews,
        )

    def _add_loan(
        self,
        peer: LenderCandidate,
        request: LoanRequest,
        horizon_s: float,
        is_long: bool,
        now_s: float,
    ) -> Outgoing:
        retry_s = now_s + _reply_timeout_s(peer)
        self._loans[request.loan_id] = _Loan(peer, request, now_s, horizon_s, is_long, retry_s)
        return Outgoing(peer.address, request)

    def _request_loans(self, now_s: float) -> list[Outgoing]:
        """Distribute the demand over lenders, with separate requests for short and long loans."""
        self._shortages = {
            key: shortage
            for key, shortage in self._shortages.items()
            if shortage.until_s > now_s and shortage.units > 0
        }
        if not self._shortages:
            return []
        pending, expected = self._outstanding()
        batches: dict[tuple[Position, bool], tuple[LenderCandidate, dict[ResourceId, int]]] = {}
        for (resource, is_long), shortage in self._shortages.items():
            missing_units = shortage.units - pending.get((resource, is_long), 0)
            for peer in self._lenders_of(resource):
                if missing_units <= 0:
                    break
                if not self._may_request(peer.position, resource, now_s):
                    continue
                expected_units = expected.get((peer.position, resource), 0)
                units = min(missing_units, peer.shares[resource] - expected_units)
                if units > 0:
                    missing_units -= units
                    expected[peer.position, resource] = expected_units + units
                    batch = batches.setdefault((peer.position, is_long), (peer, {}))
                    batch[1][resource] = units
        outgoing = []
        for (_, is_long), (peer, wanted) in batches.items():
            horizon_s = max(self._shortages[resource, is_long].horizon_s for resource in wanted)
            request = self._make_request(wanted, loan_term_s(horizon_s))
            outgoing.append(self._add_loan(peer, request, horizon_s, is_long, now_s))
        return outgoing

    def _outstanding(
        self,
    ) -> tuple[dict[tuple[ResourceId, bool], int], dict[tuple[Position, ResourceId], int]]:
        """Return the units not yet granted, and the units borrowed or requested per lender."""
        pending: dict[tuple[ResourceId, bool], int] = {}
        expected: dict[tuple[Position, ResourceId], int] = {}
        for loan_id, loan in self._loans.items():
            if loan.is_closed or (loan.is_pending and loan.request.renews):
                continue
            for offer in loan.request.wanted:
                units = offer.units
                if loan.is_granted:
                    units = self._ledger.borrowed_units(loan_id, offer.resource)
                else:
                    key = (offer.resource, loan.is_long)
                    pending[key] = pending.get(key, 0) + units
                lender_key = (loan.peer.position, offer.resource)
                expected[lender_key] = expected.get(lender_key, 0) + units
        return pending, expected

    def _may_request(self, position: Position, resource: ResourceId, now_s: float) -> bool:
        timeout_backoff_until_s = self._timeout_backoff_until_s.get(position, 0.0)
        refusal_backoff_until_s = self._refusal_backoff_until_s.get((position, resource), 0.0)
        return now_s >= timeout_backoff_until_s and now_s >= refusal_backoff_until_s

    def _lenders_of(self, resource: ResourceId) -> list[LenderCandidate]:
        if resource not in self._lenders:
            self._lenders[resource] = [p for p in self._peers if p.shares.get(resource, 0) > 0]
        return self._lenders[resource]


def _reply_timeout_s(peer: LenderCandidate) -> float:
    return 2 * peer.one_way_ms / 1000 + REPLY_MARGIN_S
