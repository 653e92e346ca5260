"""Pace bytes on links so that no window of one second exceeds this host's share."""

from collections import deque
from collections.abc import Mapping

import anyio
import attrs

from berylchute.shares import LINK_UNIT_BYTES_PER_S
from berylchute.types import CapacityLedger, Clock, ResourceId, ResourceUnits

__all__ = ["LinkBudgetQueue", "LinkPacer"]

# The rate limit of a link applies to every window of this length.
WINDOW_S = 1.0
# Bytes of an acquired unit may be sent for this long; the unit is held until they have left the
# window. A shorter time wastes less of the share, a longer one wastes fewer partly used units.
CREDIT_S = 0.05
# Interval at which a waiting transfer checks for free units.
POLL_S = 0.01
# Long kinds must leave this part of the share free, so that short kinds don't queue behind them.
SHORT_RESERVE_RATIO = 0.2


@attrs.define
class _Credit:
    """Bytes that may still be sent until `ends_s` with units already held."""

    bytes_left: int = 0
    ends_s: float = float("-inf")


class LinkPacer:
    """Hold one ledger unit of a link per 1,000,000 bytes until one window after they are sent.

    The ledger is shared with lending. A unit is lent only after its bytes have left the window
    here, so the sum over hosts stays within the link's rate in every window.
    """

    def __init__(self, ledger: CapacityLedger, shares: Mapping[ResourceId, int]) -> None:
        """Set the ledger and the base share of each link in units, which sets the reserve."""
        self._ledger = ledger
        self._shares = dict(shares)
        self._credits: dict[ResourceId, _Credit] = {}

    def set_shares(self, shares: Mapping[ResourceId, int]) -> None:
        """Replace the base share of each link, in units."""
        self._shares = dict(shares)

    def try_acquire(self, link: ResourceId, size_bytes: int, is_long: bool, now_s: float) -> bool:
        """Acquire the budget for `size_bytes`; otherwise record the demand and return False."""
        credit = self._credits.setdefault(link, _Credit())
        if now_s >= credit.ends_s:
            credit.bytes_left = 0
        if size_bytes <= credit.bytes_left:
            credit.bytes_left -= size_bytes
            return True
        units = -(-(size_bytes - credit.bytes_left) // LINK_UNIT_BYTES_PER_S)
        until_s = now_s + CREDIT_S + WINDOW_S
        wanted = (ResourceUnits(link, units),)
        if is_long and self._free_units(link, now_s) < units + self._reserved_units(link):
            self._ledger.record_demand(wanted, until_s, now_s)
            return False
        if self._ledger.try_acquire(wanted, until_s, now_s) is None:
            self._ledger.record_demand(wanted, until_s, now_s)
            return False
        # Bytes left of an older credit would expire earlier than the new units, so the credit is
        # limited to the new units.
        bytes_left = credit.bytes_left + units * LINK_UNIT_BYTES_PER_S - size_bytes
        credit.bytes_left = min(bytes_left, units * LINK_UNIT_BYTES_PER_S)
        credit.ends_s = now_s + CREDIT_S
        return True

    def wait_s(self, link: ResourceId, size_bytes: int, now_s: float) -> float:
        """Return the expected seconds until `size_bytes` may be sent."""
        credit = self._credits.get(link)
        if credit is not None and now_s < credit.ends_s:
            size_bytes -= credit.bytes_left
        units = -(-size_bytes // LINK_UNIT_BYTES_PER_S)
        missing_units = units - self._free_units(link, now_s)
        if units <= 0 or missing_units <= 0:
            return 0.0
        return (WINDOW_S + CREDIT_S) * missing_units / max(1, self._shares.get(link, 0))

    def _free_units(self, link: ResourceId, now_s: float) -> int:
        return self._ledger.free_units(link, now_s + CREDIT_S + WINDOW_S, now_s)

    def _reserved_units(self, link: ResourceId) -> int:
        share = self._shares.get(link, 0)
        return max(1, int(share * SHORT_RESERVE_RATIO)) if share else 0


class LinkBudgetQueue:
    """Queue transfers for a `LinkPacer`, first in first out per link and size class."""

    def __init__(self, pacer: LinkPacer, clock: Clock) -> None:
        self._pacer = pacer
        self._clock = clock
        self._queues: dict[tuple[ResourceId, bool], deque[object]] = {}

    async def acquire(self, link: ResourceId, size_bytes: int, is_long: bool) -> float:
        """Wait until `size_bytes` may be sent; return the seconds waited.

        `size_bytes` should be at most a few hundred kilobytes. Cancel the call to stop waiting.
        """
        started_s = self._clock.now_s()
        queue = self._queues.setdefault((link, is_long), deque())
        if not queue and self._pacer.try_acquire(link, size_bytes, is_long, started_s):
            return 0.0
        ticket = object()
        queue.append(ticket)
        try:
            while queue[0] is not ticket or not self._pacer.try_acquire(
                link, size_bytes, is_long, self._clock.now_s()
            ):
                await anyio.sleep(POLL_S)
        finally:
            queue.remove(ticket)
        return self._clock.now_s() - started_s
