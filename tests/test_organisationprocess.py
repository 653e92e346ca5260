"""Check API keys at the edge program as a process, while its configuration changes."""

import asyncio
from pathlib import Path

from soak import wire
from tests.edgeprocess import start_world


class _Caller:
    """One open connection of a caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._count = 0

    async def get(self, *lines: str) -> tuple[int, str]:
        """Send a request with these header lines; return the status and the body."""
        self._count += 1
        fields = wire.caller_headers(f"{self._count:016x}", 5000, self._count)
        head = [f"{name}: {value}" for name, value in fields.items()]
        text = "\r\n".join([f"GET /read/{self._count} HTTP/1.1", *head, *lines, "", ""])
        self._writer.write(text.encode("latin-1"))
        answer = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(answer.split("content-length: ")[1].split("\r\n")[0])
        return int(answer.split()[1]), (await self._reader.readexactly(length)).decode()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with the headers about its caller that the server has received."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            request_id = next(line for line in lines if line.lower().startswith("request-id"))
            about = [x for x in lines if x.lower().startswith(("tenant:", "authorization:"))]
            body = ";".join(about)
            head = f"HTTP/1.1 200 OK\r\n{request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode("latin-1"))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def test_keys_change_while_a_connection_is_open(tmp_path: Path) -> None:
    # Guard against parts that are not connected: store, keys, routes and the headers for servers;
    # and against keys in the log of the process.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            await edge.configure(2, {"one": ["secret-1"], "two": ["secret-2"]})
            await edge.start()
            await edge.wait_ready()
            caller = _Caller(*await edge.connect())
            first, second = "Authorization: Bearer secret-1", "Authorization: bearer secret-2"
            assert await caller.get(first, "Tenant: two") == (200, "Tenant: one")
            assert await caller.get(second) == (200, "Tenant: two")
            assert (await caller.get("Tenant: two"))[0] == 401
            assert (await caller.get("Authorization: Bearer \xff"))[0] == 401
            assert (await caller.get(first, first))[0] == 401
            # One key of two organisations is nobody's; the others of the configuration hold.
            shared = {"one": ["secret-2", "secret-3"], "two": ["secret-2"]}
            await edge.configure(3, shared)
            await edge.wait_log('"number":3')
            assert (await caller.get(second))[0] == 401
            third = "Authorization: Bearer secret-3"
            assert await caller.get(third) == (200, "Tenant: one")
            assert (await caller.get(first))[0] == 401
            # One key moves, the other one is removed.
            await edge.configure(4, {"one": ["secret-2"], "two": []})
            await edge.wait_log('"number":4')
            assert await caller.get(second) == (200, "Tenant: one")
            assert (await caller.get(first))[0] == 401
            await edge.configure(5, {"one": ["secret-2"]}, public=True)
            await edge.wait_log('"number":5')
            assert await caller.get(first, "Tenant: two") == (200, "")
            assert await caller.get(second) == (200, "Tenant: one")
            assert "secret" not in edge.log.read_text()

    asyncio.run(main())


def test_long_keys_and_odd_names_come_into_force(tmp_path: Path) -> None:
    # Guard against a configuration that is ignored for the length of a key or the letters of a
    # name: keys and routes that it drops went on working, those that it added were refused.
    async def main() -> None:
        async with start_world(tmp_path, servers=0, handle=_serve) as (edge, _):
            await edge.configure(2, {"one": ["old"]})
            await edge.start()
            await edge.wait_ready()
            caller = _Caller(*await edge.connect())
            assert await caller.get("Authorization: Bearer old") == (200, "Tenant: one")
            keys = {"county clerk": ["k" * 500], "two": ["k" * 12_000], "one": ["new", " "]}
            await edge.configure(3, keys)
            await edge.wait_log('"number":3')
            for number, length in ((0, 500), (1, 12_000), (2, 500)):
                name = ("county clerk", "two")[number % 2]
                answer = await caller.get("Authorization: Bearer " + "k" * length)
                assert answer == (200, f"Tenant: {name}")
            assert await caller.get("Authorization: Bearer new") == (200, "Tenant: one")
            assert (await caller.get("Authorization: Bearer old"))[0] == 401
            reader, writer = await edge.connect(f"127.0.0.1:{edge.addresses.free_ports[0]}")
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            metrics = (await reader.read()).decode()
            writer.close()
            name = "berylchute_edge_store_objects_malformed_total"
            assert f'{name}{{collection="config"}} 1.0' in metrics

    asyncio.run(main())
