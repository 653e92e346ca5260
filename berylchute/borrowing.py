"""Borrow units from other hosts and use them only until their loans expire."""

from collections.abc import Mapping, Sequence

import attrs

from berylchute.ledger import Demand, Ledger
from berylchute.messages import LoanGrant, LoanOffer, LoanRecall, LoanRequest, LoanReturn, Message
from berylchute.types import Position, ResourceId

__all__ = ["TERM_MAX_S", "Borrower", "Outgoing", "Peer", "loan_term_s"]

# Fixed, not configured: a restarted lender must wait out loans granted under any configuration.
TERM_MAX_S = 90.0
# Demand stays wanted for this long after it was last noted.
WANT_S = 0.3
# A lender that had too little of a resource is not asked for it again before this.
REFUSED_S = 0.25
# A lender that did not answer in time is not asked for new loans before this.
SILENT_S = 1.0
ANSWER_MARGIN_S = 0.1
TRIES_MAX = 3
IDLE_WINDOW_S = 0.5
SWEEP_S = 1.0


def loan_term_s(horizon_s: float) -> float:
    """Return the term for requests of this horizon: they must start and end within it."""
    return min(TERM_MAX_S, horizon_s + max(4.0, horizon_s / 2))


@attrs.frozen
class Outgoing:
    """A message for the peer at `address`."""

    address: str
    message: Message


@attrs.frozen
class Peer:
    """A host that may lend; `shares` are its base shares."""

    position: Position
    address: str
    one_way_ms: float
    shares: Mapping[ResourceId, int]


@attrs.define
class _Ask:
    """A request to a lender and, once granted, the loan that came of it."""

    peer: Peer
    request: LoanRequest
    asked_s: float
    horizon_s: float
    is_long: bool
    next_try_s: float
    tries: int = 1
    granted: bool = False
    closed: bool = False
    expires_s: float = 0.0
    idle_checked_s: float = 0.0
    renewal: str = ""
    recalled: bool = False
    sequence: int = 0

    @property
    def is_pending(self) -> bool:
        return not self.granted and not self.closed

    @property
    def term_s(self) -> float:
        return self.request.term_ms / 1000


@attrs.define
class _Want:
    units: int
    horizon_s: float
    until_s: float


class Borrower:
    """Ask near lenders first, use loans until they expire, renew or return them."""

    def __init__(self, host_id: str, incarnation: int, address: str, ledger: Ledger) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._address = address
        self._ledger = ledger
        self._peers: tuple[Peer, ...] = ()
        self._lenders: dict[ResourceId, list[Peer]] = {}
        self._asks: dict[str, _Ask] = {}
        self._wants: dict[tuple[ResourceId, bool], _Want] = {}
        self._refused_until_s: dict[tuple[Position, ResourceId], float] = {}
        self._silent_until_s: dict[Position, float] = {}
        self._counter = 0
        self._next_sweep_s = float("-inf")
        self.is_leaving = False

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Replace the hosts that may be asked."""
        self._peers = tuple(sorted(peers, key=lambda peer: (peer.one_way_ms, peer.position)))
        self._lenders = {}

    def note(self, demands: Sequence[Demand], now_s: float) -> None:
        """Remember demand until it is met or no longer noted."""
        for demand in demands:
            key = (demand.resource, demand.is_long)
            want = self._wants.get(key)
            if want is None or want.until_s <= now_s:
                want = self._wants[key] = _Want(0, 0.0, 0.0)
            want.units = max(want.units, demand.units)
            want.horizon_s = max(want.horizon_s, demand.horizon_s)
            want.until_s = now_s + WANT_S

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due: repeats, returns, renewals and new requests."""
        outgoing: list[Outgoing] = []
        for loan_id, ask in list(self._asks.items()):
            # Closed asks are most of them: refusals are remembered for a whole term.
            if ask.closed:
                continue
            if ask.granted:
                outgoing += self._maintain(loan_id, ask, now_s)
            else:
                outgoing += self._retry(ask, now_s)
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_S
            self._forget_ended(now_s)
        if not self.is_leaving:
            outgoing += self._ask(now_s)
        return outgoing

    def _forget_ended(self, now_s: float) -> None:
        """Forget asks whose loans are over on both sides."""
        ended = [
            loan_id
            for loan_id, ask in self._asks.items()
            if now_s > max(ask.asked_s + ask.term_s, ask.expires_s)
        ]
        for loan_id in ended:
            del self._asks[loan_id]

    def handle_grant(self, grant: LoanGrant, now_s: float) -> list[Outgoing]:
        """Use a granted loan until its term after the ask; answer useless grants by a return."""
        ask = self._asks.get(grant.loan_id)
        if ask is None or ask.closed or ask.granted:
            if ask is not None and ask.granted and not ask.closed:
                return []
            if not self._is_own(grant.loan_id):
                return []
            return [Outgoing(grant.lender_address, self._return_of(grant.loan_id, ask, ()))]
        old = self._asks.get(ask.request.renews)
        asked = {offer.resource: offer.units for offer in ask.request.wanted}
        ask.expires_s = ask.asked_s + min(ask.term_s, grant.term_ms / 1000)
        if old is not None:
            ask.expires_s = max(ask.expires_s, old.expires_s)
        if ask.expires_s <= now_s:
            ask.closed = True
            return [Outgoing(grant.lender_address, self._return_of(grant.loan_id, ask, ()))]
        ask.granted, ask.idle_checked_s = True, now_s
        self._silent_until_s.pop(ask.peer.position, None)
        for offer in grant.granted:
            units = min(offer.units, asked.get(offer.resource, 0))
            self._add(ask, offer.resource, units, now_s)
            if units < asked.get(offer.resource, 0):
                key = (ask.peer.position, offer.resource)
                self._refused_until_s[key] = now_s + REFUSED_S
        ask.closed = not any(offer.units for offer in grant.granted)
        if old is not None:
            # What the lender did not renew it needs itself or, restarted, does not know.
            old.renewal, old.recalled = "", True
            for offer in old.request.wanted:
                self._ledger.recall(ask.request.renews, offer.resource)
        return []

    def handle_recall(self, message: LoanRecall, now_s: float) -> list[Outgoing]:
        """Return the unused units at once and the others as their requests end."""
        ask = self._asks.get(message.loan_id)
        # A loan of an earlier incarnation may still be in use at servers. A pending renewal
        # covers units in use under the old loan. Both are left to expire.
        if ask is None or not self._is_own(message.loan_id):
            return []
        if ask.is_pending:
            if ask.request.renews:
                return []
            ask.closed = True
        if ask.closed:
            return [Outgoing(ask.peer.address, self._return_of(message.loan_id, ask, ()))]
        ask.recalled = True
        for offer in ask.request.wanted:
            self._ledger.recall(message.loan_id, offer.resource)
        return self._return_idle(message.loan_id, ask, now_s)

    def return_all(self, now_s: float) -> list[Outgoing]:
        """Return every unused unit and borrow no more; call again as requests end."""
        self.is_leaving = True
        outgoing = []
        for loan_id, ask in self._asks.items():
            if ask.granted and not ask.closed:
                ask.recalled = True
                outgoing += self._return_idle(loan_id, ask, now_s)
        return outgoing

    def _is_own(self, loan_id: str) -> bool:
        return loan_id.startswith(f"{self._host_id}.{self._incarnation}.")

    def _add(self, ask: _Ask, resource: ResourceId, units: int, now_s: float) -> None:
        if units <= 0:
            return
        loan_id, renews = ask.request.loan_id, ask.request.renews
        if renews:
            self._ledger.renew(renews, loan_id, resource, units, ask.expires_s)
        else:
            self._ledger.borrow(loan_id, resource, units, ask.expires_s)
            want = self._wants.get((resource, ask.is_long))
            if want is not None:
                want.units -= units

    def _retry(self, ask: _Ask, now_s: float) -> list[Outgoing]:
        """Ask the silent lender again under the same id; give up a new loan in the end."""
        if now_s < ask.next_try_s:
            return []
        self._silent_until_s[ask.peer.position] = now_s + SILENT_S
        if ask.tries < TRIES_MAX:
            ask.tries += 1
            ask.next_try_s = now_s + _answer_wait_s(ask.peer)
            return [Outgoing(ask.peer.address, ask.request)]
        ask.next_try_s = float("inf")
        if ask.request.renews:
            return []
        ask.closed = True
        return [Outgoing(ask.peer.address, self._return_of(ask.request.loan_id, ask, ()))]

    def _maintain(self, loan_id: str, ask: _Ask, now_s: float) -> list[Outgoing]:
        if ask.recalled:
            return self._return_idle(loan_id, ask, now_s)
        outgoing: list[Outgoing] = []
        if now_s - ask.idle_checked_s >= IDLE_WINDOW_S:
            ask.idle_checked_s = now_s
            for offer in ask.request.wanted:
                idle = self._ledger.take_idle(loan_id, offer.resource)
                if idle > 0 and not ask.renewal:
                    self._ledger.return_unused(loan_id, offer.resource, idle)
                    outgoing = self._report(loan_id, ask)
        usable_s = ask.expires_s - now_s - ask.horizon_s
        margin_s = max(0.5, (ask.term_s - ask.horizon_s) / 4)
        if usable_s < margin_s and not ask.renewal and not ask.closed and not self.is_leaving:
            outgoing += self._renew(loan_id, ask, now_s)
        return outgoing

    def _renew(self, loan_id: str, ask: _Ask, now_s: float) -> list[Outgoing]:
        units = {
            offer.resource: self._ledger.borrowed_units(loan_id, offer.resource)
            for offer in ask.request.wanted
        }
        wanted = {resource: count for resource, count in units.items() if count > 0}
        if not wanted:
            return []
        request = self._request(wanted, ask.term_s, loan_id)
        ask.renewal = request.loan_id
        return [self._open(ask.peer, request, ask.horizon_s, ask.is_long, now_s)]

    def _return_idle(self, loan_id: str, ask: _Ask, now_s: float) -> list[Outgoing]:
        before = self._units_of(loan_id, ask)
        self._ledger.expire(now_s)
        for offer in ask.request.wanted:
            self._ledger.return_unused(loan_id, offer.resource)
        changed = before != self._units_of(loan_id, ask)
        return self._report(loan_id, ask) if changed else []

    def _units_of(self, loan_id: str, ask: _Ask) -> list[LoanOffer]:
        return [
            LoanOffer(offer.resource, self._ledger.borrowed_units(loan_id, offer.resource))
            for offer in ask.request.wanted
        ]

    def _report(self, loan_id: str, ask: _Ask) -> list[Outgoing]:
        remaining = tuple(offer for offer in self._units_of(loan_id, ask) if offer.units)
        # A pending renewal still covers the units of this loan, so nothing may be taken back.
        ask.closed = not remaining and not ask.renewal
        return [Outgoing(ask.peer.address, self._return_of(loan_id, ask, remaining))]

    def _return_of(
        self, loan_id: str, ask: _Ask | None, remaining: tuple[LoanOffer, ...]
    ) -> LoanReturn:
        sequence = 0
        if ask is not None:
            ask.sequence += 1
            sequence = ask.sequence
        return LoanReturn(loan_id, self._host_id, self._incarnation, sequence, remaining)

    def _request(
        self, wanted: Mapping[ResourceId, int], term_s: float, renews: str = ""
    ) -> LoanRequest:
        self._counter += 1
        return LoanRequest(
            f"{self._host_id}.{self._incarnation}.{self._counter}",
            self._host_id,
            self._incarnation,
            self._address,
            tuple(LoanOffer(resource, units) for resource, units in wanted.items()),
            int(term_s * 1000),
            renews,
        )

    def _open(
        self, peer: Peer, request: LoanRequest, horizon_s: float, is_long: bool, now_s: float
    ) -> Outgoing:
        next_try_s = now_s + _answer_wait_s(peer)
        self._asks[request.loan_id] = _Ask(peer, request, now_s, horizon_s, is_long, next_try_s)
        return Outgoing(peer.address, request)

    def _ask(self, now_s: float) -> list[Outgoing]:
        """Spread the demand over lenders, one request per lender and class of horizon."""
        self._wants = {k: w for k, w in self._wants.items() if w.until_s > now_s and w.units > 0}
        if not self._wants:
            return []
        pending, expected = self._outstanding()
        batches: dict[tuple[Position, bool], tuple[Peer, dict[ResourceId, int]]] = {}
        for (resource, is_long), want in self._wants.items():
            need = want.units - pending.get((resource, is_long), 0)
            for peer in self._lenders_of(resource):
                if need <= 0:
                    break
                if not self._may_ask(peer.position, resource, now_s):
                    continue
                taken = expected.get((peer.position, resource), 0)
                units = min(need, peer.shares[resource] - taken)
                if units > 0:
                    need -= units
                    expected[peer.position, resource] = taken + units
                    batch = batches.setdefault((peer.position, is_long), (peer, {}))
                    batch[1][resource] = units
        outgoing = []
        for (_, is_long), (peer, wanted) in batches.items():
            horizon_s = max(self._wants[resource, is_long].horizon_s for resource in wanted)
            request = self._request(wanted, loan_term_s(horizon_s))
            outgoing.append(self._open(peer, request, horizon_s, is_long, now_s))
        return outgoing

    def _outstanding(
        self,
    ) -> tuple[dict[tuple[ResourceId, bool], int], dict[tuple[Position, ResourceId], int]]:
        """Return units asked but unanswered, and units out or asked per lender."""
        pending: dict[tuple[ResourceId, bool], int] = {}
        expected: dict[tuple[Position, ResourceId], int] = {}
        for loan_id, ask in self._asks.items():
            if ask.closed or (ask.is_pending and ask.request.renews):
                continue
            for offer in ask.request.wanted:
                units = offer.units
                if ask.granted:
                    units = self._ledger.borrowed_units(loan_id, offer.resource)
                else:
                    key = (offer.resource, ask.is_long)
                    pending[key] = pending.get(key, 0) + units
                place = (ask.peer.position, offer.resource)
                expected[place] = expected.get(place, 0) + units
        return pending, expected

    def _may_ask(self, position: Position, resource: ResourceId, now_s: float) -> bool:
        silent_s = self._silent_until_s.get(position, 0.0)
        refused_s = self._refused_until_s.get((position, resource), 0.0)
        return now_s >= silent_s and now_s >= refused_s

    def _lenders_of(self, resource: ResourceId) -> list[Peer]:
        if resource not in self._lenders:
            self._lenders[resource] = [p for p in self._peers if p.shares.get(resource, 0) > 0]
        return self._lenders[resource]


def _answer_wait_s(peer: Peer) -> float:
    return 2 * peer.one_way_ms / 1000 + ANSWER_MARGIN_S
