"""Lend unused units of the own share to other hosts; run the lender and the borrower of a host."""

from collections.abc import Mapping, Sequence

import anyio
import attrs

from berylchute.borrowing import LOAN_TERM_MAX_S, Borrower, LenderCandidate
from berylchute.ledger import Ledger
from berylchute.messages import (
    LoanGrant,
    LoanOffer,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Message,
    Outgoing,
)
from berylchute.types import Clock, PeerSender, Position, ResourceId

__all__ = [
    "CLOCK_DRIFT_FACTOR",
    "CLOCK_DRIFT_MARGIN_S",
    "TICK_INTERVAL_S",
    "Lender",
    "Lending",
    "LendingTask",
]

# A lender reclaims units this much later than the loan expires, because clocks drift.
CLOCK_DRIFT_FACTOR = 1.05
CLOCK_DRIFT_MARGIN_S = 0.1
TICK_INTERVAL_S = 0.025
RECALL_RETRY_S = 0.25


@attrs.define
class _LoanRecord:
    """A lender's record of a loan, which keeps a repeated request from being granted twice.

    `grant` is None once the loan is closed.
    """

    borrower_address: str
    grant: LoanGrant | None
    reclaim_s: float
    forget_s: float
    last_recall_s: float = float("-inf")


class Lender:
    """Grant, renew, recall and reclaim loans of the own share."""

    def __init__(self, name: str, incarnation: int, address: str, ledger: Ledger) -> None:
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._ledger = ledger
        self._records: dict[str, _LoanRecord] = {}
        self._last_sweep_s = float("-inf")

    def handle_request(self, request: LoanRequest, now_s: float) -> list[Outgoing]:
        """Deduct and grant the units that can be lent; repeat the first grant for a known loan id.

        A request for a closed loan gets no answer.
        """
        record = self._records.get(request.loan_id)
        if record is None:
            record = self._grant(request, now_s)
            self._records[request.loan_id] = record
        if record.grant is None:
            return []
        return [Outgoing(record.borrower_address, record.grant)]

    def handle_return(self, message: LoanReturn, now_s: float) -> None:
        """Reclaim the units that the borrower no longer uses; lent units never increase."""
        record = self._records.get(message.loan_id)
        remaining = {offer.resource: offer.units for offer in message.remaining}
        if record is None:
            # The return arrived before its request, which this record then leaves unanswered.
            if not remaining:
                until_s = now_s + LOAN_TERM_MAX_S
                self._records[message.loan_id] = _LoanRecord("", None, now_s, until_s)
            return
        for offer in record.grant.granted if record.grant else ():
            self._ledger.reclaim_lent(
                message.loan_id, offer.resource, remaining.get(offer.resource, 0)
            )
        if not remaining:
            record.grant = None

    def recall(self, wanted: Mapping[ResourceId, int], now_s: float) -> list[Outgoing]:
        """Return recalls for enough loans to cover `wanted`, the units that this host lacks."""
        outgoing = []
        missing_units = dict(wanted)
        for loan_id, record in self._records.items():
            for offer in record.grant.granted if record.grant else ():
                lent = self._ledger.lent_units(loan_id, offer.resource)
                if lent == 0 or missing_units.get(offer.resource, 0) <= 0:
                    continue
                missing_units[offer.resource] -= lent
                if now_s - record.last_recall_s >= RECALL_RETRY_S:
                    record.last_recall_s = now_s
                    outgoing.append(Outgoing(record.borrower_address, LoanRecall(loan_id)))
        return outgoing

    def sweep(self, now_s: float) -> None:
        """Drop records of loans reclaimed so long ago that a duplicate message does no harm.

        Runs at most once per second.
        """
        if now_s - self._last_sweep_s < 1.0:
            return
        self._last_sweep_s = now_s
        expired_ids = [key for key, record in self._records.items() if record.forget_s <= now_s]
        for loan_id in expired_ids:
            del self._records[loan_id]

    def _grant(self, request: LoanRequest, now_s: float) -> _LoanRecord:
        term_s = min(request.term_ms / 1000, LOAN_TERM_MAX_S)
        reclaim_s = now_s + term_s * CLOCK_DRIFT_FACTOR + CLOCK_DRIFT_MARGIN_S
        renewed_record = self._records.get(request.renews) if request.renews else None
        if renewed_record is not None:
            reclaim_s = max(reclaim_s, renewed_record.reclaim_s)
        granted = []
        for offer in request.wanted:
            if request.renews:
                units = self._renew(request, offer, reclaim_s, now_s)
            else:
                units = min(offer.units, self._ledger.lendable_units(offer.resource, now_s))
                if units > 0:
                    self._ledger.record_lent(request.loan_id, offer.resource, units, reclaim_s)
            granted.append(LoanOffer(offer.resource, units))
        grant = LoanGrant(
            request.loan_id,
            self._name,
            self._incarnation,
            self._address,
            tuple(granted),
            int(term_s * 1000),
        )
        return _LoanRecord(request.borrower_address, grant, reclaim_s, reclaim_s + LOAN_TERM_MAX_S)

    def _renew(self, request: LoanRequest, offer: LoanOffer, reclaim_s: float, now_s: float) -> int:
        """Renew all requested units or none, because the borrower may be using all of them."""
        self._ledger.expire(now_s)
        lent = self._ledger.lent_units(request.renews, offer.resource)
        if lent < offer.units or self._ledger.has_recent_shortage(offer.resource, now_s):
            return 0
        self._ledger.renew_lent(
            request.renews, request.loan_id, offer.resource, offer.units, reclaim_s
        )
        return offer.units


class Lending:
    """The lender and the borrower of one host on one ledger; does no I/O and reads no clock."""

    def __init__(
        self, host_id: str, position: Position, incarnation: int, address: str, ledger: Ledger
    ) -> None:
        self._ledger = ledger
        self.lender = Lender(position or host_id, incarnation, address, ledger)
        self.borrower = Borrower(host_id, incarnation, address, ledger)

    def set_peers(self, peers: Sequence[LenderCandidate]) -> None:
        """Replace the hosts from which units may be borrowed."""
        self.borrower.set_peers(peers)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages to send now; call every `TICK_INTERVAL_S` seconds."""
        self._ledger.expire(now_s)
        demands = self._ledger.pop_unmet_demand(now_s)
        lacking_units = self._ledger.units_over_share(now_s)
        for demand in demands:
            lacking_units[demand.resource] = lacking_units.get(demand.resource, 0) + demand.units
        self.lender.sweep(now_s)
        outgoing = self.lender.recall(lacking_units, now_s) if lacking_units else []
        self.borrower.record_demand(demands, now_s)
        return outgoing + self.borrower.tick(now_s)

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Return the replies to a loan message; other messages are ignored."""
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
    """Run `Lending` periodically and send its messages to peers."""

    def __init__(self, lending: Lending, sender: PeerSender, clock: Clock) -> None:
        self._lending = lending
        self._sender = sender
        self._clock = clock

    def receive(self, message: Message) -> None:
        """Handle one message from a peer and send the replies."""
        self._send(self._lending.handle(message, self._clock.now_s()))

    async def run(self) -> None:
        """Send due messages every `TICK_INTERVAL_S` seconds until cancelled."""
        while True:
            self._send(self._lending.tick(self._clock.now_s()))
            await anyio.sleep(TICK_INTERVAL_S)

    def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for item in outgoing:
            self._sender.send(item.address, item.message)
