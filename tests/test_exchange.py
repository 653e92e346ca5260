"""Check that a caller only receives the complete answer to its own request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute.exceptions import ExchangeError
from berylchute.exchange import (
    AnswerForeign,
    AnswerMatcher,
    AnswerShort,
    AnswerUnframed,
    Attempt,
    HttpExchanger,
    MatchedAnswer,
    MatchState,
    ServerTarget,
)
from berylchute.node import MonotonicClock
from berylchute.responses import read_response
from berylchute.serverstreams import StreamBackend
from berylchute.types import AttemptState

ids = st.sampled_from([b"a-1.1", b"a-1.2", b"b-1.1"])
events = st.lists(
    st.one_of(
        st.tuples(st.just("head"), ids, st.integers(0, 6)),
        st.tuples(st.just("data"), st.integers(0, 6)),
        st.tuples(st.just("end")),
    ),
    max_size=8,
)


def _feed(matcher: AnswerMatcher, event: tuple[object, ...]) -> None:
    if event[0] == "head":
        length = b"%d" % event[2]  # type: ignore[str-format]
        matcher.receive_head(
            200, [(b"Berylchute-Request-Id", event[1]), (b"Content-Length", length)]  # type: ignore[list-item]
        )
    elif event[0] == "data":
        matcher.receive_body(event[1])  # type: ignore[arg-type]
    else:
        matcher.receive_end()


@given(events)
def test_only_the_complete_answer_to_the_attempt_matches(
    sequence: list[tuple[object, ...]],
) -> None:
    """Guard against reordered, late, truncated or foreign answers that pass as complete."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    accepted: list[tuple[object, ...]] = []
    try:
        for event in sequence:
            _feed(matcher, event)
            accepted.append(event)
            if matcher.state is MatchState.COMPLETE:
                break
    except ExchangeError:
        assert matcher.state is MatchState.FAILED
    if matcher.state is MatchState.COMPLETE:
        assert accepted[0][:2] == ("head", b"a-1.1")
        assert [event[0] for event in accepted[1:-1]] == ["data"] * (len(accepted) - 2)
        assert sum(event[1] for event in accepted[1:-1]) == accepted[0][2]  # type: ignore[misc]


@given(events, events)
def test_a_failed_match_never_recovers(
    first: list[tuple[object, ...]], later: list[tuple[object, ...]]
) -> None:
    """Guard against bytes after a mismatch that pass as the answer."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    try:
        for event in first:
            _feed(matcher, event)
    except ExchangeError:
        for event in later:
            with pytest.raises(ExchangeError):
                _feed(matcher, event)
            assert matcher.state is MatchState.FAILED


def test_a_duplicate_request_id_is_foreign() -> None:
    """Guard against a smuggled second id header that decides the match."""
    own = (b"Berylchute-Request-Id", b"a-1.1")
    with pytest.raises(AnswerForeign):
        AnswerMatcher(b"a-1.1", b"GET").receive_head(200, [own, own, (b"Content-Length", b"0")])


def test_an_answer_without_framing_is_rejected() -> None:
    """Guard against an early close that passes as the end of a body."""
    with pytest.raises(AnswerUnframed):
        AnswerMatcher(b"a-1.1", b"GET").receive_head(200, [(b"Berylchute-Request-Id", b"a-1.1")])


@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
def test_status_that_is_no_answer_is_foreign(status: int) -> None:
    """Guard against a status of no meaning that a caller gets."""
    own = (b"Berylchute-Request-Id", b"a-1.1")
    with pytest.raises(AnswerForeign):
        AnswerMatcher(b"a-1.1", b"GET").receive_head(status, [own, (b"Content-Length", b"0")])


def test_a_truncated_body_is_rejected() -> None:
    """Guard against a truncated body that passes as complete."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    matcher.receive_head(200, [(b"Berylchute-Request-Id", b"a-1.1"), (b"Content-Length", b"5")])
    matcher.receive_body(4)
    with pytest.raises(AnswerShort):
        matcher.receive_end()


@asynccontextmanager
async def _scripted_server(*replies: bytes, is_closing: bool = False) -> AsyncIterator[int]:
    """Write one reply to each request on a connection, then close it if `is_closing`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in replies:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
        if not is_closing:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def _reply(attempt_id: str, status: int = 200, headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nBerylchute-Request-Id: {attempt_id}\r\n{headers}"
    return f"{head}Content-Length: 2\r\n\r\nok".encode()


async def _send(exchanger: HttpExchanger, port: int, attempt: Attempt) -> MatchedAnswer:
    target = ServerTarget("s", b"127.0.0.1", port, 1)
    headers = [(b"Host", b"s"), (b"Berylchute-Request-Id", attempt.attempt_id.encode())]
    return await exchanger.send_request(target, attempt, b"GET", b"/", headers, b"")


def test_refusal_written_again_does_not_refuse_the_next_request() -> None:
    """Guard against "not run" for a request that runs, from a repeat of an earlier refusal."""

    async def main() -> None:
        refusal = _reply("a-1.1", 503, "Berylchute-Not-Run: 1\r\n")
        async with _scripted_server(refusal, refusal + _reply("a-1.2")) as port:
            exchanger = HttpExchanger(MonotonicClock())
            assert (await _send(exchanger, port, Attempt("a-1.1", "s"))).is_not_run
            attempt = Attempt("a-1.2", "s")
            with pytest.raises(ExchangeError):
                await _send(exchanger, port, attempt)
            assert attempt.state is AttemptState.UNKNOWN
            await exchanger.aclose()

    asyncio.run(main())


@pytest.mark.parametrize("framing", ["Content-Length: 0", "Transfer-Encoding: chunked", "X: y"])
def test_answer_that_ends_within_its_head_is_an_error(framing: str) -> None:
    """Guard against a 200 with an empty body after a server stopped in the middle of its head."""
    head = f"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: id1\r\n{framing}\r\n\r".encode()

    async def main() -> None:
        for length in range(len(head) + 1):
            async with _scripted_server(head[:length], is_closing=True) as port:
                exchanger = HttpExchanger(MonotonicClock())
                attempt = Attempt("id1", "s")
                with pytest.raises(ExchangeError):
                    await _send(exchanger, port, attempt)
                assert attempt.state is AttemptState.UNKNOWN
                await exchanger.aclose()
                pool = httpcore.AsyncConnectionPool(network_backend=StreamBackend())
                with pytest.raises(httpcore.RemoteProtocolError):
                    await read_response(pool, "GET", f"http://127.0.0.1:{port}/", timeout_s=5.0)
                await pool.aclose()

    asyncio.run(main())
