"""TCP proxy on loopback that can delay, reset or drop the traffic it forwards."""

import asyncio
from enum import StrEnum

import attrs

from soak.faults import OverlappingFaults

__all__ = ["LinkFault", "Proxy"]

CHUNK_BYTES = 65_536


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
            writer.transport.abort()

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
            writer.transport.abort()
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
                stream_writer.transport.abort()
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
