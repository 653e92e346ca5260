"""Limit the accepted connections of callers, and decide which to close when there are too many.

Load handled: thousands of connections that are idle, or whose requests are never complete.
"""

import heapq
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

import attrs

from berylchute.callerlimits.causes import Cause
from berylchute.callerlimits.costs import CONNECTION_BYTES

__all__ = [
    "ClosableConnection",
    "ClosingRank",
    "ConnectionBounds",
    "ConnectionLimit",
    "bound_connections",
    "choose_to_close",
]

# Descriptors reserved for files, of which at most half of all are: few are open at any time.
FILES = 200
FILES_RATIO_MAX = 0.5
# Of the others: callers, servers, and the rest for the store, members and listening sockets.
CALLERS_RATIO = 0.45
SERVERS_RATIO = 0.4
# Ratio of the memory that connections of callers may take, beside the memory account.
MEMORY_RATIO = 0.15
# Idle connections are closed from this part of the limit on, early enough that callers see it.
EARLY_RATIO = 0.9
# Connections to addresses other than the callers' one, beyond the limit.
RESERVED = 16
# Part of the limit that is closed at once, so that not every new connection examines all others.
CLOSED_RATIO = 0.03
# After this time, connections are examined again when none could be closed.
EXAMINE_INTERVAL_S = 0.05


class ClosingRank(IntEnum):
    """What a connection that may be closed does; lower ranks are closed first."""

    LINGERING = 0
    QUIET = 1
    SLOW_BODY = 2
    NOT_READING = 3


class ClosableConnection(Protocol):
    """A connection as far as the limit needs it."""

    def closing_rank(self, now_s: float) -> tuple[ClosingRank, float] | None:
        """Return the rank and since when it holds, None if the connection may not be closed."""
        ...

    def report(self, cause: Cause, text: str) -> None:
        """Count why the connection is closed, and log it once."""
        ...

    def give_up(self) -> None:
        """Refuse what is incomplete and close the connection."""
        ...

    def reset(self) -> None:
        """Close the connection at once."""
        ...


@attrs.frozen
class ConnectionBounds:
    """How many connections from callers and to servers a process may have."""

    callers_max: int
    servers_max: int


def bound_connections(max_fds: int, memory_mb: float) -> ConnectionBounds:
    """Return the bounds of connections for a process's descriptors and memory."""
    usable = max_fds - min(FILES, int(max_fds * FILES_RATIO_MAX))
    in_memory = int(memory_mb * 1_000_000 * MEMORY_RATIO / CONNECTION_BYTES)
    return ConnectionBounds(
        callers_max=max(1, min(int(usable * CALLERS_RATIO), in_memory)),
        servers_max=max(1, int(usable * SERVERS_RATIO)),
    )


_Connection = TypeVar("_Connection")


def choose_to_close(
    candidates: Iterable[tuple[ClosingRank, float, _Connection]], count: int
) -> list[_Connection]:
    """Return up to `count` connections: the lowest rank first, in it the one longest in it."""
    chosen = heapq.nsmallest(count, candidates, key=lambda candidate: candidate[:2])
    return [connection for _, _, connection in chosen]


class ConnectionLimit:
    """Keep the open connections of all addresses of a process below a limit."""

    def __init__(self, connections_max: int, now_s: Callable[[], float]) -> None:
        self._max = connections_max
        self._now_s = now_s
        self._open: set[ClosableConnection] = set()
        # Connections whose descriptor is free after the present turn of the event loop.
        self._reset: set[ClosableConnection] = set()
        self._next_early_s = self._next_examined_s = 0.0

    def __len__(self) -> int:
        return len(self._open) - len(self._reset)

    def add(self, connection: ClosableConnection, *, is_reserved: bool) -> None:
        """Add a new connection; close others, or the new one, if there are too many.

        Connections with `is_reserved` are those to addresses that attackers don't know.
        """
        self._open.add(connection)
        count = len(self)
        if count <= self._max * EARLY_RATIO:
            return
        now_s = self._now_s()
        if count > self._max + (RESERVED if is_reserved else 0):
            if not self._close_others(connection, now_s):
                connection.report(Cause.CONNECTIONS_REFUSED, f"{count} are open")
                self._reset_one(connection)
        elif now_s >= self._next_early_s:
            self._next_early_s = now_s + EXAMINE_INTERVAL_S
            for other in choose_to_close(
                self._candidates(connection, now_s, ClosingRank.QUIET), self._batch()
            ):
                other.report(Cause.CONNECTIONS_CLOSED, f"{count} are open")
                other.give_up()

    def remove(self, connection: ClosableConnection) -> None:
        """Forget a connection whose descriptor is closed."""
        self._open.discard(connection)
        self._reset.discard(connection)

    def _batch(self) -> int:
        return max(1, int(self._max * CLOSED_RATIO))

    def _close_others(self, connection: ClosableConnection, now_s: float) -> bool:
        if now_s < self._next_examined_s:
            return False
        count = len(self)
        chosen = choose_to_close(self._candidates(connection, now_s), self._batch())
        for other in chosen:
            other.report(Cause.CONNECTIONS_CLOSED, f"at once, {count} are open")
            self._reset_one(other)
        if not chosen:
            self._next_examined_s = now_s + EXAMINE_INTERVAL_S
        return bool(chosen)

    def _reset_one(self, connection: ClosableConnection) -> None:
        self._reset.add(connection)
        connection.reset()

    def _candidates(
        self, new: ClosableConnection, now_s: float, only: ClosingRank | None = None
    ) -> Iterable[tuple[ClosingRank, float, ClosableConnection]]:
        for connection in self._open:
            if connection is new or connection in self._reset:
                continue
            rank = connection.closing_rank(now_s)
            if rank is not None and (only is None or rank[0] is only):
                yield (*rank, connection)
