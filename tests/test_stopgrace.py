"""Check, with the edge program as a process, what a planned stop accepts and how it ends it."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, start_world

Main = Callable[[EdgeProcess, list[str]], Coroutine[None, None, None]]


def _run(tmp_path: Path, grace_s: float, main: Main) -> None:
    """Run `main` with an edge and the ids of the requests that servers have begun to run."""
    ids: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request after the time in its path, in seconds."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines[1:])}
                ids.append(fields["request-id"])
                await asyncio.sleep(float(lines[0].split(" ")[1].rpartition("/")[2]))
                answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                writer.write(f"{answer}Content-Length: 2\r\n\r\nok".encode())
        writer.close()

    async def run() -> None:
        async with start_world(tmp_path, servers=0, handle=serve) as (edge, _):
            edge.grace_s = grace_s
            await edge.configure(2, {}, **{"timeout-s": 60.0})
            await edge.start()
            await edge.wait_ready()
            await main(edge, ids)

    asyncio.run(run())


async def _send(
    edge: EdgeProcess, number: int, work_s: float, deadline_ms: int
) -> Coroutine[None, None, bytes]:
    """Send a request on a new connection and return what reads its status, empty without one."""
    reader, writer = await edge.connect()
    fields = wire.caller_headers(f"{number:016x}", deadline_ms, number)
    lines = [f"POST /post/{work_s} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())

    async def read_status() -> bytes:
        with contextlib.suppress(ConnectionError):
            data = await reader.read()
            writer.close()
            return data[9:12]
        return b""

    return read_status()


@pytest.mark.parametrize("grace_s", [2.0, 6.0, 10.0])
def test_stop_refuses_requests_that_may_outlast_it(grace_s: float, tmp_path: Path) -> None:
    # Guard against requests that a stopping process takes and breaks off at its end: they are not
    # idempotent, so that nobody knows whether they have run.
    async def main(edge: EdgeProcess, ids: list[str]) -> None:
        edge.running.send_signal(signal.SIGTERM)
        await edge.wait_log("stopping")
        long = await _send(edge, 1, work_s=grace_s, deadline_ms=30_000)
        short = await _send(edge, 2, work_s=0.0, deadline_ms=700)
        assert await long == b"503"
        assert await short == b"200"
        assert ids == [f"{2:016x}"]
        assert await edge.wait_exit() == 0

    _run(tmp_path, grace_s, main)


@pytest.mark.parametrize("signals", [[signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM]])
def test_stop_uses_the_grace_time_of_the_settings_file(
    signals: list[signal.Signals], tmp_path: Path
) -> None:
    # Guard against requests that end with the kill, without an answer, since the process stops by
    # a grace time that was shortened just before, with or without a signal.
    async def main(edge: EdgeProcess, ids: list[str]) -> None:
        answer = await _send(edge, 1, work_s=9.0, deadline_ms=9_000)
        while not ids:
            await asyncio.sleep(0.01)
        edge.grace_s = 2.5
        edge.write_settings()
        for number in signals:
            edge.running.send_signal(number)
        async with asyncio.timeout(edge.grace_s):
            assert await answer == b"504"
            assert await edge.running.wait() == 0

    _run(tmp_path, 6.0, main)


def test_further_stop_signals_shorten_no_stop(tmp_path: Path) -> None:
    # Guard against requests that are broken off since the platform repeats its signal.
    async def main(edge: EdgeProcess, ids: list[str]) -> None:
        answer = await _send(edge, 1, work_s=1.5, deadline_ms=9_000)
        while not ids:
            await asyncio.sleep(0.01)
        for _ in range(4):
            edge.running.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
        assert await answer == b"200"
        assert await edge.wait_exit() == 0

    _run(tmp_path, 6.0, main)


def test_stop_refuses_a_body_that_has_not_arrived(tmp_path: Path) -> None:
    # Guard against an upload whose connection ends without an answer at the end of a stop: its
    # caller can't know that it has not run.
    async def main(edge: EdgeProcess, ids: list[str]) -> None:
        reader, writer = await edge.connect()
        fields = wire.caller_headers(f"{1:016x}", 30_000, 1)
        lines = ["POST /post/0 HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
        writer.write("\r\n".join([*lines, "Content-Length: 1000", "", "begin"]).encode())
        await asyncio.sleep(0.1)
        edge.running.send_signal(signal.SIGTERM)
        assert (await reader.read())[9:12] == b"503"
        writer.close()
        assert not ids
        assert await edge.wait_exit() == 0

    _run(tmp_path, 2.0, main)
