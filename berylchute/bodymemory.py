"""Bound the memory of what other parties make a process hold: the memory account.

Load handled: large uploads while servers are slow, heads of many lines, callers that read slowly,
and servers that send bodies without end.
"""

from collections.abc import Mapping
from typing import Protocol

from berylchute.answerlimits import ANSWER_BYTES_MAX, MEMORY_DEFAULT_MB, AnswerLimits
from berylchute.callerlimits import (
    SMALL_BYTES,
    WAITING_ANSWER_BYTES,
    AccountBounds,
    BodyStage,
    choose_dropped,
)

__all__ = ["SMALL_BYTES", "BodyHolder", "BodyMemory", "BodyStage", "memory_for_answer_mb"]

# Ratio of a host's memory for the account. The interpreter, its libraries and caches take a
# quarter, and the allocator does not return all that is released.
MEMORY_RATIO = 0.4
# Ratio of that memory for requests, so that answers can still be received.
REQUESTS_RATIO = 0.6
# Ratio of that memory for one answer, so that a single one can't displace all others.
ANSWER_RATIO = 0.4
# Ratio of that memory for small requests beside large ones that take the part of requests.
SMALL_RATIO = 0.1


def memory_for_answer_mb(answer_bytes: int) -> float:
    """Return the memory of which the account accepts single answers of this size."""
    return answer_bytes / (1_000_000 * MEMORY_RATIO * ANSWER_RATIO)


class BodyHolder(Protocol):
    """A connection or request that holds bytes in memory."""

    def drop_body(self, reason: str) -> None:
        """Free the bytes and end what they belong to."""
        ...


class BodyMemory:
    """Count the bytes that are held by holder and stage, and drop holders above the bounds.

    The bytes of requests include the memory of their heads, those of answers what waits in
    transports. `choose_dropped` decides which holder is dropped.
    """

    def __init__(self, memory_mb: float = MEMORY_DEFAULT_MB) -> None:
        self.bytes_max = int(memory_mb * 1_000_000 * MEMORY_RATIO)
        self.request_bytes_max = int(self.bytes_max * REQUESTS_RATIO)
        self._bounds = AccountBounds(
            self.bytes_max, self.request_bytes_max, int(self.bytes_max * SMALL_RATIO)
        )
        self.answer_limits = AnswerLimits(
            body_bytes_max=min(ANSWER_BYTES_MAX, int(self.bytes_max * ANSWER_RATIO))
        )
        self.held_bytes = 0
        self.request_bytes = 0
        self.in_flight_bytes = 0
        self.dropped = 0
        self._held: dict[BodyStage, dict[BodyHolder, int]] = {stage: {} for stage in BodyStage}
        self._sending = self._held[BodyStage.SENDING_ANSWER]

    @property
    def total_bytes(self) -> int:
        """Return the held bytes with the objects of answers that wait for their callers."""
        return self.held_bytes + WAITING_ANSWER_BYTES * len(self._sending)

    def held_by_stage(self) -> Mapping[BodyStage, int]:
        """Return the bytes that are held in each stage."""
        return {stage: sum(held.values()) for stage, held in self._held.items()}

    def may_receive(self, size_bytes: int) -> bool:
        """Return whether a request with a body of a declared size would find room now."""
        if size_bytes <= SMALL_BYTES:
            return True
        return self.in_flight_bytes + size_bytes <= self.request_bytes_max

    def may_start(self, size_bytes: int) -> bool:
        """Return whether a complete request may be in flight beside the present ones."""
        free_bytes = self.request_bytes_max - self.in_flight_bytes
        if size_bytes <= SMALL_BYTES:
            free_bytes += self._bounds.small_bytes_max
        return size_bytes <= free_bytes

    def hold(self, holder: BodyHolder, stage: BodyStage, size_bytes: int) -> None:
        """Add bytes to those of a holder, and drop the largest holders above the bounds."""
        held = self._held[stage]
        held[holder] = held.get(holder, 0) + size_bytes
        self._count(stage, size_bytes)
        if self.request_bytes > self.request_bytes_max or self.total_bytes > self.bytes_max:
            self._reduce()

    def release(self, holder: BodyHolder, stage: BodyStage) -> int:
        """Subtract the bytes of a holder in a stage and return their number."""
        size_bytes = self._held[stage].pop(holder, 0)
        if size_bytes:
            self._count(stage, -size_bytes)
        return size_bytes

    def _count(self, stage: BodyStage, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        if stage <= BodyStage.IN_FLIGHT_REQUEST:
            self.request_bytes += size_bytes
            if stage is BodyStage.IN_FLIGHT_REQUEST:
                self.in_flight_bytes += size_bytes

    def _reduce(self) -> None:
        while chosen := choose_dropped(
            self._held, self._bounds, self.request_bytes, self.total_bytes
        ):
            stage, holder = chosen
            size_bytes = self.release(holder, stage)
            self.dropped += 1
            holder.drop_body(
                f"{size_bytes} bytes so far are dropped: what is in flight takes more than "
                f"{self.bytes_max} bytes"
            )
