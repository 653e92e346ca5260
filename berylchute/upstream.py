"""Send requests to backend servers over pooled keep-alive HTTP/1.1 connections."""

import asyncio
import logging
from collections.abc import Callable

from berylchute.bodymemory import BodyMemory
from berylchute.exceptions import NoConnectionLeft, NotSent, SendWithdrawn
from berylchute.serverconnection import IDLE_TIMEOUT_DEFAULT_S, ServerConnection
from berylchute.types import Clock
from berylchute.upstreammessages import ServerAnswer, UpstreamRequest

__all__ = ["ConnectionPool", "ServerAnswer", "UpstreamRequest"]

_LOG = logging.getLogger(__name__)

# Above the round trip between the farthest regions of a continent and below latency objectives.
CONNECT_TIMEOUT_S = 0.4
# Delay before the next attempt after a spare connection could not be opened.
SPARE_RETRY_DELAY_S = 3.0


class ConnectionPool:
    """Pool keep-alive connections to one `ip:port` address."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        connections_max: int,
        body_memory: BodyMemory | None = None,
        has_room: Callable[[], bool] | None = None,
    ) -> None:
        """Create a pool without connections; pools may share an `body_memory`.

        `has_room` returns whether the process may open another connection.
        """
        host, _, port = address.rpartition(":")
        self._host, self._port = host.removeprefix("[").removesuffix("]"), int(port)
        self._clock = clock
        self._connections_max = connections_max
        self._body_memory = body_memory or BodyMemory()
        self._has_room = has_room or (lambda: True)
        self._idle: list[ServerConnection] = []
        self._open: set[ServerConnection] = set()
        self._connecting = 0
        self._spare_retry_at_s = 0.0
        self._is_closed = False
        self.connections_opened = 0
        self.last_connect_s: float | None = None

    async def exchange(self, request: UpstreamRequest) -> ServerAnswer:
        """Send a request on an idle or new connection; raise NotSent, AnswerLost or AnswerInvalid.

        Raises SendWithdrawn if the request may no longer be sent once a connection is open.
        """
        if request.needs_new_connection:
            return await self._exchange_alone(request)
        connection = self._acquire_idle()
        if connection is None:
            connection = await self._connect()
            if not _may_send(request):
                self._keep_idle(connection)
                raise SendWithdrawn("the configuration changed while the connection was opened")
        answer = await connection.exchange(request)
        if connection.is_usable:
            self._idle.append(connection)
        return answer

    async def _exchange_alone(self, request: UpstreamRequest) -> ServerAnswer:
        if self._idle and self._is_full():
            self.close_idle_one()
        connection = await self._connect()
        try:
            if not _may_send(request):
                raise SendWithdrawn("the configuration changed while the connection was opened")
            return await connection.exchange(request)
        finally:
            connection.abort()
            self._open.discard(connection)

    @property
    def needs_spare_connection(self) -> bool:
        """Return whether a second concurrent request would have to open a connection.

        False while a connection is being opened, after a recent failure, or after `close`.
        """
        is_paused = self._is_closed or self._clock.now_s() < self._spare_retry_at_s
        return len(self._idle) <= 1 and not self._connecting and not is_paused

    async def open_spare_connection(self) -> None:
        """Open an idle connection in advance; a failure is logged and delays the next attempt."""
        try:
            connection = await self._connect()
        except NotSent as error:
            self._spare_retry_at_s = self._clock.now_s() + SPARE_RETRY_DELAY_S
            _LOG.info("spare connection not opened, retrying later: %s", error)
            return
        self._keep_idle(connection)

    def _keep_idle(self, connection: ServerConnection) -> None:
        """Keep a new connection that has carried no request yet."""
        if self._is_closed:
            connection.abort()
        elif connection.is_usable:
            connection.idle_until_s = self._clock.now_s() + IDLE_TIMEOUT_DEFAULT_S
            self._idle.insert(0, connection)

    @property
    def open_count(self) -> int:
        """Return the number of open connections, with those that are being opened."""
        return len(self._open) + self._connecting

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def close_idle_one(self) -> None:
        """Close the connection that has been idle longest."""
        idle = self._idle.pop(0)
        idle.abort()
        self._open.discard(idle)

    def close(self) -> None:
        """Close idle connections; connections in use are closed when their exchange ends."""
        for connection in self._open:
            if connection in self._idle:
                connection.abort()
            else:
                connection.is_usable = False
        self._idle.clear()
        self._is_closed = True

    def close_expired(self) -> None:
        """Close idle connections that their server may close soon."""
        now_s = self._clock.now_s()
        for connection in [c for c in self._idle if c.idle_until_s <= now_s]:
            self._idle.remove(connection)
            connection.abort()

    def _acquire_idle(self) -> ServerConnection | None:
        now_s = self._clock.now_s()
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.is_usable
                and connection.idle_until_s > now_s
                and connection.has_no_input()
            ):
                return connection
            connection.abort()
        return None

    def _is_full(self) -> bool:
        return self.open_count >= self._connections_max

    async def _connect(self) -> ServerConnection:
        if self._is_full():
            raise NotSent("connection limit of the server is reached")
        if not self._has_room():
            raise NoConnectionLeft("connection limit of this process is reached")
        loop = asyncio.get_running_loop()
        started_s = self._clock.now_s()
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self._clock, self._remove, self._body_memory),
                    self._host,
                    self._port,
                )
        except Exception as error:
            # Nothing was sent, whatever failed: a look-up raises more than OSError.
            raise NotSent(f"cannot connect to {self._host}:{self._port}: {error!r}") from error
        finally:
            self._connecting -= 1
        self.connections_opened += 1
        self.last_connect_s = self._clock.now_s() - started_s
        self._open.add(connection)
        return connection

    def _remove(self, connection: ServerConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


def _may_send(request: UpstreamRequest) -> bool:
    return request.may_send is None or request.may_send()
