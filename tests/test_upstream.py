"""Check the HTTP client for backend servers: only complete, matching answers are returned."""

import asyncio
import time
from collections.abc import Callable

import attrs
import pytest

from berylchute.bodymemory import BodyMemory
from berylchute.exceptions import AnswerInvalid, AnswerLost, ExchangeError, NotSent, SendWithdrawn
from berylchute.serverconnection import ServerConnection
from berylchute.upstream import (
    SPARE_RETRY_DELAY_S,
    ConnectionPool,
    ServerAnswer,
    UpstreamRequest,
)
from tests.httpfakes import FakeTransport, ManualClock

REQUEST = UpstreamRequest(b"id1", b"berylchute-request-id", False, b"GET / HTTP/1.1\r\n\r\n")


def _answer(body: bytes = b"abc", request_id: str = "id1", headers: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: {request_id}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class _ConnectionHarness:
    """A connection over a fake transport, for one exchange."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.connection = ServerConnection(ManualClock(), lambda _: None, BodyMemory())
        self.connection.connection_made(self.transport)

    def run(self, deliver: Callable[[], None], request: UpstreamRequest = REQUEST) -> ServerAnswer:
        async def main() -> ServerAnswer:
            task = asyncio.create_task(self.connection.exchange(request))
            await asyncio.sleep(0)
            deliver()
            return await task

        return asyncio.run(main())

    def assert_fails(self, error: type[ExchangeError], deliver: Callable[[], None]) -> None:
        with pytest.raises(error):
            self.run(deliver)
        assert not self.connection.is_usable


def test_answer_is_returned_and_the_connection_kept() -> None:
    """Guard against a new connection for every request."""
    harness = _ConnectionHarness()
    answer = harness.run(lambda: harness.connection.data_received(_answer()))
    assert (answer.status, answer.body) == (200, b"abc")
    assert harness.connection.is_usable


def test_late_second_answer_to_an_earlier_request_is_skipped() -> None:
    """Guard against returning a duplicate answer to an earlier request for the current one."""
    harness = _ConnectionHarness()
    stale = _answer(b"old", "id0")
    answer = harness.run(lambda: harness.connection.data_received(stale + _answer()))
    assert answer.body == b"abc"
    # More duplicates may follow, so the connection is not reused.
    assert not harness.connection.is_usable


@pytest.mark.parametrize("is_split", [False, True])
def test_refusal_written_again_does_not_refuse_the_next_request(is_split: bool) -> None:
    """Guard against "not run" for a request that runs, from a repeat of an earlier refusal."""
    harness = _ConnectionHarness()
    refusal = b"HTTP/1.1 503 Full\r\nBerylchute-Request-Id: id0\r\nBerylchute-Not-Run: 1\r\n"
    stale = refusal + b"Content-Length: 4\r\n\r\nfull"

    def deliver() -> None:
        if is_split:
            for start in range(len(stale)):
                harness.connection.data_received(stale[start : start + 1])
            harness.connection.data_received(_answer())
        else:
            harness.connection.data_received(stale + _answer())

    answer = harness.run(deliver)
    assert (answer.status, answer.body) == (200, b"abc")
    harness = _ConnectionHarness()

    def close() -> None:
        harness.connection.data_received(stale)
        harness.connection.connection_lost(None)

    harness.assert_fails(AnswerLost, close)


def test_bytes_after_the_answer_close_the_connection() -> None:
    """Guard against an extra answer being returned for the next request on the connection."""
    harness = _ConnectionHarness()
    answer = harness.run(lambda: harness.connection.data_received(_answer() + _answer(b"extra")))
    assert answer.body == b"abc"
    assert not harness.connection.is_usable
    harness = _ConnectionHarness()
    harness.run(lambda: harness.connection.data_received(_answer()))
    harness.connection.data_received(_answer(b"extra"))
    assert harness.transport.is_aborted


def test_answer_without_length_is_delimited_by_the_connection_end() -> None:
    """Guard against a reset passing for the end of an answer without Content-Length."""
    data = b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: id1\r\n\r\nabc"
    harness = _ConnectionHarness()

    def end() -> None:
        harness.connection.data_received(data)
        harness.connection.connection_lost(None)

    assert harness.run(end).body == b"abc"
    harness = _ConnectionHarness()

    def reset() -> None:
        harness.connection.data_received(data)
        harness.connection.connection_lost(ConnectionResetError())

    harness.assert_fails(AnswerLost, reset)


def test_truncated_answer_is_lost() -> None:
    """Guard against a truncated body being returned as complete."""
    harness = _ConnectionHarness()

    def cut() -> None:
        harness.connection.data_received(_answer()[:-1])
        harness.connection.connection_lost(None)

    harness.assert_fails(AnswerLost, cut)


_HEADS = (
    _answer(b"")[:-1],
    b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: id1\r\nConnection: close\r\n\r",
    b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r",
)
_EARLIER_BYTES = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    _answer(b"old", "id0"),
)


@pytest.mark.parametrize("is_head", [False, True])
@pytest.mark.parametrize("earlier", _EARLIER_BYTES)
@pytest.mark.parametrize("head", _HEADS)
def test_answer_that_ends_within_its_head_is_lost(
    head: bytes, earlier: bytes, is_head: bool
) -> None:
    """Guard against a 200 with an empty body after a server stopped in the middle of its head."""
    for length in range(len(head) + 1):
        for request_id in (b"id1", b""):
            if earlier.startswith(b"HTTP/1.1 200") and not request_id:
                continue  # such a request has a connection without earlier requests
            harness = _ConnectionHarness()
            request = attrs.evolve(REQUEST, request_id=request_id, is_head=is_head)

            def cut(harness: _ConnectionHarness = harness, length: int = length) -> None:
                harness.connection.data_received(earlier + head[:length])
                harness.connection.connection_lost(None)

            with pytest.raises(ExchangeError):
                harness.run(cut, request)
            assert not harness.connection.is_usable


@pytest.mark.parametrize(
    "data", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"]
)
def test_unparsable_or_unmatched_answer_is_invalid(data: bytes) -> None:
    """Guard against returning bytes that do not answer the request."""
    harness = _ConnectionHarness()
    harness.assert_fails(AnswerInvalid, lambda: harness.connection.data_received(data))


def test_answer_before_the_body_was_sent_closes_the_connection() -> None:
    """Guard against the rest of a request body being parsed as the next request."""
    harness = _ConnectionHarness()
    harness.transport.unsent = 1000
    answer = harness.run(lambda: harness.connection.data_received(_answer()))
    assert answer.status == 200
    # The server could take the rest of the body for the next request.
    assert harness.transport.is_aborted


def test_cancelled_exchange_closes_the_connection() -> None:
    """Guard against a late answer to a cancelled request on a reused connection."""
    harness = _ConnectionHarness()

    async def main() -> None:
        task = asyncio.create_task(harness.connection.exchange(REQUEST))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
    assert harness.transport.is_aborted


def test_closed_connection_sends_nothing() -> None:
    """Guard against an unknown outcome when the connection was closed before the request."""
    harness = _ConnectionHarness()
    harness.transport.close()

    async def main() -> None:
        await harness.connection.exchange(REQUEST)

    with pytest.raises(NotSent):
        asyncio.run(main())
    assert harness.transport.written == b""


def test_interim_answers_are_skipped() -> None:
    """Guard against a 1xx answer being returned as the final one."""
    harness = _ConnectionHarness()
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + _answer()
    assert harness.run(lambda: harness.connection.data_received(data)).status == 200


@pytest.mark.parametrize("status", ["000", "099", "101", "199", "600", "999"])
def test_status_that_is_no_answer_is_invalid(status: str) -> None:
    """Guard against a status of no meaning that is waited on or returned."""
    harness = _ConnectionHarness()
    data = _answer().replace(b"200", status.encode(), 1)
    harness.assert_fails(AnswerInvalid, lambda: harness.connection.data_received(data))


def test_idle_timeout_follows_the_keep_alive_header() -> None:
    """Guard against requests sent on a connection that the server is closing."""
    harness = _ConnectionHarness()
    data = _answer(headers="Keep-Alive: timeout=10\r\n")
    harness.run(lambda: harness.connection.data_received(data))
    assert harness.connection.idle_until_s == 100.0 + 9.0
    harness = _ConnectionHarness()
    harness.run(lambda: harness.connection.data_received(_answer(headers="Connection: close\r\n")))
    assert not harness.connection.is_usable


def test_failed_first_write_counts_as_not_sent() -> None:
    """Guard against an unknown outcome when the first write to the socket fails."""
    harness = _ConnectionHarness()

    def fail_write(data: object) -> None:
        harness.transport.is_closed = True  # asyncio does this when the first send fails

    harness.transport.write = fail_write  # type: ignore[method-assign]

    async def main() -> None:
        await harness.connection.exchange(REQUEST)

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
    """Guard against spare connections that are opened and never used."""

    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        assert pool.needs_spare_connection and pool.last_connect_s is None
        await pool.open_spare_connection()
        assert pool.connections_opened == 1 and pool.last_connect_s is not None
        await pool.exchange(REQUEST)
        assert pool.connections_opened == 1
        server.close()

    asyncio.run(main())


def test_request_without_an_id_gets_a_new_connection() -> None:
    """Guard against a repeat of an earlier refusal that is taken for the answer to a request."""

    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        await pool.exchange(REQUEST)
        await pool.exchange(attrs.evolve(REQUEST, request_id=b"", needs_new_connection=True))
        assert pool.connections_opened == 2
        server.close()

    asyncio.run(main())


def test_requests_on_new_connections_leave_room_for_others() -> None:
    """Guard against requests without an id that use up the connections of their server."""

    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        for _ in range(4):
            await pool.open_spare_connection()
        for _ in range(10):
            await pool.exchange(attrs.evolve(REQUEST, request_id=b"", needs_new_connection=True))
        await pool.exchange(REQUEST)
        assert pool.connections_opened == 14
        server.close()

    asyncio.run(main())


def test_no_spare_is_needed_beside_two_idle_connections() -> None:
    """Guard against too few or too many spare connections."""

    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        await pool.open_spare_connection()
        assert pool.needs_spare_connection  # a second concurrent request would have to connect
        await pool.open_spare_connection()
        assert not pool.needs_spare_connection
        server.close()

    asyncio.run(main())


def test_spare_connection_is_retried_after_a_delay() -> None:
    """Guard against a connect loop to an unreachable server."""

    async def main() -> None:
        server, address = await _listen()
        server.close()
        await server.wait_closed()
        clock = ManualClock()
        pool = ConnectionPool(address, clock, 4)
        await pool.open_spare_connection()
        assert not pool.needs_spare_connection
        clock.now += SPARE_RETRY_DELAY_S
        assert pool.needs_spare_connection

    asyncio.run(main())


def test_spare_of_a_closed_pool_is_not_kept() -> None:
    """Guard against a leaked connection when the pool closes while a spare one is opened."""

    async def main() -> None:
        server, address = await _listen()
        pool = ConnectionPool(address, ManualClock(), 4)
        opening = asyncio.create_task(pool.open_spare_connection())
        await asyncio.sleep(0)
        pool.close()
        await opening
        assert not pool.needs_spare_connection and not pool._idle
        server.close()

    asyncio.run(main())


def test_idle_connection_with_an_unread_reset_is_not_used() -> None:
    """Guard against a request lost on a connection that the server has already reset."""

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
        # The event loop is blocked while the reset arrives, so the reset is still unread.
        asyncio.get_running_loop().call_soon(time.sleep, 0.05)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        answer = await pool.exchange(REQUEST)
        assert answer.status == 200 and pool.connections_opened == 2
        server.close()

    asyncio.run(main())


def test_answer_with_too_many_headers_is_invalid() -> None:
    """Guard against an answer that is passed on without the headers above the limit."""
    harness = _ConnectionHarness()
    headers = "".join(f"X-{number}: 1\r\n" for number in range(300))
    harness.assert_fails(
        AnswerInvalid, lambda: harness.connection.data_received(_answer(headers=headers))
    )


@pytest.mark.parametrize(
    "host", ["fe80::1%eth0..1", "a..b", "x" * 70 + ".example", "\u00e9" * 300, "a\0b"]
)
def test_address_that_cannot_be_used_sends_nothing(host: str) -> None:
    """Guard against an error of the look-up that ends a request without an answer."""

    async def main() -> None:
        pool = ConnectionPool(f"{host}:80", ManualClock(), 2)
        with pytest.raises(NotSent):
            await pool.exchange(REQUEST)
        await pool.open_spare_connection()
        # Failed attempts don't count as open connections.
        with pytest.raises(NotSent, match="cannot connect"):
            await pool.exchange(REQUEST)

    asyncio.run(main())


def test_address_of_ip_version_6_is_used_without_brackets() -> None:
    """Guard against a server that is never reached because of the brackets of its address."""

    async def main() -> None:
        called: list[str] = []

        async def connect(factory: object, host: str, port: int) -> None:
            called.append(host)
            raise ConnectionRefusedError

        asyncio.get_running_loop().create_connection = connect  # type: ignore[method-assign, assignment]
        with pytest.raises(NotSent):
            await ConnectionPool("[fd00::1]:80", ManualClock(), 2).exchange(REQUEST)
        assert called == ["fd00::1"]

    asyncio.run(main())


def test_request_that_is_given_up_is_not_delivered_later() -> None:
    """Guard against a request that runs after its caller was answered: bytes that wait in the
    kernel, for a slow server or a link that is cut, are delivered unless the connection is reset.
    """

    async def main() -> None:
        accepted: asyncio.Queue[asyncio.StreamReader] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await accepted.put(reader)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        host, port = server.sockets[0].getsockname()[:2]
        pool = ConnectionPool(f"{host}:{port}", ManualClock(), 2)
        request = attrs.evolve(REQUEST, body=bytes(20_000_000))
        exchange = asyncio.create_task(pool.exchange(request))
        reader = await accepted.get()
        await asyncio.sleep(0.2)
        exchange.cancel()
        await asyncio.gather(exchange, return_exceptions=True)
        await asyncio.sleep(0.1)
        with pytest.raises(ConnectionResetError):
            while await reader.read(65_536):
                pass
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("needs_new_connection", [False, True])
def test_request_that_may_no_longer_be_sent_once_connected_is_withdrawn(
    needs_new_connection: bool,
) -> None:
    """Guard against a send with a key that was removed while the connection was opened."""
    received = bytearray()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await reader.read(100))
        writer.close()

    async def main() -> int:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f"{host}:{port}", ManualClock(), 4)
        request = attrs.evolve(
            REQUEST, may_send=lambda: False, needs_new_connection=needs_new_connection
        )
        with pytest.raises(SendWithdrawn):
            await pool.exchange(request)
        idle = len(pool._idle)
        pool.close()
        await asyncio.sleep(0.05)
        server.close()
        return idle

    # The connection is kept for the next request.
    assert asyncio.run(main()) == (0 if needs_new_connection else 1)
    assert not received
