"""Define what a caller's connection and its server need from each other."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from berylchute.bodymemory import BodyMemory
from berylchute.callerlimits import (
    CallerEventLog,
    ClosableConnection,
    ConnectionLimit,
    RequestLimits,
)
from berylchute.callermessages import PendingRequest
from berylchute.headernames import HeaderNames
from berylchute.sharedobjects import CallerLimits
from berylchute.types import Clock

__all__ = ["ConnectionServer", "OpenConnection"]


class OpenConnection(ClosableConnection, Protocol):
    """An open connection, as far as its server closes it."""

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport of the connection."""
        ...

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight or partly received."""
        ...

    def close_if_timed_out(self, now_s: float) -> None:
        """Close the connection if it exceeds a timeout; a partial request gets status 408."""
        ...


class ConnectionServer(Protocol):
    """The server of a connection: settings, and where its requests go."""

    clock: Clock
    header_names: HeaderNames
    limits: CallerLimits
    request_limits: RequestLimits
    is_closing: bool
    connections: set[OpenConnection]
    body_memory: BodyMemory
    caller_events: CallerEventLog
    connection_limit: ConnectionLimit
    is_reserved: bool
    read_buffer: bytearray
    handle: Callable[[PendingRequest], None]
    refuse: Callable[[PendingRequest], None]
    call_soon: Callable[[Callable[[], None]], None]
