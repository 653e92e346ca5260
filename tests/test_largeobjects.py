"""Check, with the edge program as a process, that the largest configurations come into force."""

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec
import pytest

from soak import wire
from tests.edgeprocess import EdgeProcess, start_world

# The platform's limit of an object in its store.
VALUE_BYTES_MAX = 1_048_576
APPLY_S = 10.0


def _add_routes(document: dict[str, Any], count: int) -> None:
    """Add routes with the fewest fields, which grow most in the members' own encoding."""
    document["routes"] = [
        *document["routes"],
        *(
            {
                "name": f"{number:x}",
                "host": wire.DOMAIN,
                "path-prefix": f"/{number:x}/",
                "kind": "safe",
                "timeout-s": 2,
                "service": "svc-0",
            }
            for number in range(count)
        ),
    ]


def _add_services(document: dict[str, Any], count: int) -> None:
    _add_routes(document, 1)
    services = ({"name": f"{number:x}"} for number in range(count))
    document["services"] = [*document["services"], *services]


def _make_largest(add: Callable[[dict[str, Any], int], None]) -> Mapping[str, Any]:
    """Return the configuration of version 2 with as many more entries as the store accepts."""

    def make(count: int) -> Mapping[str, Any]:
        document = dict(wire.routes_document(2, "svc-0", ["svc-0"]))
        add(document, count)
        return document

    low, high = 0, VALUE_BYTES_MAX
    while high - low > 1:
        middle = (low + high) // 2
        is_valid = len(msgspec.json.encode(make(middle))) <= VALUE_BYTES_MAX
        low, high = (middle, high) if is_valid else (low, middle)
    return make(low)


async def _get(edge: EdgeProcess, number: int, path: str) -> bytes:
    """Return the status of a request on a new connection."""
    reader, writer = await edge.connect()
    fields = wire.caller_headers(f"{number:016x}", 2_000, number)
    lines = [f"GET {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode())
    data = await reader.read()
    writer.close()
    return data[9:12]


@pytest.mark.parametrize("add", [_add_routes, _add_services])
def test_largest_configuration_comes_into_force(
    add: Callable[[dict[str, Any], int], None], tmp_path: Path
) -> None:
    # Guard against a configuration that the store accepts and no process applies, so that its
    # routes get 404 and a process that starts again is never ready.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            assert await _get(edge, 1, "/0/x") == b"404"
            assert edge.store is not None
            await edge.store.put(*wire.ROUTES_KEY, _make_largest(add))
            async with asyncio.timeout(APPLY_S):
                while await _get(edge, 2, "/0/x") != b"200":
                    await asyncio.sleep(0.1)
            edge.running.kill()
            await edge.wait_exit()
            await edge.start()
            await edge.wait_ready()
            assert await _get(edge, 3, "/0/x") == b"200"

    asyncio.run(main())
