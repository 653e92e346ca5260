"""Serve callers over HTTP/1.1: listen, and close connections that are idle or late."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from berylchute.bodymemory import BodyMemory
from berylchute.callerconnection import PIPELINED_REQUESTS_MAX, CallerConnection
from berylchute.callerlimits import CallerGuard
from berylchute.callermessages import CallerAnswer, CallerRequest, Header, PendingRequest
from berylchute.connectionserver import OpenConnection
from berylchute.headernames import HeaderNames
from berylchute.listening import listen, open_server
from berylchute.sendbuffers import lift_unsent_bound
from berylchute.sharedobjects import CallerLimits
from berylchute.types import Clock

__all__ = [
    "PIPELINED_REQUESTS_MAX",
    "CallerAnswer",
    "CallerConnection",
    "CallerRequest",
    "CallerServer",
    "Header",
    "PendingRequest",
]

# Read at once from one connection.
READ_BYTES_MAX = 65_536
# Short enough for caller timeouts, which are whole seconds.
TIMEOUT_CHECK_INTERVAL_S = 0.25


class CallerServer:
    """Listen on one address and pass each complete request to `handle`."""

    def __init__(
        self,
        handle: Callable[[PendingRequest], None],
        clock: Clock,
        header_names: HeaderNames | None = None,
        body_memory: BodyMemory | None = None,
        refuse: Callable[[PendingRequest], None] | None = None,
        *,
        guard: CallerGuard | None = None,
        is_reserved: bool = False,
    ) -> None:
        """Create a server; requests that can't be held go to `refuse`.

        Servers of one process share a `guard`. An address with `is_reserved` accepts a few
        connections beyond the limit of all.
        """
        self.handle = handle
        self.refuse = refuse or _refuse
        self.body_memory = body_memory or BodyMemory()
        self.clock = clock
        self.header_names = header_names or HeaderNames()
        self.limits = CallerLimits()
        guard = guard or CallerGuard(clock.now_s)
        self.request_limits = guard.limits
        self.caller_events = guard.events
        self.connection_limit = guard.connections
        self.is_reserved = is_reserved
        self.read_buffer = bytearray(READ_BYTES_MAX)
        self.call_soon: Callable[[Callable[[], None]], None] = _call_soon
        self.is_closing = False
        self.connections: set[OpenConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; raise ListenError if it cannot be used."""
        await listen(address, lambda: self._bind(address))

    async def _bind(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await open_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            self.request_limits.receive_buffer_bytes,
            self.request_limits.unsent_bytes_max,
        )

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def end_requests(self) -> None:
        """Refuse requests that are partly received as not run, and close idle connections.

        The kernel takes over the answers on their way, for callers that read slowly.
        """
        for connection in list(self.connections):
            connection.give_up()
            lift_unsent_bound(connection.transport)

    async def close_timed_out_forever(self) -> None:
        """Close connections that exceed a caller timeout, until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now_s = self.clock.now_s()
            for connection in list(self.connections):
                connection.close_if_timed_out(now_s)


def _refuse(pending: PendingRequest) -> None:
    pending.respond(CallerAnswer(HTTPStatus.SERVICE_UNAVAILABLE))


def _call_soon(callback: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(callback)
