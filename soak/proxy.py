"""TCP proxy on loopback that can delay, reset or drop the traffic it forwards."""

import asyncio
import socket
import struct
from enum import StrEnum

import attrs

from soak.faults import OverlappingFaults

__all__ = ["LinkFault", "Proxy", "reset_connection"]

CHUNK_BYTES = 65_536
# Linger on, for 0 s: the kernel resets the connection when it is closed.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Reset a connection.

    An aborted transport ends its connection in order if nothing is unread, so that a body without
    a length that it cuts looks complete.
    """
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    assert isinstance(transport, asyncio.WriteTransport)
    transport.abort()


class LinkFault(StrEnum):
    """How a proxy alters its connections.

    SILENCE drops bytes in both directions, CUT_ANSWERS only those sent to the client.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"


@attrs.define(eq=False)
class Proxy:
    """Forward connections from `port` to `target_port`; `faults` apply to open ones as well."""

    port: int
    target_port: int
    delay_s: float = 0.15
    faults: OverlappingFaults[LinkFault] = attrs.Factory(OverlappingFaults)
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raise OSError if the port is in use."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    def reset_all(self) -> None:
        """Abort both sides of all open connections; new ones are still accepted."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    def close(self) -> None:
        """Stop listening and abort all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            reset_connection(writer.transport)
            return
        stream_writers = (writer, upstream_writer)
        self._writers.update(stream_writers)
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_response=False),
                self._forward(upstream_reader, writer, is_response=True),
            )
        except (OSError, asyncio.CancelledError):
            # CancelledError is not raised again: asyncio streams log an error for a connection's
            # task that is cancelled when the event loop shuts down.
            for stream_writer in stream_writers:
                reset_connection(stream_writer.transport)
        finally:
            self._writers.difference_update(stream_writers)
            for stream_writer in stream_writers:
                stream_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if LinkFault.DELAY in self.faults:
                await asyncio.sleep(self.delay_s)
            is_dropped = LinkFault.SILENCE in self.faults or (
                LinkFault.CUT_ANSWERS in self.faults and is_response
            )
            if is_dropped:
                # The stream now has a gap: the soak resets the connection when the fault ends.
                continue
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and not writer.transport.is_closing():
            writer.write_eof()
