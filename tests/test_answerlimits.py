"""Check the limits of answers, and that every client of an HTTP server keeps to them."""

import asyncio
import tracemalloc
from contextlib import AsyncExitStack
from random import Random

import httpcore
import pytest

from berylchute.answerlimits import AnswerLimits, AnswerMeter, parse_content_length
from berylchute.balance import LoadReport
from berylchute.bodymemory import BodyMemory
from berylchute.config import BackendServer
from berylchute.exceptions import AnswerInvalid, ExchangeError, StoreError
from berylchute.exchange import Attempt, HttpExchanger, ServerTarget
from berylchute.health import POLL_TIMEOUT_S, HealthPoller
from berylchute.hostclient import HostClient, HostUnreachable
from berylchute.node import MonotonicClock
from berylchute.responses import read_response
from berylchute.serverstreams import StreamBackend
from berylchute.settings import StoreSettings
from berylchute.store import HttpObjectStore
from berylchute.types import AttemptState
from berylchute.upstream import ConnectionPool, UpstreamRequest
from tests.endless import (
    ENDLESS_ANSWERS,
    ENDLESS_BODY,
    OTHER_REQUESTS,
    SLOW_HEAD,
    EndlessAnswer,
    start_endless,
)

REQUEST = UpstreamRequest(
    b"id1",
    b"berylchute-request-id",
    False,
    b"GET / HTTP/1.1\r\nBerylchute-Request-Id: id1\r\n\r\n",
)
# What loopback and the buffers of both ends may hold beyond the limits of one answer.
BUFFERED_BYTES_MAX = 8_000_000
# These clients send no request ids, so that an answer to another request is as good as their own.
ENDLESS_RESPONSES = {
    **{name: answer for name, answer in ENDLESS_ANSWERS.items() if name != OTHER_REQUESTS},
    "body": ENDLESS_BODY,
    "slow head": SLOW_HEAD,
}
# Far above the time to read the limits' bytes; without limits no answer below ends at all.
TIMEOUT_S = 10.0


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_edge_closes_a_connection_with_an_endless_answer(name: str) -> None:
    """Guard against a server that fills the memory of an edge with bytes that are no answer."""

    async def main() -> None:
        async with start_endless(ENDLESS_ANSWERS[name]) as server:
            pool = ConnectionPool(server.address, MonotonicClock(), 4)
            async with asyncio.timeout(TIMEOUT_S):
                with pytest.raises(AnswerInvalid):
                    await pool.exchange(REQUEST)
                while server.open_connections:
                    await asyncio.sleep(0.01)
            assert server.sent_bytes < BUFFERED_BYTES_MAX

    asyncio.run(main())


def test_endless_bodies_of_many_servers_stay_within_the_memory() -> None:
    """Guard against a sum of answers in flight that exceeds a small machine's memory."""
    memory = BodyMemory(200.0)
    held: list[int] = []

    async def main() -> None:
        async with AsyncExitStack() as stack:
            pools = []
            for _ in range(100):
                server = await stack.enter_async_context(start_endless(ENDLESS_BODY))
                pools.append(ConnectionPool(server.address, MonotonicClock(), 4, memory))
            tasks = [asyncio.create_task(pool.exchange(REQUEST)) for pool in pools]
            while not all(task.done() for task in tasks):
                held.append(memory.held_bytes)
                await asyncio.sleep(0.01)
            errors = await asyncio.gather(*tasks, return_exceptions=True)
            assert all(isinstance(error, AnswerInvalid) for error in errors)

    tracemalloc.start()
    try:
        asyncio.run(main())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert max(held) <= memory.bytes_max == 80_000_000
    assert memory.held_bytes == 0
    # Half of the machine; the interpreter and its libraries take up to a quarter.
    assert peak_bytes < 100_000_000


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_entry_closes_a_connection_with_an_endless_answer(name: str) -> None:
    """Guard against a server that keeps the entry program reading bytes that are no answer."""

    async def main() -> None:
        async with start_endless(ENDLESS_ANSWERS[name]) as server:
            host, _, port = server.address.partition(":")
            exchanger = HttpExchanger(MonotonicClock())
            target = ServerTarget("s", host.encode(), int(port), 4)
            attempt = Attempt("id1", "s")
            headers = [(b"Host", b"s"), (b"Berylchute-Request-Id", b"id1")]
            async with asyncio.timeout(TIMEOUT_S):
                with pytest.raises(ExchangeError):
                    answer = await exchanger.send_request(
                        target, attempt, b"GET", b"/", headers, b""
                    )
                    assert answer.remaining_body is not None
                    async for _ in answer.remaining_body:
                        pass
                while server.open_connections:
                    await asyncio.sleep(0.01)
            assert attempt.state in (AttemptState.UNKNOWN, AttemptState.ANSWERED)
            assert server.sent_bytes < BUFFERED_BYTES_MAX
            await exchanger.aclose()

    asyncio.run(main())


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_response_without_end_is_an_error(name: str) -> None:
    """Guard against a store, health endpoint or host whose response never ends."""
    answer = ENDLESS_RESPONSES[name]

    async def main() -> None:
        async with start_endless(answer) as server:
            pool = httpcore.AsyncConnectionPool(network_backend=StreamBackend())
            headers = [("Berylchute-Request-Id", "id1")]
            async with asyncio.timeout(TIMEOUT_S):
                with pytest.raises((httpcore.ProtocolError, TimeoutError)):
                    await read_response(
                        pool,
                        "GET",
                        f"http://{server.address}/",
                        headers=headers,
                        timeout_s=2.0,
                        limits=AnswerLimits(body_bytes_max=1_000_000),
                    )
                await pool.aclose()

    asyncio.run(main())


def test_store_host_and_health_clients_give_up_on_a_slow_trickle() -> None:
    """Guard against clients whose timeout starts anew with each byte."""

    async def main() -> None:
        async with start_endless(SLOW_HEAD) as server, asyncio.timeout(TIMEOUT_S):
            url = f"http://{server.address}"
            settings = StoreSettings(url=url, timeout_ms=200)
            store = HttpObjectStore(settings, MonotonicClock(), Random(1))
            with pytest.raises(StoreError):
                await store.get("config")
            host_client = HostClient([url], "", 0.2)
            with pytest.raises(HostUnreachable):
                await host_client.get(url, "/")
            reports: list[LoadReport] = []
            poller = HealthPoller(
                MonotonicClock(), lambda *report: reports.append(report[1]), lambda _: None
            )
            poller.configure({"s": BackendServer("s", "svc", "z", server.address, 1)})
            polling = asyncio.create_task(poller.run())
            await asyncio.sleep(POLL_TIMEOUT_S * 1.5)
            polling.cancel()
            await asyncio.gather(polling, return_exceptions=True)
            assert reports == []
            await store.aclose()
            await host_client.aclose()

    asyncio.run(main())


@pytest.mark.parametrize(("chunk_bytes", "chunk_count"), [(1, 100_000), (10, 10_000), (100_000, 3)])
def test_chunk_sizes_of_a_proper_answer_are_no_excess(chunk_bytes: int, chunk_count: int) -> None:
    """Guard against a limit that fails answers in many small chunks."""
    meter = AnswerMeter(AnswerLimits())
    meter.receive(200)
    for _ in range(chunk_count):
        meter.receive(len(b"%x\r\n\r\n" % chunk_bytes) + chunk_bytes)
        meter.body_bytes += chunk_bytes
        assert meter.find_excess() == ""


@pytest.mark.parametrize("value", [b"+5", b"1_0", b" 5", b"-1", b"", b"9" * 5000, b"0x5"])
def test_malformed_content_length_is_rejected(value: bytes) -> None:
    """Guard against lengths that `int` accepts and HTTP does not."""
    assert parse_content_length(value) is None
    assert parse_content_length(b"15") == 15


def test_declared_length_above_the_limit_fails_before_the_body() -> None:
    """Guard against reading a body that can't be kept."""
    answer = EndlessAnswer(
        b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: %s\r\nContent-Length: 99000000\r\n\r\n",
        b"x",
        0.1,
    )

    async def main() -> None:
        async with start_endless(answer) as server, asyncio.timeout(TIMEOUT_S):
            pool = ConnectionPool(server.address, MonotonicClock(), 4)
            with pytest.raises(AnswerInvalid, match="99000000"):
                await pool.exchange(REQUEST)

    asyncio.run(main())
