"""What untrusted callers send, as data, and the connections that send it."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator, Mapping

import attrs

from soak import wire
from tests.edgeprocess import EdgeProcess

__all__ = ["CASES", "LEGAL_REQUESTS", "Callers", "read_status", "request", "send_all"]

HEADER_BYTES_MAX = 16_384
BODY_BYTES_MAX = 2**26
# Without a bound, a process takes more than 20 times what some of these callers send.
BYTES_MAX = 150_000_000
# Uploads with a declared length have long been bounded by BodyMemory, and end when refused.
UPLOADS_BYTES_MAX = 600_000_000
CROWD_S = 12.0
# Time in which the process can read what was sent, before the connection is reset and that is lost;
# longer than the timeout of an incomplete head.
HOLD_S = 4.0
REQUEST_ID = b"*request-id-no.*"
_ids = itertools.count(1)


def _head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the start of a request head, without the empty line at its end."""
    fields = wire.caller_headers(REQUEST_ID.decode(), 10_000, 7)
    lines = (f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items()), *lines)
    return "".join(f"{line}\r\n" for line in lines).encode()


def request(path: str) -> bytes:
    """Return an ordinary request without a body."""
    return _head(path, method="GET") + b"\r\n"


def _fill(line: bytes, path: str = "/read/0", size_bytes: int = HEADER_BYTES_MAX) -> bytes:
    """Return a complete request head of exactly this size, filled with a line."""
    head = _head(path, method="GET")
    count, rest = divmod(size_bytes - len(head) - 2, len(line))
    return head + line * (count - 1) + line[:-2] + b"x" * rest + b"\r\n\r\n"


def _chunked(path: str = "/post/0") -> bytes:
    return _head(path, "Transfer-Encoding: chunked") + b"\r\n"


@attrs.frozen
class Callers:
    """Connections that each send `start` and then `repeated` a number of times.

    With `awaits`, each part is sent after an answer to the former one; with `stops`, nothing more
    is sent after an answer. Without `reads`, no answer is read.
    """

    connections: int
    start: bytes = b""
    repeated: bytes = b""
    repeats: int = 0
    awaits: bool = False
    stops: bool = False
    reads: bool = True
    bytes_max: int = BYTES_MAX

    def parts(self) -> Iterator[bytes]:
        """Iterate over what one connection sends, each request with an id of its own."""
        left_bytes = self.bytes_max // self.connections
        for part in itertools.chain([self.start], itertools.repeat(self.repeated, self.repeats)):
            left_bytes -= len(part)
            if left_bytes < 0:
                return
            while REQUEST_ID in part:
                part = part.replace(REQUEST_ID, b"%016x" % next(_ids), 1)
            yield part


SHORT = b"ab: \r\n"
SHORT_HEAD = _fill(SHORT)
# Refused by its size only after it was parsed, since a read takes up to 256 KiB.
LARGE_HEAD = _fill(SHORT, size_bytes=60_000)
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
TRAILERS = _chunked() + ONE_BYTE_CHUNK + b"0\r\n"
UNUSUAL_LINES = {
    "no values": b"ab:\r\n",
    "one-byte names": b"a:bc\r\n",
    "repeated names": b"te:ab\r\n",
    "folded": b"ab:cd\r\n ef\r\n",
    "8-bit": b"ab:\xe4\xff\r\n",
}
_SLOW_BODY = _chunked("/post/?wait=5") + ONE_BYTE_CHUNK * 2000 + b"0\r\n\r\n"

# The name of each case, which says what could fill the memory or take all descriptors.
_CROWDS: Mapping[str, Callers] = {
    "endless trailers": Callers(8, TRAILERS, b"ab: cd\r\n" * 8000, 80),
    "endless trailers that expect interim responses": Callers(
        8, TRAILERS, b"Expect: 100-continue\r\n" * 3000, 80, reads=False
    ),
    "one endless trailer line": Callers(8, TRAILERS + b"x: ", b"x" * 65_536, 280),
    "incomplete heads": Callers(380, SHORT_HEAD[:-2]),
    "incomplete heads above the limit": Callers(150, LARGE_HEAD[:-2]),
    "complete heads": Callers(40, b"", SHORT_HEAD, 50, awaits=True),
    "pipelined heads": Callers(40, b"", SHORT_HEAD * 4, 50),
    "one head per connection": Callers(380, SHORT_HEAD),
    "pipelined heads at slow servers": Callers(40, b"", _fill(SHORT, "/read/?wait=5") * 4, 50),
    **{
        f"incomplete heads, {name}": Callers(380, _fill(line)[:-2])
        for name, line in UNUSUAL_LINES.items()
    },
    "one-byte chunks": Callers(8, _chunked(), ONE_BYTE_CHUNK * 10_000, 100),
    "one-byte chunks at slow servers": Callers(16, b"", _SLOW_BODY, 300),
    "chunk extensions": Callers(8, _chunked(), b"1" + b";a=b" * 10_000 + b"\r\nx\r\n", 100),
    "blank lines": Callers(8, b"", b"\r\n" * 30_000, 100),
    "callers that never read": Callers(64, b"", request("/read/large") * 8, 8, reads=False),
    "more connections than descriptors": Callers(900, request("/read/0")[:-2]),
}
_REDUCED = tuple(
    attrs.evolve(
        callers,
        connections=min(callers.connections, max(2, callers.connections // 10)),
        bytes_max=BYTES_MAX // len(_CROWDS),
    )
    for callers in _CROWDS.values()
)
_UPLOADS = Callers(
    64,
    _head("/post/0", f"Content-Length: {BODY_BYTES_MAX}") + b"\r\n",
    bytes(262_144),
    BODY_BYTES_MAX // 262_144,
    stops=True,
    bytes_max=UPLOADS_BYTES_MAX,
)
CASES: Mapping[str, tuple[Callers, ...]] = {
    **{name: (callers,) for name, callers in _CROWDS.items()},
    "all at once": _REDUCED,
    "all at once beside large uploads": (*_REDUCED, _UPLOADS),
}
LEGAL_REQUESTS: Mapping[str, bytes] = {
    "largest head, short lines": _fill(b"ab: c\r\n"),
    "largest head, shortest lines": _fill(b"a:\r\n"),
    "largest head, one line": _fill(b"ab: " + b"x" * 16_000 + b"\r\n"),
    "trailers": TRAILERS + b"Checksum: 1f\r\nOrigin-Time: 1\r\n\r\n",
}


async def read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of the next response, or 0 if the connection is closed before it."""
    try:
        return int((await reader.readline()).split()[1])
    except (OSError, IndexError):
        return 0


async def _read_on(reader: asyncio.StreamReader, has_answer: asyncio.Event) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            has_answer.set()
    has_answer.set()


async def _send(edge: EdgeProcess, callers: Callers) -> None:
    reader, writer = await edge.connect()
    has_answer = asyncio.Event()
    reading = asyncio.create_task(
        _read_on(reader, has_answer) if callers.reads else asyncio.sleep(CROWD_S)
    )
    try:
        for part in callers.parts():
            if reading.done() or (callers.stops and has_answer.is_set()):
                break
            has_answer.clear()
            writer.write(part)
            await writer.drain()
            if callers.awaits:
                await has_answer.wait()
        await asyncio.wait([reading], timeout=HOLD_S)
    finally:
        writer.transport.abort()
        reading.cancel()
        await asyncio.sleep(0)  # lets the transport close before the loop does


async def _send_within_time(edge: EdgeProcess, callers: Callers) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CROWD_S):
            await _send(edge, callers)


async def send_all(edge: EdgeProcess, crowd: tuple[Callers, ...]) -> None:
    """Run all callers of a crowd at once; it ends after CROWD_S at the latest."""
    await asyncio.gather(
        *(_send_within_time(edge, callers) for callers in crowd for _ in range(callers.connections))
    )
