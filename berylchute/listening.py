"""Listen on an address, also if another process holds it for a while."""

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable

import anyio

from berylchute.exceptions import ListenError
from berylchute.sendbuffers import TCP_NOTSENT_LOWAT

__all__ = ["listen", "open_server"]

# Longer than a process may take to stop, so that the one started in its place comes up.
RETRY_MAX_S = 10.0
RETRY_PERIOD_S = 0.1
# Connections that wait to be accepted, and those accepted in one turn of the event loop. A limit on
# open connections sees the accepted ones two turns later.
BACKLOG = 1_024
ACCEPTED_MAX = 16
_PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

logger = logging.getLogger(__name__)


async def listen(address: str, bind: Callable[[], Awaitable[None]]) -> None:
    """Call `bind` until it succeeds; raise ListenError if the address can't be used in time."""
    started_s = anyio.current_time()
    is_retry = False
    while True:
        try:
            await bind()
        except OSError as error:
            message = (
                f"cannot listen on {address}: {os.strerror(error.errno) if error.errno else error}"
            )
            is_late = anyio.current_time() - started_s >= RETRY_MAX_S
            if is_late or error.errno not in _PASSING_ERRORS:
                raise ListenError(message) from error
            if not is_retry:
                logger.warning("%s, trying again for %g s", message, RETRY_MAX_S)
            is_retry = True
            await anyio.sleep(RETRY_PERIOD_S)
        else:
            if is_retry:
                logger.warning("listening on %s after all", address)
            return


async def open_server(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    receive_buffer_bytes: int,
    unsent_bytes_max: int,
) -> asyncio.Server:
    """Serve a TCP address; the kernel's buffers of each connection have fixed bounds."""
    loop = asyncio.get_running_loop()
    # The event loop accepts as many connections at once as its backlog.
    server = await loop.create_server(
        make_protocol, host, port, backlog=ACCEPTED_MAX, start_serving=False
    )
    for listener in server.sockets:
        # Accepted sockets inherit the options.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        listener.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_bytes_max)
    await server.start_serving()
    for listener in server.sockets:
        with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
            duplicate.listen(BACKLOG)
    return server
