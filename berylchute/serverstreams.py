"""Open connections to backend servers for httpcore and record when an attempt is sent."""

import select
import ssl
import sys
from collections.abc import Awaitable, Callable, Iterable
from contextvars import ContextVar
from typing import Any, Protocol

import anyio
import attrs
import httpcore
from anyio.abc import ByteStream, SocketAttribute
from anyio.streams.tls import TLSAttribute, TLSStream

from berylchute.answerlimits import AnswerMeter
from berylchute.types import AttemptState

__all__ = ["Attempt", "AttemptClock", "StreamBackend", "current_attempt", "current_meter"]

try:
    import sniffio  # type: ignore[import-not-found] # noqa: F401
except ImportError:
    # httpcore imports sniffio several times per request. Python does not cache failed imports, so
    # each one searches the whole path; that took a third of the entry program's time.
    sys.modules["sniffio"] = None  # type: ignore[assignment]


class AttemptClock(Protocol):
    """Clock for the timestamps of attempts."""

    def now_s(self) -> float:
        """Return monotonic seconds."""
        ...


@attrs.define(eq=False)
class Attempt:
    """One attempt to send a request to a server, with its state and monotonic timestamps.

    `head_received_s` is when the answer's headers arrived; a time of 0 means not reached.
    """

    attempt_id: str
    server: str
    state: AttemptState = AttemptState.NOT_SENT
    started_s: float = 0.0
    sent_s: float = 0.0
    head_received_s: float = 0.0
    ended_s: float = 0.0
    error: str = ""
    is_hedge: bool = False
    is_shed: bool = False
    clock: AttemptClock | None = None

    def mark_sent(self) -> None:
        """Record that request bytes are about to be written; only the first call counts."""
        if self.state is AttemptState.NOT_SENT:
            self.state = AttemptState.SENT
            if self.clock is not None:
                self.sent_s = self.clock.now_s()


current_attempt: ContextVar[Attempt | None] = ContextVar("current_attempt", default=None)
# Counts the bytes of the answer that the current task reads. The reader of the body adds its bytes
# to `body_bytes`, so that what remains is overhead.
current_meter: ContextVar[AnswerMeter | None] = ContextVar("current_meter", default=None)

_STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class _Stream(httpcore.AsyncNetworkStream):
    """Adapt an anyio stream to httpcore; timeouts are left to the cancel scopes of its users.

    Reading fails above the limits of `current_meter`: httpcore bounds single headers, but not
    interim answers and chunk extensions.

    httpcore's own adapter is slower: it opens a cancel scope and an exception map around each
    call and reads all socket attributes to poll for a disconnect.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._poll: select.poll | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            data = await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except _STREAM_ERRORS as error:
            raise httpcore.ReadError(str(error)) from error
        meter = current_meter.get()
        if meter is not None:
            meter.receive(len(data))
            excess = meter.find_excess()
            if excess:
                raise httpcore.RemoteProtocolError(excess)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        attempt = current_attempt.get()
        if attempt is not None:
            attempt.mark_sent()
        try:
            await self._stream.send(buffer)
        except _STREAM_ERRORS as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            tls_stream = await TLSStream.wrap(
                self._stream,
                ssl_context=ssl_context,
                hostname=server_hostname,
                standard_compatible=False,
            )
        except (*_STREAM_ERRORS, anyio.EndOfStream, ssl.SSLError) as error:
            await self._stream.aclose()
            raise httpcore.ConnectError(str(error)) from error
        return _Stream(tls_stream)

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            return self._is_readable()
        if info == "ssl_object":
            return self._stream.extra(TLSAttribute.ssl_object, None)
        return None

    def _is_readable(self) -> bool:
        """Return whether an idle connection has unread bytes or was closed by the server."""
        if self._poll is None:
            raw = self._stream.extra(SocketAttribute.raw_socket, None)
            if raw is None:
                return False
            self._poll = select.poll()
            self._poll.register(raw.fileno(), select.POLLIN)
        return bool(self._poll.poll(0))


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Open TCP connections with `connect(host, port)`, which tests replace."""

    def __init__(
        self, connect: Callable[[str, int], Awaitable[ByteStream]] = anyio.connect_tcp
    ) -> None:
        self._connect = connect

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with anyio.fail_after(timeout):
                return _Stream(await self._connect(host, port))
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(f"no connection within {timeout} s") from error
        except (OSError, *_STREAM_ERRORS) as error:
            raise httpcore.ConnectError(str(error)) from error
