"""Select the members for tasks that only one or a few should do, by rendezvous hashing.

Each member decides for itself from the member list, without messages between members.
"""

from collections.abc import Sequence
from hashlib import blake2b

from berylchute.types import MemberState, MemberStatus

__all__ = ["WATCHER_COUNT", "ColdSenderSelector", "should_watch_store"]

# Members that watch the store and publish its changes to the others. With three regions, all four
# are in the same one once in 27 draws, so one nearly always survives the loss of a region; each
# further one costs calls to the store.
WATCHER_COUNT = 4


def should_watch_store(own_host_id: str, members: Sequence[MemberStatus]) -> bool:
    """Return whether fewer than WATCHER_COUNT members of higher weight watch the store.

    Members that can't reach the store don't count, so that the next in order take over.
    """
    own_weight = _rendezvous_weight("watch", own_host_id)
    preferred_watchers = (
        status
        for status in members
        if status.state is MemberState.LIVE
        and status.record.watching
        and status.record.host_id != own_host_id
        and _rendezvous_weight("watch", status.record.host_id) > own_weight
    )
    return sum(1 for _ in preferred_watchers) < WATCHER_COUNT


class ColdSenderSelector:
    """Select the one member that sends to a cold server.

    Selections are cached until the live members change.
    """

    def __init__(self, own_host_id: str) -> None:
        self._own_host_id = own_host_id
        self._members: Sequence[MemberStatus] = ()
        self._live: tuple[str, ...] = ()
        self._is_sender: dict[str, bool] = {}

    def is_cold_sender(self, server_id: str, members: Sequence[MemberStatus]) -> bool:
        """Return whether this member is the sender for a cold server."""
        if members is not self._members:
            self._members = members
            self._update_live_members(members)
        is_sender = self._is_sender.get(server_id)
        if is_sender is None:
            winner = max(
                self._live,
                key=lambda host_id: _rendezvous_weight(server_id, host_id),
                default=self._own_host_id,
            )
            is_sender = self._is_sender[server_id] = winner == self._own_host_id
        return is_sender

    def _update_live_members(self, members: Sequence[MemberStatus]) -> None:
        live = tuple(
            status.record.host_id
            for status in members
            if status.state is MemberState.LIVE and not status.record.leaving
        )
        if live != self._live:
            self._live = live
            self._is_sender.clear()


def _rendezvous_weight(key: str, host_id: str) -> bytes:
    return blake2b(f"{key}/{host_id}".encode(), digest_size=8).digest()
