"""Grant the tokens of the organisations that this member owns.

Load handled: hosts that together ask for several times an organisation's rate; requests that are
repeated, and owners that change or were paused.
"""

import math
from collections import deque
from collections.abc import Mapping

import attrs

from berylchute.allotments.limits import (
    DENIAL_MIN_S,
    PREFETCH_S,
    UNCERTAIN_RATIO,
    AllotmentLimit,
)
from berylchute.tokenbucket import TokenBucket

__all__ = ["AllotmentOwner", "Grant"]

# A new owner grants half of its rate for this time: its predecessor may not know yet that it was
# replaced. Changes of members take three rounds of gossip of 0.5 s to reach all of six zones.
TAKEOVER_S = 1.5
# Without an update of the members for this time, this process was paused or its event loop stood
# still, so others may have replaced it. Updates follow each other in 0.25 s, and members that are
# silent for 1.6 s are suspect.
PAUSE_MIN_S = 1.0
# Unused tokens at hosts that are left out of account, so that the burst of a low rate isn't lost:
# a window has a tolerance of 20 requests.
_UNUSED_IGNORED = 3
# Ids of a sender's requests are kept for this time to recognize repeated ones.
_SENDER_KEPT_S = 10.0
# More than a sender has under way at the same time.
_REQUEST_IDS_KEPT = 16
# Senders kept for an organisation, four times as many as the largest fleet has members. Senders
# aren't checked against the members, since a new one may ask before it is known.
SENDERS_MAX = 4096
# Bounds the wait for a token of a tiny rate to a number that fits into a message.
_RATE_MIN_PER_S = 1e-6


@attrs.frozen
class Grant:
    """Granted tokens and, if they are fewer than requested, the time until the next one."""

    granted: int
    wait_s: float = 0.0


@attrs.define
class _Sender:
    """The last requests of one process, which may arrive out of order."""

    incarnation: int
    asked_at_s: float
    request_ids: deque[int] = attrs.Factory(lambda: deque(maxlen=_REQUEST_IDS_KEPT))


@attrs.define
class _OwnedAllotment:
    """The bucket of one organisation; recent grants are counted in slots of PREFETCH_S."""

    owned_since_s: float
    bucket: TokenBucket
    slot: int = 0
    slot_granted: int = 0
    last_slot_granted: int = 0
    senders: dict[str, _Sender] = attrs.Factory(dict)

    def recently_granted(self, now_s: float) -> int:
        """Return the tokens granted in this slot and the one before."""
        slot = math.floor(now_s / PREFETCH_S)
        if slot != self.slot:
            self.last_slot_granted = self.slot_granted if slot == self.slot + 1 else 0
            self.slot, self.slot_granted = slot, 0
        return self.slot_granted + self.last_slot_granted


class AllotmentOwner:
    """The buckets of the organisations that this member owns; they start empty."""

    def __init__(self) -> None:
        self._owned: dict[str, _OwnedAllotment] = {}
        self._updated_at_s = -math.inf

    @property
    def owned_count(self) -> int:
        """Return the number of owned organisations."""
        return len(self._owned)

    def update(
        self,
        limits: Mapping[str, AllotmentLimit],
        *,
        part: float,
        is_certain: bool,
        now_s: float,
    ) -> None:
        """Set the limits of the organisations that this member owns; call it periodically.

        `part` is the part of the rates that this member may grant, the weight of the live members.
        Buckets are filled here also, so that a part holds only for the time since the last call.
        """
        self._drop_after_pause(now_s)
        self._updated_at_s = now_s
        for name in [name for name in self._owned if name not in limits]:
            del self._owned[name]
        for name, limit in limits.items():
            allotment = self._owned.get(name)
            if allotment is None:
                self._owned[name] = _OwnedAllotment(now_s, TokenBucket(now_s))
                continue
            _refill(allotment, limit, part, is_certain, now_s)
            for sender, seen in list(allotment.senders.items()):
                if now_s - seen.asked_at_s > _SENDER_KEPT_S:
                    del allotment.senders[sender]

    def grant(
        self,
        name: str,
        count: int,
        limit: AllotmentLimit,
        *,
        part: float,
        is_certain: bool,
        now_s: float,
    ) -> Grant | None:
        """Return how many of `count` tokens are granted; None if this member isn't the owner."""
        self._drop_after_pause(now_s)
        allotment = self._owned.get(name)
        if allotment is None or part <= 0.0:
            return None
        rate_per_s = _refill(allotment, limit, part, is_certain, now_s)
        granted = max(0, min(count, math.floor(allotment.bucket.tokens)))
        allotment.bucket.tokens -= granted
        allotment.slot_granted += granted
        if granted == count:
            return Grant(granted)
        missing = 1.0 - allotment.bucket.tokens
        return Grant(granted, max(DENIAL_MIN_S, missing / max(_RATE_MIN_PER_S, rate_per_s)))

    def is_repeated(
        self, name: str, sender: str, incarnation: int, request_id: int, now_s: float
    ) -> bool:
        """Record a sender's request; return whether it was received before."""
        allotment = self._owned.get(name)
        if allotment is None:
            return False
        seen = allotment.senders.get(sender)
        if seen is None and len(allotment.senders) >= SENDERS_MAX:
            del allotment.senders[next(iter(allotment.senders))]
        if seen is None or seen.incarnation < incarnation:
            seen = allotment.senders[sender] = _Sender(incarnation, now_s)
        if incarnation < seen.incarnation or request_id in seen.request_ids:
            return True
        seen.asked_at_s = now_s
        seen.request_ids.append(request_id)
        return False

    def _drop_after_pause(self, now_s: float) -> None:
        if now_s - self._updated_at_s > PAUSE_MIN_S:
            self._owned = {name: _OwnedAllotment(now_s, TokenBucket(now_s)) for name in self._owned}
            self._updated_at_s = now_s


def _refill(
    allotment: _OwnedAllotment,
    limit: AllotmentLimit,
    part: float,
    is_certain: bool,
    now_s: float,
) -> float:
    """Fill a bucket by the part of the limit that may be granted now; return that rate."""
    if not is_certain or now_s - allotment.owned_since_s < TAKEOVER_S:
        part *= UNCERTAIN_RATIO
    rate_per_s = limit.rate_per_s * part
    # Tokens granted a moment ago may still be unused at their hosts: they are a part of the burst,
    # so that a window never holds them beside a whole one.
    unused = max(0, allotment.recently_granted(now_s) - _UNUSED_IGNORED)
    depth = max(1.0, part * limit.depth_min, part * limit.depth - unused)
    allotment.bucket.refill(rate_per_s, depth, now_s)
    return rate_per_s
