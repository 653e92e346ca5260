"""Check that the edge program, as a process, stays within its memory under large bodies."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path

import attrs
import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, Handle, start_world

MEMORY_MB = 300.0
PEAK_MAX_MB = 0.85 * MEMORY_MB
LARGE_ANSWER = bytes(4_000_000)
PART = bytes(262_144)
_ids = itertools.count()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests: /large with many bytes, uploads after a time in their query."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:])}
            left = int(fields.get("content-length", 0))
            while left:
                left -= len(await reader.read(min(left, 1 << 20)))
            if "wait=" in head[0]:
                await asyncio.sleep(float(head[0].split("wait=")[1].split()[0]))
            body = LARGE_ANSWER if "/large" in head[0] else b"ok"
            request_id = fields["request-id"]
            answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Load: 0,0,99\r\n"
            writer.write(f"{answer}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
    writer.close()


@attrs.define
class _Load:
    """Clients of one edge process, and the statuses that they got by kind of request."""

    edge: EdgeProcess
    statuses: dict[str, Counter[int]] = attrs.field(factory=dict)
    small_s: list[float] = attrs.field(factory=list)

    def _head(self, kind: str, path: str, body_bytes: int = 0, deadline_ms: int = 3000) -> bytes:
        request_id = f"{next(_ids):016x}"
        fields = wire.caller_headers(request_id, deadline_ms, next(_ids) % 500)
        lines = [f"{name}: {value}" for name, value in fields.items()]
        method = "POST" if body_bytes else "GET"
        lines += [f"Content-Length: {body_bytes}"] if body_bytes else []
        return "\r\n".join([f"{method} /{kind}{path} HTTP/1.1", *lines, "", ""]).encode()

    async def _record(self, name: str, reader: asyncio.StreamReader) -> None:
        try:
            status = int((await reader.readline()).split()[1])
        except (OSError, IndexError):
            status = 0
        self.statuses.setdefault(name, Counter())[status] += 1

    async def upload(self, body_bytes: int, wait_s: float) -> None:
        reader, writer = await self.edge.connect()
        answered = asyncio.create_task(self._record("upload", reader))
        writer.write(self._head("post", f"/?wait={wait_s}", body_bytes))
        left = body_bytes
        with contextlib.suppress(OSError):
            while left and not answered.done():
                writer.write(PART[:left])
                left -= min(left, len(PART))
                await writer.drain()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(answered, 8.0)
        writer.close()

    async def read_slowly(self, seconds: float) -> None:
        reader, writer = await self.edge.connect()
        writer.write(self._head("read", "/large"))
        await asyncio.sleep(seconds)
        writer.transport.abort()

    async def small(self) -> None:
        started_s = time.monotonic()
        reader, writer = await self.edge.connect()
        writer.write(self._head("read", "/small"))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._record("small", reader), 8.0)
        self.small_s.append(time.monotonic() - started_s)
        writer.close()


async def _repeat(
    period_s: float, seconds: float, make: Callable[[], Coroutine[None, None, None]]
) -> None:
    tasks = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(make()))
        await asyncio.sleep(period_s)
    await asyncio.gather(*tasks)


def _run(
    folder: Path, act: Callable[[_Load], Coroutine[None, None, None]], handle: Handle = _serve
) -> _Load:
    """Run a load beside small requests and check what holds for all loads."""
    result: list[_Load] = []

    async def main() -> None:
        async with start_world(folder, servers=0, handle=handle) as (edge, _):
            edge.memory_mb = MEMORY_MB
            await edge.start()
            await edge.wait_ready()
            load = _Load(edge)
            result.append(load)
            small = asyncio.create_task(_repeat(0.05, 8.0, load.small))
            await act(load)
            await small
            assert edge.running.returncode is None
            peak_mb = edge.peak_memory_mb()
            print(f"peak {peak_mb:.0f} MB, {load.statuses}, slowest {max(load.small_s):.2f} s")
            assert peak_mb <= PEAK_MAX_MB, load.statuses

    asyncio.run(main())
    load = result[0]
    assert set(load.statuses["small"]) == {200}, load.statuses
    # The test's own clients and servers take most of the time; the requests themselves none.
    assert max(load.small_s) < 2.0
    assert set(load.statuses.get("upload", {})) <= {200, 503, 504}, load.statuses
    return load


def test_uploads_at_slow_servers_stay_within_the_memory(tmp_path: Path) -> None:
    # Guard against a process that is killed for its memory, with all requests that it carries,
    # when servers turn slow under uploads of 8 MiB.
    async def act(load: _Load) -> None:
        waits_s = itertools.cycle([5.8, 0.4, 0.4, 5.8, 0.4])
        await _repeat(0.125, 8.0, lambda: load.upload(8 * 2**20, next(waits_s)))

    load = _run(tmp_path, act)
    assert load.statuses["upload"][200] >= 20, load.statuses


def test_many_uploads_of_the_largest_size_at_once(tmp_path: Path) -> None:
    # Guard against a sum of incomplete uploads that exceeds the memory.
    async def act(load: _Load) -> None:
        await asyncio.gather(*(load.upload(64_000_000, 0.1) for _ in range(64)))

    load = _run(tmp_path, act)
    assert load.statuses["upload"][503] >= 1, load.statuses


def test_answers_for_slow_readers_stay_within_the_memory(tmp_path: Path) -> None:
    # Guard against answers that pile up for callers that don't read, beside uploads.
    async def act(load: _Load) -> None:
        readers = (load.read_slowly(6.0) for _ in range(100))
        uploads = _repeat(0.25, 6.0, lambda: load.upload(8 * 2**20, 0.4))
        await asyncio.gather(uploads, *readers)

    _run(tmp_path, act)


ENDLESS_PART = b"x" * 65_536
ENDLESS_STARTS = {
    "head": b"HTTP/1.1 200 OK\r\nX: ",
    "body-to-the-end": b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n",
    "body-with-a-length": b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 45000000\r\n\r\n",
    "after-an-answer": b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok",
    "no-answer": b"",
}


def _serve_endlessly(start: bytes) -> Handle:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests for /large without end, and all others as usual."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while b"/large" in (head := await reader.readuntil(b"\r\n\r\n")):
                request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                writer.write(start.replace(b"%s", request_id))
                while True:
                    writer.write(ENDLESS_PART)
                    await writer.drain()
            unread = asyncio.StreamReader()
            unread.feed_data(head)
            asyncio.create_task(_forward(reader, unread))
            await _serve(unread, writer)
        writer.close()

    return serve


async def _forward(reader: asyncio.StreamReader, unread: asyncio.StreamReader) -> None:
    while data := await reader.read(65_536):
        unread.feed_data(data)
    unread.feed_eof()


@pytest.mark.parametrize("name", ENDLESS_STARTS)
def test_answers_without_end_beside_uploads_stay_within_the_memory(
    name: str, tmp_path: Path
) -> None:
    # Guard against a faulty server whose bytes fill the memory of a process that also holds
    # uploads, and so end the requests of all callers.
    async def act(load: _Load) -> None:
        readers = _repeat(0.1, 6.0, lambda: load.read_slowly(3.0))
        uploads = _repeat(0.25, 6.0, lambda: load.upload(8 * 2**20, 0.4))
        await asyncio.gather(uploads, readers)

    _run(tmp_path, act, _serve_endlessly(ENDLESS_STARTS[name]))


@pytest.mark.parametrize("name", ENDLESS_STARTS)
def test_store_without_end_stays_within_the_memory(name: str, tmp_path: Path) -> None:
    # Guard against a store whose bytes fill the memory, and so end the requests of all callers.
    start = ENDLESS_STARTS[name].replace(b"Request-Id: %s\r\n", b"")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            writer.write(start)
            while True:
                writer.write(ENDLESS_PART)
                await writer.drain()

    async def main() -> None:
        async with start_world(tmp_path, servers=0) as (edge, _):
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            edge.store_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            edge.memory_mb = MEMORY_MB
            await edge.start()
            await asyncio.sleep(6.0)
            assert edge.running.returncode is None
            print(f"peak {edge.peak_memory_mb():.0f} MB")
            assert edge.peak_memory_mb() <= PEAK_MAX_MB / 2.0
            server.close()

    asyncio.run(main())


def test_bytes_that_are_no_message_do_no_harm(tmp_path: Path) -> None:
    # Guard against a faulty program at the members' port whose bytes fill the memory.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            edge.memory_mb = MEMORY_MB
            await edge.start()
            await edge.wait_ready()
            before_mb = edge.peak_memory_mb()
            for start in (b"", b"\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f\x03\x00NULL"):
                _, writer = await edge.connect(edge.addresses.peer_address)
                writer.write(start)
                with contextlib.suppress(OSError):
                    for _ in range(1000):
                        writer.write(ENDLESS_PART)
                        await asyncio.wait_for(writer.drain(), 0.5)
                writer.close()
            assert edge.running.returncode is None
            assert edge.peak_memory_mb() < before_mb + 20.0

    asyncio.run(main())


@pytest.mark.parametrize("size", [1, 65_536, 65_537, 200_000, 5_000_000])
def test_uploads_of_any_size_arrive_whole(size: int, tmp_path: Path) -> None:
    # Guard against bodies that are cut or repeated where they are written in parts.
    async def act(load: _Load) -> None:
        await asyncio.gather(*(load.upload(size, 0.0) for _ in range(4)))

    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            load = _Load(edge)
            await act(load)
            assert load.statuses["upload"] == {200: 4}

    asyncio.run(main())
