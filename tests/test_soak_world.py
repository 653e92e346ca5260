"""Check that overlapping faults leave an edge with one process, which the soak can end."""

import asyncio
from pathlib import Path

import pytest

from soak.faults import OverlappingFaults
from soak.world import SoakWorld


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
