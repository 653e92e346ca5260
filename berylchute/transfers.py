"""Charge the bytes of requests and answers to the links that they cross."""

from collections.abc import AsyncIterator
from typing import Protocol

from berylchute.background import Background
from berylchute.exchange import Answer, AnswerStream
from berylchute.tracing import LINK
from berylchute.types import ResourceId
from berylchute.work import BodyStream, Placement, Work

__all__ = ["LinkSender", "Transfers"]

# Request line, headers and status line of a typical exchange.
HEAD_BYTES = 600
# Assumed for a kind until its first answer.
ANSWER_BYTES_FIRST = 4096
SMOOTHING = 0.1


class LinkSender(Protocol):
    """Wait for a link's budget; `LinkWaiter` is one."""

    async def send(self, link: ResourceId, size_bytes: int, is_long: bool) -> float:
        """Wait until the bytes may pass; return the seconds waited."""
        ...


class _PacedBody:
    """A request body whose chunks wait for the link."""

    def __init__(self, body: BodyStream, links: LinkSender, link: str, is_long: bool) -> None:
        self._body = body
        self._links = links
        self._link = link
        self._is_long = is_long

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._body:
            await self._links.send(self._link, len(chunk), self._is_long)
            yield chunk


class _PacedAnswer:
    """The rest of an answer; a chunk is paid for before the next one is read."""

    def __init__(self, rest: AnswerStream, links: LinkSender, link: str, is_long: bool) -> None:
        self._rest = rest
        self._links = links
        self._link = link
        self._is_long = is_long

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._rest:
            await self._links.send(self._link, len(chunk), self._is_long)
            yield chunk

    async def aclose(self) -> None:
        await self._rest.aclose()


class Transfers:
    """Pace attempts over links; attempts within the host's region pass freely."""

    def __init__(self, links: LinkSender, background: Background) -> None:
        self._links = links
        self._background = background
        self._answer_bytes: dict[str, float] = {}

    def expected_answer_bytes(self, kind: str) -> int:
        """Return the mean size of the part of an answer that is read at once."""
        return int(self._answer_bytes.get(kind, ANSWER_BYTES_FIRST))

    async def reserve(self, work: Work, placement: Placement) -> None:
        """Wait for the budget of what is sent at once and of the expected answer."""
        if not placement.link_out:
            return
        size = len(work.body) if isinstance(work.body, bytes) else 0
        is_long = work.kind.size == "long"
        waited_s = await self._links.send(placement.link_out, HEAD_BYTES + size, is_long)
        expected = HEAD_BYTES + self.expected_answer_bytes(work.kind.name)
        waited_s += await self._links.send(placement.link_back, expected, is_long)
        work.record.stage_s[LINK] += waited_s

    def body(self, work: Work, placement: Placement) -> bytes | BodyStream | _PacedBody:
        """Return the body to send."""
        if isinstance(work.body, bytes) or not placement.link_out:
            return work.body
        return _PacedBody(work.body, self._links, placement.link_out, work.kind.size == "long")

    def take_answer(self, work: Work, placement: Placement, answer: Answer) -> None:
        """Charge what exceeds the expected size, and pace the rest of a long answer."""
        size, kind = len(answer.body), work.kind.name
        expected = self.expected_answer_bytes(kind)
        mean = self._answer_bytes.get(kind, float(size))
        self._answer_bytes[kind] = mean + SMOOTHING * (size - mean)
        if not placement.link_back:
            return
        is_long = work.kind.size == "long"
        if size > expected:
            # These bytes have passed; charging them delays later ones and not this answer.
            self._background.spawn(self._links.send, placement.link_back, size - expected, is_long)
        if answer.rest is not None:
            answer.rest = _PacedAnswer(answer.rest, self._links, placement.link_back, is_long)
