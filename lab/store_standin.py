"""Stand in for the platform's object store, with faults that are set over HTTP.

`POST /control` takes a JSON object with any field of `Faults`; `POST /control/hosts` replaces the
host list; `GET /control/calls` returns the calls in each second of the monotonic clock.
"""

import argparse
import asyncio
import time
from collections import Counter
from typing import Any
from urllib.parse import parse_qs

import attrs
import msgspec

from lab.asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    header,
    read_body,
    respond,
    respond_json,
    serve,
)

__all__ = ["Faults", "StoreStandIn", "main"]


@attrs.define
class Faults:
    """Active faults; `lost_put_answers` is the number of next writes whose response is lost."""

    down: bool = False
    slow_ms: float = 0.0
    lost_put_answers: int = 0
    stale_reads: bool = False
    broken_watch: bool = False


@attrs.define
class _Entry:
    version: int
    value: bytes
    previous: tuple[int, bytes] | None


class StoreStandIn:
    """Serve versioned objects with conditional writes, watches and the host list."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 0
        self.hosts: dict[str, str] = {}
        self._entries: dict[str, _Entry] = {}
        self._object_changed = asyncio.Condition()
        self._call_counts: Counter[tuple[int, str]] = Counter()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request; count it unless it goes to the control paths."""
        path = scope["path"]
        if path.startswith("/control"):
            await self._control(path, receive, send)
            return
        self._call_counts[int(time.monotonic()), path.split("/")[1]] += 1
        if self.faults.down:
            abort_connection(scope)
            return
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if path.startswith("/objects/"):
            await self._objects(scope, receive, send)
        elif path == "/watch":
            await self._watch(scope, send)
        elif path == "/hosts":
            await respond_json(send, self.hosts)
        else:
            await respond(send, 404)

    async def _control(self, path: str, receive: Receive, send: Send) -> None:
        body = await read_body(receive)
        if path == "/control/calls":
            rows = [
                [second, kind, count] for (second, kind), count in sorted(self._call_counts.items())
            ]
            await respond_json(send, rows)
            return
        if path == "/control/hosts":
            self.hosts = msgspec.json.decode(body, type=dict[str, str])
        elif body:
            self.faults = attrs.evolve(self.faults, **msgspec.json.decode(body))
        await respond_json(send, attrs.asdict(self.faults))

    async def _objects(self, scope: Scope, receive: Receive, send: Send) -> None:
        key = scope["path"].removeprefix("/objects/")
        if scope["method"] == "GET":
            await self._get(key, send)
        elif scope["method"] == "PUT":
            await self._put(key, scope, await read_body(receive), send)
        else:
            await respond(send, 405)

    async def _get(self, key: str, send: Send) -> None:
        entry = self._entries.get(key)
        if entry is None:
            await respond(send, 404)
        elif self.faults.stale_reads and entry.previous is not None:
            version, value = entry.previous
            await respond(send, 200, value, [_etag_header(version)])
        else:
            await respond(send, 200, entry.value, [_etag_header(entry.version)])

    async def _put(self, key: str, scope: Scope, body: bytes, send: Send) -> None:
        entry = self._entries.get(key)
        expected_etag = header(scope, b"if-match")
        must_be_absent = header(scope, b"if-none-match") == "*"
        if not must_be_absent and not expected_etag:
            await respond(send, 428)
            return
        if entry is None and not must_be_absent:
            await respond(send, 412)
            return
        if entry is not None and (must_be_absent or expected_etag != f'"{entry.version}"'):
            await respond(send, 412, entry.value, [_etag_header(entry.version)])
            return
        if len(body) > 1_000_000:
            await respond(send, 413)
            return
        self.revision += 1
        previous = (entry.version, entry.value) if entry is not None else None
        self._entries[key] = _Entry(self.revision, body, previous)
        async with self._object_changed:
            self._object_changed.notify_all()
        if self.faults.lost_put_answers > 0:
            self.faults.lost_put_answers -= 1
            abort_connection(scope)
            return
        await respond(send, 200, b"", [_etag_header(self._entries[key].version)])

    async def _watch(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode())
        after_revision = int(query.get("after", ["0"])[0])
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
        if self.faults.broken_watch:
            await asyncio.sleep(wait_s)
            await respond_json(send, {"revision": after_revision, "objects": []})
            return
        try:
            async with asyncio.timeout(wait_s), self._object_changed:
                await self._object_changed.wait_for(lambda: self.revision > after_revision)
        except TimeoutError:
            pass
        await respond(
            send, 200, self._watch_body(after_revision), [(b"content-type", b"application/json")]
        )

    def _watch_body(self, after_revision: int) -> bytes:
        objects: list[dict[str, Any]] = [
            {"key": key, "version": entry.version, "value": msgspec.Raw(entry.value)}
            for key, entry in self._entries.items()
            if entry.version > after_revision
        ]
        return msgspec.json.encode(
            {"revision": max(after_revision, self.revision), "objects": objects}
        )


def _etag_header(version: int) -> tuple[bytes, bytes]:
    return (b"etag", f'"{version}"'.encode())


async def _run(port: int) -> None:
    await serve([(StoreStandIn(), port)])


def main() -> None:
    """Run the stand-in on a loopback port until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(_run(parser.parse_args().port))


if __name__ == "__main__":
    main()
