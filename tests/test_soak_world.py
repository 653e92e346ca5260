"""Check that overlapping faults leave an edge with one process, which the soak can end."""

import asyncio
from pathlib import Path

import pytest

from lab.processes import free_ports
from soak.faults import OverlappingFaults
from soak.proxy import Proxy, reset_connection
from soak.standins import StoreStandIn
from soak.world import SoakWorld


def test_reset_of_a_server_reaches_the_client_as_a_reset() -> None:
    """Guard against a crash that looks like the end of a body without a length.

    The edge delivers such a body as complete, and the soak reported a wrong answer (seed 4023).
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)
        writer.write(b"x" * 100)
        await asyncio.sleep(0.1)
        reset_connection(writer.transport)

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        (proxy_port,) = free_ports(1)
        proxy = Proxy(proxy_port, server.sockets[0].getsockname()[1])
        await proxy.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy_port)
        writer.write(b"?")
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        writer.close()
        proxy.close()
        server.close()

    asyncio.run(main())


class _FakeProcess:
    returncode = None


def test_two_faults_on_one_edge_start_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a second process for an edge that keeps running after the soak.

    Two faults waited for the same process to end and each started a new one; the left-over
    process gossiped into later soaks.
    """
    world = SoakWorld(1, tmp_path, edges=1, servers=0, callers=0)
    (edge,) = world._edges
    started: list[_FakeProcess] = []

    async def start_edge(_: object) -> None:
        await asyncio.sleep(0)
        started.append(_FakeProcess())
        edge.process = started[-1]  # type: ignore[assignment]

    monkeypatch.setattr(world, "_start_edge", start_edge)

    async def main() -> None:
        ended_process = edge.process
        await asyncio.gather(*(world._replace_process(edge, ended_process) for _ in range(3)))

    asyncio.run(main())
    assert len(started) == 1 and world._processes == started


def test_fault_that_ends_leaves_an_overlapping_one_in_force() -> None:
    """Guard against faults that end early because another one on the same part has ended."""
    faults: OverlappingFaults[str] = OverlappingFaults()
    with faults.inject("down"):
        with faults.inject("down"), faults.inject("slow"):
            assert "down" in faults and "slow" in faults
        assert "down" in faults and "slow" not in faults
    assert "down" not in faults


def test_restored_store_gives_out_revisions_again() -> None:
    """Guard against a soak whose restores are none: the same revisions with nothing lost."""

    async def main() -> None:
        store = StoreStandIn(0)
        await store.put("config", "main", {"number": 1})
        await asyncio.sleep(0.1)
        await store.put("config", "main", {"number": 2})
        await store.put("evacuations", "za", {})
        await store.put("config", "main", {"number": 3})
        assert store.revision == 14
        await store.restore(0.05)
        # What is written again gets fewer revisions, which were given out before.
        assert store.revision == 13
        assert store.objects["config"]["main"]["spec"] == {"number": 3}
        assert set(store.objects["evacuations"]) == {"za"}

    asyncio.run(main())
