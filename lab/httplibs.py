"""Show how uvicorn and httpcore treat the cases that decide about them: `python -m lab.httplibs`.

docs/decisions/0006-http-parsers.md quotes the output.
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

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
WORK_S = 0.5
PIPELINED = 4


class _Work:
    """An ASGI application that works for a while and notes callers that leave."""

    def __init__(self) -> None:
        self.left_after_s: float | None = None

    async def __call__(self, scope: Any, receive: Callable[[], Awaitable[Any]], send: Any) -> None:
        if scope["type"] != "http":
            return
        await receive()
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(WORK_S):
                while (await receive())["type"] != "http.disconnect":
                    pass
            self.left_after_s = time.monotonic() - started_s
        except TimeoutError:
            pass
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"x"})


async def _serve(application: _Work) -> tuple[uvicorn.Server, asyncio.Task[None], int]:
    (port,) = free_ports(1)
    config = uvicorn.Config(application, port=port, log_level="critical", lifespan="off")
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    return server, task, port


async def _pipelined_s() -> float:
    """Return how long uvicorn takes for PIPELINED requests of WORK_S on one connection."""
    server, task, port = await _serve(_Work())
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    started_s = time.monotonic()
    for number in range(PIPELINED):
        writer.write(GET % number)
    seen = b""
    while seen.count(b"HTTP/1.1 200") < PIPELINED:
        seen += await reader.read(65536)
    writer.close()
    server.should_exit = True
    await task
    return time.monotonic() - started_s


async def _leaving_s(waiting: int) -> float | None:
    """Return after how long uvicorn tells that a caller left, with requests waiting behind."""
    application = _Work()
    server, task, port = await _serve(application)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(1 + waiting):
        writer.write(GET % number)
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await asyncio.sleep(WORK_S)
    server.should_exit = True
    await task
    return application.left_after_s


async def _second_answer() -> bytes:
    """Return what httpcore gives a request after a late second answer to the one before it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        writer.write(answer + b"first")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer + b"extra" + answer + b"mine!")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("GET", url)
        answer = await pool.request("GET", url)
    server.close()
    return answer.content


def _import_s(module: str) -> float:
    """Return the processor time of importing a module in a fresh interpreter."""
    code = f"import time; t = time.process_time(); import {module}; print(time.process_time() - t)"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return float(output.stdout)


def main() -> None:
    """Print what was observed."""
    print(f"uvicorn {uvicorn.__version__}, httpcore {httpcore.__version__}")
    total_s = asyncio.run(_pipelined_s())
    print(f"uvicorn: {PIPELINED} pipelined requests of {WORK_S} s took {total_s:.2f} s")
    for waiting in (0, 1):
        left_s = asyncio.run(_leaving_s(waiting))
        told = "not told" if left_s is None else f"told after {left_s:.2f} s"
        print(f"uvicorn: caller that left after 0.1 s with {waiting} request waiting: {told}")
    found = asyncio.run(_second_answer()).decode()
    print(f"httpcore: after a late second answer, the next request got {found!r}")
    for module in ("uvicorn", "httpcore", "httptools"):
        print(f"import {module}: {min(_import_s(module) for _ in range(3)):.3f} s")


if __name__ == "__main__":
    main()
