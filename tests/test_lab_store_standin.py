"""Check the store stand-in, on which the scenarios of the lab depend."""

from typing import Any

import anyio
import msgspec

from lab.asgi import Scope
from lab.store_standin import StoreStandIn


class _Transport:
    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


def _call(
    store: StoreStandIn, method: str, target: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes, _Transport]:
    path, _, query = target.partition("?")
    transport = _Transport()
    scope: Scope = {
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()],
        "lab.transport": transport,
    }
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    async def run() -> None:
        await store(scope, receive, send)

    anyio.run(run)
    if not sent:
        return 0, b"", transport
    return sent[0]["status"], sent[1]["body"], transport


def test_conditional_update_rejects_old_version() -> None:
    """Guard against lost updates, when a write with an outdated ETag replaces a newer value."""
    store = StoreStandIn()
    assert _call(store, "PUT", "/objects/config", b"1", if_none_match="*")[0] == 200
    assert _call(store, "PUT", "/objects/config", b"2", if_none_match="*")[:2] == (412, b"1")
    assert _call(store, "PUT", "/objects/config", b"2", if_match='"1"')[0] == 200
    assert _call(store, "PUT", "/objects/config", b"3", if_match='"1"')[:2] == (412, b"2")


def test_write_with_lost_response_takes_effect() -> None:
    """Guard against a lost-response fault that aborts before the write takes effect."""
    store = StoreStandIn()
    _call(store, "POST", "/control", b'{"lost_put_answers": 1}')
    status, _, transport = _call(store, "PUT", "/objects/config", b"1", if_none_match="*")
    assert (status, transport.aborted) == (0, True)
    assert _call(store, "GET", "/objects/config")[:2] == (200, b"1")


def test_stale_read_and_broken_watch_hide_the_newest_version() -> None:
    """Guard against store faults without effect: scenarios that set them would test nothing."""
    store = StoreStandIn()
    _call(store, "PUT", "/objects/config", b"1", if_none_match="*")
    _call(store, "PUT", "/objects/config", b"2", if_match='"1"')
    _call(store, "POST", "/control", b'{"stale_reads": true, "broken_watch": true}')
    assert _call(store, "GET", "/objects/config")[1] == b"1"
    watch = msgspec.json.decode(_call(store, "GET", "/watch?after=0&wait_ms=0")[1])
    assert watch == {"revision": 0, "objects": []}


def test_watch_returns_newer_objects_at_once() -> None:
    """Guard against a watch that misses a write made between two of its calls."""
    store = StoreStandIn()
    _call(store, "PUT", "/objects/config", b'{"a":1}', if_none_match="*")
    watch = msgspec.json.decode(_call(store, "GET", "/watch?after=0&wait_ms=0")[1])
    assert watch == {
        "revision": 1,
        "objects": [{"key": "config", "version": 1, "value": {"a": 1}}],
    }
