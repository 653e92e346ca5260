"""Tests for the client of the platform's metadata store."""

import asyncio
import json

from berylchute.node import MonotonicClock
from berylchute_platform.objects import CONNECTIONS_MAX, PlatformStore

LISTING = json.dumps({"items": [], "at-rev": 7}).encode()


def test_calls_to_the_store_do_not_use_up_its_connections() -> None:
    """Guard against watches that fail, so that routes and evacuations are taken over late."""

    async def main() -> None:
        writers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LISTING)
            while line := await reader.readline():
                if not line.strip():
                    writer.write(head + LISTING)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        store = PlatformStore(f"{host}:{port}", MonotonicClock())
        for _ in range(CONNECTIONS_MAX + 1):
            assert (await store.read("servers")).revision == 7
        assert len(writers) == 1
        for writer in writers:
            writer.close()
            await writer.wait_closed()
        server.close()

    asyncio.run(main())
