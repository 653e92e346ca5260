"""Guard that overlapping faults start one process for an edge, and that none is left behind."""

import asyncio
from pathlib import Path

import pytest

from soak.world import SoakWorld


class _Process:
    returncode = None


def test_two_faults_on_one_edge_start_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = SoakWorld(1, tmp_path, edges=1, servers=0, callers=0)
    (edge,) = world._edges
    started: list[_Process] = []

    async def start(_: object) -> None:
        await asyncio.sleep(0)
        started.append(_Process())
        edge.process = started[-1]  # type: ignore[assignment]

    monkeypatch.setattr(world, "_start_edge", start)

    async def main() -> None:
        ended = edge.process
        await asyncio.gather(*(world._replace_process(edge, ended) for _ in range(3)))

    asyncio.run(main())
    assert len(started) == 1 and world._processes == started
