"""Define the requests of callers and the answers to them."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import attrs

__all__ = [
    "CONNECTION_HEADERS",
    "CallerAnswer",
    "CallerRequest",
    "Header",
    "PendingRequest",
    "RequestConnection",
    "encode_head",
]

Header = tuple[bytes, bytes]

# Hop-by-hop headers, and headers that are set for each message; neither are forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    )
)
_BODILESS_STATUSES = (204, 304)


@attrs.define(eq=False)
class CallerRequest:
    """One complete request of a caller; `time_left_ms` is the remaining time of its deadline."""

    method: bytes
    target: bytes
    path: str
    host: str
    headers: list[Header]
    body: bytes | bytearray
    received_s: float
    request_id: str = ""
    affinity_key: str = ""
    time_left_ms: float | None = None

    @classmethod
    def empty(cls, method: bytes, received_s: float) -> "CallerRequest":
        """Return a request of which nothing but the method is known or needed."""
        return cls(method, b"", "", "", [], b"", received_s)


@attrs.frozen
class CallerAnswer:
    """An answer to a caller; connection headers and Content-Length are added when it is sent."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes | bytearray = b""

    @property
    def has_body(self) -> bool:
        """Return whether an answer with this status has a body, maybe an empty one."""
        return self.status not in _BODILESS_STATUSES

    @property
    def size_bytes(self) -> int:
        """Return the bytes of the headers and the body."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class RequestConnection(Protocol):
    """The connection of a request, as far as its answer needs it."""

    is_closed: bool

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport of the connection."""
        ...

    def accept_answer(self, pending: "PendingRequest") -> None:
        """Send an answer once all earlier requests of the connection are answered."""
        ...

    def abort(self, reason: str) -> None:
        """Reset the connection; answers that are not sent yet are lost."""
        ...


@attrs.define(eq=False)
class PendingRequest:
    """An unanswered request of `connection`; `cancel` is called if the caller disconnects."""

    connection: RequestConnection
    request: CallerRequest
    keep_alive: bool
    answer: CallerAnswer | None = None
    cancel: Callable[[], None] | None = None

    def respond(self, answer: CallerAnswer) -> None:
        """Send the answer once all earlier requests of the connection are answered.

        Further answers to the same request are ignored.
        """
        if self.answer is None:
            self.answer = answer
            self.connection.accept_answer(self)

    def drop_body(self, reason: str) -> None:
        """Give up an answer that waits for its caller; implements BodyHolder."""
        self.connection.abort(f"answer: {reason}")

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.connection.is_closed


def encode_head(answer: CallerAnswer, is_last: bool) -> bytes:
    """Encode the head of an answer; the last one of a connection says that it closes."""
    try:
        phrase = HTTPStatus(answer.status).phrase
    except ValueError:
        phrase = ""
    lines = [b"HTTP/1.1 %d %s" % (answer.status, phrase.encode())]
    lines += [
        b"%s: %s" % header
        for header in answer.headers
        if header[0].lower() not in CONNECTION_HEADERS
    ]
    if answer.has_body:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
