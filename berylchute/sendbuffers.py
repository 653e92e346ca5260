"""Read and set what the kernel holds of the bytes sent on a connection."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

__all__ = ["TCP_NOTSENT_LOWAT", "count_unsent", "lift_unsent_bound"]

# Of Linux; the socket module has it from Python 3.12 on.
TCP_NOTSENT_LOWAT = 25
_UNBOUNDED = 2**31 - 1


def count_unsent(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged, here and in the kernel."""
    sock = transport.get_extra_info("socket")
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # A socket that is closed, or a kernel that doesn't tell.
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + int(struct.unpack("i", answer)[0])


def lift_unsent_bound(transport: asyncio.BaseTransport) -> None:
    """Let the kernel take all bytes that wait; it sends them also after the process has ended."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, _UNBOUNDED)
