"""A manifest with one long API key never comes into force: keys that it removes go on working."""

import asyncio
import random
import string
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-3"))
from harness import (
    Edge,
    Record,
    Registered,
    Store,
    answer,
    encode_request,
    manifest,
    read_answer,
    read_head,
    run_case,
)

SERVICE = "sign-desk"
ZONES = {"gulf-a": "gulf", "plains-a": "plains", "hill-a": "hill"}
# config-apply-s of demands/petition-hosting-grown.toml.
CONFIG_APPLY_S = 3.0
LOOK_S = 10.0
# A signed token (RS256) with a few claims has some 500 characters; max-header-bytes is 16,384.
LONG_KEY, USUAL_KEY = 500, 20
EXTRA = {
    "contracts": "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,"
    "pressure,platform",
}


async def play(folder: Path, record: Record, trouble: bool, started: list[Edge]) -> bool:
    store = Store(record)
    await store.start()
    runs: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                await reader.readexactly(message.length)
                request_id = message.header("Request-Id")
                runs.append(request_id)
                record.write(f"server runs {request_id} for tenant {message.header('Tenant')}")
                headers = [("Request-Id", request_id), ("Server-Stamp", f"s.{request_id}")]
                writer.write(answer(200, headers, b"ok"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    for number, zone in enumerate(ZONES):
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        Registered(store, f"i-{number}", SERVICE, address, zone, 6).write()

    rng = random.Random(4)

    def make_key(length: int) -> str:
        return "".join(rng.choices(string.ascii_letters + string.digits + "-_.", k=length))

    removed, kept, added = make_key(USUAL_KEY), make_key(USUAL_KEY), make_key(USUAL_KEY)
    long_key = make_key(LONG_KEY if trouble else USUAL_KEY)
    sign = {"name": "sign", "path-prefix": "/sign/", "kind": "unsafe", "service": SERVICE}
    new = {"name": "new", "path-prefix": "/new/", "kind": "unsafe", "service": SERVICE}
    usual = {"priority": 1, "rate-per-s": 424, "burst": 424, "home-regions": []}
    before = manifest(7, [sign], [SERVICE])
    before["tenants"] = [
        {"name": "clerk", "api-keys": [removed, kept], **usual},
        {"name": "county", "api-keys": [make_key(USUAL_KEY)], **usual},
    ]
    store.put("config", "main", before)

    edges = [
        Edge(folder, f"front-{zone}-1", zone, store.address, ZONES, extra=EXTRA) for zone in ZONES
    ]
    for edge in edges:
        edge.seeds = [other.control for other in edges]
        started.append(edge)
        await edge.start()
    for edge in edges:
        await edge.wait_ready()
    await asyncio.sleep(8.0)

    numbers = iter(range(100_000))

    async def send(edge: Edge, path: str, key: str, what: str) -> int:
        request_id = f"q-{next(numbers)}"
        headers = [
            ("Request-Id", request_id),
            ("Deadline-Ms", "3073"),
            ("Authorization", f"Bearer {key}"),
        ]
        host, _, port = edge.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode_request("POST", path, headers, b"x"))
        status, _, _ = await asyncio.wait_for(read_answer(reader), 4.0)
        writer.close()
        record.write(f"{edge.name}: {request_id}, {what}: {status}")
        return status

    for edge in edges:
        if await send(edge, "/sign/1", removed, "key in force") != 200:
            return True
    after = manifest(12, [sign, new], [SERVICE])
    after["tenants"] = [
        {"name": "clerk", "api-keys": [kept, added], **usual},
        {"name": "county", "api-keys": [long_key], **usual},
    ]
    store.put("config", "main", after)
    record.write(f"r12 is acknowledged; its longest key has {len(long_key)} characters")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    wrong = 0
    until_s = record.now_s() + LOOK_S
    while record.now_s() < until_s:
        for edge in edges:
            wrong += await send(edge, "/sign/1", removed, "key that r12 dropped") != 401
            wrong += await send(edge, "/sign/1", added, "key that r12 added") == 401
            wrong += await send(edge, "/new/1", kept, "route that r12 added") == 404
        await asyncio.sleep(1.0)
    record.write(f"{wrong} requests were handled as only r7 allows")
    return not wrong


run_case(play)
