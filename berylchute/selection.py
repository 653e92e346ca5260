"""Choose the backend server for a request by affinity, bounded by load."""

from collections.abc import Callable, Collection
from enum import StrEnum

import attrs

from berylchute.backends import Backends, Server

__all__ = ["Choice", "Refusal", "Selector"]

# Servers that hold a key's objects; the next takes over when those before it are full. A third one
# spread the objects too far in trials (docs/MEASUREMENTS.md).
PREFERRED_SERVERS = 2
# Requests at a server, in multiples of its slots, above which it is full: a short queue keeps the
# slots busy. 1.0 served fewer and 1.6 no more in trials (docs/MEASUREMENTS.md).
FULL_RATIO = 1.25
# Load, in multiples of its slots, up to which a server takes requests of another one that is slow
# just now: servers slow down when nearly all slots are taken.
STAND_IN_RATIO = 0.8


class Refusal(StrEnum):
    """Why no server was chosen."""

    NO_SERVER = "no_server"
    ALL_FULL = "all_full"


@attrs.frozen
class Choice:
    """The chosen server, or why there is none, and the load that decided."""

    server: Server | None
    refusal: Refusal | None = None
    load: float = 0.0
    told_age_s: float = 0.0
    rank: int = 0


class Selector:
    """Choose among the servers of a service."""

    def __init__(self, backends: Backends, is_cold_sender: Callable[[str], bool]) -> None:
        self._backends = backends
        self._is_cold_sender = is_cold_sender

    def choose(
        self,
        service: str,
        key: str,
        goal_s: float,
        is_bulky: bool,
        regions: Callable[[str], bool],
        tried: Collection[str],
        now_s: float,
    ) -> Choice:
        """Return the first preferred server of a key with room.

        `regions` tells whether a server's availability zone is allowed; servers in `tried` are
        passed over.
        """
        considered = 0
        least = 0.0
        slow: Choice | None = None
        for rank, server in enumerate(self._backends.order(service, key, is_bulky=is_bulky)):
            if considered == PREFERRED_SERVERS:
                break
            if not self._may_use(server, now_s) or server.entry.server_id in tried:
                continue
            if not regions(server.entry.availability_zone):
                continue
            if server.is_cold(now_s) and not self._backends.take_cold_send(server, now_s):
                continue
            considered += 1
            load = server.load(now_s)
            if load < FULL_RATIO * server.entry.slots:
                choice = Choice(server, None, load, now_s - server.told_s, rank)
                if slow is None and server.is_slowed(goal_s, now_s):
                    slow = choice  # another one may be in time, even if it holds no objects
                    continue
                if slow is None or load < STAND_IN_RATIO * server.entry.slots:
                    return choice
            least = load if considered == 1 else min(least, load)
        if slow is not None:
            return slow
        if considered == 0:
            return Choice(None, Refusal.NO_SERVER)
        return Choice(None, Refusal.ALL_FULL, least)

    def _may_use(self, server: Server, now_s: float) -> bool:
        if not self._backends.is_open(server) or now_s < server.paused_until_s:
            return False
        if server.failures and server.in_flight:
            return False  # one request finds out whether it is back
        return not server.is_cold(now_s) or self._is_cold_sender(server.entry.server_id)
