"""A scripted store that speaks the platform's protocol over sockets."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from typing import Any

import attrs


@attrs.frozen
class StoreAnswer:
    """An answer of the store to the next call; `era` counts how often it was restored.

    A text is sent as it is.
    """

    body: Mapping[str, Any] | str
    era: int | str = 1
    status: int = 200


def listing(revision: int, items: Sequence[Mapping[str, Any]] = (), **changes: Any) -> StoreAnswer:
    """Return the answer to a list call."""
    return StoreAnswer({"items": list(items), "has-more": False, "at-rev": revision}, **changes)


def changed(revision: int, items: Sequence[Mapping[str, Any]] = (), **changes: Any) -> StoreAnswer:
    """Return the answer to a watch."""
    events = [{"deleted": False, "object": item} for item in items]
    return StoreAnswer({"events": events, "at-rev": revision}, **changes)


def zone(name: str) -> Mapping[str, Any]:
    """Return an object of the collection of drained zones."""
    return {"metadata": {"name": name}, "spec": {}}


class StoreServer:
    """Answer calls in the order of a script; when it ends, calls wait without an answer."""

    def __init__(self, answers: Sequence[StoreAnswer]) -> None:
        self.paths: list[str] = []
        self.address = ""
        self.is_finished = asyncio.Event()
        self._answers = list(answers)
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "StoreServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        for writer in self._writers:
            writer.close()
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while request_line := await reader.readline():
            while (await reader.readline()).strip():
                pass
            if not self._answers:
                self.is_finished.set()
                continue
            self.paths.append(request_line.split()[1].decode())
            answer = self._answers.pop(0)
            body = answer.body if isinstance(answer.body, str) else json.dumps(answer.body)
            head = f"HTTP/1.1 {answer.status} X\r\nStore-Era: {answer.era}\r\n"
            writer.write(
                head.encode() + b"Content-Length: %d\r\n\r\n" % len(body.encode()) + body.encode()
            )
