"""A server on loopback whose answers never end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

__all__ = [
    "ENDLESS_ANSWERS",
    "ENDLESS_BODY",
    "OTHER_REQUESTS",
    "SLOW_HEAD",
    "EndlessAnswer",
    "EndlessServer",
    "start_endless",
]

OK_HEAD = b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: %s\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_REQUESTS = "answers to other requests"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc"


@attrs.frozen
class EndlessAnswer:
    """An answer that begins with `start` and repeats `part` until the connection is closed.

    `%s` in `start` is replaced by the request id. `pause_s` is the time between the parts.
    """

    start: bytes
    part: bytes
    pause_s: float = 0.0


ENDLESS_ANSWERS = {
    "header line": EndlessAnswer(OK_HEAD + b"X: ", b"x" * 50_000),
    "header lines": EndlessAnswer(OK_HEAD, b"A: b\r\n" * 8_000),
    "interim answers": EndlessAnswer(b"", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 1_000),
    "chunk extension": EndlessAnswer(CHUNKED_HEAD + b"5;", b"x" * 50_000),
    "chunk extensions": EndlessAnswer(CHUNKED_HEAD, (b"1;%s\r\na\r\n" % (b"x" * 200)) * 200),
    "trailers": EndlessAnswer(CHUNKED_HEAD + b"1\r\na\r\n0\r\n", b"A: b\r\n" * 8_000),
    OTHER_REQUESTS: EndlessAnswer(b"", OTHER_ANSWER * 500),
    "no answer": EndlessAnswer(b"", b"\r\n" * 20_000),
}
ENDLESS_BODY = EndlessAnswer(OK_HEAD + b"\r\n", b"x" * 50_000)
SLOW_HEAD = EndlessAnswer(b"HTTP/1.1 200 OK\r\nX: ", b"x", 0.05)


class EndlessServer:
    """Serve one endless answer to each request and count what was sent."""

    def __init__(self, answer: EndlessAnswer) -> None:
        self._answer = answer
        self.address = ""
        self.sent_bytes = 0
        self.open_connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write until the client closes the connection."""
        self.open_connections += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            _, _, after = head.partition(b"Berylchute-Request-Id: ")
            start = self._answer.start
            writer.write(start % after.split(b"\r\n")[0] if b"%s" in start else start)
            while not writer.is_closing():
                writer.write(self._answer.part)
                self.sent_bytes += len(self._answer.part)
                await writer.drain()
                await asyncio.sleep(self._answer.pause_s)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.transport.abort()


@asynccontextmanager
async def start_endless(answer: EndlessAnswer) -> AsyncIterator[EndlessServer]:
    """Listen on a free port of loopback until the end of the context."""
    endless = EndlessServer(answer)
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    endless.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield endless
    finally:
        server.close()
