"""Check an organisation's allotment at the edge program as a process."""

import asyncio
import socket
from pathlib import Path

import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, start_world

REQUESTS = 120


async def _get(
    number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> tuple[int, str]:
    """Send a request; return the status and the head of the answer."""
    fields = wire.caller_headers(f"{number:016x}", 3000, number, api_key="secret-1")
    head = [f"{name}: {value}" for name, value in fields.items()]
    text = "\r\n".join([f"GET /read/{number} HTTP/1.1", *head, "", ""])
    writer.write(text.encode("latin-1"))
    answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = int(answer.split("content-length: ")[1].split("\r\n")[0])
    await reader.readexactly(length)
    return int(answer.split()[1]), answer


async def _configure(edge: EdgeProcess, number: int, **limits: float) -> None:
    document = dict(wire.routes_document(number, "svc-0", ["svc-0"], {"one": ["secret-1"]}))
    document["tenants"] = [{**document["tenants"][0], **limits}]
    assert edge.store is not None
    await edge.store.put(*wire.ROUTES_KEY, document)


async def _metrics(edge: EdgeProcess) -> str:
    reader, writer = await edge.connect(f"127.0.0.1:{edge.addresses.free_ports[0]}")
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = (await reader.read()).decode()
    writer.close()
    return answer


def test_requests_over_the_allotment_get_429(tmp_path: Path) -> None:
    # Guard against parts that are not connected: the configuration's limit, members, the tokens,
    # the answer with Retry-After, event and metrics; and against a limit that outlives its end.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            await _configure(edge, 2, **{"rate-per-s": 40, "burst": 40})
            await edge.start()
            await edge.wait_ready()
            connection = await edge.connect()
            statuses = set()
            async with asyncio.timeout(20.0):
                number = 0
                while statuses != {200, 429}:
                    number += 1
                    status, head = await _get(number, *connection)
                    statuses.add(status)
                    if status == 429:
                        retry_after = head.split("retry-after: ")[1].split("\r\n")[0]
                        assert 0.0 < float(retry_after) <= 2.0
            assert statuses == {200, 429}
            await edge.wait_log('"event":"allotment","organisation":"one"')
            await edge.wait_log('"outcome":"over_allotment","status":429')
            metrics = await _metrics(edge)
            assert 'berylchute_edge_allotment_decisions_total{decision="granted"}' in metrics
            await _configure(edge, 3)
            await edge.wait_log('"number":3')
            for number in range(1000, 1000 + REQUESTS):
                assert (await _get(number, *connection))[0] == 200

    asyncio.run(main())


@pytest.mark.parametrize("recorded", [0, 4])
def test_process_whose_seeds_are_down_uses_its_part_of_the_record_only(
    recorded: int, tmp_path: Path
) -> None:
    # Guard against processes whose seeds are down and that each grant a part of a rate which is too
    # much for all of them, and against organisations that get nothing though the store names the
    # hosts that share their rate.
    rate_per_s, seconds = 40, 4.0

    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            await _configure(edge, 2, **{"rate-per-s": rate_per_s, "burst": rate_per_s})
            assert edge.store is not None
            hosts = {f"edge-{n}": {"region": "ra", "capacity": 1.0} for n in range(1, recorded + 1)}
            if hosts:
                await edge.store.put(*wire.FLEET_RECORD_KEY, {"hosts": hosts})
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                edge.seeds = [f"127.0.0.1:{silent.getsockname()[1]}"]
                edge.contracts = "base,tenants,quota"
                await edge.start()
                await edge.wait_ready()
                connection = await edge.connect()
                served, number = 0, 0
                async with asyncio.timeout(20.0):
                    while number < rate_per_s * seconds:
                        number += 1
                        served += (await _get(number, *connection))[0] == 200
                        await asyncio.sleep(seconds / (rate_per_s * seconds))
            if recorded:
                assert 0 < served <= rate_per_s * (seconds + 1.0) / recorded
            else:
                assert served == 0

    asyncio.run(main())
