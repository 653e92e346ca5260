"""Tests for the client of the platform's metadata store."""

import asyncio
import json
from random import Random

import pytest

from berylchute.collection import Collection, CollectionFeed
from berylchute.node import MonotonicClock
from berylchute.objects import ObjectReplica
from berylchute.types import StoredObject
from berylchute_platform.documents import make_zone_drains
from berylchute_platform.objects import CONNECTIONS_MAX, PlatformStore
from tests.storeserver import StoreAnswer, StoreServer, changed, listing, zone

LISTING = json.dumps({"items": [], "at-rev": 7}).encode()


def test_calls_to_the_store_do_not_use_up_its_connections() -> None:
    """Guard against watches that fail, so that routes and evacuations are taken over late."""

    async def main() -> None:
        writers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LISTING)
            while line := await reader.readline():
                if not line.strip():
                    writer.write(head + LISTING)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        store = PlatformStore(f"{host}:{port}", MonotonicClock())
        for _ in range(CONNECTIONS_MAX + 1):
            assert (await store.read("servers")).revision == 7
        assert len(writers) == 1
        for writer in writers:
            writer.close()
            await writer.wait_closed()
        server.close()

    asyncio.run(main())


def _follow(*answers: StoreAnswer) -> tuple[bytes, list[str]]:
    """Return the drained zones that a member holds after these answers, and the calls' paths."""
    replica = ObjectReplica(["zone_drains"])

    def publish(stored: StoredObject) -> None:
        replica.apply(stored.key, stored.version, stored.value)

    async def main() -> list[str]:
        async with StoreServer(answers) as server:
            clock = MonotonicClock()
            feed = CollectionFeed(
                Collection("evacuations", "zone_drains", make_zone_drains),
                PlatformStore(server.address, clock),
                clock,
                Random(1),
                publish,
                lambda: True,
            )
            task = asyncio.create_task(feed.run())
            await asyncio.wait_for(server.is_finished.wait(), 10.0)
            task.cancel()
            return server.paths

    paths = asyncio.run(main())
    stored = replica.get("zone_drains")
    assert stored is not None
    return stored.value, paths


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.collection.BURST_PAUSE_S", 0.0)


def test_objects_of_a_restored_store_are_taken_at_revisions_given_out_again() -> None:
    # Guard against configurations that are ignored after the store came back from a copy.
    value, _ = _follow(
        listing(49, [zone("za")]),
        StoreAnswer({"error": "gone"}, era=2, status=410),
        listing(48, [zone("za")], era=2),
        changed(49, [zone("zb")], era=2),
    )
    assert value == b'{"availability_zones":["za","zb"]}'


def test_watch_that_a_restored_store_continues_is_read_again() -> None:
    # Guard against changes below the watched revision that are never seen: a store that has given
    # out that revision again answers without a 410.
    value, paths = _follow(
        listing(49, [zone("za")]),
        changed(51, [zone("zc")], era=2),
        listing(51, [zone("za"), zone("zb"), zone("zc")], era=2),
    )
    assert paths[2] == "/v1/objects/evacuations"
    assert value == b'{"availability_zones":["za","zb","zc"]}'


def test_drain_that_a_restored_store_lacks_is_kept_until_it_can_be_written_again() -> None:
    # Guard against requests to a drained zone between a restore and the operator's next write.
    value, _ = _follow(
        listing(49, [zone("za")]),
        listing(48, era=2, status=410),
        listing(30, era=2),
        changed(31, [zone("zb")], era=2),
    )
    assert value == b'{"availability_zones":["za","zb"]}'


def test_pages_of_two_histories_are_read_again() -> None:
    # Guard against a list that is put together from the entries before and after a restore.
    first = StoreAnswer({"items": [zone("za")], "has-more": True, "at-rev": 49})
    value, _ = _follow(first, listing(48, [zone("zb")], era=2), listing(48, [zone("zc")], era=2))
    assert value == b'{"availability_zones":["zc"]}'


def test_late_answer_of_a_former_history_is_not_taken() -> None:
    # Guard against the state before a restore that comes back with an answer that was on its way.
    value, _ = _follow(listing(48, [zone("za")], era=3), changed(60, era=2), listing(60, era=2))
    assert value == b'{"availability_zones":["za"]}'


@pytest.mark.parametrize("era", ["", "-1", "x", "1.5", "99999999999"])
def test_unreadable_history_is_not_taken(era: str) -> None:
    # Guard against an exception that ends the feed, or a version that no later one exceeds.
    value, _ = _follow(listing(48, [zone("za")]), changed(49, [zone("zb")], era=era))
    assert value == b'{"availability_zones":["za"]}'
