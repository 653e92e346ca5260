"""Check that tasks of a program go on after errors that no code foresaw."""

import anyio
import pytest

from berylchute.background import BackgroundTasks
from berylchute.collection import CollectionListing
from berylchute.messages import MemberPull, Message, encode
from berylchute.node import MonotonicClock
from berylchute.peers import Peers
from berylchute.settings import PeersSettings
from tests.test_edge import _Harness


@pytest.fixture(autouse=True)
def _short_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.background.RESTART_DELAY_S", 0.01)


def test_lasting_task_is_started_again_after_an_error() -> None:
    # Guard against a process that ends by itself when one of its tasks fails.
    calls: list[str] = []

    async def fail_twice(name: str) -> None:
        calls.append(name)
        if len(calls) < 3:
            raise OverflowError("x")

    async def main() -> None:
        async with BackgroundTasks() as tasks:
            tasks.start_lasting(fail_twice, "a")
            with anyio.fail_after(2.0):
                while len(calls) < 3:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.05)

    anyio.run(main)
    assert calls == ["a", "a", "a"]


def test_lasting_task_can_be_cancelled() -> None:
    # Guard against a program that can't stop since a task is started again.
    async def main() -> None:
        async with BackgroundTasks() as tasks:
            tasks.start_lasting(anyio.sleep_forever)
            await anyio.sleep(0.01)

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(main)


def test_unforeseen_error_of_the_store_client_does_not_end_the_edge_program() -> None:
    # Guard against all members that end since one entry or answer of the store is odd.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        assert (await harness.get("/a/x")).startswith(b"HTTP/1.1 200")

    harness = _Harness()
    read = harness.store.read
    failures = ["routes", "servers", "drains"]

    async def fail_first(collection: str) -> CollectionListing:
        if collection in failures:
            failures.remove(collection)
            raise RecursionError("x")
        return await read(collection)

    harness.store.read = fail_first  # type: ignore[method-assign]
    anyio.run(harness.run, act)
    assert not failures


def test_message_that_cannot_be_processed_is_dropped() -> None:
    # Guard against a member whose message ends all members that it reaches.
    def fail(message: Message) -> None:
        raise OverflowError("x")

    peers = Peers("127.0.0.1:0", PeersSettings(), MonotonicClock(), fail)
    peers._handle_frames([b"", *encode(MemberPull("127.0.0.1:1"))])
    assert peers.counters.dropped_invalid == 1
