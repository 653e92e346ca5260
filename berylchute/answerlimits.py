"""Limit the bytes of each answer of a backend server."""

import attrs

__all__ = [
    "ANSWER_BYTES_MAX",
    "MEMORY_DEFAULT_MB",
    "AnswerLimits",
    "AnswerMeter",
    "is_final_status",
    "is_interim_status",
    "parse_content_length",
]

ANSWER_BYTES_MAX = 64_000_000
MEMORY_DEFAULT_MB = 256.0
# A petabyte; `int` alone would also accept signs, underscores and spaces.
LENGTH_DIGITS_MAX = 15
# Continue, Processing and Early Hints. Others of 1xx answer what no request here asks for.
_INTERIM_STATUSES = frozenset((100, 102, 103))


@attrs.frozen
class AnswerLimits:
    """Limits of one exchange, which may hold interim answers and answers to earlier requests.

    `overhead_bytes_max` applies to all bytes outside of bodies: heads, chunk sizes and trailers.
    Chunked bodies may add `overhead_ratio_max` of their size; chunks of one byte add five.
    """

    overhead_bytes_max: int = 65_536
    headers_max: int = 256
    body_bytes_max: int = ANSWER_BYTES_MAX
    overhead_ratio_max: float = 8.0


class AnswerMeter:
    """Count the bytes of one exchange and tell when they exceed the limits of an answer."""

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self.received_bytes = 0
        self.body_bytes = 0
        self.headers = 0

    def receive(self, size_bytes: int) -> None:
        """Count bytes before they are parsed."""
        self.received_bytes += size_bytes

    def find_excess(self) -> str:
        """Return which limit the bytes parsed so far exceed; empty if none."""
        limits = self._limits
        if self.headers > limits.headers_max:
            return f"answer has more than {limits.headers_max} headers"
        if self.body_bytes > limits.body_bytes_max:
            return f"answer body is longer than {limits.body_bytes_max} bytes"
        # Interim answers, chunk sizes, trailers and answers to earlier requests count as overhead.
        overhead_bytes = self.received_bytes - self.body_bytes
        allowed = limits.overhead_bytes_max + limits.overhead_ratio_max * self.body_bytes
        if overhead_bytes > allowed:
            return f"answer has {overhead_bytes} bytes outside of its body of {self.body_bytes}"
        return ""

    def find_excess_length(self, content_length: bytes) -> str:
        """Return which limit a declared body length exceeds; empty if none."""
        length = parse_content_length(content_length) if content_length else 0
        if length is None or length > self._limits.body_bytes_max:
            shown = content_length[:LENGTH_DIGITS_MAX].decode("latin-1")
            return f"answer declares {shown!r} bytes, more than {self._limits.body_bytes_max}"
        return ""


def is_final_status(status: int) -> bool:
    """Return whether an answer with this status ends its exchange."""
    return 200 <= status <= 599


def is_interim_status(status: int) -> bool:
    """Return whether a final answer follows one with this status."""
    return status in _INTERIM_STATUSES


def parse_content_length(value: bytes) -> int | None:
    """Return a Content-Length, None unless it is 1 to LENGTH_DIGITS_MAX ASCII digits."""
    return int(value) if value.isdigit() and len(value) <= LENGTH_DIGITS_MAX else None
