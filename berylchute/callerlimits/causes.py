"""Count what untrusted callers are refused for, and log a bounded number of lines.

Load handled: thousands of refused or closed connections a second, each of which would be logged.
"""

import logging
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

__all__ = ["CallerEventLog", "Cause"]

# Log lines per second about connections of callers; the others are counted only.
LINES_PER_S = 5


class Cause(StrEnum):
    """Why a request was refused, or a connection closed; the values are labels of a metric."""

    MALFORMED = "malformed"
    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    REQUEST_LINE = "request_line"
    TRAILERS = "trailers"
    CHUNK_OVERHEAD = "chunk_overhead"
    BLANK_LINES = "blank_lines"
    BODY_BYTES = "body_bytes"
    LATE = "late"
    NOT_READING = "not_reading"
    NO_MEMORY = "no_memory"
    CONNECTIONS_CLOSED = "connections_closed"
    CONNECTIONS_REFUSED = "connections_refused"


class CallerEventLog:
    """Count causes, and pass a bounded number of lines per second to a logger."""

    def __init__(self, logger: logging.Logger, now_s: Callable[[], float]) -> None:
        self._logger = logger
        self._now_s = now_s
        self._second = 0
        self._lines = 0
        self.counts: Counter[Cause] = Counter()
        self.lines_dropped = 0

    def record(self, cause: Cause, text: str, *, is_logged: bool = True) -> None:
        """Count a refused request or a closed connection, and log it unless the rate is high."""
        self.counts[cause] += 1
        if not is_logged:
            return
        second = int(self._now_s())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= LINES_PER_S:
            self.lines_dropped += 1
            return
        self._lines += 1
        self._logger.warning("connection of a caller: %s: %s", cause.value, text)
