"""Run one HTTP exchange with a backend server and match the answer to its request."""

from collections.abc import AsyncGenerator, AsyncIterable, AsyncIterator, Sequence
from enum import StrEnum
from typing import Any, ClassVar, Protocol, TypeAlias

import anyio
import attrs
import httpcore

from berylchute.connections import Attempt, AttemptClock, StreamBackend, current_attempt
from berylchute.exceptions import ExchangeError
from berylchute.types import AttemptState

__all__ = [
    "ANSWER_BUFFER_BYTES",
    "Answer",
    "AnswerForeign",
    "AnswerMatcher",
    "AnswerShort",
    "AnswerStream",
    "AnswerUnframed",
    "Attempt",
    "ConnectFailed",
    "Headers",
    "HttpExchanger",
    "MatchState",
    "ServerClosed",
    "ServerTarget",
]

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

ANSWER_BUFFER_BYTES = 65536
REQUEST_ID_HEADER = b"berylchute-request-id"
NOT_RUN_HEADER = b"berylchute-not-run"
# Below the 5 s after which common servers close idle connections; sending on a connection that
# the server is closing would leave the outcome of non-idempotent work unknown.
KEEPALIVE_EXPIRY_S = 4.0
CANCEL_TIMEOUT_S = 1.0
_NO_BODY_STATUSES = frozenset({204, 304})


class ConnectFailed(ExchangeError):
    """Report that no connection was opened; nothing was sent."""

    code: ClassVar[str] = "connect_failed"


class ServerClosed(ExchangeError):
    """Report a connection that broke after the request was sent."""

    code: ClassVar[str] = "server_closed"


class AnswerForeign(ExchangeError):
    """Report an answer that does not echo the id of this attempt."""

    code: ClassVar[str] = "answer_foreign"


class AnswerShort(ExchangeError):
    """Report an answer that ended before its declared length."""

    code: ClassVar[str] = "answer_short"


class AnswerUnframed(ExchangeError):
    """Report an answer whose end cannot be told from an early close."""

    code: ClassVar[str] = "answer_unframed"


class MatchState(StrEnum):
    """Progress of matching one answer."""

    WAITING = "waiting"
    MATCHED = "matched"
    COMPLETE = "complete"
    FAILED = "failed"


class AnswerMatcher:
    """Decide whether the bytes that arrive are the whole answer to one attempt."""

    def __init__(self, attempt_id: bytes, method: bytes) -> None:
        self._attempt_id = attempt_id
        self._bodiless = method == b"HEAD"
        self.state = MatchState.WAITING
        self.length: int | None = None
        self.received = 0
        self.not_run = False

    def take_head(self, status: int, headers: Headers) -> None:
        """Accept the answer's head; raise AnswerForeign or AnswerUnframed."""
        if self.state is not MatchState.WAITING:
            raise self._fail(AnswerForeign("a second answer arrived on the exchange"))
        echoes = 0
        chunked = False
        for raw_name, value in headers:
            name = raw_name.lower()
            if name == REQUEST_ID_HEADER:
                echoes += 1 if value == self._attempt_id else 2
            elif name == b"content-length":
                self.length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == NOT_RUN_HEADER:
                self.not_run = status == 503 and value == b"1"
        # Exactly one echo: a duplicated or wrong header is as suspect as a missing one.
        if echoes != 1:
            raise self._fail(AnswerForeign("the answer does not echo the attempt's id"))
        if self._bodiless or status in _NO_BODY_STATUSES:
            self.length = 0
        elif self.length is None and not chunked:
            raise self._fail(AnswerUnframed("the answer has neither length nor chunks"))
        self.state = MatchState.MATCHED

    def take_data(self, size: int) -> None:
        """Count body bytes; raise AnswerForeign when they exceed the declared length."""
        if self.state is not MatchState.MATCHED:
            raise self._fail(AnswerForeign("body bytes arrived outside an answer"))
        self.received += size
        if self.length is not None and self.received > self.length:
            raise self._fail(AnswerForeign("the body exceeds its declared length"))

    def take_end(self) -> None:
        """Accept the end of the answer; raise AnswerShort when bytes are missing."""
        if self.state is not MatchState.MATCHED:
            raise self._fail(AnswerShort("the answer ended before its head"))
        if self.length is not None and self.received != self.length:
            raise self._fail(AnswerShort(f"{self.received} of {self.length} bytes arrived"))
        self.state = MatchState.COMPLETE

    def _fail(self, error: ExchangeError) -> ExchangeError:
        self.state = MatchState.FAILED
        return error


@attrs.frozen
class ServerTarget:
    """Where an exchange goes: a backend server or another entry host."""

    name: str
    host: bytes
    port: int
    connections: int
    scheme: bytes = b"http"


class AnswerStream(Protocol):
    """The rest of an answer; closing it early closes the connection."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks; raise ExchangeError when the answer is cut."""
        ...

    async def aclose(self) -> None:
        """Read no more."""
        ...


@attrs.define(eq=False)
class Answer:
    """A matched answer; `body` is whole unless `rest` streams what follows it."""

    status: int
    headers: Headers
    body: bytes
    not_run: bool = False
    rest: AnswerStream | None = None
    length: int | None = None
    attempt: "Attempt | None" = None
    placement: object = None


class HttpExchanger:
    """Own one connection pool per backend server."""

    def __init__(
        self,
        clock: AttemptClock,
        network_backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._clock = clock
        self._backend = network_backend or StreamBackend()
        self._pools: dict[ServerTarget, httpcore.AsyncConnectionPool] = {}
        self._used_s: dict[ServerTarget, float] = {}

    def _pool(self, target: ServerTarget) -> httpcore.AsyncConnectionPool:
        self._used_s[target] = self._clock.now_s()
        pool = self._pools.get(target)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=target.connections,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
                network_backend=self._backend,
            )
            self._pools[target] = pool
        return pool

    async def close_unused(self, unused_s: float) -> None:
        """Close pools without use for `unused_s`; it must exceed the longest deadline.

        A changed address or connection limit makes a new pool, so old ones would hold on to
        their idle connections.
        """
        now_s = self._clock.now_s()
        old = [target for target, used_s in self._used_s.items() if now_s - used_s > unused_s]
        for target in old:
            del self._used_s[target]
            await self._pools.pop(target).aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.aclose()

    async def run(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> Answer:
        """Send one request and return its matched answer; raise ExchangeError.

        Cancelling the call closes the connection, which is never reused.
        """
        attempt.clock = self._clock
        attempt.started_s = self._clock.now_s()
        current_attempt.set(attempt)
        matcher = AnswerMatcher(attempt.attempt_id.encode(), method)
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=target.scheme, host=target.host, port=target.port, target=raw_target
            ),
            headers=headers,
            content=body,
        )
        try:
            response = await self._pool(target).handle_async_request(request)
            attempt.head_s = self._clock.now_s()
            try:
                matcher.take_head(response.status, response.headers)
                return await self._collect(response, matcher, attempt)
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
                raise
        except BaseException as error:
            translated = self._translate(error, attempt)
            if translated is error:
                raise
            raise translated from error

    def _translate(self, error: BaseException, attempt: Attempt) -> BaseException:
        attempt.ended_s = self._clock.now_s()
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.UNKNOWN
        attempt.error = getattr(error, "code", type(error).__name__)
        if attempt.state is AttemptState.NOT_SENT and isinstance(error, _NETWORK_ERRORS):
            return ConnectFailed(f"{attempt.server}: {type(error).__name__}")
        if isinstance(error, _NETWORK_ERRORS):
            return ServerClosed(f"{attempt.server}: {type(error).__name__}: {error}")
        return error

    async def _collect(
        self, response: httpcore.Response, matcher: AnswerMatcher, attempt: Attempt
    ) -> Answer:
        chunks: list[bytes] = []
        stream = _matched(response, matcher, attempt, self._clock)
        async for chunk in stream:
            chunks.append(chunk)
            if matcher.received > ANSWER_BUFFER_BYTES:
                attempt.state = AttemptState.ANSWERED
                return Answer(
                    response.status,
                    response.headers,
                    b"".join(chunks),
                    matcher.not_run,
                    stream,
                    matcher.length,
                    attempt,
                )
        attempt.state = AttemptState.ANSWERED
        return Answer(
            response.status,
            response.headers,
            b"".join(chunks),
            matcher.not_run,
            None,
            matcher.received,
            attempt,
        )

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        """Ask a server to stop an attempt; True when it confirms that it no longer runs."""
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                response = await self._pool(target).request(
                    b"DELETE",
                    httpcore.URL(
                        scheme=target.scheme,
                        host=target.host,
                        port=target.port,
                        target=b"/requests/" + attempt_id.encode(),
                    ),
                    headers=[
                        (b"host", target.host),
                        (REQUEST_ID_HEADER, attempt_id.encode()),
                        (b"content-length", b"0"),
                    ],
                )
            except _NETWORK_ERRORS:
                return False
            return response.status == 204
        return False


_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


async def _matched(
    response: httpcore.Response, matcher: AnswerMatcher, attempt: Attempt, clock: AttemptClock
) -> AsyncGenerator[bytes, None]:
    """Yield the body while matching it; closing early closes the connection."""
    stream: Any = response.stream
    try:
        async for chunk in stream:
            matcher.take_data(len(chunk))
            yield chunk
        matcher.take_end()
    except httpcore.RemoteProtocolError as error:
        raise AnswerShort(f"{attempt.server}: {error}") from error
    except _NETWORK_ERRORS as error:
        raise ServerClosed(f"{attempt.server}: {error}") from error
    finally:
        attempt.ended_s = clock.now_s()
        with anyio.CancelScope(shield=True):
            await response.aclose()
