"""Decide which members do what only one or a few of them should do, without asking each other."""

from collections.abc import Sequence
from hashlib import blake2b

from berylchute.types import MemberState, MemberStatus

__all__ = ["WATCHERS", "ColdSenders", "is_watcher"]

# Members that follow the store and tell the others. All four stand in the same of three regions
# once in 27 draws, so that one is nearly always left when a region is lost; each more costs calls.
WATCHERS = 4


def is_watcher(own: str, statuses: Sequence[MemberStatus]) -> bool:
    """Tell whether fewer than WATCHERS members that come before `own` follow the store.

    Members that lost the store do not count, so that the next in order take over.
    """
    rank = _weight("watch", own)
    before = (
        status
        for status in statuses
        if status.state is MemberState.LIVE
        and status.record.watching
        and status.record.host_id != own
        and _weight("watch", status.record.host_id) > rank
    )
    return sum(1 for _ in before) < WATCHERS


class ColdSenders:
    """Tell which member sends to a cold server; choices are kept until the live members change."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._statuses: Sequence[MemberStatus] = ()
        self._live: tuple[str, ...] = ()
        self._chosen: dict[str, bool] = {}

    def is_own(self, server_id: str, statuses: Sequence[MemberStatus]) -> bool:
        """Tell whether this member sends to a cold server."""
        if statuses is not self._statuses:
            self._statuses = statuses
            self._take_live(statuses)
        chosen = self._chosen.get(server_id)
        if chosen is None:
            winner = max(
                self._live, key=lambda host_id: _weight(server_id, host_id), default=self._own
            )
            chosen = self._chosen[server_id] = winner == self._own
        return chosen

    def _take_live(self, statuses: Sequence[MemberStatus]) -> None:
        live = tuple(
            status.record.host_id
            for status in statuses
            if status.state is MemberState.LIVE and not status.record.leaving
        )
        if live != self._live:
            self._live = live
            self._chosen.clear()


def _weight(key: str, host_id: str) -> bytes:
    return blake2b(f"{key}/{host_id}".encode(), digest_size=8).digest()
