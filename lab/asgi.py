"""ASGI types and helpers for the stand-ins and the pass-through baseline."""

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

TRANSPORT_SCOPE_KEY = "lab.transport"


class TransportProtocol(HttpToolsProtocol):
    """Put the transport into the ASGI scope, so that an application can abort or close it."""

    def on_headers_complete(self) -> None:
        """Add the transport to the scope before the application starts."""
        scope = cast(dict[str, Any], self.scope)
        scope[TRANSPORT_SCOPE_KEY] = self.transport
        super().on_headers_complete()


def abort_connection(scope: Scope) -> None:
    """Abort the connection at once; bytes not yet sent are lost."""
    scope[TRANSPORT_SCOPE_KEY].abort()


def close_connection(scope: Scope) -> None:
    """Close the connection once the bytes written so far are sent."""
    scope[TRANSPORT_SCOPE_KEY].close()


def header(scope: Scope, name: bytes) -> str:
    """Return a request header by its lower-case name, or an empty string."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""


async def read_chunks(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the request body; raise ConnectionError if the caller disconnects before its end."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionError("caller disconnected before the end of the request body")
        if message.get("body"):
            yield message["body"]
        if not message.get("more_body"):
            return


async def read_body(receive: Receive) -> bytes:
    """Return the whole request body; raise ConnectionError as `read_chunks` does."""
    return b"".join([chunk async for chunk in read_chunks(receive)])


async def respond(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Send a complete response; its Content-Length header is added."""
    fields = [(b"content-length", str(len(body)).encode()), *headers]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body})


async def respond_json(send: Send, value: Any, status: int = 200) -> None:
    """Send a value as a JSON response."""
    headers = [(b"content-type", b"application/json")]
    await respond(send, status, msgspec.json.encode(value), headers)


class _ServerWithoutSignals(uvicorn.Server):
    """A uvicorn server without signal handlers, as `serve` handles signals for all servers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        """Install no signal handlers."""
        yield


async def serve(apps: list[tuple[App, int]]) -> None:
    """Serve each application on its loopback port until SIGTERM or SIGINT, then stop within 5 s."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    servers = [_ServerWithoutSignals(_server_config(app, port)) for app, port in apps]
    tasks = [asyncio.create_task(server.serve()) for server in servers]
    await stop_requested.wait()
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
        http=TransportProtocol,
        lifespan="off",
        access_log=False,
        log_level="error",
        timeout_keep_alive=120,
        backlog=1024,
    )
