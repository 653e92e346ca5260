"""Parse a caller's request: headers, kind, deadline, idempotency key and body."""

from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any, Protocol, TypeAlias

import attrs

from berylchute.config import Configuration, RequestKind
from berylchute.exchange import ANSWER_BUFFER_BYTES
from berylchute.refusals import RefusalCode, RefusedError
from berylchute.settings import LimitSettings

__all__ = [
    "AsgiApp",
    "CallerBody",
    "CallerGone",
    "KindTable",
    "Receive",
    "RequestHead",
    "Scope",
    "Send",
    "is_request_id",
    "parse_request_head",
    "receive_body",
]

Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send: TypeAlias = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class AsgiApp(Protocol):
    """An ASGI application."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request through `send`."""
        ...


REQUEST_ID_CHARS_MAX = 64
# The body of a request with an idempotency key is hashed before it is sent, so it is buffered whole
# and must fit the memory limit of a request.
KEYED_BODY_BYTES_MAX = 262144
_REQUEST_ID_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
# Hop-by-hop headers, and headers that this host sets and callers must not.
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"host",
        b"authorization",
        b"berylchute-plan",
        b"berylchute-host",
        b"berylchute-request-id",
        b"berylchute-deadline-ms",
        b"berylchute-forwarded-by",
        b"berylchute-not-run",
    }
)


class CallerGone(Exception):
    """The caller closed its connection."""


def is_request_id(text: str) -> bool:
    """Return whether a caller's request id is safe to return and log."""
    return 0 < len(text) <= REQUEST_ID_CHARS_MAX and _REQUEST_ID_CHARS.issuperset(text)


@attrs.define(eq=False)
class RequestHead:
    """The parsed headers of a request; `headers` holds those to forward."""

    headers: list[tuple[bytes, bytes]]
    authorization: bytes = b""
    request_id: str = ""
    idempotency_key: str = ""
    deadline_ms: int | None = None
    forwarded_by: str = ""
    content_length: int | None = None
    chunked: bool = False


def _refused_error(reason: str, code: RefusalCode = RefusalCode.BAD_REQUEST) -> RefusedError:
    return RefusedError(code, reason, not_run=True)


def _parse_size(value: bytes, name: str) -> int:
    if not value.isdigit():
        raise _refused_error(f"{name} is not a whole number")
    return int(value)


def parse_request_head(scope: Scope, limits: LimitSettings) -> RequestHead:
    """Return the parsed headers; raise RefusedError if they are malformed or too large."""
    forwarded: list[tuple[bytes, bytes]] = []
    request_head = RequestHead(forwarded)
    size = 0
    for name, value in scope["headers"]:
        size += len(name) + len(value)
        if name == b"content-length":
            request_head.content_length = _parse_size(value, "Content-Length")
        elif name == b"transfer-encoding":
            request_head.chunked = True
        elif name not in _DROPPED_HEADERS:
            forwarded.append((name, value))
            if name == b"idempotency-key":
                request_head.idempotency_key = value.decode("latin-1")
        elif name == b"authorization":
            request_head.authorization = value
        elif name == b"berylchute-request-id":
            request_head.request_id = value.decode("latin-1")
        elif name == b"berylchute-deadline-ms":
            request_head.deadline_ms = _parse_size(value, "Berylchute-Deadline-Ms")
        elif name == b"berylchute-forwarded-by":
            request_head.forwarded_by = value.decode("latin-1")
    if size > limits.header_bytes_max:
        raise _refused_error(f"headers exceed {limits.header_bytes_max} bytes", _HEADERS_TOO_LARGE)
    if request_head.chunked and request_head.content_length is not None:
        raise _refused_error("the body has both a length and chunks")
    if request_head.request_id and not is_request_id(request_head.request_id):
        raise _refused_error("Berylchute-Request-Id is malformed")
    if (request_head.content_length or 0) > limits.body_bytes_max:
        raise _refused_error(
            f"body exceeds {limits.body_bytes_max} bytes", RefusalCode.BODY_TOO_LARGE
        )
    return request_head


_HEADERS_TOO_LARGE = RefusalCode.HEADERS_TOO_LARGE


class KindTable:
    """Look up the kind of a request by service, method and path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self._kinds: dict[bytes, list[tuple[bytes, frozenset[str], RequestKind]]] = {
            service.name.encode(): [] for service in configuration.services
        }
        ordered = sorted(configuration.kinds, key=lambda kind: -len(kind.path_prefix))
        for kind in ordered:
            candidates = self._kinds.setdefault(kind.service.encode(), [])
            candidates.append((kind.path_prefix.encode(), frozenset(kind.methods), kind))

    def find(self, method: str, path: bytes) -> RequestKind:
        """Return the kind with the longest matching prefix; raise RefusedError if none matches."""
        # A server may resolve dot segments and run a different kind than the one matched here.
        if b"/." in path or b"%2e" in path.lower():
            raise _refused_error("the path holds dot segments")
        parts = path.split(b"/", 2)
        candidates = self._kinds.get(parts[1]) if len(parts) == 3 else None
        if candidates is None:
            raise _refused_error("no service has this path", RefusalCode.UNKNOWN_SERVICE)
        for prefix, methods, kind in candidates:
            if method in methods and path.startswith(prefix):
                return kind
        raise _refused_error(f"no kind takes {method} on this path", RefusalCode.UNKNOWN_KIND)


async def receive_body(receive: Receive, bytes_max: int) -> bytes:
    """Return the whole body; raise RefusedError beyond `bytes_max`, CallerGone if it is cut off."""
    message = await receive()
    if message["type"] != "http.request":
        raise CallerGone
    body: bytes = message.get("body", b"")
    if not message.get("more_body", False) and len(body) <= bytes_max:
        return body
    chunks = [body]
    size = len(body)
    while True:
        if size > bytes_max:
            raise _refused_error(f"body exceeds {bytes_max} bytes", RefusalCode.BODY_TOO_LARGE)
        if not message.get("more_body", False):
            return b"".join(chunks)
        message = await receive()
        if message["type"] != "http.request":
            raise CallerGone
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])


class CallerBody:
    """A body that is forwarded while it arrives; one chunk is in memory at a time."""

    def __init__(self, receive: Receive, bytes_max: int) -> None:
        self._receive = receive
        self._bytes_max = bytes_max
        self.is_read_started = False
        self.is_complete = False
        self.size = 0

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks; raise CallerGone if the caller disconnects before the end."""
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.is_read_started = True
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                raise CallerGone
            chunk: bytes = message.get("body", b"")
            self.size += len(chunk)
            if self.size > self._bytes_max:
                raise RefusedError(
                    RefusalCode.BODY_TOO_LARGE, f"body exceeds {self._bytes_max}", not_run=False
                )
            if not message.get("more_body", False):
                self.is_complete = True
            for start in range(0, len(chunk), ANSWER_BUFFER_BYTES):
                yield chunk[start : start + ANSWER_BUFFER_BYTES]
            if self.is_complete:
                return
