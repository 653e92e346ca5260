"""Limit the bytes of backend servers' answers, of each one and of all in flight together."""

from typing import Protocol

import attrs

from berylchute.exceptions import AnswerInvalid

__all__ = [
    "MEMORY_DEFAULT_MB",
    "AnswerHolder",
    "AnswerLimits",
    "AnswerMemory",
    "AnswerMeter",
    "parse_content_length",
]

# Ratio of a host's memory for the bodies of all answers in flight. Completing an answer copies its
# body twice, and the interpreter and caches take up to a quarter.
MEMORY_RATIO = 0.25
# Ratio of that memory for one answer, so that a single one can't displace all others.
ANSWER_RATIO = 0.5
ANSWER_BYTES_MAX = 64_000_000
MEMORY_DEFAULT_MB = 256.0
# A petabyte; `int` alone would also accept signs, underscores and spaces.
LENGTH_DIGITS_MAX = 15


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


class AnswerHolder(Protocol):
    """An exchange that holds a part of an answer in memory."""

    def drop_answer(self, error: AnswerInvalid) -> None:
        """Fail the exchange, free its part and close its connection."""
        ...


class AnswerMemory:
    """Bound the memory of the bodies of all answers in flight.

    Answers load: many servers that send bodies without end. The largest answer in flight is
    dropped, so that short ones are received.
    """

    def __init__(self, memory_mb: float = MEMORY_DEFAULT_MB) -> None:
        self.bytes_max = int(memory_mb * 1_000_000 * MEMORY_RATIO)
        self.limits = AnswerLimits(
            body_bytes_max=min(ANSWER_BYTES_MAX, int(self.bytes_max * ANSWER_RATIO))
        )
        self.held_bytes = 0
        self.dropped = 0
        self._held: dict[AnswerHolder, int] = {}

    def hold(self, holder: AnswerHolder, size_bytes: int) -> None:
        """Add bytes to those of an answer in flight; drop the largest ones above the bound."""
        self._held[holder] = self._held.get(holder, 0) + size_bytes
        self.held_bytes += size_bytes
        while self.held_bytes > self.bytes_max:
            largest = max(self._held, key=self._held.__getitem__)
            size = self._held[largest]
            self.release(largest)
            self.dropped += 1
            largest.drop_answer(
                AnswerInvalid(
                    f"answer of {size} bytes so far is dropped: answers in flight take more than "
                    f"{self.bytes_max} bytes"
                )
            )

    def release(self, holder: AnswerHolder) -> None:
        """Subtract the bytes of an answer that was completed or dropped."""
        self.held_bytes -= self._held.pop(holder, 0)


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


def parse_content_length(value: bytes) -> int | None:
    """Return a Content-Length, None unless it is 1 to LENGTH_DIGITS_MAX ASCII digits."""
    return int(value) if value.isdigit() and len(value) <= LENGTH_DIGITS_MAX else None
