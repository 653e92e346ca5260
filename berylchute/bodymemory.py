"""Bound the memory of all bodies in flight, of requests and of answers together."""

from enum import IntEnum
from typing import Protocol

from berylchute.answerlimits import ANSWER_BYTES_MAX, MEMORY_DEFAULT_MB, AnswerLimits

__all__ = ["BodyHolder", "BodyMemory", "BodyStage"]

# Ratio of a host's memory for bodies. The interpreter, its libraries and caches take a quarter, and
# the allocator does not return all that is released.
MEMORY_RATIO = 0.4
# Ratio of that memory for the bodies of requests, so that answers can still be received.
REQUESTS_RATIO = 0.6
# Ratio of that memory for one answer, so that a single one can't displace all others.
ANSWER_RATIO = 0.4
# Bodies of requests up to this size are received beside large ones that take all the memory, as far
# as SMALL_RATIO of the memory allows.
SMALL_BYTES = 65_536
SMALL_RATIO = 0.1


class BodyStage(IntEnum):
    """What a body waits for; see `BodyMemory` for which ones may be dropped."""

    RECEIVING_REQUEST = 0
    IN_FLIGHT_REQUEST = 1
    RECEIVING_ANSWER = 2
    SENDING_ANSWER = 3


class BodyHolder(Protocol):
    """A connection or request that holds bytes of a body in memory."""

    def drop_body(self, reason: str) -> None:
        """Free the body and end what it belongs to."""
        ...


class BodyMemory:
    """Count the bytes of bodies by holder and stage, and drop the largest above the bounds.

    Answers load: large uploads while servers are slow, callers that read slowly, and servers that
    send bodies without end. A request whose body is not complete has not run, so it is dropped
    first; one in flight is never dropped. An answer that waits for its caller is dropped only if
    nothing else can be.
    """

    def __init__(self, memory_mb: float = MEMORY_DEFAULT_MB) -> None:
        self.bytes_max = int(memory_mb * 1_000_000 * MEMORY_RATIO)
        self.request_bytes_max = int(self.bytes_max * REQUESTS_RATIO)
        self._small_bytes_max = int(self.bytes_max * SMALL_RATIO)
        self.answer_limits = AnswerLimits(
            body_bytes_max=min(ANSWER_BYTES_MAX, int(self.bytes_max * ANSWER_RATIO))
        )
        self.held_bytes = 0
        self.request_bytes = 0
        self.dropped = 0
        self._held: dict[BodyStage, dict[BodyHolder, int]] = {stage: {} for stage in BodyStage}

    def may_receive(self, size_bytes: int) -> bool:
        """Return whether a request with a body of a declared size would find room now."""
        if size_bytes <= SMALL_BYTES:
            return True
        in_flight_bytes = sum(self._held[BodyStage.IN_FLIGHT_REQUEST].values())
        return in_flight_bytes + size_bytes <= self.request_bytes_max

    def hold(self, holder: BodyHolder, stage: BodyStage, size_bytes: int) -> None:
        """Add bytes to those of a holder, and drop the largest bodies above the bounds."""
        held = self._held[stage]
        held[holder] = held.get(holder, 0) + size_bytes
        self._count(stage, size_bytes)
        if self.held_bytes > self.bytes_max or self.request_bytes > self.request_bytes_max:
            self._reduce()

    def release(self, holder: BodyHolder, stage: BodyStage) -> int:
        """Subtract the bytes of a holder in a stage and return their number."""
        size_bytes = self._held[stage].pop(holder, 0)
        self._count(stage, -size_bytes)
        return size_bytes

    def _count(self, stage: BodyStage, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        if stage in (BodyStage.RECEIVING_REQUEST, BodyStage.IN_FLIGHT_REQUEST):
            self.request_bytes += size_bytes

    def _reduce(self) -> None:
        while self.request_bytes > self.request_bytes_max:
            excess_bytes = self.request_bytes - self.request_bytes_max
            smallest = 0 if excess_bytes > self._small_bytes_max else SMALL_BYTES
            if not self._drop_largest(smallest, BodyStage.RECEIVING_REQUEST):
                break
        while self.held_bytes > self.bytes_max:
            if not self._drop_largest(
                0, BodyStage.RECEIVING_REQUEST, BodyStage.RECEIVING_ANSWER
            ) and not self._drop_largest(0, BodyStage.SENDING_ANSWER):
                break

    def _drop_largest(self, above_bytes: int, *stages: BodyStage) -> bool:
        """Drop the largest body in these stages; return False if none is above a size."""
        candidates = [
            (size_bytes, stage, holder)
            for stage in stages
            for holder, size_bytes in self._held[stage].items()
            if size_bytes > above_bytes
        ]
        if not candidates:
            return False
        size_bytes, stage, holder = max(candidates, key=lambda candidate: candidate[0])
        self.release(holder, stage)
        self.dropped += 1
        holder.drop_body(
            f"{size_bytes} bytes so far are dropped: bodies in flight take more than "
            f"{self.bytes_max} bytes"
        )
        return True
