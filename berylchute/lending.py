"""Lend unused own units to other hosts, and drive both roles of a loan."""

from collections.abc import Mapping, Sequence

import anyio
import attrs

from berylchute.borrowing import TERM_MAX_S, Borrower, Outgoing, Peer
from berylchute.ledger import Ledger
from berylchute.messages import (
    LoanGrant,
    LoanOffer,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Message,
)
from berylchute.types import Clock, PeerSender, Position, ResourceId

__all__ = ["DRIFT_FACTOR", "DRIFT_S", "TICK_S", "Lender", "Lending", "LendingTask"]

# A lender takes units back this much later than the borrower stops, for clocks that drift.
DRIFT_FACTOR = 1.05
DRIFT_S = 0.1
TICK_S = 0.025
RECALL_REPEAT_S = 0.25


@attrs.define
class _Record:
    """What a lender remembers of a loan, so that a repeated request is not granted twice."""

    borrower_address: str
    grant: LoanGrant | None
    back_s: float
    keep_until_s: float
    recalled_s: float = float("-inf")


class Lender:
    """Grant, renew, recall and take back loans of the own share."""

    def __init__(self, name: str, incarnation: int, address: str, ledger: Ledger) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._ledger = ledger
        self._records: dict[str, _Record] = {}
        self._swept_s = float("-inf")

    def handle_request(self, request: LoanRequest, now_s: float) -> list[Outgoing]:
        """Deduct and grant what can be lent; a known loan id gets its first answer again."""
        record = self._records.get(request.loan_id)
        if record is None:
            record = self._grant(request, now_s)
            self._records[request.loan_id] = record
        if record.grant is None:
            return []
        return [Outgoing(record.borrower_address, record.grant)]

    def handle_return(self, message: LoanReturn, now_s: float) -> None:
        """Take back what the borrower no longer uses; remaining units never grow."""
        record = self._records.get(message.loan_id)
        remaining = {offer.resource: offer.units for offer in message.remaining}
        if record is None:
            # The return overtook its request, which must find the loan closed.
            if not remaining:
                until_s = now_s + TERM_MAX_S
                self._records[message.loan_id] = _Record("", None, now_s, until_s)
            return
        for offer in record.grant.granted if record.grant else ():
            self._ledger.limit_lent(
                message.loan_id, offer.resource, remaining.get(offer.resource, 0)
            )
        if not remaining:
            record.grant = None

    def recall(self, wanted: Mapping[ResourceId, int], now_s: float) -> list[Outgoing]:
        """Recall loans of resources that requests on this host lack."""
        outgoing = []
        left = dict(wanted)
        for loan_id, record in self._records.items():
            for offer in record.grant.granted if record.grant else ():
                lent = self._ledger.lent_units(loan_id, offer.resource)
                if lent == 0 or left.get(offer.resource, 0) <= 0:
                    continue
                left[offer.resource] -= lent
                if now_s - record.recalled_s >= RECALL_REPEAT_S:
                    record.recalled_s = now_s
                    outgoing.append(Outgoing(record.borrower_address, LoanRecall(loan_id)))
        return outgoing

    def sweep(self, now_s: float) -> None:
        """Forget loans whose units are back and whose repeats are harmless."""
        if now_s - self._swept_s < 1.0:
            return
        self._swept_s = now_s
        ended = [key for key, record in self._records.items() if record.keep_until_s <= now_s]
        for loan_id in ended:
            del self._records[loan_id]

    def _grant(self, request: LoanRequest, now_s: float) -> _Record:
        term_s = min(request.term_ms / 1000, TERM_MAX_S)
        back_s = now_s + term_s * DRIFT_FACTOR + DRIFT_S
        renewed = self._records.get(request.renews) if request.renews else None
        if renewed is not None:
            back_s = max(back_s, renewed.back_s)
        granted = []
        for offer in request.wanted:
            if request.renews:
                units = self._renew(request, offer, back_s, now_s)
            else:
                units = min(offer.units, self._ledger.lendable(offer.resource, now_s))
                if units > 0:
                    self._ledger.lend(request.loan_id, offer.resource, units, back_s)
            granted.append(LoanOffer(offer.resource, units))
        grant = LoanGrant(
            request.loan_id,
            self._name,
            self._incarnation,
            self._address,
            tuple(granted),
            int(term_s * 1000),
        )
        return _Record(request.borrower_address, grant, back_s, back_s + TERM_MAX_S)

    def _renew(self, request: LoanRequest, offer: LoanOffer, back_s: float, now_s: float) -> int:
        """Move all units asked for or none: the borrower may be using every one of them."""
        self._ledger.expire(now_s)
        lent = self._ledger.lent_units(request.renews, offer.resource)
        if lent < offer.units or self._ledger.is_in_need(offer.resource, now_s):
            return 0
        self._ledger.move_lent(request.renews, request.loan_id, offer.resource, offer.units, back_s)
        return offer.units


class Lending:
    """Both roles of one host over its ledger; pure, driven by `tick` and `handle`."""

    def __init__(
        self, host_id: str, position: Position, incarnation: int, address: str, ledger: Ledger
    ) -> None:
        self._ledger = ledger
        self.lender = Lender(position or host_id, incarnation, address, ledger)
        self.borrower = Borrower(host_id, incarnation, address, ledger)

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Replace the hosts that may be asked."""
        self.borrower.set_peers(peers)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due now; call every `TICK_S`."""
        self._ledger.expire(now_s)
        demands = self._ledger.take_demand(now_s)
        needs = self._ledger.overdrawn(now_s)
        for demand in demands:
            needs[demand.resource] = needs.get(demand.resource, 0) + demand.units
        self.lender.sweep(now_s)
        outgoing = self.lender.recall(needs, now_s) if needs else []
        self.borrower.note(demands, now_s)
        return outgoing + self.borrower.tick(now_s)

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Return the answers to a loan message; other messages are none of lending's."""
        match message:
            case LoanRequest():
                return self.lender.handle_request(message, now_s)
            case LoanReturn():
                self.lender.handle_return(message, now_s)
            case LoanGrant():
                return self.borrower.handle_grant(message, now_s)
            case LoanRecall():
                return self.borrower.handle_recall(message, now_s)
        return []


class LendingTask:
    """Drive `Lending` by a clock and a sender."""

    def __init__(self, lending: Lending, sender: PeerSender, clock: Clock) -> None:
        self._lending = lending
        self._sender = sender
        self._clock = clock

    def receive(self, message: Message) -> None:
        """Handle one loan message from a peer."""
        self._send(self._lending.handle(message, self._clock.now_s()))

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._send(self._lending.tick(self._clock.now_s()))
            await anyio.sleep(TICK_S)

    def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for item in outgoing:
            self._sender.send(item.address, item.message)
