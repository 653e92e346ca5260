"""Run one HTTP exchange with a backend server and match the answer to its request."""

from collections.abc import AsyncGenerator, AsyncIterable, AsyncIterator, Sequence
from enum import StrEnum
from typing import Any, ClassVar, Protocol, TypeAlias

import anyio
import attrs
import httpcore

from berylchute.answerlimits import (
    AnswerLimits,
    AnswerMeter,
    is_final_status,
    parse_content_length,
)
from berylchute.exceptions import ExchangeError
from berylchute.responses import read_response
from berylchute.serverstreams import (
    Attempt,
    AttemptClock,
    StreamBackend,
    current_attempt,
    current_meter,
)
from berylchute.types import AttemptState

__all__ = [
    "ANSWER_BUFFER_BYTES",
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
    "MatchedAnswer",
    "ServerClosed",
    "ServerTarget",
]

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

ANSWER_BUFFER_BYTES = 65536
# Bodies are streamed to the caller, so that their length needs no limit. The overhead includes
# bytes of the body that were read and not parsed yet.
STREAM_LIMITS = AnswerLimits(overhead_bytes_max=262_144, body_bytes_max=10**15)
REQUEST_ID_HEADER = b"berylchute-request-id"
NOT_RUN_HEADER = b"berylchute-not-run"
# Below 5 s, a common idle timeout of servers: a non-idempotent request that is sent while the
# server closes the connection has an unknown outcome.
KEEPALIVE_EXPIRY_S = 4.0
CANCEL_TIMEOUT_S = 1.0
_NO_BODY_STATUSES = frozenset({204, 304})


class ConnectFailed(ExchangeError):
    """The connection could not be opened; nothing was sent."""

    code: ClassVar[str] = "connect_failed"


class ServerClosed(ExchangeError):
    """The connection failed after the request was sent; the request may have run."""

    code: ClassVar[str] = "server_closed"


class AnswerForeign(ExchangeError):
    """The bytes received are not the answer to this attempt, by id or by length."""

    code: ClassVar[str] = "answer_foreign"


class AnswerShort(ExchangeError):
    """The answer ended before its declared length."""

    code: ClassVar[str] = "answer_short"


class AnswerUnframed(ExchangeError):
    """The answer has no framing, so an early close would look like its end."""

    code: ClassVar[str] = "answer_unframed"


class MatchState(StrEnum):
    """Progress of matching one answer."""

    WAITING = "waiting"
    MATCHED = "matched"
    COMPLETE = "complete"
    FAILED = "failed"


class AnswerMatcher:
    """Check that the bytes received are the complete answer to one attempt."""

    def __init__(self, attempt_id: bytes, method: bytes) -> None:
        self._attempt_id = attempt_id
        self._is_head_request = method == b"HEAD"
        self.state = MatchState.WAITING
        self.length: int | None = None
        self.received = 0
        self.not_run = False

    def receive_head(self, status: int, headers: Headers) -> None:
        """Check status and headers; raise AnswerForeign or AnswerUnframed."""
        if self.state is not MatchState.WAITING:
            raise self._fail(AnswerForeign("a second answer arrived for the same request"))
        if not is_final_status(status):
            raise self._fail(AnswerForeign(f"status {status} is no answer"))
        echoes = 0
        is_chunked = False
        for raw_name, value in headers:
            name = raw_name.lower()
            if name == REQUEST_ID_HEADER:
                echoes += 1 if value == self._attempt_id else 2
            elif name == b"content-length":
                self.length = parse_content_length(value)
                if self.length is None:
                    raise self._fail(AnswerForeign("the answer has a malformed Content-Length"))
            elif name == b"transfer-encoding":
                is_chunked = True
            elif name == NOT_RUN_HEADER:
                self.not_run = status == 503 and value == b"1"
        # Exactly one matching id is required; a duplicate or a wrong one could be smuggled in.
        if echoes != 1:
            raise self._fail(AnswerForeign("the answer does not echo the attempt id exactly once"))
        if self._is_head_request or status in _NO_BODY_STATUSES:
            self.length = 0
        elif self.length is None and not is_chunked:
            raise self._fail(AnswerUnframed("the answer has no length and is not chunked"))
        self.state = MatchState.MATCHED

    def receive_body(self, size_bytes: int) -> None:
        """Count `size_bytes` of the body; raise AnswerForeign above the declared length."""
        if self.state is not MatchState.MATCHED:
            raise self._fail(
                AnswerForeign("body bytes arrived before the headers or after the end")
            )
        self.received += size_bytes
        if self.length is not None and self.received > self.length:
            raise self._fail(AnswerForeign("the body is longer than its declared length"))

    def receive_end(self) -> None:
        """Complete the answer; raise AnswerShort when bytes are missing."""
        if self.state is not MatchState.MATCHED:
            raise self._fail(AnswerShort("the answer ended before its headers"))
        if self.length is not None and self.received != self.length:
            raise self._fail(AnswerShort(f"{self.received} of {self.length} bytes were received"))
        self.state = MatchState.COMPLETE

    def _fail(self, error: ExchangeError) -> ExchangeError:
        self.state = MatchState.FAILED
        return error


@attrs.frozen
class ServerTarget:
    """The destination of an exchange: a backend server or another entry host.

    `connections_max` is the maximum number of connections to it.
    """

    name: str
    host: bytes
    port: int
    connections_max: int
    scheme: bytes = b"http"


class AnswerStream(Protocol):
    """The part of a body that was not buffered; closing it early closes the connection."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks; raise ExchangeError when the answer is truncated."""
        ...

    async def aclose(self) -> None:
        """Stop reading and release the connection."""
        ...


@attrs.define(eq=False)
class MatchedAnswer:
    """A matched answer.

    `body` is complete if `remaining_body` is None, otherwise `remaining_body` streams the part
    after it. `body_bytes` is the size of the whole body in bytes, None if it is unknown.
    `is_not_run` means that the server refused the request without running it.
    """

    status: int
    headers: Headers
    body: bytes
    is_not_run: bool = False
    remaining_body: AnswerStream | None = None
    body_bytes: int | None = None
    attempt: "Attempt | None" = None
    placement: object = None


class HttpExchanger:
    """Send requests through one connection pool per target."""

    def __init__(
        self,
        clock: AttemptClock,
        network_backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self._clock = clock
        self._backend = network_backend or StreamBackend()
        self._pools: dict[ServerTarget, httpcore.AsyncConnectionPool] = {}
        self._last_used_s: dict[ServerTarget, float] = {}

    def _get_pool(self, target: ServerTarget) -> httpcore.AsyncConnectionPool:
        self._last_used_s[target] = self._clock.now_s()
        pool = self._pools.get(target)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=target.connections_max,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
                network_backend=self._backend,
            )
            self._pools[target] = pool
        return pool

    async def close_unused_pools(self, unused_s: float) -> None:
        """Close pools that were unused for `unused_s`, which must exceed the longest deadline.

        A changed address or connection limit creates a new pool; without this call the old pool
        would keep its idle connections open.
        """
        now_s = self._clock.now_s()
        unused = [
            target for target, used_s in self._last_used_s.items() if now_s - used_s > unused_s
        ]
        for target in unused:
            del self._last_used_s[target]
            await self._pools.pop(target).aclose()

    async def aclose(self) -> None:
        """Close all pools and their connections."""
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.aclose()

    async def send_request(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> MatchedAnswer:
        """Send one request and return its matched answer; raise ExchangeError.

        Cancelling the call closes the connection instead of reusing it.
        """
        attempt.clock = self._clock
        attempt.started_s = self._clock.now_s()
        current_attempt.set(attempt)
        meter = AnswerMeter(STREAM_LIMITS)
        current_meter.set(meter)
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
            response = await self._get_pool(target).handle_async_request(request)
            attempt.head_received_s = self._clock.now_s()
            try:
                matcher.receive_head(response.status, response.headers)
                return await self._read_answer(response, matcher, attempt, meter)
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
                raise
        except BaseException as error:
            exchange_error = self._record_failure(error, attempt)
            if exchange_error is error:
                raise
            raise exchange_error from error

    def _record_failure(self, error: BaseException, attempt: Attempt) -> BaseException:
        """Record the failure in `attempt`; return the exception to raise, possibly `error`."""
        attempt.ended_s = self._clock.now_s()
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.UNKNOWN
        attempt.error = getattr(error, "code", type(error).__name__)
        if attempt.state is AttemptState.NOT_SENT and isinstance(error, _NETWORK_ERRORS):
            return ConnectFailed(f"{attempt.server}: {type(error).__name__}")
        if isinstance(error, _NETWORK_ERRORS):
            return ServerClosed(f"{attempt.server}: {type(error).__name__}: {error}")
        return error

    async def _read_answer(
        self,
        response: httpcore.Response,
        matcher: AnswerMatcher,
        attempt: Attempt,
        meter: AnswerMeter,
    ) -> MatchedAnswer:
        body = bytearray()
        body_stream = _iterate_body(response, matcher, attempt, meter, self._clock)
        async for chunk in body_stream:
            body += chunk
            if matcher.received > ANSWER_BUFFER_BYTES:
                attempt.state = AttemptState.ANSWERED
                return MatchedAnswer(
                    response.status,
                    response.headers,
                    bytes(body),
                    matcher.not_run,
                    body_stream,
                    matcher.length,
                    attempt,
                )
        attempt.state = AttemptState.ANSWERED
        return MatchedAnswer(
            response.status,
            response.headers,
            bytes(body),
            matcher.not_run,
            None,
            matcher.received,
            attempt,
        )

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        """Cancel an attempt on its server; return whether the server confirmed that it stopped."""
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                response = await read_response(
                    self._get_pool(target),
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
                    timeout_s=CANCEL_TIMEOUT_S,
                )
            except (*_NETWORK_ERRORS, TimeoutError):
                return False
            return response.status == 204
        return False


_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


async def _iterate_body(
    response: httpcore.Response,
    matcher: AnswerMatcher,
    attempt: Attempt,
    meter: AnswerMeter,
    clock: AttemptClock,
) -> AsyncGenerator[bytes, None]:
    """Yield the body and check its length; closing the iterator early closes the connection."""
    stream: Any = response.stream
    try:
        async for chunk in stream:
            meter.body_bytes += len(chunk)
            matcher.receive_body(len(chunk))
            yield chunk
            # Another task may read the rest, such as that of the first attempt of a hedge.
            current_meter.set(meter)
        matcher.receive_end()
    except httpcore.RemoteProtocolError as error:
        raise AnswerShort(f"{attempt.server}: {error}") from error
    except _NETWORK_ERRORS as error:
        raise ServerClosed(f"{attempt.server}: {error}") from error
    finally:
        attempt.ended_s = clock.now_s()
        with anyio.CancelScope(shield=True):
            await response.aclose()
