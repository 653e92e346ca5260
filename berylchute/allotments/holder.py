"""Take tokens of organisations for this host's requests, and decide when to ask the owners.

Load handled: many requests of one organisation at the same time, owners that don't answer, and
grants that arrive late, twice or never.
"""

import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from berylchute.allotments.demand import SteadyDemand
from berylchute.allotments.limits import (
    ASK_AGAIN_S,
    ASK_WAIT_MAX_S,
    DENIAL_MAX_S,
    RETRY_AFTER_MAX_S,
    STOCK_LIFE_S,
    AllotmentLimit,
    fallback_ratio,
)
from berylchute.tokenbucket import TokenBucket

__all__ = ["AllotmentCounts", "AllotmentHolder", "Ask", "Verdict", "Waiter"]

# Requests to an owner that may be under way at the same time for one organisation. At 80 requests a
# second, four cover a round trip of 50 ms.
_IN_FLIGHT_MAX = 4
# The state of an organisation without requests is dropped after this time.
_IDLE_KEPT_S = 10.0
# Timers may fire a little early.
_TIMER_MARGIN_S = 0.002


@attrs.define
class AllotmentCounts:
    """Counts since the start: tokens used, requests refused, tokens expired unused.

    `granted` counts tokens of owners that were used, `fell_back` those of this host's own share.
    """

    granted: int = 0
    denied: int = 0
    fell_back: int = 0
    expired: int = 0


@attrs.frozen
class Verdict:
    """Whether a request may be sent, with a token until `expires_at_s`, or when to return."""

    is_allowed: bool
    expires_at_s: float = 0.0
    retry_after_s: float = 0.0


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a token; `notify` is called when its verdict is known."""

    organisation: str
    verdict: Verdict | None = None
    ask_id: int | None = None
    notify: Callable[[], None] | None = None


@attrs.frozen
class Ask:
    """A request for tokens to send to the owner."""

    request_id: int
    count: int


@attrs.define
class _SentAsk:
    """An ask without an answer; it is `closed` when it counts as lost or its owner is replaced."""

    count: int
    asked_at_s: float
    is_closed: bool = False


@attrs.define
class _Lot:
    expires_at_s: float
    count: int


@attrs.define
class _Holding:
    """What this host knows about one organisation.

    `unanswered_since_s` is the time of the first ask that the owner did not answer, None if it
    answers; `fallback` is the bucket of the own share that is used meanwhile.
    """

    owner_key: str
    used_at_s: float
    demand: SteadyDemand = attrs.Factory(SteadyDemand)
    lots: list[_Lot] = attrs.Factory(list)
    waiting: deque[Waiter] = attrs.Factory(deque)
    asks: dict[int, _SentAsk] = attrs.Factory(dict)
    denied_until_s: float = 0.0
    unanswered_since_s: float | None = None
    ask_again_at_s: float = 0.0
    fallback: TokenBucket | None = None
    next_return_s: float = 0.0

    @property
    def stock(self) -> int:
        return sum(lot.count for lot in self.lots)


class AllotmentHolder:
    """The tokens, waiting requests and unanswered asks of this host, by organisation.

    `first_request_id` must be higher than all ids of former processes with the same host id.
    `own_part` in the methods is this host's part (0 to 1) of a rate without the owner.
    """

    def __init__(self, first_request_id: int = 1) -> None:
        self._holdings: dict[str, _Holding] = {}
        self._ids: Iterator[int] = itertools.count(first_request_id)
        self.counts = AllotmentCounts()

    @property
    def organisation_count(self) -> int:
        """Return the number of organisations with state."""
        return len(self._holdings)

    def waiting_names(self) -> list[str]:
        """Return the organisations with waiting requests."""
        return [name for name, holding in self._holdings.items() if holding.waiting]

    def has_waiting(self, name: str) -> bool:
        """Return whether requests of an organisation are waiting."""
        holding = self._holdings.get(name)
        return holding is not None and bool(holding.waiting)

    def add(
        self, name: str, limit: AllotmentLimit, owner_key: str, own_part: float, now_s: float
    ) -> Waiter:
        """Add a request; its verdict is None while it has to wait for the owner.

        `owner_key` identifies the process that owns the organisation, empty if there is none. Send
        the asks of `next_ask` afterwards.
        """
        holding = self._update(name, limit, owner_key, now_s)
        holding.demand.record(now_s)
        waiter = Waiter(name)
        if not owner_key and holding.unanswered_since_s is None:
            holding.unanswered_since_s = now_s
        if self._take(holding, waiter):
            return waiter
        if now_s < holding.denied_until_s:
            self._deny(holding, waiter, limit, own_part, now_s)
        elif not owner_key or now_s < holding.ask_again_at_s:
            self._fall_back(holding, waiter, limit, own_part, now_s)
        else:
            holding.waiting.append(waiter)
        return waiter

    def next_ask(
        self, name: str, limit: AllotmentLimit, owner_key: str, now_s: float
    ) -> Ask | None:
        """Return the next request to send to the owner, None if none is due."""
        holding = self._holdings.get(name)
        if holding is None or not owner_key:
            return None
        self._update(name, limit, owner_key, now_s)
        if now_s < holding.ask_again_at_s or now_s < holding.denied_until_s:
            return None
        in_flight = sum(not ask.is_closed for ask in holding.asks.values())
        uncovered = [waiter for waiter in holding.waiting if waiter.ask_id is None]
        spare = 0
        if not in_flight:
            target = holding.demand.prefetch_count(now_s)
            stock = holding.stock
            spare = target - stock if uncovered or stock <= target // 2 else 0
        count = len(uncovered) + max(0, spare)
        if not count or in_flight >= _IN_FLIGHT_MAX:
            return None
        ask = Ask(next(self._ids), count)
        holding.asks[ask.request_id] = _SentAsk(count, now_s)
        for waiter in uncovered:
            waiter.ask_id = ask.request_id
        return ask

    def receive(
        self,
        name: str,
        request_id: int,
        granted: int,
        wait_s: float,
        *,
        limit: AllotmentLimit,
        own_part: float,
        now_s: float,
    ) -> None:
        """Apply the owner's answer to an ask; repeated and unknown ones have no effect."""
        holding = self._holdings.get(name)
        ask = holding.asks.pop(request_id, None) if holding else None
        if holding is None or ask is None:
            return
        holding.unanswered_since_s = holding.fallback = None
        holding.ask_again_at_s = 0.0
        granted = min(granted, ask.count)
        if granted > 0:
            holding.lots.append(_Lot(ask.asked_at_s + STOCK_LIFE_S, granted))
            holding.lots.sort(key=lambda lot: lot.expires_at_s)
        self._expire(holding, limit, now_s)
        self._serve_waiting(holding)
        if granted < ask.count:
            holding.denied_until_s = now_s + min(DENIAL_MAX_S, max(0.0, wait_s))
            # Asks that are still under way may bring tokens for the requests that they cover.
            covered = [w for w in holding.waiting if w.ask_id is None or w.ask_id <= request_id]
            for waiter in covered:
                holding.waiting.remove(waiter)
                self._deny(holding, waiter, limit, own_part, now_s)

    def expire_wait(
        self, waiter: Waiter, limit: AllotmentLimit, own_part: float, now_s: float
    ) -> None:
        """Decide a request that has waited for ASK_WAIT_MAX_S, by this host's own share."""
        holding = self._holdings.get(waiter.organisation)
        if waiter.verdict is not None or holding is None:
            return
        holding.waiting.remove(waiter)
        self._close_unanswered(holding, now_s)
        self._expire(holding, limit, now_s)
        if self._take(holding, waiter):
            return
        if holding.unanswered_since_s is None:
            self._deny(holding, waiter, limit, own_part, now_s)
        else:
            self._fall_back(holding, waiter, limit, own_part, now_s)

    def cancel(self, waiter: Waiter, now_s: float) -> None:
        """Remove a request whose caller has left; its token, if any, returns to the stock."""
        if waiter.verdict is not None:
            self.give_back(waiter.organisation, waiter.verdict, now_s)
            return
        holding = self._holdings.get(waiter.organisation)
        if holding is not None and waiter in holding.waiting:
            holding.waiting.remove(waiter)

    def give_back(self, name: str, verdict: Verdict, now_s: float) -> None:
        """Return the token of a request that was not sent; it keeps its expiry."""
        holding = self._holdings.get(name)
        if holding is None or not verdict.is_allowed:
            return
        if verdict.expires_at_s <= now_s:
            self.counts.expired += 1
            return
        holding.lots.append(_Lot(verdict.expires_at_s, 1))
        holding.lots.sort(key=lambda lot: lot.expires_at_s)
        self._serve_waiting(holding)

    def record_late(self) -> None:
        """Count the token of a request that was resumed after the token's expiry as expired."""
        self.counts.granted -= 1
        self.counts.expired += 1
        self.counts.denied += 1

    def drop_idle(self, is_limited: Callable[[str], bool], now_s: float) -> None:
        """Drop the state of organisations that are gone or have had no requests for a while.

        Requests that wait for an organisation without a limit are allowed.
        """
        for name, holding in list(self._holdings.items()):
            is_used = holding.waiting or now_s - holding.used_at_s < _IDLE_KEPT_S
            if is_limited(name) and is_used:
                continue
            while holding.waiting:
                self._decide(holding.waiting.popleft(), Verdict(is_allowed=True))
            self.counts.expired += holding.stock
            del self._holdings[name]

    def _update(self, name: str, limit: AllotmentLimit, owner_key: str, now_s: float) -> _Holding:
        holding = self._holdings.get(name)
        if holding is None:
            holding = self._holdings[name] = _Holding(owner_key, now_s)
        holding.used_at_s = now_s
        if holding.owner_key != owner_key:
            holding.owner_key = owner_key
            holding.denied_until_s = holding.ask_again_at_s = 0.0
            holding.unanswered_since_s = holding.fallback = None
            for ask in holding.asks.values():
                ask.is_closed = True
            for waiter in holding.waiting:
                waiter.ask_id = None
        self._close_unanswered(holding, now_s)
        self._expire(holding, limit, now_s)
        return holding

    def _close_unanswered(self, holding: _Holding, now_s: float) -> None:
        """Close the asks that the owner did not answer in time; drop those whose grant is void."""
        for request_id, ask in list(holding.asks.items()):
            age_s = now_s - ask.asked_at_s
            if not ask.is_closed and age_s >= ASK_WAIT_MAX_S - _TIMER_MARGIN_S:
                ask.is_closed = True
                if holding.unanswered_since_s is None:
                    holding.unanswered_since_s = ask.asked_at_s
                holding.ask_again_at_s = ask.asked_at_s + ASK_WAIT_MAX_S + ASK_AGAIN_S
            if age_s >= STOCK_LIFE_S:
                del holding.asks[request_id]

    def _expire(self, holding: _Holding, limit: AllotmentLimit, now_s: float) -> None:
        """Drop expired tokens, and those above the depth of the limit."""
        while holding.lots and holding.lots[0].expires_at_s <= now_s:
            self.counts.expired += holding.lots.pop(0).count
        surplus = holding.stock - int(limit.depth)
        while surplus > 0:
            lot = holding.lots[0]
            dropped = min(surplus, lot.count)
            lot.count -= dropped
            surplus -= dropped
            self.counts.expired += dropped
            if not lot.count:
                holding.lots.pop(0)

    def _take(self, holding: _Holding, waiter: Waiter) -> bool:
        if not holding.lots:
            return False
        lot = holding.lots[0]
        lot.count -= 1
        if not lot.count:
            holding.lots.pop(0)
        self.counts.granted += 1
        self._decide(waiter, Verdict(is_allowed=True, expires_at_s=lot.expires_at_s))
        return True

    def _serve_waiting(self, holding: _Holding) -> None:
        while holding.waiting and self._take(holding, holding.waiting[0]):
            holding.waiting.popleft()

    def _fall_back(
        self,
        holding: _Holding,
        waiter: Waiter,
        limit: AllotmentLimit,
        own_part: float,
        now_s: float,
    ) -> None:
        since_s = now_s if holding.unanswered_since_s is None else holding.unanswered_since_s
        if holding.fallback is None:
            holding.fallback = TokenBucket(since_s)
        rate_per_s = limit.rate_per_s * own_part * fallback_ratio(limit.rate_per_s)
        holding.fallback.refill(rate_per_s, 1.0, now_s)
        if not holding.fallback.has_token():
            self._deny(holding, waiter, limit, own_part, now_s)
            return
        holding.fallback.take()
        self.counts.fell_back += 1
        self._decide(waiter, Verdict(is_allowed=True, expires_at_s=now_s + STOCK_LIFE_S))

    def _deny(
        self,
        holding: _Holding,
        waiter: Waiter,
        limit: AllotmentLimit,
        own_part: float,
        now_s: float,
    ) -> None:
        """Refuse a request; the first may return with the next token, more at this host's rate."""
        self.counts.denied += 1
        if holding.next_return_s <= now_s:
            return_s = max(holding.denied_until_s, now_s + 1.0 / limit.rate_per_s)
        else:
            return_s = holding.next_return_s + 1.0 / max(1e-6, limit.rate_per_s * own_part)
        holding.next_return_s = min(return_s, now_s + RETRY_AFTER_MAX_S)
        retry_after_s = min(return_s - now_s, RETRY_AFTER_MAX_S)
        self._decide(waiter, Verdict(is_allowed=False, retry_after_s=retry_after_s))

    def _decide(self, waiter: Waiter, verdict: Verdict) -> None:
        waiter.verdict = verdict
        if waiter.notify is not None:
            waiter.notify()
