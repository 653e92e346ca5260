"""Check the start of the edge program, as a process, while its ports are taken."""

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from tests.edgeprocess import EdgeProcess, start_world


def _take(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((host, int(port)))
    taken.listen()
    return taken


def _addresses(edge: EdgeProcess) -> dict[str, str]:
    addresses = edge.addresses
    return {
        "callers": addresses.caller_address,
        "readiness": addresses.readiness_address,
        "peers": addresses.peer_address,
        "directory": addresses.directory_address,
        "metrics": f"127.0.0.1:{addresses.free_ports[0]}",
    }


@pytest.mark.parametrize("listener", ["callers", "readiness", "peers", "directory", "metrics"])
def test_port_that_is_taken_for_a_while_is_used_later(listener: str, tmp_path: Path) -> None:
    # Guard against a process that ends by itself because a former one still holds a port.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            address = _addresses(edge)[listener]
            taken = _take(address)
            await edge.start()
            await edge.wait_log(f"cannot listen on {address}")
            await asyncio.sleep(1.5)
            taken.close()
            await edge.wait_ready()
            await edge.wait_log(f"listening on {address} after all")
            log = edge.log.read_text()
            assert log.count(f"cannot listen on {address}") == 1, log
            assert log.count(f"listening on {address} after all") == 1, log

    asyncio.run(main())


def test_process_that_was_killed_starts_again_at_once(tmp_path: Path) -> None:
    # Guard against a restart that fails because connections of the former process are open.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            for _ in range(3):
                await edge.start()
                await edge.wait_ready()
                connections = [await edge.connect() for _ in range(20)]
                edge.running.kill()
                await edge.wait_exit()
                assert len(connections) == 20
            await edge.start()
            await edge.wait_ready()

    asyncio.run(main())


def test_stop_while_a_port_is_taken_is_a_stop(tmp_path: Path) -> None:
    # Guard against a stop that has to wait, or counts as a crash, while a port is taken.
    async def main() -> None:
        async with start_world(tmp_path) as (edge, _):
            with _take(_addresses(edge)["callers"]):
                await edge.start()
                await edge.wait_log("cannot listen")
                edge.running.send_signal(signal.SIGTERM)
                async with asyncio.timeout(2.0):
                    assert await edge.running.wait() == 0
                assert "Traceback" not in edge.log.read_text()

    asyncio.run(main())


def test_port_that_stays_taken_ends_the_program_with_a_clear_error(tmp_path: Path) -> None:
    # Guard against a nested traceback in place of the address and the reason.
    async def main() -> None:
        code = "import berylchute.listening as listening; listening.RETRY_MAX_S = 0.5"
        async with start_world(tmp_path, startup_code=_WITH_PATH + code) as (edge, _):
            address = _addresses(edge)["callers"]
            with _take(address):
                await edge.start()
                assert await edge.wait_exit() == 3
            last = edge.log.read_text().splitlines()[-1]
            assert address in last and "in use" in last, last
            assert "Traceback" not in edge.log.read_text()

    asyncio.run(main())


_WITH_PATH = f"import sys; sys.path.append({str(Path(__file__).parent.parent)!r})\n"
