"""Check the store client against scripted responses, without sockets."""

from collections.abc import Iterable
from random import Random
from typing import Any

import anyio
import httpcore
import pytest

from berylchute.backoff import Backoff
from berylchute.exceptions import (
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from berylchute.settings import StoreSettings
from berylchute.store import CallBudget, HttpObjectStore
from berylchute.types import StoredObject


class _FixedClock:
    def now_s(self) -> float:
        return 0.0


class _Stream(httpcore.AsyncNetworkStream):
    def __init__(self, answer: bytes | Exception, sent: list[bytes]) -> None:
        self._answer = answer
        self._sent = sent

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if isinstance(self._answer, Exception):
            raise self._answer
        data, self._answer = self._answer[:max_bytes], self._answer[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._sent.append(buffer)

    async def aclose(self) -> None:
        pass

    def get_extra_info(self, info: str) -> Any:
        return None


class _Network(httpcore.AsyncNetworkBackend):
    """Give each connection the next scripted response, after `refusals` failed connects."""

    def __init__(self, answers: Iterable[bytes | Exception], refusals: int = 0) -> None:
        self.answers = list(answers)
        self.refusals = refusals
        self.sent: list[bytes] = []
        self.connections = 0

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        self.connections += 1
        if self.refusals:
            self.refusals -= 1
            raise httpcore.ConnectError("refused")
        return _Stream(self.answers.pop(0), self.sent)

    async def sleep(self, seconds: float) -> None:
        pass


def _answer(status: int, body: bytes = b"", etag: int | None = None) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
    if etag is not None:
        head += f'ETag: "{etag}"\r\n'
    return head.encode() + b"\r\n" + body


def _store(network: _Network, calls_per_s: float = 1000.0) -> HttpObjectStore:
    settings = StoreSettings(url="http://127.0.0.1:1", token="t", calls_per_s=calls_per_s)
    pool = httpcore.AsyncConnectionPool(network_backend=network)
    return HttpObjectStore(settings, _FixedClock(), Random(1), pool)


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    async def sleep(_: float) -> None: ...

    monkeypatch.setattr(anyio, "sleep", sleep)


def _put(network: _Network) -> StoredObject:
    store = _store(network)
    return anyio.run(store.put, "config", b"{}", 4)


def test_write_is_conditional_and_returns_the_new_version() -> None:
    """Guard against an unconditional write that overwrites another operator's edit."""
    network = _Network([_answer(200, etag=9)])
    assert _put(network) == StoredObject("config", 9, b"{}")
    assert b'If-Match: "4"' in b"".join(network.sent)
    assert b"Authorization: Bearer t" in b"".join(network.sent)


@pytest.mark.parametrize(
    "answer", [b"", httpcore.ReadTimeout(), httpcore.ReadError(), _answer(500), _answer(200)]
)
def test_write_without_response_is_unknown_and_not_retried(answer: bytes | Exception) -> None:
    """Guard against a write that took effect but is reported as rejected, or sent twice."""
    network = _Network([answer, _answer(200, etag=9)])
    with pytest.raises(StoreOutcomeUnknown):
        _put(network)
    assert network.connections == 1


def test_write_that_was_not_sent_is_retried() -> None:
    """Guard against an unknown outcome of a write that was never sent to the store."""
    assert _put(_Network([_answer(200, etag=5)], refusals=2)).version == 5
    with pytest.raises(StoreUnavailable):
        _put(_Network([], refusals=9))


def test_conflict_carries_the_current_object() -> None:
    """Guard against a conflict error without the current version and value."""
    with pytest.raises(StoreConflict) as caught:
        _put(_Network([_answer(412, b'{"a":1}', etag=6)]))
    assert (caught.value.current_version, caught.value.current_value) == (6, b'{"a":1}')


def test_reads_are_retried_and_raise_store_errors() -> None:
    """Guard against httpcore errors that reach callers, and against reads that are not retried."""
    store = _store(_Network([b"", _answer(503), _answer(200, b"{}", etag=3)]))
    assert anyio.run(store.get, "config") == StoredObject("config", 3, b"{}")
    assert anyio.run(_store(_Network([_answer(404)])).get, "config") is None
    with pytest.raises(StoreUnavailable):
        anyio.run(_store(_Network([b""] * 3)).get, "config")
    with pytest.raises(StoreError):
        anyio.run(_store(_Network([_answer(200, b"{}")])).get, "config")


def test_watch_keeps_the_bytes_of_values() -> None:
    """Guard against a value whose bytes change because it is decoded and encoded again."""
    body = b'{"revision":7,"objects":[{"key":"config","version":7,"value":{"b":1.0, "a":2}}]}'
    event = anyio.run(_store(_Network([_answer(200, body)])).watch, 3, 1.0)
    assert event.objects == (StoredObject("config", 7, b'{"b":1.0, "a":2}'),)
    with pytest.raises(StoreError):
        anyio.run(_store(_Network([_answer(200, b"[]")])).watch, 3, 1.0)


def test_call_budget_bounds_a_burst() -> None:
    """Guard against one host that exhausts the store's call rate."""
    budget = CallBudget(calls_per_s=10.0, now_s=0.0)
    waits = [budget.reserve(0.0, wait_max_s=0.5) for _ in range(20)]
    assert [wait for wait in waits if wait == 0.0] == [0.0] * 10
    assert waits[14] == pytest.approx(0.5)
    assert waits[15:] == [None] * 5
    assert budget.reserve(10.0, wait_max_s=0.5) == 0.0


def test_backoff_grows_to_its_limit_and_resets() -> None:
    """Guard against retries that overload a recovering store."""
    backoff = Backoff(0.1, 2.0, Random(1))
    delays = [backoff.next_delay_s() for _ in range(10)]
    assert all(0.05 <= delay <= 2.0 for delay in delays)
    assert min(delays[-3:]) >= 1.0
    backoff.reset()
    assert backoff.next_delay_s() <= 0.1
