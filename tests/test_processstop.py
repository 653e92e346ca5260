"""Check that a planned stop of the edge program, as a process, loses no answer on its way."""

import asyncio
import contextlib
import functools
import signal
import socket
from pathlib import Path

import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, start_world

ANSWER_BYTES = 400_000
ANSWERS = 3


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer_bytes: int = ANSWER_BYTES
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:])}
            answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
            body = bytes(answer_bytes)
            writer.write(f"{answer}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    writer.close()


def _request(number: int) -> bytes:
    fields = wire.caller_headers(f"{number:016x}", 30_000, number)
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([f"GET /read/{number} HTTP/1.1", *lines, "", ""]).encode()


async def _connect_slowly(edge: EdgeProcess) -> socket.socket:
    """Connect with a small buffer, so that answers wait in the process and in its kernel."""
    host, _, port = edge.addresses.caller_address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


@pytest.mark.parametrize("further_s", [0.5, 1.05, 1.5, 2.0])
def test_stop_delivers_answers_to_a_slow_caller_that_sends_on(
    further_s: float, tmp_path: Path
) -> None:
    # Guard against answers that are lost because the process closes a connection that still gets
    # requests, which resets it.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            loop = asyncio.get_running_loop()
            sock = await _connect_slowly(edge)
            await loop.sock_sendall(sock, b"".join(_request(n) for n in range(ANSWERS)))
            await asyncio.sleep(0.5)
            edge.running.send_signal(signal.SIGTERM)
            await asyncio.sleep(further_s)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(sock, _request(ANSWERS))
            received = 0
            while data := await loop.sock_recv(sock, 65_536):
                received += len(data)
                await asyncio.sleep(0.01)
            sock.close()
            assert received >= ANSWERS * ANSWER_BYTES
            assert await edge.wait_exit() == 0

    asyncio.run(main())


@pytest.mark.parametrize("answers, answer_bytes", [(1, 110_000), (4, 34_000)])
def test_stop_delivers_answers_that_are_read_slowly(
    answers: int, answer_bytes: int, tmp_path: Path
) -> None:
    # Guard against answers that are cut some seconds into a stop, since what waits in buffers
    # counts as sent. The kernel sends the rest when the process has ended.
    async def main() -> None:
        serve = functools.partial(_serve, answer_bytes=answer_bytes)
        async with start_world(tmp_path, servers=0, handle=serve) as (edge, _):
            await edge.configure(2, {}, **{"timeout-s": 20.0})
            await edge.start()
            await edge.wait_ready()
            loop = asyncio.get_running_loop()
            sock = await _connect_slowly(edge)
            await loop.sock_sendall(sock, b"".join(_request(n) for n in range(answers)))
            await asyncio.sleep(0.5)
            edge.running.send_signal(signal.SIGTERM)
            received = 0
            while data := await loop.sock_recv(sock, 1_700):
                received += len(data)
                await asyncio.sleep(0.1)
            sock.close()
            assert received >= answers * answer_bytes
            assert await edge.wait_exit() == 0

    asyncio.run(main())


@pytest.mark.parametrize("length, status", [(90_000_000, 413), (66_000_000, 503)])
def test_refused_upload_gets_its_answer(length: int, status: int, tmp_path: Path) -> None:
    # Guard against a reset in place of a refusal for a caller that is still sending a body.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            edge.memory_mb = 200.0  # has no room for 66 MB
            await edge.start()
            await edge.wait_ready()
            reader, writer = await edge.connect()
            head = _request(1).replace(b"GET /read", b"POST /post")
            writer.write(head[:-2] + b"Content-Length: %d\r\n\r\n" % length)
            for _ in range(length // 300_000):
                writer.write(bytes(300_000))
                await writer.drain()
            assert (await reader.readline()).startswith(b"HTTP/1.1 %d" % status)
            assert b"connection: close" in (await reader.read()).lower()
            writer.close()

    asyncio.run(main())


def test_idle_connections_delay_no_stop(tmp_path: Path) -> None:
    # Guard against a stop that lasts until the kill since callers keep connections open.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            connections = [await edge.connect() for _ in range(20)]
            edge.running.send_signal(signal.SIGTERM)

            async def close_at_end(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.read()
                writer.close()

            async with asyncio.timeout(4.0):
                await asyncio.gather(*(close_at_end(*pair) for pair in connections))
                assert await edge.running.wait() == 0

    asyncio.run(main())
