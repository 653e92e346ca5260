"""Select the members for tasks that only one or a few should do, by rendezvous hashing.

Each member decides for itself from the member list, without messages between members.
"""

from collections.abc import Sequence
from hashlib import blake2b

from berylchute.discovery import MemberDiscovery
from berylchute.storecontact import StoreContact
from berylchute.types import Clock, MemberState, MemberStatus, MemberView

__all__ = [
    "FIRST_START_S",
    "WATCHER_COUNT",
    "ColdSenderSelector",
    "StoreWatchSelector",
    "should_watch_store",
]

# Members that watch the store and publish its changes to the others. With three regions, all four
# are in the same one once in 27 draws, so one nearly always survives the loss of a region; each
# further one costs calls to the store.
WATCHER_COUNT = 4
# Time of a first start in which the members that are to watch the store begin to.
FIRST_START_S = 5.0


def should_watch_store(
    own_host_id: str, members: Sequence[MemberStatus], *, is_first_start: bool = False
) -> bool:
    """Return whether fewer than WATCHER_COUNT members of higher weight watch the store.

    Members that can't reach the store don't count, so that the next in order take over. While all
    hosts start for the first time (`is_first_start`), those that don't watch yet count as well.
    """
    own_weight = _rendezvous_weight("watch", own_host_id)
    preferred_watchers = (
        status
        for status in members
        if status.state is MemberState.LIVE
        and (status.record.watching or is_first_start)
        and status.record.host_id != own_host_id
        and _rendezvous_weight("watch", status.record.host_id) > own_weight
    )
    return sum(1 for _ in preferred_watchers) < WATCHER_COUNT


class StoreWatchSelector:
    """Select the members that watch the store, all of them while none hears of its answers."""

    def __init__(
        self,
        own_host_id: str,
        contact: StoreContact,
        members: MemberView,
        clock: Clock,
        *,
        is_first_start: bool,
    ) -> None:
        self._own_host_id = own_host_id
        self._contact = contact
        self._members = members
        self._clock = clock
        self._first_start_until_s = clock.now_s() + FIRST_START_S if is_first_start else 0.0

    def should_watch(self) -> bool:
        """Return whether this member should watch the store."""
        return self._contact.is_lost or should_watch_store(
            self._own_host_id,
            self._members.list_members(),
            is_first_start=self._clock.now_s() < self._first_start_until_s,
        )


class ColdSenderSelector:
    """Select the one member that sends to a cold server, among those of the server's region.

    Members of other regions don't take over: they may only be cut off from that region, even if
    they have not heard of its members. A process that does not know the other members sends
    nothing. Selections are cached until the candidates change.
    """

    def __init__(self, own_host_id: str, discovery: MemberDiscovery) -> None:
        self._own_host_id = own_host_id
        self._discovery = discovery
        self._members: Sequence[MemberStatus] = ()
        self._candidates: Sequence[tuple[str, str]] = ()
        self._regions: frozenset[str] = frozenset()
        self._is_sender: dict[str, bool] = {}

    def is_cold_sender(self, server_id: str, region: str, members: Sequence[MemberStatus]) -> bool:
        """Return whether this member is the sender for a cold server of a region."""
        if not self._discovery.is_complete():
            return False
        if members is not self._members:
            self._members = members
            self._update_candidates(members)
        is_sender = self._is_sender.get(server_id)
        if is_sender is None:
            is_sender = self._select(server_id, region) == self._own_host_id
            self._is_sender[server_id] = is_sender
        return is_sender

    def _select(self, server_id: str, region: str) -> str:
        candidates = [
            host_id
            for host_id, host_region in self._candidates
            if host_region == region or region not in self._regions
        ]
        return max(
            candidates, key=lambda host_id: _rendezvous_weight(server_id, host_id), default=""
        )

    def _update_candidates(self, members: Sequence[MemberStatus]) -> None:
        staying = [status for status in members if not status.record.leaving]
        # Members regard others as suspect at different times, so suspects stay candidates.
        candidates = [
            (status.record.host_id, status.record.region)
            for status in staying
            if status.state is not MemberState.GONE
        ]
        regions = frozenset(status.record.region for status in staying)
        regions = regions.union(self._discovery.assumed_regions(members).values())
        if candidates != self._candidates or regions != self._regions:
            self._candidates, self._regions = candidates, regions
            self._is_sender.clear()


def _rendezvous_weight(key: str, host_id: str) -> bytes:
    return blake2b(f"{key}/{host_id}".encode(), digest_size=8).digest()
