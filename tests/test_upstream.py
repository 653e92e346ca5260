"""Guard the servers' side: an answer is whole and belongs to the request, or it is none."""

import asyncio
import time
from collections.abc import Callable

import pytest

from berylchute.exceptions import AnswerInvalid, AnswerLost, ExchangeError, NotSent
from berylchute.upstream import (
    SPARE_PAUSE_S,
    ConnectionPool,
    ServerAnswer,
    UpstreamRequest,
    _Connection,
)
from tests.httpfakes import FakeTransport, ManualClock

REQUEST = UpstreamRequest(b"id1", b"berylchute-request-id", False, b"GET / HTTP/1.1\r\n\r\n")


def _answer(body: bytes = b"abc", request_id: str = "id1", headers: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: {request_id}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class _World:
    """One connection with a fake transport, and one exchange on it."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.connection = _Connection(ManualClock(), lambda _: None)
        self.connection.connection_made(self.transport)

    def run(self, act: Callable[[], None], request: UpstreamRequest = REQUEST) -> ServerAnswer:
        async def main() -> ServerAnswer:
            task = asyncio.create_task(self.connection.exchange(request))
            await asyncio.sleep(0)
            act()
            return await task

        return asyncio.run(main())

    def fails(self, error: type[ExchangeError], act: Callable[[], None]) -> None:
        with pytest.raises(error):
            self.run(act)
        assert not self.connection.is_usable


def test_answer_is_returned_and_the_connection_kept() -> None:
    world = _World()
    answer = world.run(lambda: world.connection.data_received(_answer()))
    assert (answer.status, answer.body) == (200, b"abc")
    assert world.connection.is_usable


def test_late_second_answer_to_an_earlier_request_is_skipped() -> None:
    world = _World()
    stale = _answer(b"old", "id0")
    answer = world.run(lambda: world.connection.data_received(stale + _answer()))
    assert answer.body == b"abc"
    # More of them may follow, so that the connection is not used again.
    assert not world.connection.is_usable


def test_bytes_after_the_answer_end_the_connection() -> None:
    world = _World()
    answer = world.run(lambda: world.connection.data_received(_answer() + _answer(b"extra")))
    assert answer.body == b"abc"
    assert not world.connection.is_usable
    world = _World()
    world.run(lambda: world.connection.data_received(_answer()))
    world.connection.data_received(_answer(b"extra"))
    assert world.transport.is_aborted


def test_answer_without_length_ends_with_the_connection() -> None:
    data = b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: id1\r\n\r\nabc"
    world = _World()

    def end() -> None:
        world.connection.data_received(data)
        world.connection.connection_lost(None)

    assert world.run(end).body == b"abc"
    world = _World()

    def reset() -> None:
        world.connection.data_received(data)
        world.connection.connection_lost(ConnectionResetError())

    world.fails(AnswerLost, reset)


def test_answer_cut_short_is_lost() -> None:
    world = _World()

    def cut() -> None:
        world.connection.data_received(_answer()[:-1])
        world.connection.connection_lost(None)

    world.fails(AnswerLost, cut)


@pytest.mark.parametrize(
    "data", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"]
)
def test_bytes_that_are_no_answer_to_the_request_are_invalid(data: bytes) -> None:
    world = _World()
    world.fails(AnswerInvalid, lambda: world.connection.data_received(data))


def test_answer_before_the_body_was_sent_closes_the_connection() -> None:
    world = _World()
    world.transport.unsent = 1000
    answer = world.run(lambda: world.connection.data_received(_answer()))
    assert answer.status == 200
    # The server would take the rest of the body for the next request.
    assert world.transport.is_aborted


def test_cancelled_exchange_closes_the_connection() -> None:
    world = _World()

    async def main() -> None:
        task = asyncio.create_task(world.connection.exchange(REQUEST))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
    assert world.transport.is_aborted


def test_closed_connection_sends_nothing() -> None:
    world = _World()
    world.transport.close()

    async def main() -> None:
        await world.connection.exchange(REQUEST)

    with pytest.raises(NotSent):
        asyncio.run(main())
    assert world.transport.written == b""


def test_interim_answers_are_passed_over() -> None:
    world = _World()
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + _answer()
    assert world.run(lambda: world.connection.data_received(data)).status == 200


def test_idle_time_follows_the_server() -> None:
    world = _World()
    data = _answer(headers="Keep-Alive: timeout=10\r\n")
    world.run(lambda: world.connection.data_received(data))
    assert world.connection.idle_until_s == 100.0 + 9.0
    world = _World()
    world.run(lambda: world.connection.data_received(_answer(headers="Connection: close\r\n")))
    assert not world.connection.is_usable


def test_refused_write_has_sent_nothing() -> None:
    world = _World()

    def refuse(data: object) -> None:
        world.transport.is_closed = True  # as asyncio does when the first send fails

    world.transport.write = refuse  # type: ignore[method-assign]

    async def main() -> None:
        await world.connection.exchange(REQUEST)

    with pytest.raises(NotSent):
        asyncio.run(main())


async def _listen() -> tuple[asyncio.Server, str]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_answer())

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def test_spare_connection_is_used_by_the_next_request() -> None:
    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        assert pool.lacks_spare and pool.connect_s is None
        await pool.open_spare()
        assert pool.opened == 1 and pool.connect_s is not None
        await pool.exchange(REQUEST)
        assert pool.opened == 1
        server.close()

    asyncio.run(main())


def test_two_idle_connections_are_spare_enough() -> None:
    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        await pool.open_spare()
        assert pool.lacks_spare  # one is left for the next request, none for one beside it
        await pool.open_spare()
        assert not pool.lacks_spare
        server.close()

    asyncio.run(main())


def test_unreachable_server_is_not_asked_for_spares_at_once_again() -> None:
    async def main() -> None:
        server, address = await _listen()
        server.close()
        await server.wait_closed()
        clock = ManualClock()
        pool = ConnectionPool(address, clock, 4)
        await pool.open_spare()
        assert not pool.lacks_spare
        clock.now += SPARE_PAUSE_S
        assert pool.lacks_spare

    asyncio.run(main())


def test_spare_of_a_closed_pool_is_not_kept() -> None:
    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        opening = asyncio.create_task(pool.open_spare())
        await asyncio.sleep(0)
        pool.close()
        await opening
        assert not pool.lacks_spare and not pool._idle
        server.close()

    asyncio.run(main())


def test_kept_connection_that_was_reset_is_not_used() -> None:
    async def main() -> None:
        resets = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_answer())
            if not resets.is_set():
                await resets.wait()
                writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(f"127.0.0.1:{port}", ManualClock(), 4)
        await pool.exchange(REQUEST)
        resets.set()
        # The reset arrives while the loop is busy, so that it has not been read yet.
        asyncio.get_running_loop().call_soon(time.sleep, 0.05)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        answer = await pool.exchange(REQUEST)
        assert answer.status == 200 and pool.opened == 2
        server.close()

    asyncio.run(main())
