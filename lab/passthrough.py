"""Forward requests without berylchute's policies, as the baseline of several scenarios.

`round_robin` selects the servers of a service in turn, with unbounded queues.
`first_in_first_out` keeps one queue per host for requests of all kinds: the first request waits for
a slot of its service, and all others wait behind it. The slots are divided equally among hosts.
"""

import argparse
import asyncio
import itertools
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Literal

import attrs
import httpcore
import msgspec

from lab.asgi import Receive, Scope, Send, header, read_body, read_chunks, respond, serve

__all__ = ["PassThrough", "PassThroughSpec", "main"]

DROPPED_HEADERS = frozenset({b"host", b"authorization", b"connection", b"transfer-encoding"})
BUFFERED_BODY_BYTES_MAX = 65536


@attrs.frozen
class PassThroughSpec:
    """One host: its port, the servers of each service, its share of their slots, and its policy."""

    port: int
    position: str
    servers: Mapping[str, tuple[str, ...]]
    slots: Mapping[str, int]
    policy: Literal["round_robin", "first_in_first_out"]


class PassThrough:
    """Forward every request to the next server of its service."""

    def __init__(self, spec: PassThroughSpec) -> None:
        self._spec = spec
        self._server_cycles = {name: itertools.cycle(urls) for name, urls in spec.servers.items()}
        self._slots = {name: asyncio.Semaphore(count) for name, count in spec.slots.items()}
        self._queue_lock = asyncio.Lock()
        self._request_numbers = itertools.count(1)
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward one HTTP request; respond with 404 if its service is unknown."""
        service = scope["path"].split("/")[1]
        if service not in self._server_cycles:
            await respond(send, 404)
            return
        async with self._slot(service):
            await self._forward(service, scope, receive, send)

    @asynccontextmanager
    async def _slot(self, service: str) -> AsyncIterator[None]:
        if self._spec.policy == "round_robin":
            yield
            return
        async with self._queue_lock:
            await self._slots[service].acquire()
        try:
            yield
        finally:
            self._slots[service].release()

    async def _forward(self, service: str, scope: Scope, receive: Receive, send: Send) -> None:
        address = next(self._server_cycles[service])
        headers = [item for item in scope["headers"] if item[0] not in DROPPED_HEADERS]
        request_id = f"{self._spec.position}-{next(self._request_numbers)}".encode()
        headers += [
            (b"host", address.encode()),
            (b"berylchute-host", self._spec.position.encode()),
            (b"berylchute-request-id", request_id),
        ]
        size_bytes = int(header(scope, b"content-length") or 0)
        content = (
            read_chunks(receive)
            if size_bytes > BUFFERED_BODY_BYTES_MAX
            else await read_body(receive)
        )
        try:
            async with self._pool(address).stream(
                scope["method"],
                f"http://{address}{scope['path']}",
                headers=headers,
                content=content,
            ) as response:
                body = await response.aread()
        except (httpcore.NetworkError, httpcore.ProtocolError, ConnectionError):
            await respond(send, 502)
            return
        response_headers = [item for item in response.headers if item[0].lower() == b"content-type"]
        await respond(send, response.status, body, response_headers)

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=4000, max_keepalive_connections=4000
            )
        return self._pools[address]


def main() -> None:
    """Run one pass-through host until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    spec = msgspec.json.decode(parser.parse_args().spec.read_bytes(), type=PassThroughSpec)
    asyncio.run(serve([(PassThrough(spec), spec.port)]))


if __name__ == "__main__":
    main()
