"""Check that no untrusted caller ends the edge process or takes its memory and descriptors."""

import asyncio
import contextlib
import os
from pathlib import Path

import attrs
import pytest

from tests.crowd.callers import CASES, LEGAL_REQUESTS, Callers, read_status, request, send_all
from tests.edgeprocess import EdgeProcess, start_world

pytestmark = pytest.mark.crowd

# The least `limits.memory-mb` of a host; the idle process takes 40 MB.
MEMORY_MB = 152.0
# The platform reserves 200 of a host's descriptors for files, which leaves 400.
MAX_FDS = 600
LARGE_ANSWER = bytes(500_000)
ANSWER_S = 20.0
# Servers may be busy for some seconds with what the crowd has sent; 503 is a right answer then.
TRIES = 15
TRY_AGAIN_S = 1.0
SERVER_SLOTS = 40


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests: /large with many bytes, others after the time in their query."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            _, _, length = head.partition(b"content-length: ")
            await reader.readexactly(int(length.split(b"\r\n")[0] or 0))
            _, _, wait_s = head.partition(b"wait=")
            await asyncio.sleep(float(wait_s.split(b" ")[0] or 0))
            request_id = head.partition(b"request-id: ")[2].split(b"\r\n")[0]
            body = LARGE_ANSWER if b"/large" in head else b"ok"
            fields = (request_id, len(body))
            answer = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n" % fields
            writer.write(answer + body)
            await writer.drain()
    writer.close()


@attrs.define
class _Descriptors:
    """The highest number of open descriptors of a process, read at intervals."""

    edge: EdgeProcess
    peak: int = 0

    async def watch(self) -> None:
        while self.edge.running.returncode is None:
            with contextlib.suppress(FileNotFoundError):
                self.peak = max(self.peak, len(os.listdir(f"/proc/{self.edge.running.pid}/fd")))
            await asyncio.sleep(0.05)


async def _ask(edge: EdgeProcess, message: bytes) -> int:
    """Return the status of one request, or 0 without an answer."""
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await edge.connect()
            writer.write(message)
            status = await read_status(reader)
    except (OSError, TimeoutError):
        return 0
    writer.close()
    return status


async def _run(folder: Path, crowd: tuple[Callers, ...], message: bytes, tries: int) -> None:
    """Send a crowd and then a request, and check the process, its bounds and the answer."""
    async with start_world(folder, servers=0, handle=_serve, slots=SERVER_SLOTS) as (edge, _):
        edge.memory_mb, edge.max_fds = MEMORY_MB, MAX_FDS
        await edge.start()
        await edge.wait_ready()
        descriptors = _Descriptors(edge)
        watching = asyncio.create_task(descriptors.watch())
        await send_all(edge, crowd)
        statuses: list[int] = []
        while edge.running.returncode is None and 200 not in statuses and len(statuses) < tries:
            if statuses:
                await asyncio.sleep(TRY_AGAIN_S)
            statuses.append(await _ask(edge, message))
        assert edge.running.returncode is None, edge.log.read_text()[-2000:]
        peak_mb = edge.peak_memory_mb()
        watching.cancel()
        print(f"peak {peak_mb:.0f} MB, descriptors {descriptors.peak}, answers {statuses}")
        assert peak_mb <= MEMORY_MB
        assert descriptors.peak <= MAX_FDS
        assert statuses[-1] == 200, statuses


@pytest.mark.parametrize("name", CASES)
def test_callers_do_not_end_the_process(name: str, tmp_path: Path) -> None:
    # Guard against callers who make a process exceed its memory or its descriptors, so that it is
    # killed with the requests of all others, or leave it unable to answer.
    ordinary = request("/read/0").replace(b"*request-id-no.*", b"ordinary")
    asyncio.run(_run(tmp_path, CASES[name], ordinary, TRIES))


@pytest.mark.parametrize("name", LEGAL_REQUESTS)
def test_a_request_at_the_limits_is_served(name: str, tmp_path: Path) -> None:
    # Guard against limits on untrusted callers that refuse a request within the configured ones.
    asyncio.run(_run(tmp_path, (), LEGAL_REQUESTS[name], tries=1))
