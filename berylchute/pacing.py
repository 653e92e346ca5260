"""Pace bytes on links so that no second carries more than this host's share."""

from collections import deque
from collections.abc import Mapping

import anyio
import attrs

from berylchute.shares import LINK_UNIT_BYTES_PER_S
from berylchute.types import CapacityLedger, Clock, ResourceId, ResourceUnits

__all__ = ["LinkPacer", "LinkWaiter"]

# The caps hold in every window of this length.
WINDOW_S = 1.0
# Bytes of one unit may be sent for this long; the unit is held until they left the window.
# Shorter spans waste less of the share, longer ones waste fewer part-used units.
CREDIT_S = 0.05
# How often a waiting transfer asks for free units.
POLL_S = 0.01
# Long kinds never take the last part of the share, so that short work never queues behind them.
SHORT_RESERVE = 0.2


@attrs.define
class _Credit:
    """Bytes that may still be sent until `ends_s` under units already held."""

    bytes_left: int = 0
    ends_s: float = float("-inf")


class LinkPacer:
    """Hold one ledger unit of a link per 1,000,000 bytes, from before to a window after use.

    The ledger is shared with lending. A unit is lent only when its bytes have left the window
    here, and so the sum over hosts stays within the link's rate in every window.
    """

    def __init__(self, ledger: CapacityLedger, shares: Mapping[ResourceId, int]) -> None:
        """Set the ledger and the base share of links, from which the reserve derives."""
        self._ledger = ledger
        self._shares = dict(shares)
        self._credits: dict[ResourceId, _Credit] = {}

    def set_shares(self, shares: Mapping[ResourceId, int]) -> None:
        """Replace the base share of links."""
        self._shares = dict(shares)

    def try_send(self, link: ResourceId, size_bytes: int, is_long: bool, now_s: float) -> bool:
        """Take the budget for `size_bytes` now, or note the demand."""
        credit = self._credits.setdefault(link, _Credit())
        if now_s >= credit.ends_s:
            credit.bytes_left = 0
        if size_bytes <= credit.bytes_left:
            credit.bytes_left -= size_bytes
            return True
        units = -(-(size_bytes - credit.bytes_left) // LINK_UNIT_BYTES_PER_S)
        until_s = now_s + CREDIT_S + WINDOW_S
        wanted = (ResourceUnits(link, units),)
        if is_long and self._free(link, now_s) < units + self._reserve(link):
            self._ledger.note_demand(wanted, until_s, now_s)
            return False
        if self._ledger.try_acquire(wanted, until_s, now_s) is None:
            self._ledger.note_demand(wanted, until_s, now_s)
            return False
        # The rest of an older credit ends earlier than the new units; only that much is kept.
        left = credit.bytes_left + units * LINK_UNIT_BYTES_PER_S - size_bytes
        credit.bytes_left = min(left, units * LINK_UNIT_BYTES_PER_S)
        credit.ends_s = now_s + CREDIT_S
        return True

    def wait_s(self, link: ResourceId, size_bytes: int, now_s: float) -> float:
        """Return the expected seconds until `size_bytes` may pass."""
        credit = self._credits.get(link)
        if credit is not None and now_s < credit.ends_s:
            size_bytes -= credit.bytes_left
        units = -(-size_bytes // LINK_UNIT_BYTES_PER_S)
        lacking = units - self._free(link, now_s)
        if units <= 0 or lacking <= 0:
            return 0.0
        return (WINDOW_S + CREDIT_S) * lacking / max(1, self._shares.get(link, 0))

    def _free(self, link: ResourceId, now_s: float) -> int:
        return self._ledger.free_units(link, now_s + CREDIT_S + WINDOW_S, now_s)

    def _reserve(self, link: ResourceId) -> int:
        share = self._shares.get(link, 0)
        return max(1, int(share * SHORT_RESERVE)) if share else 0


class LinkWaiter:
    """Let transfers wait for a `LinkPacer`, first come first served per link and size class."""

    def __init__(self, pacer: LinkPacer, clock: Clock) -> None:
        self._pacer = pacer
        self._clock = clock
        self._queues: dict[tuple[ResourceId, bool], deque[object]] = {}

    async def send(self, link: ResourceId, size_bytes: int, is_long: bool) -> float:
        """Wait until `size_bytes` may pass; return the seconds waited.

        Parts should be a few hundred kilobytes at most. Raise nothing; cancel to give up.
        """
        started_s = self._clock.now_s()
        queue = self._queues.setdefault((link, is_long), deque())
        if not queue and self._pacer.try_send(link, size_bytes, is_long, started_s):
            return 0.0
        ticket = object()
        queue.append(ticket)
        try:
            while queue[0] is not ticket or not self._pacer.try_send(
                link, size_bytes, is_long, self._clock.now_s()
            ):
                await anyio.sleep(POLL_S)
        finally:
            queue.remove(ticket)
        return self._clock.now_s() - started_s
