"""Check signals that reach the edge program, as a process, outside of its normal operation."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.edgeprocess import start_world

# Sends the process a signal while it imports the first large library of its start.
AT_IMPORT = """
import os, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "{module}":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, Finder())
"""
# Sends the process a signal after its event loop has ended.
AT_EXIT = """
import atexit, os
atexit.register(os.kill, os.getpid(), {number})
"""


@pytest.mark.parametrize("module", ["msgspec", "berylchute.edge", "berylchute_platform.settings"])
def test_reload_signal_during_the_start_is_followed_afterwards(module: str, tmp_path: Path) -> None:
    # Guard against a process that ends by itself when settings change while it starts.
    async def main() -> None:
        code = AT_IMPORT.format(module=module, number=int(signal.SIGHUP))
        async with start_world(tmp_path, startup_code=code) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            await asyncio.sleep(0.3)
            assert '"event":"reload"' in edge.log.read_text()

    asyncio.run(main())


@pytest.mark.parametrize("module", ["msgspec", "berylchute.edge", "berylchute_platform.settings"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_start_ends_it_as_a_stop(
    module: str, number: signal.Signals, tmp_path: Path
) -> None:
    # Guard against a planned stop that counts as a crash, or that is lost, while a process starts.
    async def main() -> None:
        code = AT_IMPORT.format(module=module, number=int(number))
        async with start_world(tmp_path, startup_code=code) as (edge, _):
            await edge.start()
            assert await edge.wait_exit() == 0, edge.log.read_text()
            assert "Traceback" not in edge.log.read_text()

    asyncio.run(main())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_at_the_end_of_a_stop_changes_nothing(
    number: signal.Signals, tmp_path: Path
) -> None:
    # Guard against a stop that counts as a crash because a second signal comes at its end.
    async def main() -> None:
        code = AT_EXIT.format(number=int(number))
        async with start_world(tmp_path, startup_code=code) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            edge.running.send_signal(signal.SIGTERM)
            assert await edge.wait_exit() == 0, edge.log.read_text()

    asyncio.run(main())


def test_signals_in_series_during_a_stop_change_nothing(tmp_path: Path) -> None:
    # Guard against a stop that is cut short by further signals.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            await edge.start()
            await edge.wait_ready()
            for _ in range(40):
                if edge.running.returncode is not None:
                    break
                edge.running.send_signal(signal.SIGTERM)
                edge.running.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
            assert await edge.wait_exit() == 0, edge.log.read_text()

    asyncio.run(main())
