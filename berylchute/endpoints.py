"""Serve the health, metrics, locator and operator paths of the programs."""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from berylchute.identity import OperatorDirectory
from berylchute.locator import LOCATE_PATH
from berylchute.metrics import CONTENT_TYPE_LATEST, Metrics
from berylchute.objects import STORE_VALUE_BYTES_MAX
from berylchute.refusals import RefusedError
from berylchute.requesthead import AsgiApp, Receive, Scope, Send, receive_body

__all__ = ["ApplyObject", "Endpoints", "send_json"]

ApplyObject = Callable[[str, int, bytes], bool]


async def send_body(
    send: Send, status: int, content_type: bytes, body: bytes, *, close: bool = False
) -> None:
    """Send a complete answer; `close` asks the caller to close the connection."""
    headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
    if close:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, document: Any) -> None:
    """Send `document` encoded as JSON."""
    await send_body(send, status, b"application/json", msgspec.json.encode(document))


class Endpoints:
    """ASGI application for the paths that are not forwarded to backend servers."""

    def __init__(
        self,
        metrics: Metrics,
        operators: OperatorDirectory,
        is_ready: Callable[[], bool],
        apply_object: ApplyObject,
        locator: AsgiApp,
        queries: Mapping[str, Callable[[str], Any]],
    ) -> None:
        """Serve the given metrics, locator and queries.

        `apply_object` takes the key, version and value of an object that an operator sends; it
        returns whether the object was newer. `queries` maps the first path segment to a function
        that takes the rest of the path and returns a JSON document, or None if there is none. All
        paths but health, metrics and the locator need an operator's token.
        """
        self._metrics = metrics
        self._operators = operators
        self._is_ready = is_ready
        self._apply_object = apply_object
        self._locator = locator
        self._queries = queries

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request as an ASGI application."""
        path: str = scope["path"]
        if path == "/healthz":
            await send_json(send, 200, {"status": "ok"})
        elif path == "/readyz":
            is_ready = self._is_ready()
            await send_json(send, 200 if is_ready else 503, {"ready": is_ready})
        elif path == "/metrics":
            await send_body(send, 200, CONTENT_TYPE_LATEST.encode(), self._metrics.render())
        elif path == LOCATE_PATH:
            await self._locator(scope, receive, send)
        elif not self._operators.allows(_find_authorization(scope)):
            await send_json(send, 401, {"code": "unauthorized"})
        else:
            await self._serve_operator(scope, receive, send, path.removeprefix("/berylchute/v1/"))

    async def _serve_operator(self, scope: Scope, receive: Receive, send: Send, path: str) -> None:
        name, _, rest = path.partition("/")
        if name == "objects" and scope["method"] == "PUT":
            await self._put_object(scope, receive, send, rest)
        elif scope["method"] == "GET" and name in self._queries:
            document = self._queries[name](rest)
            if document is None:
                await send_json(send, 404, {"code": "not_found", "path": path})
            else:
                await send_json(send, 200, document)
        else:
            await send_json(send, 404, {"code": "not_found", "path": path})

    async def _put_object(self, scope: Scope, receive: Receive, send: Send, key: str) -> None:
        version = dict(scope["headers"]).get(b"berylchute-version", b"")
        if not version.isdigit():
            await send_json(send, 400, {"code": "bad_request", "key": "Berylchute-Version"})
            return
        try:
            value = await receive_body(receive, STORE_VALUE_BYTES_MAX)
        except RefusedError:
            await send_json(send, 413, {"code": "body_too_large", "allowed": STORE_VALUE_BYTES_MAX})
            return
        is_applied = self._apply_object(key, int(version), value)
        await send_json(send, 200, {"applied": is_applied})


def _find_authorization(scope: Scope) -> bytes:
    for name, value in scope["headers"]:
        if name == b"authorization":
            return bytes(value)
    return b""
