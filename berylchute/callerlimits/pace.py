"""Bound how much of the bytes of one connection is parsed in one turn of the event loop.

Load handled: reads full of one-byte chunks, short header lines or pipelined requests, which take
milliseconds each and delay the requests of all other callers.
"""

__all__ = ["PART_BYTES", "REQUEST_EVENTS", "ReadPace"]

# Parsed at once: at most 1,024 header lines, 700 chunks or 230 requests. Ordinary requests are
# shorter.
PART_BYTES = 4_096
# Parsed at once after a part with many requests: 15 at most.
BUSY_PART_BYTES = 256
# A complete request takes as long as so many lines: it is routed, logged and counted.
REQUEST_EVENTS = 128
# Parts with more events are followed by a shorter one: more than four requests.
BUSY_EVENTS = 4 * REQUEST_EVENTS + 64


class ReadPace:
    """Choose the size of the next part to parse, and when to give way to other connections."""

    __slots__ = ("_bytes_left", "_events_left", "part_bytes")

    def __init__(self) -> None:
        self.part_bytes = PART_BYTES
        self._bytes_left = 0
        self._events_left = 0

    def begin_turn(self, bytes_max: int, events_max: int) -> None:
        """Start a turn of the event loop with its limits."""
        self._bytes_left = bytes_max
        self._events_left = events_max

    def next_part_bytes(self, body_bytes_left: int) -> int:
        """Return how much to parse at once; bytes of a body of known length make no events."""
        return max(self.part_bytes, min(body_bytes_left, self._bytes_left))

    def record(self, size_bytes: int, events: int) -> bool:
        """Count a parsed part; return whether more may be parsed in this turn."""
        self.part_bytes = PART_BYTES if events <= BUSY_EVENTS else BUSY_PART_BYTES
        self._bytes_left -= size_bytes
        self._events_left -= events
        return self._bytes_left > 0 and self._events_left > 0
