"""Define what a caller's connection needs from its server."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from berylchute.bodymemory import BodyMemory
from berylchute.callerlimits import CallerEventLog, ConnectionLimit, RequestLimits
from berylchute.callermessages import PendingRequest
from berylchute.headernames import HeaderNames
from berylchute.sharedobjects import CallerLimits
from berylchute.types import Clock

if TYPE_CHECKING:
    from berylchute.callerconnection import CallerConnection

__all__ = ["ConnectionServer"]


class ConnectionServer(Protocol):
    """The server of a connection: settings, and where its requests go."""

    clock: Clock
    header_names: HeaderNames
    limits: CallerLimits
    request_limits: RequestLimits
    is_closing: bool
    connections: "set[CallerConnection]"
    body_memory: BodyMemory
    caller_events: CallerEventLog
    connection_limit: ConnectionLimit
    is_reserved: bool
    read_buffer: bytearray
    handle: Callable[[PendingRequest], None]
    refuse: Callable[[PendingRequest], None]
    call_soon: Callable[[Callable[[], None]], None]
