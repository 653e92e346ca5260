"""Bound how much of the bytes of one connection is parsed in one turn of the event loop.

Load handled: reads full of one-byte chunks, short header lines or pipelined requests, which take
milliseconds each and delay the requests of all other callers.
"""

__all__ = ["PART_BYTES", "ReadPace"]

# Parsed at once: at most 1,024 header lines, 700 chunks or 230 requests. Ordinary requests are
# shorter.
PART_BYTES = 4_096


class ReadPace:
    """Choose the size of the next part to parse, and when to give way to other connections."""

    __slots__ = ("_bytes_left", "_events_left")

    def __init__(self, bytes_max: int, events_max: int) -> None:
        """Start a turn with its limits."""
        self._bytes_left = bytes_max
        self._events_left = events_max

    def next_part_bytes(self, body_bytes_left: int) -> int:
        """Return how much to parse at once; bytes of a body of known length make no events."""
        return max(PART_BYTES, min(body_bytes_left, self._bytes_left))

    def may_go_on(self, size_bytes: int, events: int) -> bool:
        """Count a parsed part; return whether more may be parsed in this turn."""
        self._bytes_left -= size_bytes
        self._events_left -= events
        return self._bytes_left > 0 and self._events_left > 0
