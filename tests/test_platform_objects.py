"""Tests for the client of the platform's metadata store."""

import asyncio
import json
import re
from collections.abc import Mapping
from random import Random
from typing import Any

import pytest

from berylchute.answerlimits import MEMORY_DEFAULT_MB
from berylchute.collection import Collection, CollectionFeed
from berylchute.exceptions import StoreUnavailable, WatchCut
from berylchute.node import MonotonicClock
from berylchute.objects import ObjectReplica
from berylchute.sharedobjects import ServerEntry, ServerList, decode_object, encode_object
from berylchute.types import StoredObject
from berylchute_platform.documents import decode_document, make_zone_drains
from berylchute_platform.listings import decode_listing
from berylchute_platform.objects import CONNECTIONS_MAX, CUT_MIN_S, PlatformStore
from berylchute_platform.program import COLLECTIONS
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


ZONE_DRAINS = Collection("evacuations", "zone_drains", make_zone_drains)


def _follow(
    *answers: StoreAnswer,
    collection: Collection = ZONE_DRAINS,
    memory_mb: float = MEMORY_DEFAULT_MB,
) -> tuple[bytes, list[str]]:
    """Return the object that a member holds after these answers, and the calls' paths."""
    replica = ObjectReplica([collection.object_key])

    def publish(stored: StoredObject) -> None:
        replica.apply(stored.key, stored.version, stored.value)

    async def main() -> list[str]:
        async with StoreServer(answers) as server:
            clock = MonotonicClock()
            feed = CollectionFeed(
                collection,
                PlatformStore(server.address, clock, memory_mb),
                clock,
                Random(1),
                publish,
                lambda: True,
                watch_wait_s=4.0,
            )
            task = asyncio.create_task(feed.run())
            await asyncio.wait_for(server.is_finished.wait(), 10.0)
            task.cancel()
            return server.paths

    paths = asyncio.run(main())
    stored = replica.get(collection.object_key)
    assert stored is not None
    return stored.value, paths


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.collection.BURST_PAUSE_S", 0.0)


def test_watch_with_several_large_objects_is_read_as_a_list() -> None:
    # Guard against a watch that is asked for again and again, since what has changed takes more
    # than its part of the memory.
    large = [{**zone(f"z{number}"), "status": "x" * 1_000_000} for number in range(5)]
    value, paths = _follow(
        listing(49, [zone("za")]),
        changed(54, large),
        listing(54, [zone("za"), *(zone(f"z{number}") for number in range(5))]),
        memory_mb=16.0,
    )
    assert paths[2] == "/v1/objects/evacuations"
    assert value == b'{"availability_zones":["z0","z1","z2","z3","z4","za"]}'


def test_object_of_the_largest_size_is_read_on_a_host_with_little_memory() -> None:
    # Guard against a configuration that the store accepts and a small host never reads.
    large = {**zone("zb"), "status": "\u00e9" * 500_000}
    value, _ = _follow(listing(49, [zone("za"), large]), memory_mb=64.0)
    assert value == b'{"availability_zones":["za","zb"]}'


def test_list_that_arrives_slowly_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guard against a large configuration that is never read over a slow link: a time-out that
    # counts from the start of the call ends each attempt.
    monkeypatch.setattr("berylchute_platform.objects.READ_TIMEOUT_S", 0.4)

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LISTING))
            for start in range(0, len(LISTING), 4):
                writer.write(LISTING[start : start + 4])
                await asyncio.sleep(0.15)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        store = PlatformStore(f"{host}:{port}", MonotonicClock())
        assert (await store.read("servers")).revision == 7
        server.close()

    asyncio.run(main())


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


def _drainable(name: str, state: str) -> Mapping[str, Any]:
    info = {"service": "s", "zone": "za", "slots": 9}
    spec = {"address": "10.0.0.1:80", "info": info, "born": 1}
    return {"metadata": {"name": name}, "spec": spec, "status": {"state": state}}


def test_server_that_begins_to_drain_between_two_pages_is_seen() -> None:
    # Guard against requests to a server that drains: it is on a page that was read before, and the
    # watch that follows begins after the change.
    first = StoreAnswer({"items": [_drainable("i-1", "ready")], "has-more": True, "at-rev": 49})
    value, paths = _follow(
        first,
        listing(50, [_drainable("i-2", "ready")]),
        changed(50, [_drainable("i-1", "draining")]),
        collection=COLLECTIONS[1],
    )
    assert "watch=49" in paths[2]
    servers = decode_object("servers", value)
    assert isinstance(servers, ServerList)
    assert [(e.server_id, e.is_draining) for e in servers.entries] == [
        ("i-1", True),
        ("i-2", False),
    ]


def test_list_is_used_if_the_changes_between_its_pages_are_gone() -> None:
    # Guard against a process that never becomes ready at a store that forgets its history.
    first = StoreAnswer({"items": [zone("za")], "has-more": True, "at-rev": 49})
    value, _ = _follow(first, listing(50, [zone("zb")]), listing(50, status=410))
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


DEEP = "[" * 100_000 + "]" * 100_000
REGISTRATION = {
    "address": "10.0.0.9:8080",
    "info": {"service": "s", "zone": "za", "slots": 9},
    "status": {"state": "ready"},
}


def _server(name: str, **changes: object) -> dict[str, object]:
    return {"metadata": {"name": name}, "spec": {**REGISTRATION, **changes}, "status": None}


ODD_ENTRIES = {
    "deeply nested": json.dumps(_server("odd", address="X")).replace('"X"', DEEP),
    "deeply nested name": json.dumps(_server("X")).replace('"X"', DEEP),
    "number too large": json.dumps(_server("odd", born="X")).replace('"X"', "1e999"),
    "integer too large": json.dumps(_server("odd", born="X")).replace('"X"', "9" * 5000),
    "slots beyond any server": json.dumps(
        _server("odd", info={"service": "s", "zone": "za", "slots": 10**15})
    ),
    "port out of range": json.dumps(_server("odd", address="10.0.0.9:99999")),
    "port zero": json.dumps(_server("odd", address="10.0.0.9:0")),
    "port in other digits": json.dumps(_server("odd", address="10.0.0.9:\u00b2")),
    "half of a surrogate pair": json.dumps(_server("odd", version="caf\ud83d")),
    "half of a surrogate pair in the name": json.dumps(_server("caf\ud83d")),
    "half of a surrogate pair in a field's name": json.dumps(_server("odd", **{"\udc00": 1})),
    "unknown escape": json.dumps(_server("odd", address="X")).replace('"X"', '"\\x"'),
    "control character": json.dumps(_server("odd", address="X")).replace("X", "\x01"),
    "not a number": json.dumps(_server("odd", born=float("nan"))),
    "infinite": json.dumps(_server("odd", status={"cold-remaining-s": float("inf")})),
    "leading zeros": json.dumps(_server("odd", born="X")).replace('"X"', "007"),
    "service of a megabyte": json.dumps(
        _server("odd", info={"service": "s" * 1_000_000, "zone": "za", "slots": 9})
    ),
    "zone of a megabyte": json.dumps(
        _server("odd", info={"service": "s", "zone": "z" * 1_000_000, "slots": 9})
    ),
    "name of a megabyte": json.dumps(_server("odd" * 350_000)),
    "zone index": json.dumps(_server("odd", address="fe80::1%eth0..1:8185")),
    "zone index in brackets": json.dumps(_server("odd", address="[fe80::1%eth0]:8185")),
    "address without brackets": json.dumps(_server("odd", address="::1:80")),
    "address in double brackets": json.dumps(_server("odd", address="[[::1]]:80")),
    "any address": json.dumps(_server("odd", address="0.0.0.0:80")),
    "address of a group": json.dumps(_server("odd", address="224.0.0.1:80")),
    "broadcast address": json.dumps(_server("odd", address="255.255.255.255:80")),
    "host name": json.dumps(_server("odd", address="nowhere.example:80")),
    "name with a line break": json.dumps(_server("odd\r\nX: y")),
    "name in other letters": json.dumps(_server("\u4e2d")),
    "no metadata": json.dumps({"spec": REGISTRATION}),
    "no object": "null",
    "text": '"odd"',
}


def _server_ids(*answers: StoreAnswer) -> list[str]:
    value, _ = _follow(*answers, collection=COLLECTIONS[1])
    servers = decode_object("servers", value)
    assert isinstance(servers, ServerList)
    return [entry.server_id for entry in servers.entries]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
def test_odd_entry_in_a_list_leaves_the_others_in_force(odd: str) -> None:
    # Guard against a member that ends, or stops following the servers, when another writer leaves
    # an entry that can't be read.
    items = f'{json.dumps(_server("a"))},{ODD_ENTRIES[odd]},{json.dumps(_server("b"))}'
    body = f'{{"items":[{items}],"has-more":false,"at-rev":7}}'
    assert _server_ids(StoreAnswer(body)) == ["a", "b"]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
def test_odd_entry_in_a_watch_leaves_the_others_in_force(odd: str) -> None:
    # Guard against the same while the collection is watched; later changes must arrive, too.
    event = f'{{"deleted":false,"object":{ODD_ENTRIES[odd]}}}'
    more = f'{{"deleted":false,"object":{json.dumps(_server("b"))}}}'
    odd_changes = StoreAnswer(f'{{"events":[{event},{more}],"at-rev":8}}')
    ids = _server_ids(listing(7, [_server("a")]), odd_changes, changed(9, [_server("c")]))
    assert ids == ["a", "b", "c"]


def test_entry_that_becomes_odd_names_no_server() -> None:
    # Guard against requests to a server whose entry was replaced by another writer's.
    event = f'{{"deleted":false,"object":{ODD_ENTRIES["deeply nested"]}}}'
    odd_changes = StoreAnswer(f'{{"events":[{event}],"at-rev":8}}')
    assert _server_ids(listing(7, [_server("a"), _server("odd")]), odd_changes) == ["a"]


def test_next_page_is_read_after_any_name() -> None:
    # Guard against a request that an odd name splits, and against a list that never ends.
    first = StoreAnswer({"items": [zone("z a&b\r\n")], "has-more": True, "at-rev": 7})
    value, paths = _follow(first, listing(7, [zone("zb")]))
    assert paths[1] == "/v1/objects/evacuations?after=z%20a%26b%0D%0A"
    assert b"zb" in value


def test_next_page_is_read_after_an_unreadable_name() -> None:
    # Guard against a list that ends, or never ends, at a name that can't be read.
    names = f'{json.dumps(zone("za"))},{json.dumps(zone("zz" + chr(0xD83D)))}'
    first = StoreAnswer(f'{{"items":[{names}],"has-more":true,"at-rev":7}}')
    value, paths = _follow(first, listing(7, [zone("zb")]))
    assert paths[1] == "/v1/objects/evacuations?after=za"
    assert value == b'{"availability_zones":["za","zb"]}'


def test_drained_zone_with_an_odd_entry_is_drained() -> None:
    # Guard against requests to a zone that the operator drained, whatever else the entry holds.
    body = f'{{"items":[{{"metadata":{{"name":"za"}},"spec":{DEEP}}}],"at-rev":7}}'
    value, _ = _follow(StoreAnswer(body))
    assert value == b'{"availability_zones":["za"]}'


def test_probe_costs_little_and_fails_in_time() -> None:
    # Guard against probes that are charged like other calls or that outlast a cut of the store.
    async def main() -> list[str]:
        async with StoreServer([listing(5)]) as server:
            store = PlatformStore(server.address, MonotonicClock())
            await store.probe(1.0)
            async with asyncio.timeout(0.5):
                with pytest.raises(StoreUnavailable):
                    await store.probe(0.1)
            return server.paths

    (path,) = asyncio.run(main())
    assert "stale-ok=1" in path


ODD_VALUES = [
    b"null", b"[]", b"{}", b'""', b"-1", b"1e308", b"-1e308", b"1e999", b"9" * 40, b"9" * 5000,
    b"NaN", b"-Infinity", b"01", b"tru", b'"\\ud83d"', b'"\\udc00\\ud800"', b'"\xff\xfe"', b'"\\x"',
    b'"\x00"', b'"\\u0000"', b'"' + b"x" * 1_100_000 + b'"', b"[" * 2000 + b"]" * 2000,
]  # fmt: skip
FIELDS = ["metadata", "name", "spec", "address", "info", "service", "zone", "slots", "status"]
FIELDS += ["state", "cold-remaining-s", "born", "version", "seq"]


@pytest.mark.parametrize("field", FIELDS)
def test_no_value_of_a_field_costs_another_entry(field: str) -> None:
    # Guard against a list that becomes unusable, or too long to be passed on, by one odd value.
    info = {"service": "s", "zone": "za", "slots": 9, "version": "v1"}
    status = {"state": "ready", "cold-remaining-s": 0, "seq": 1}
    spec = {"address": "10.0.0.9:8080", "info": info, "status": status, "born": 5}
    entry = {"metadata": {"name": "odd"}, "spec": spec, "status": status}
    text = json.dumps(entry).encode()
    sound = json.dumps(_server("a")).encode()
    for value in ODD_VALUES:
        odd = re.sub(rb'"%s": (\{(?:[^{}]|\{[^{}]*\})*\}|[^,}]+)' % field.encode(), b"@@", text)
        assert odd != text
        odd = odd.replace(b"@@", b'"%s": %s' % (field.encode(), value))
        body = b'{"items":[%s,%s],"has-more":false,"at-rev":7}' % (odd, sound)
        named = decode_listing(body).objects
        decoded = [decode_document("servers", item.name, item.document) for item in named]
        entries = [entry for entry in decoded if isinstance(entry, ServerEntry)]
        assert any(entry.server_id == "a" for entry in entries), value[:50]
        assert len(encode_object(ServerList(tuple(entries)))) < 10_000, value[:50]


def test_watch_that_the_store_ends_is_no_outage() -> None:
    # Guard against a cut watch that counts as an outage, after which removed servers are kept, and
    # against an outage that counts as a cut watch.
    async def main() -> None:
        delays_s = [CUT_MIN_S + 0.1, 0.0]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(delays_s.pop(0))
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        store = PlatformStore(f"{host}:{port}", MonotonicClock())
        with pytest.raises(WatchCut):
            await store.watch("servers", 5, 4.0)
        with pytest.raises(StoreUnavailable):
            await store.watch("servers", 5, 4.0)
        server.close()

    asyncio.run(main())
