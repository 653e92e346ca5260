"""Carry one request at a time over kept HTTP/1.1 connections to backend servers."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from berylchute.callers import Header
from berylchute.exceptions import AnswerInvalid, AnswerLost, NotSent
from berylchute.types import Clock

__all__ = ["ConnectionPool", "ServerAnswer", "UpstreamRequest"]

_LOG = logging.getLogger(__name__)

# Above the round trip between the farthest regions of a continent, below latency objectives.
CONNECT_TIMEOUT_S = 0.4
# Sent bytes that a peer does not acknowledge for this long mean that it is gone: TCP has sent them
# again at least three times by then, at round trips of up to 0.13 s.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# Servers state how long they keep idle connections; this applies to those that do not, and is
# below the 5 s that is a common default.
IDLE_DEFAULT_S = 4.0
# A connection is not used this close to the end of the time that its server keeps it.
IDLE_MARGIN_S = 1.0
# After a spare connection could not be opened, none is tried for this long.
SPARE_PAUSE_S = 3.0
# Answers are held whole until they are complete; a quarter of the memory of a small machine.
ANSWER_BYTES_MAX = 64_000_000
ANSWER_HEADER_BYTES_MAX = 65_536


@attrs.frozen
class UpstreamRequest:
    """The bytes of one request, and the id that its answer must carry (none if empty)."""

    request_id: bytes
    id_header: bytes
    is_head: bool
    data: bytes


@attrs.frozen
class ServerAnswer:
    """A whole answer of a backend server; header names are as received."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class _Connection(asyncio.Protocol):
    """One connection; `exchange` may be called again after it has returned."""

    def __init__(self, clock: Clock, on_close: Callable[["_Connection"], None]) -> None:
        self._clock = clock
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        self._request: UpstreamRequest | None = None
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self.is_usable = True
        self.idle_until_s = 0.0
        self._idle_s = IDLE_DEFAULT_S
        self._reset()

    def _reset(self) -> None:
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._bytes = 0
        self._ends_with_connection = False

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        """Send a request and return its answer; raise NotSent, AnswerLost or AnswerInvalid.

        Cancelling it closes the connection, so that the server drops the work.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.is_usable:
            raise NotSent("connection was closed before the request was sent")
        self._request = request
        self._answer = asyncio.get_running_loop().create_future()
        transport.write(request.data)
        if transport.is_closing():
            # The socket refused the first bytes at once, so that none of them left this host.
            self._answer = self._request = None
            raise NotSent("connection was reset before the request was sent")
        try:
            answer = await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._request = None
            self._answer = None
        if transport.get_write_buffer_size() > 0:
            # The answer came before the body was sent; the rest of it must not follow.
            self.abort()
        elif not self.is_usable:
            transport.close()
        return answer

    def is_quiet(self) -> bool:
        """Tell whether nothing has arrived while the connection was idle.

        A reset or the end of the stream may have arrived and not been read yet; a request sent
        then would be lost, and nobody could tell whether it has run.
        """
        return not self._poll.poll(0)

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time for which sent bytes may stay unacknowledged."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        self._poll.register(raw.fileno(), select.POLLIN)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete an answer that ends with its connection, or fail the exchange."""
        self.is_usable = False
        if self._answer is not None and not self._answer.done():
            if self._ends_with_connection and exc is None:
                self._complete()
            else:
                self._fail(AnswerLost(f"connection ended before the answer: {exc!r}"))
        self._on_close(self)

    def eof_received(self) -> bool:
        """Close the connection as well."""
        self.is_usable = False
        return False

    def data_received(self, data: bytes) -> None:
        """Parse answer bytes; bytes that no request waits for end the connection."""
        if self._answer is None or self._answer.done():
            self.abort()
            return
        self._bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(AnswerInvalid(f"answer cannot be parsed: {error}"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer; one that follows the awaited answer belongs to no request."""
        if self._answer is not None and self._answer.done():
            self.is_usable = False
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the answer ends."""
        if self._is_done():
            return
        names = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        has_length = b"content-length" in names or b"transfer-encoding" in names
        self._ends_with_connection = not has_length and status not in (204, 304) and status >= 200
        keep_alive = names.get(b"keep-alive", b"")
        self._idle_s = _idle_s(keep_alive)
        if not self._parser.should_keep_alive() or self._ends_with_connection:
            self.is_usable = False
        if self._request is not None and self._request.is_head and status >= 200:
            self._ends_with_connection = False
            self.is_usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        if self._is_done():
            return
        self._body.append(body)
        if self._bytes > ANSWER_BYTES_MAX:
            self._fail(AnswerInvalid("answer is too long"))

    def on_message_complete(self) -> None:
        """Take a whole answer."""
        if not self._is_done() and self._parser.get_status_code() >= 200:
            self._complete()

    def _is_done(self) -> bool:
        return self._answer is None or self._answer.done()

    def _complete(self) -> None:
        request, future = self._request, self._answer
        assert request is not None and future is not None
        answer = ServerAnswer(
            self._parser.get_status_code(), tuple(self._headers), b"".join(self._body)
        )
        if request.request_id:
            found = answer.find(request.id_header)
            if found is None:
                self._fail(AnswerInvalid("answer carries no request id"))
                return
            if found != request.request_id:
                # A late second answer to an earlier request; the awaited one follows.
                self.is_usable = False
                if self._ends_with_connection:
                    self._fail(AnswerLost("connection ended with another request's answer"))
                return
        self.idle_until_s = self._clock.now_s() + self._idle_s
        future.set_result(answer)

    def _fail(self, error: Exception) -> None:
        self.is_usable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
        if self._transport is not None:
            self._transport.abort()


def _idle_s(keep_alive: bytes) -> float:
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return IDLE_DEFAULT_S


class ConnectionPool:
    """Keep connections to one `ip:port` address."""

    def __init__(self, address: str, clock: Clock, connections_max: int) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._clock = clock
        self._connections_max = connections_max
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()
        self._connecting = 0
        self._no_spare_until_s = 0.0
        self._is_closed = False
        self.opened = 0
        self.connect_s: float | None = None

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        """Send a request on a kept or new connection; raise NotSent, AnswerLost, AnswerInvalid."""
        connection = self._take_idle() or await self._connect()
        answer = await connection.exchange(request)
        if connection.is_usable:
            self._idle.append(connection)
        return answer

    @property
    def lacks_spare(self) -> bool:
        """Tell whether a second request at once would have to wait for a connection."""
        is_paused = self._is_closed or self._clock.now_s() < self._no_spare_until_s
        return len(self._idle) <= 1 and not self._connecting and not is_paused

    async def open_spare(self) -> None:
        """Open a connection ahead of need; a failure is left to the next request to handle."""
        try:
            connection = await self._connect()
        except NotSent as error:
            self._no_spare_until_s = self._clock.now_s() + SPARE_PAUSE_S
            _LOG.info("no spare connection: %s", error)
            return
        if self._is_closed:
            connection.abort()
        elif connection.is_usable:
            connection.idle_until_s = self._clock.now_s() + IDLE_DEFAULT_S
            self._idle.insert(0, connection)

    def close(self) -> None:
        """Close idle connections; those in use close when their exchange ends."""
        for connection in self._open:
            if connection in self._idle:
                connection.abort()
            else:
                connection.is_usable = False
        self._idle.clear()
        self._is_closed = True

    def close_expired(self) -> None:
        """Close connections that their server is about to close."""
        now_s = self._clock.now_s()
        for connection in [c for c in self._idle if c.idle_until_s <= now_s]:
            self._idle.remove(connection)
            connection.abort()

    def _take_idle(self) -> _Connection | None:
        now_s = self._clock.now_s()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and connection.idle_until_s > now_s and connection.is_quiet():
                return connection
            connection.abort()
        return None

    async def _connect(self) -> _Connection:
        if len(self._open) + self._connecting >= self._connections_max:
            raise NotSent("all connections to the server are in use")
        loop = asyncio.get_running_loop()
        started_s = self._clock.now_s()
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._clock, self._forget), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise NotSent(f"cannot connect to {self._host}:{self._port}: {error!r}") from error
        finally:
            self._connecting -= 1
        self.opened += 1
        self.connect_s = self._clock.now_s() - started_s
        self._open.add(connection)
        return connection

    def _forget(self, connection: _Connection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
