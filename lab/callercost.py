"""Measure processor time and memory per request of a caller's connection, without a network.

Run `python -m lab.callercost`. The transport is a fake, so that only the connection itself counts.
"""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from berylchute.bodymemory import BodyMemory
from berylchute.callers import CallerAnswer, CallerConnection, CallerServer, PendingRequest
from berylchute.node import BootClock

REQUESTS = 20_000
ROUNDS = 15
HELD_REQUESTS = 200
# Enough that nothing is refused.
MEMORY_MB = 100_000.0
HEADERS = (
    b"Host: a.example:80\r\nBerylchute-Request-Id: 0123456789abcdef\r\n"
    b"Berylchute-Deadline-Ms: 1200\r\nCookie: z=1; Berylchute-Affinity=17\r\n"
    b"Accept: application/json\r\nUser-Agent: cost/1\r\n"
)
ORDINARY = b"GET /read/x?q=1 HTTP/1.1\r\n" + HEADERS + b"\r\n"
UPLOAD_HEAD = b"POST /post HTTP/1.1\r\n" + HEADERS + b"Content-Length: 2000\r\n\r\n"
UPLOAD = UPLOAD_HEAD + bytes(2000)
ANSWER = CallerAnswer(
    200, ((b"Content-Type", b"application/json"), (b"Server-Load", b"0,0,99")), bytes(500)
)


class _Transport(asyncio.Transport):
    """Discard what is written."""

    def write(self, data: Any) -> None:
        """Discard the bytes."""

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        """Ignore the pause."""

    def resume_reading(self) -> None:
        """Ignore the end of the pause."""


class _World:
    """A connection and the requests that it has passed on."""

    def __init__(self, *, answers: bool) -> None:
        self.requests: list[PendingRequest] = []
        self._waiting: list[Callable[[], None]] = []
        self.server = CallerServer(
            self._answer if answers else self.requests.append,
            BootClock(),
            body_memory=BodyMemory(MEMORY_MB),
        )
        self.server.call_soon = self._waiting.append
        self.connections: list[CallerConnection] = []

    def connect(self) -> CallerConnection:
        connection = CallerConnection(self.server)
        connection.connection_made(_Transport())
        self.connections.append(connection)
        return connection

    def run_waiting(self) -> None:
        """Run what connections have put off to later turns of the event loop."""
        while self._waiting:
            self._waiting.pop(0)()

    def _answer(self, pending: PendingRequest) -> None:
        pending.respond(ANSWER)


def _measure_us(data: bytes) -> float:
    """Return the least processor time per request of several rounds, in microseconds."""
    connection = _World(answers=True).connect()
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(REQUESTS):
            connection.data_received(data)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / REQUESTS * 1e6


def _measure_held_bytes(data: bytes) -> float:
    """Return the memory that each of many connections holds after it has read some bytes."""
    world = _World(answers=False)
    connections = [world.connect() for _ in range(HELD_REQUESTS)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for connection in connections:
        # A copy, as each read gives one.
        connection.data_received(bytes(bytearray(data)))
        world.run_waiting()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held / HELD_REQUESTS


def _measure_connection_bytes() -> float:
    world = _World(answers=False)
    tracemalloc.start()
    for _ in range(HELD_REQUESTS):
        world.connect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / HELD_REQUESTS


def main() -> None:
    """Print the figures."""
    for name, data in (("GET", ORDINARY), ("POST of 2,000 bytes", UPLOAD)):
        print(f"{name}: {_measure_us(data):.2f} us a request")
    print(f"connection: {_measure_connection_bytes():.0f} bytes")
    start = b"GET / HTTP/1.1\r\nHost: a\r\n"
    for state, end in (("left open", b""), ("complete", b"\r\n")):
        few = _measure_held_bytes(start + end)
        # 2,000 lines of 7 bytes, and 3 lines of 5,000 bytes.
        short = _measure_held_bytes(start + b"ab:cd\r\n" * 2000 + end)
        long = _measure_held_bytes(start + (b"ab:" + b"c" * 4995 + b"\r\n") * 3 + end)
        per_byte = (long - few) / 15_000
        per_line = (short - few) / 2000 - 7 * per_byte
        print(
            f"head {state}: {few:.0f} bytes, {per_line:.0f} more for each line and "
            f"{per_byte:.2f} for each byte"
        )


if __name__ == "__main__":
    main()
