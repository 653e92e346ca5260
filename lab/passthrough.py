"""Forward requests without any policy of ours: the baseline of several scenarios.

`round_robin` takes the servers of a service in turn with unbounded queues. `first_in_first_out`
keeps one queue per host for all kinds; its head waits for a slot of its service, of which the
host has an equal share.
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

DROPPED = frozenset({b"host", b"authorization", b"connection", b"transfer-encoding"})
WHOLE_BODY_BYTES_MAX = 65536


@attrs.frozen
class PassThroughSpec:
    """One host: its port, the servers of each service, and its policy."""

    port: int
    position: str
    servers: Mapping[str, tuple[str, ...]]
    slots: Mapping[str, int]
    policy: Literal["round_robin", "first_in_first_out"]


class PassThrough:
    """Forward every request to the next server of its service."""

    def __init__(self, spec: PassThroughSpec) -> None:
        self._spec = spec
        self._next = {name: itertools.cycle(urls) for name, urls in spec.servers.items()}
        self._slots = {name: asyncio.Semaphore(count) for name, count in spec.slots.items()}
        self._head = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        service = scope["path"].split("/")[1]
        if service not in self._next:
            await respond(send, 404)
            return
        async with self._turn(service):
            await self._forward(service, scope, receive, send)

    @asynccontextmanager
    async def _turn(self, service: str) -> AsyncIterator[None]:
        if self._spec.policy == "round_robin":
            yield
            return
        async with self._head:
            await self._slots[service].acquire()
        try:
            yield
        finally:
            self._slots[service].release()

    async def _forward(self, service: str, scope: Scope, receive: Receive, send: Send) -> None:
        address = next(self._next[service])
        headers = [item for item in scope["headers"] if item[0] not in DROPPED]
        request_id = f"{self._spec.position}-{next(self._numbers)}".encode()
        headers += [
            (b"host", address.encode()),
            (b"berylchute-host", self._spec.position.encode()),
            (b"berylchute-request-id", request_id),
        ]
        size = int(header(scope, b"content-length") or 0)
        content = read_chunks(receive) if size > WHOLE_BODY_BYTES_MAX else await read_body(receive)
        try:
            async with self._pool(address).stream(
                scope["method"],
                f"http://{address}{scope['path']}",
                headers=headers,
                content=content,
            ) as answer:
                body = await answer.aread()
        except (httpcore.NetworkError, httpcore.ProtocolError, ConnectionError):
            await respond(send, 502)
            return
        fields = [item for item in answer.headers if item[0].lower() == b"content-type"]
        await respond(send, answer.status, body, fields)

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=4000, max_keepalive_connections=4000
            )
        return self._pools[address]


def main() -> None:
    """Run one pass-through host until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    spec = msgspec.json.decode(parser.parse_args().spec.read_bytes(), type=PassThroughSpec)
    asyncio.run(serve([(PassThrough(spec), spec.port)]))


if __name__ == "__main__":
    main()
