"""Check, with the edge program as a process, that no broken answer of a server looks complete."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, start_world

UPLOAD_BYTES = 2_000_000
PART = b"p" * 20_000
ROUNDS = 10
Answer = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Main = Callable[[EdgeProcess, set[str]], Awaitable[None]]


def _run(tmp_path: Path, answer: Answer, main: Main) -> None:
    """Run `main` with servers that call `answer`, and the ids of the requests that reach them."""
    ids: set[str] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
                fields = {n.lower(): v for n, _, v in (line.partition(b": ") for line in lines)}
                ids.add(fields[b"request-id"].decode())
                id_header = b"Request-Id: %b\r\n" % fields[b"request-id"]
                await answer(id_header, reader, writer)
        writer.close()

    async def run() -> None:
        async with start_world(tmp_path, servers=0, handle=serve) as (edge, _):
            # Longer than the test takes: an answer that waits for the time-out would be a 504.
            await edge.configure(2, {}, **{"timeout-s": 8.0})
            await edge.start()
            await edge.wait_ready()
            await main(edge, ids)

    asyncio.run(run())


async def _send_all(edge: EdgeProcess, ids: set[str], body: bytes) -> None:
    """Send requests whose answers are broken; some are refused while no server is in use."""
    for number in range(ROUNDS):
        status, _ = await _send(edge, number, "POST", body)
        assert status == (b"502" if _request_id(number) in ids else b"503")
    assert len(ids) >= 2


def _request_id(number: int) -> str:
    return f"{number:016x}"


async def _send(edge: EdgeProcess, number: int, method: str, body: bytes) -> tuple[bytes, bytes]:
    """Return the status and the body of the answer to a request on a new connection."""
    reader, writer = await edge.connect()
    fields = wire.caller_headers(_request_id(number), 20_000, number)
    lines = [f"{method} /{'read' if method == 'GET' else 'post'}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    data = await reader.read()
    writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return head[9:12], rest


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize("reads", [0, 200_000, UPLOAD_BYTES])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_answer_without_length_is_incomplete_after_a_reset(
    reads: int, delay_s: float, tmp_path: Path
) -> None:
    # Guard against a part of an answer that its caller takes for the whole: the server answers an
    # upload at once, sends a part of the body and resets the connection.
    async def answer(
        id_header: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if reads == UPLOAD_BYTES:
            await reader.readexactly(reads)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % id_header + PART)
        await writer.drain()
        if 0 < reads < UPLOAD_BYTES:
            await reader.readexactly(reads)
        await asyncio.sleep(delay_s)
        _reset(writer)
        raise ConnectionResetError

    async def main(edge: EdgeProcess, ids: set[str]) -> None:
        await _send_all(edge, ids, bytes(UPLOAD_BYTES))

    _run(tmp_path, answer, main)


def test_answer_without_length_is_complete_after_an_orderly_close(tmp_path: Path) -> None:
    # Guard against sound answers that are given up since they end with their connection.
    async def answer(
        id_header: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readexactly(UPLOAD_BYTES)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % id_header + PART)
        raise ConnectionResetError

    async def main(edge: EdgeProcess, ids: set[str]) -> None:
        for number in range(ROUNDS):
            assert await _send(edge, number, "POST", bytes(UPLOAD_BYTES)) == (b"200", PART)

    _run(tmp_path, answer, main)


_FRAMES = {
    "chunks": (b"Transfer-Encoding: chunked\r\n", b"5\r\nabcde\r\n"),
    "a chunk": (b"Transfer-Encoding: chunked\r\n", b"5\r\nabc"),
    "a length": (b"Content-Length: 6\r\n", b"abcde"),
}


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("frame", _FRAMES)
def test_answer_that_ends_early_is_incomplete(frame: str, is_reset: bool, tmp_path: Path) -> None:
    # Guard against a part of an answer that its caller takes for the whole.
    header, body = _FRAMES[frame]

    async def answer(
        id_header: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n%b%b\r\n%b" % (id_header, header, body))
        await asyncio.sleep(0.02)
        if is_reset:
            _reset(writer)
        raise ConnectionResetError

    async def main(edge: EdgeProcess, ids: set[str]) -> None:
        await _send_all(edge, ids, b"")

    _run(tmp_path, answer, main)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"150", b"199", b"600", b"999"])
def test_status_that_is_no_answer_is_told_at_once(
    status: bytes, method: str, tmp_path: Path
) -> None:
    # Guard against callers that get a status of no meaning, or hear nothing until the time-out.
    async def answer(
        id_header: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = b"HTTP/1.1 %b Odd\r\n%bContent-Length: 2\r\n\r\nok" % (status, id_header)
        writer.write(head)

    async def main(edge: EdgeProcess, ids: set[str]) -> None:
        assert (await _send(edge, 1, method, b""))[0] == b"502"

    _run(tmp_path, answer, main)
