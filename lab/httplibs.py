"""Show how uvicorn and httpcore behave where the choice of HTTP library depends on it.

Run as `python -m lab.httplibs`; docs/decisions/0006-http-parsers.md quotes the output.
"""

import asyncio
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import uvicorn

from lab.processes import free_ports

__all__ = ["main"]

GET_REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
RESPONSE_DELAY_S = 0.5
PIPELINED = 4


class _DelayedApplication:
    """An ASGI application that responds after a delay and records when the caller disconnects."""

    def __init__(self) -> None:
        self.disconnect_after_s: float | None = None

    async def __call__(self, scope: Any, receive: Callable[[], Awaitable[Any]], send: Any) -> None:
        if scope["type"] != "http":
            return
        await receive()
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(RESPONSE_DELAY_S):
                while (await receive())["type"] != "http.disconnect":
                    pass
            self.disconnect_after_s = time.monotonic() - started_s
        except TimeoutError:
            pass
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"x"})


async def _start_server(
    application: _DelayedApplication,
) -> tuple[uvicorn.Server, asyncio.Task[None], int]:
    (port,) = free_ports(1)
    config = uvicorn.Config(application, port=port, log_level="critical", lifespan="off")
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    return server, task, port


async def _pipelined_duration_s() -> float:
    """Return the time uvicorn takes for PIPELINED requests of RESPONSE_DELAY_S on a connection."""
    server, task, port = await _start_server(_DelayedApplication())
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    started_s = time.monotonic()
    for number in range(PIPELINED):
        writer.write(GET_REQUEST % number)
    received = b""
    while received.count(b"HTTP/1.1 200") < PIPELINED:
        received += await reader.read(65536)
    writer.close()
    server.should_exit = True
    await task
    return time.monotonic() - started_s


async def _disconnect_notice_s(queued_requests: int) -> float | None:
    """Return the time until uvicorn reports a disconnect, or None if it reports none.

    `queued_requests` more requests are queued on the same connection behind the one in progress.
    """
    application = _DelayedApplication()
    server, task, port = await _start_server(application)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(1 + queued_requests):
        writer.write(GET_REQUEST % number)
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await asyncio.sleep(RESPONSE_DELAY_S)
    server.should_exit = True
    await task
    return application.disconnect_after_s


async def _content_after_second_response() -> bytes:
    """Return what httpcore reads for a request after a late second response to the previous one."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        writer.write(head + b"first")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"extra" + head + b"mine!")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("GET", url)
        response = await pool.request("GET", url)
    server.close()
    return response.content


def _import_cpu_s(module: str) -> float:
    """Return the CPU time of importing a module in a new interpreter."""
    code = f"import time; t = time.process_time(); import {module}; print(time.process_time() - t)"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return float(output.stdout)


def main() -> None:
    """Print the versions and the behaviour of the installed libraries."""
    print(f"uvicorn {uvicorn.__version__}, httpcore {httpcore.__version__}")
    total_s = asyncio.run(_pipelined_duration_s())
    print(f"uvicorn: {PIPELINED} pipelined requests of {RESPONSE_DELAY_S} s took {total_s:.2f} s")
    for queued in (0, 1):
        notice_s = asyncio.run(_disconnect_notice_s(queued))
        notice = "not told" if notice_s is None else f"told after {notice_s:.2f} s"
        print(f"uvicorn: caller that left after 0.1 s with {queued} request waiting: {notice}")
    content = asyncio.run(_content_after_second_response()).decode()
    print(f"httpcore: after a late second answer, the next request got {content!r}")
    for module in ("uvicorn", "httpcore", "httptools"):
        print(f"import {module}: {min(_import_cpu_s(module) for _ in range(3)):.3f} s")


if __name__ == "__main__":
    main()
