"""Pass TCP connections on over loopback, and delay, reset, cut or silence them."""

import asyncio
from enum import StrEnum

import attrs

__all__ = ["LinkFault", "Proxy"]

CHUNK_BYTES = 65_536


class LinkFault(StrEnum):
    """What a proxy does to the bytes of its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"


@attrs.define(eq=False)
class Proxy:
    """Listen on `port` and connect to `target_port`."""

    port: int
    target_port: int
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.15
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
            )
        except (OSError, asyncio.CancelledError):
            # The streams of asyncio log a connection's task that is cancelled with its loop.
            for each in pair:
                each.transport.abort()
        finally:
            self._writers.difference_update(pair)
            for each in pair:
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self.delay_s)
            lost = self.fault is LinkFault.SILENCE or (
                self.fault is LinkFault.CUT_ANSWERS and is_answer
            )
            if lost:
                continue  # this connection stays silent: later bytes would not fit
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and not writer.transport.is_closing():
            writer.write_eof()
