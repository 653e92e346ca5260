"""Keep requests within the allotments of their organisations, with other members' help.

Load handled: callers that leave while they wait, and organisations that stay over their allotment
for long.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

import anyio

from berylchute.allotments.holder import AllotmentHolder, Verdict, Waiter
from berylchute.allotments.limits import ASK_WAIT_MAX_S, UNCERTAIN_RATIO, AllotmentLimit
from berylchute.allotments.metrics import AllotmentMetrics
from berylchute.allotments.owner import AllotmentOwner, Grant
from berylchute.allotments.shares import MemberShares
from berylchute.eventlog import EventLog
from berylchute.messages import AllotmentGrant, AllotmentRequest, MemberRecord
from berylchute.types import Clock, MemberStatus, PeerSender

__all__ = ["Allotments", "LimitedOrganisation"]

# Events `allotment` of one organisation, and of all together.
_EVENT_INTERVAL_S = 1.0
_EVENTS_PER_S_MAX = 10
# Processes with the same host id start at least a millisecond apart, and send fewer asks than this
# in each millisecond of their lives.
_REQUEST_IDS_PER_MS = 1000


class LimitedOrganisation(Protocol):
    """The part of an organisation's configuration that limits its requests."""

    @property
    def name(self) -> str:
        """Return the organisation's name."""
        ...

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second over all hosts, 0 without a limit."""
        ...

    @property
    def burst(self) -> float:
        """Return the requests in addition to the rate."""
        ...


class Allotments:
    """Ask the owners of organisations for tokens, and grant those of the owned ones."""

    def __init__(
        self,
        record: MemberRecord,
        shares: MemberShares,
        peers: PeerSender,
        clock: Clock,
        log: EventLog,
        metrics: AllotmentMetrics,
    ) -> None:
        """Create the parts; `record` is this process's own, of which only the identity is used."""
        self._host_id = record.host_id
        self._peer_address = record.peer_address
        self._incarnation = record.incarnation
        self._shares = shares
        self._peers = peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._owner = AllotmentOwner()
        self._holder = AllotmentHolder(record.incarnation * _REQUEST_IDS_PER_MS)
        metrics.counts = self._holder.counts
        self._limits: Mapping[str, AllotmentLimit] = {}
        self._members: Sequence[MemberStatus] = ()
        self._logged_at_s: dict[str, float] = {}
        self._denied: dict[str, int] = {}
        self._event_second = -math.inf
        self._event_count = 0

    def configure(self, organisations: Iterable[LimitedOrganisation]) -> None:
        """Replace the limits; they apply to the next use of each bucket and stock."""
        self._limits = {
            organisation.name: AllotmentLimit(organisation.rate_per_s, organisation.burst)
            for organisation in organisations
            if organisation.rate_per_s > 0.0
        }
        self._update_owned()

    def update_members(self, members: Sequence[MemberStatus]) -> None:
        """Take over the members, and drop the state of what is gone; call it periodically."""
        self._members = members
        self._update_owned()
        for name in self._holder.waiting_names():
            self._send_asks(name)

    def _update_owned(self) -> None:
        now_s = self._clock.now_s()
        if self._limits:
            self._shares.update(self._members)
        self._owner.update(
            {n: limit for n, limit in self._limits.items() if self._shares.is_owner(n)},
            part=self._shares.live_part,
            is_certain=self._shares.is_certain,
            now_s=now_s,
        )
        self._shares.retain(self._limits)
        self._holder.drop_idle(self._limits.__contains__, now_s)
        for name, at_s in list(self._logged_at_s.items()):
            if name not in self._limits or now_s - at_s > 10.0 * _EVENT_INTERVAL_S:
                del self._logged_at_s[name]
                self._denied.pop(name, None)
        for name in [name for name in self._denied if name not in self._limits]:
            del self._denied[name]

    async def acquire(self, organisation: LimitedOrganisation, deadline_s: float) -> Verdict:
        """Return whether a request may be sent; wait for the owner for a short time if needed.

        The token of a request that isn't sent must be returned with `give_back`. A cancelled call
        takes no token.
        """
        name = organisation.name
        limit = self._limits.get(name)
        if limit is None:
            return Verdict(is_allowed=True)
        now_s = self._clock.now_s()
        waiter = self._holder.add(name, limit, self._owner_key(name), self._own_part(), now_s)
        self._send_asks(name)
        if waiter.verdict is None:
            await self._wait(waiter, min(ASK_WAIT_MAX_S, deadline_s - now_s))
            self._metrics.record_wait(self._clock.now_s() - now_s)
        verdict = waiter.verdict
        assert verdict is not None
        if not verdict.is_allowed:
            self._log_denied(name, limit)
        return verdict

    def give_back(self, name: str, verdict: Verdict) -> None:
        """Return the token of a request that was refused for another reason before any send."""
        if name in self._limits and verdict.expires_at_s > 0.0:
            self._holder.give_back(name, verdict, self._clock.now_s())

    def handle(self, message: object) -> None:
        """Handle a request or grant of another member."""
        if isinstance(message, AllotmentRequest):
            self._answer(message)
        elif isinstance(message, AllotmentGrant):
            self._receive(
                message.organisation, message.request_id, message.granted, message.wait_ms / 1000.0
            )

    async def _wait(self, waiter: Waiter, wait_max_s: float) -> None:
        decided = anyio.Event()
        waiter.notify = decided.set
        try:
            with anyio.move_on_after(wait_max_s):
                await decided.wait()
        except BaseException:
            self._holder.cancel(waiter, self._clock.now_s())
            raise
        now_s = self._clock.now_s()
        verdict = waiter.verdict
        limit = self._limits.get(waiter.organisation)
        if verdict is None:
            if limit is None:
                self._holder.cancel(waiter, now_s)
                waiter.verdict = Verdict(is_allowed=True)
                return
            self._holder.expire_wait(waiter, limit, self._own_part(), now_s)
        elif verdict.is_allowed and 0.0 < verdict.expires_at_s <= now_s:
            # This process was paused after the grant, or its event loop stood still.
            waiter.verdict = Verdict(is_allowed=False, retry_after_s=ASK_WAIT_MAX_S)
            self._holder.record_late()

    def _owner_key(self, name: str) -> str:
        owner = self._shares.find_owner(name)
        return f"{owner.host_id}/{owner.incarnation}" if owner else ""

    def _own_part(self) -> float:
        return self._shares.own_part * (1.0 if self._shares.is_certain else UNCERTAIN_RATIO)

    def _send_asks(self, name: str) -> None:
        """Send the asks that are due to the owner, or answer them if it is this member."""
        limit = self._limits.get(name)
        owner = self._shares.find_owner(name) if limit else None
        if limit is None or owner is None:
            return
        key = self._owner_key(name)
        now_s = self._clock.now_s()
        ask = self._holder.next_ask(name, limit, key, now_s)
        if ask is None:
            return
        if owner.host_id != self._host_id:
            request = AllotmentRequest(
                organisation=name,
                count=ask.count,
                request_id=ask.request_id,
                sender=self._host_id,
                sender_address=self._peer_address,
                incarnation=self._incarnation,
            )
            self._peers.send(owner.peer_address, request)
            return
        grant = self._grant(name, ask.count, limit)
        if grant is not None:
            self._receive(name, ask.request_id, grant.granted, grant.wait_s)

    def _answer(self, request: AllotmentRequest) -> None:
        """Grant tokens to another member; without an answer, it uses its own share."""
        name = request.organisation
        now_s = self._clock.now_s()
        limit = self._limits.get(name)
        if limit is None or self._owner.is_repeated(
            name, request.sender, request.incarnation, request.request_id, now_s
        ):
            return
        grant = self._grant(name, request.count, limit)
        if grant is None:
            return
        answer = AllotmentGrant(
            name, request.request_id, grant.granted, math.ceil(grant.wait_s * 1000.0)
        )
        self._peers.send(request.sender_address, answer)

    def _grant(self, name: str, count: int, limit: AllotmentLimit) -> Grant | None:
        return self._owner.grant(
            name,
            count,
            limit,
            part=self._shares.live_part,
            is_certain=self._shares.is_certain,
            now_s=self._clock.now_s(),
        )

    def _receive(self, name: str, request_id: int, granted: int, wait_s: float) -> None:
        limit = self._limits.get(name)
        if limit is None:
            return
        self._holder.receive(
            name,
            request_id,
            granted,
            wait_s,
            limit=limit,
            own_part=self._own_part(),
            now_s=self._clock.now_s(),
        )
        if self._holder.has_waiting(name):
            self._send_asks(name)

    def _log_denied(self, name: str, limit: AllotmentLimit) -> None:
        """Log that an organisation is over its allotment, with the requests refused since then."""
        now_s = self._clock.now_s()
        self._denied[name] = self._denied.get(name, 0) + 1
        if now_s - self._logged_at_s.get(name, -math.inf) < _EVENT_INTERVAL_S:
            return
        if now_s - self._event_second >= 1.0:
            self._event_second, self._event_count = now_s, 0
        if self._event_count >= _EVENTS_PER_S_MAX:
            return
        self._event_count += 1
        self._logged_at_s[name] = now_s
        owner = self._shares.find_owner(name)
        self._log.event(
            "allotment",
            organisation=name,
            denied=self._denied.pop(name),
            rate_per_s=limit.rate_per_s,
            owner=owner.host_id if owner else None,
        )
