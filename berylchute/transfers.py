"""Charge the bytes of requests and answers to the budgets of the links that they use."""

from collections.abc import AsyncIterator
from typing import Protocol

from berylchute.background import BackgroundTasks
from berylchute.exchange import AnswerStream, MatchedAnswer
from berylchute.forwardedrequest import BodyStream, ForwardedRequest, Placement
from berylchute.tracing import LINK
from berylchute.types import ResourceId

__all__ = ["LinkBudget", "Transfers"]

# Request line, headers and status line of a typical exchange.
HEADER_BYTES = 600
# Assumed for a kind until its first answer.
INITIAL_ANSWER_BYTES = 4096
SAMPLE_WEIGHT = 0.1


class LinkBudget(Protocol):
    """Wait for a link's budget; `LinkBudgetQueue` is an implementation."""

    async def acquire(self, link: ResourceId, size_bytes: int, is_long: bool) -> float:
        """Wait until `size_bytes` may be sent; return the seconds waited."""
        ...


class _PacedBody:
    """A request body whose chunks wait for the link's budget."""

    def __init__(self, body: BodyStream, links: LinkBudget, link: str, is_long: bool) -> None:
        self._body = body
        self._links = links
        self._link = link
        self._is_long = is_long

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._body:
            await self._links.acquire(self._link, len(chunk), self._is_long)
            yield chunk


class _PacedAnswer:
    """The rest of an answer; each chunk waits for the link's budget before the next is read."""

    def __init__(
        self, remaining_body: AnswerStream, links: LinkBudget, link: str, is_long: bool
    ) -> None:
        self._remaining_body = remaining_body
        self._links = links
        self._link = link
        self._is_long = is_long

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._remaining_body:
            await self._links.acquire(self._link, len(chunk), self._is_long)
            yield chunk

    async def aclose(self) -> None:
        await self._remaining_body.aclose()


class Transfers:
    """Pace attempts over links; attempts within the host's region use no link and don't wait."""

    def __init__(self, links: LinkBudget, background_tasks: BackgroundTasks) -> None:
        self._links = links
        self._background_tasks = background_tasks
        self._mean_answer_bytes: dict[str, float] = {}

    def expected_answer_bytes(self, kind: str) -> int:
        """Return the mean size in bytes of the buffered part of an answer."""
        return int(self._mean_answer_bytes.get(kind, INITIAL_ANSWER_BYTES))

    async def wait_for_budget(self, request: ForwardedRequest, placement: Placement) -> None:
        """Wait for the budget of headers, a buffered body and the expected answer."""
        if not placement.outbound_link:
            return
        body_bytes = len(request.body) if isinstance(request.body, bytes) else 0
        is_long = request.kind.size == "long"
        waited_s = await self._links.acquire(
            placement.outbound_link, HEADER_BYTES + body_bytes, is_long
        )
        expected_bytes = HEADER_BYTES + self.expected_answer_bytes(request.kind.name)
        waited_s += await self._links.acquire(placement.return_link, expected_bytes, is_long)
        request.record.stage_s[LINK] += waited_s

    def body(
        self, request: ForwardedRequest, placement: Placement
    ) -> bytes | BodyStream | _PacedBody:
        """Return the body to send, paced if it is streamed over a link."""
        if isinstance(request.body, bytes) or not placement.outbound_link:
            return request.body
        return _PacedBody(
            request.body, self._links, placement.outbound_link, request.kind.size == "long"
        )

    def charge_answer(
        self, request: ForwardedRequest, placement: Placement, answer: MatchedAnswer
    ) -> None:
        """Charge the bytes above the expected size, and pace the rest of a streamed answer."""
        body_bytes, kind = len(answer.body), request.kind.name
        expected_bytes = self.expected_answer_bytes(kind)
        mean_bytes = self._mean_answer_bytes.get(kind, float(body_bytes))
        self._mean_answer_bytes[kind] = mean_bytes + SAMPLE_WEIGHT * (body_bytes - mean_bytes)
        if not placement.return_link:
            return
        is_long = request.kind.size == "long"
        if body_bytes > expected_bytes:
            # These bytes have arrived; charging them delays later transfers but not this answer.
            self._background_tasks.start_isolated(
                self._links.acquire, placement.return_link, body_bytes - expected_bytes, is_long
            )
        if answer.remaining_body is not None:
            answer.remaining_body = _PacedAnswer(
                answer.remaining_body, self._links, placement.return_link, is_long
            )
