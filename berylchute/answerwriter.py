"""Write answers to a caller's connection as fast as the caller reads."""

import asyncio
from collections.abc import Callable

from berylchute.bodymemory import BodyMemory, BodyStage
from berylchute.callermessages import PendingRequest, encode_head
from berylchute.sendprogress import SendProgress

__all__ = ["AnswerWriter"]

# Longer bodies are written in parts of this size.
WRITTEN_BYTES_MAX = 65_536


class AnswerWriter:
    """Write one answer after the other, and count what waits until the caller reads.

    `on_drop` is called with a reason if memory is full and the waiting bytes must be given up.
    `paused_s` is since when the caller reads more slowly than answers are written.
    """

    __slots__ = ("_body_memory", "_on_drop", "_unsent", "paused_s", "progress", "sending")

    def __init__(self, body_memory: BodyMemory, on_drop: Callable[[str], None]) -> None:
        self._body_memory = body_memory
        self._on_drop = on_drop
        self._unsent = memoryview(b"")
        self.progress = SendProgress()
        self.paused_s: float | None = None
        self.sending: PendingRequest | None = None

    @property
    def is_unsent(self) -> bool:
        """Return whether a part of the last answer is not written yet."""
        return bool(self._unsent)

    @property
    def waiting_s(self) -> float | None:
        """Return since when written bytes have waited for the caller, None if none do."""
        return self.progress.waiting_s if self.paused_s is None else self.paused_s

    def stalled_s(self, now_s: float) -> float:
        """Return for how long the caller has read nothing although bytes wait."""
        waiting_s = self.waiting_s
        return 0.0 if waiting_s is None else now_s - max(waiting_s, self.progress.moved_s)

    @property
    def can_write(self) -> bool:
        """Return whether another answer may be written now."""
        return not self._unsent and self.paused_s is None

    def write(self, transport: asyncio.Transport, pending: PendingRequest, is_last: bool) -> None:
        """Write the answer of a request, or its first part if it is long."""
        answer = pending.answer
        assert answer is not None
        head = encode_head(answer, is_last)
        body = answer.body if answer.has_body and pending.request.method != b"HEAD" else b""
        self.sending = pending
        if len(body) <= WRITTEN_BYTES_MAX:
            transport.write(head + body)
        else:
            transport.write(head)
            self._unsent = memoryview(body)
        self.write_more(transport)

    def write_more(self, transport: asyncio.Transport) -> None:
        """Write a long body in parts, each when the former ones are sent: buffers would copy it."""
        while self._unsent and self.paused_s is None:
            transport.write(self._unsent[:WRITTEN_BYTES_MAX])
            self._unsent = self._unsent[WRITTEN_BYTES_MAX:]
        if not self._unsent and self.sending is not None:
            self._body_memory.release(self.sending, BodyStage.SENDING_ANSWER)
            self.sending = None
            # An empty view would still hold the whole body.
            self._unsent = memoryview(b"")

    def count_buffered(self, transport: asyncio.Transport, now_s: float) -> None:
        """Tell the memory account what waits in the buffer of the transport."""
        buffered_bytes = transport.get_write_buffer_size()
        added_bytes = self.progress.record(buffered_bytes, now_s)
        if not added_bytes:
            return
        if buffered_bytes:
            self._body_memory.hold(self, BodyStage.SENDING_ANSWER, added_bytes)
        else:
            self._body_memory.release(self, BodyStage.SENDING_ANSWER)

    def drop_body(self, reason: str) -> None:
        """Give up what waits in the buffer of the transport; implements BodyHolder."""
        self.progress = SendProgress()
        self._on_drop(f"answer: {reason}")

    def release_sending(self) -> None:
        """Free the answer that is not written whole."""
        if self.sending is not None:
            self._body_memory.release(self.sending, BodyStage.SENDING_ANSWER)
            self.sending = None
        self._unsent = memoryview(b"")

    def release_buffered(self) -> None:
        """Forget the buffer of a transport that is closed."""
        self.progress = SendProgress()
        self._body_memory.release(self, BodyStage.SENDING_ANSWER)
