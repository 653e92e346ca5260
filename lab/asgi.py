"""Small ASGI helpers shared by the stand-ins and the pass-through baseline."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any, cast

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = [
    "App",
    "Receive",
    "Scope",
    "Send",
    "abort_connection",
    "close_connection",
    "header",
    "read_body",
    "read_chunks",
    "respond",
    "respond_json",
    "serve",
]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

TRANSPORT_KEY = "lab.transport"


class FaultyProtocol(HttpToolsProtocol):
    """Expose the transport to the application, so that it can break a connection."""

    def on_headers_complete(self) -> None:
        """Add the transport to the scope before the application starts."""
        scope = cast(dict[str, Any], self.scope)
        scope[TRANSPORT_KEY] = self.transport
        super().on_headers_complete()


def abort_connection(scope: Scope) -> None:
    """Break the connection at once; unsent bytes are lost."""
    scope[TRANSPORT_KEY].abort()


def close_connection(scope: Scope) -> None:
    """Close the connection after the bytes written so far."""
    scope[TRANSPORT_KEY].close()


def header(scope: Scope, name: bytes) -> str:
    """Return a request header by its lower-case name, or an empty string."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""


async def read_chunks(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the request body; raise ConnectionError if the caller leaves before its end."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError("caller left before the end of the body")
        if message.get("body"):
            yield message["body"]
        if not message.get("more_body"):
            return


async def read_body(receive: Receive) -> bytes:
    """Return the whole request body."""
    return b"".join([chunk async for chunk in read_chunks(receive)])


async def respond(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Send a complete response."""
    fields = [(b"content-length", str(len(body)).encode()), *headers]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body})


async def respond_json(send: Send, value: Any, status: int = 200) -> None:
    """Send a JSON response."""
    headers = [(b"content-type", b"application/json")]
    await respond(send, status, msgspec.json.encode(value), headers)


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process that runs several of them."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        """Install no handlers."""
        yield


async def serve(apps: list[tuple[App, int]]) -> None:
    """Serve applications on loopback ports until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    servers = [_QuietServer(_server_config(app, port)) for app, port in apps]
    tasks = [asyncio.create_task(server.serve()) for server in servers]
    await stop.wait()
    for server in servers:
        server.should_exit = True
        server.force_exit = True
    await asyncio.wait(tasks, timeout=5)


def _server_config(app: App, port: int) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        loop="asyncio",
        http=FaultyProtocol,
        lifespan="off",
        access_log=False,
        log_level="error",
        timeout_keep_alive=120,
        backlog=1024,
    )
