"""Parse a caller's requests and check them against the limits.

Load handled: heads of thousands of lines, trailers, chunks and blank lines without end.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import attrs
import httptools

from berylchute.answerlimits import parse_content_length
from berylchute.callerlimits import (
    REQUEST_EVENTS,
    UNPACKED_LINES_MAX,
    Cause,
    HeaderLines,
    RequestLimits,
    cost_incomplete_head,
    cost_request,
)
from berylchute.callermessages import CallerRequest
from berylchute.headernames import HeaderNames
from berylchute.requestbuilding import build_request
from berylchute.sharedobjects import CallerLimits

__all__ = ["ReaderSettings", "Refusal", "RequestReader"]

_LINE_ENDS = b"\r\n"
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# A body below this rate is slow, after a time for its start. A modem of 56 kbit/s is faster.
SLOW_BYTES_PER_S = 4_096
SLOW_AFTER_S = 2.0


class ReaderSettings(Protocol):
    """The settings of a reader; they may change between requests."""

    header_names: HeaderNames
    limits: CallerLimits
    request_limits: RequestLimits


@attrs.frozen
class Refusal:
    """The answer to a request that breaks a limit, and why."""

    status: HTTPStatus
    cause: Cause


class RequestReader:
    """Parse the bytes of one connection.

    `on_head` is called with the declared length of a body and the number of expected interim
    answers, `on_request` when a request is complete. Callbacks of the parser raise nothing, since
    an exception would count as a malformed request.
    """

    __slots__ = (
        "_blank_bytes",
        "_body",
        "_expect_lines",
        "_has_begun",
        "_head_bytes",
        "_is_body_skipped",
        "_length",
        "_lines",
        "_now_s",
        "_on_head",
        "_on_request",
        "_outside_bytes",
        "_parser",
        "_part_bytes",
        "_quiet_bytes",
        "_settings",
        "_trailer_bytes",
        "_trailer_lines",
        "_url",
        "events",
        "is_reading_head",
        "refusal",
        "started_s",
    )

    def __init__(
        self,
        settings: ReaderSettings,
        on_head: Callable[[int, int], None],
        on_request: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._lines = HeaderLines()
        self.started_s: float | None = None
        self.is_reading_head = False
        self.refusal: Refusal | None = None
        self.events = 0
        self._now_s = 0.0
        self._part_bytes = 0
        self._blank_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self._has_begun = False
        self._url = b""
        self._lines.clear()
        self._body: bytes | bytearray = b""
        self._head_bytes = self._length = self._expect_lines = 0
        self._outside_bytes = self._quiet_bytes = 0
        self._trailer_bytes = self._trailer_lines = 0
        self._is_body_skipped = False

    def feed(self, data: bytes, now_s: float) -> None:
        """Parse some bytes, at least one; `refusal` is set if they break a limit."""
        self._now_s = now_s
        self.events = 0
        if not self._has_begun:
            if data[0] in _LINE_ENDS:
                data = self._skip_blank(data)
                if not data:
                    return
            if self.started_s is None:
                self.started_s = now_s
                self.is_reading_head = True
        size_bytes = len(data)
        # Bytes of a pipelined request that arrive with the end of the previous one don't count.
        self._part_bytes = size_bytes
        if self.is_reading_head:
            self._head_bytes += size_bytes
        else:
            self._outside_bytes += size_bytes
        try:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                if not self._is_body_skipped:
                    raise
                self._parse_skipped_body(data[error.args[0] :])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(HTTPStatus.BAD_REQUEST, Cause.MALFORMED)
        if self._has_begun:
            self._check_incomplete(size_bytes)

    def _parse_skipped_body(self, data: bytes) -> None:
        """Parse the body of a request that offers another protocol, which is not accepted.

        The parser ends such a request after its head. Another one gets a head that frames the same
        body, and reads nothing after it.
        """
        self._is_body_skipped = False
        framing = (
            b"%b: %b\r\n" % header
            for header in self._lines.to_list()
            if header[0].lower() in _FRAMING_HEADERS
        )
        head = b"%b / HTTP/1.1\r\nConnection: close\r\n%b\r\n"
        method = self._parser.get_method()
        self._parser = httptools.HttpRequestParser(_BodyCallbacks(self))
        self._parser.feed_data(head % (method, b"".join(framing)))
        if data:
            self._parser.feed_data(data)

    def _skip_blank(self, data: bytes) -> bytes:
        rest = data.lstrip(_LINE_ENDS)
        self._blank_bytes += len(data) - len(rest)
        if self._blank_bytes > self._settings.request_limits.blank_bytes_max:
            self._refuse(HTTPStatus.BAD_REQUEST, Cause.BLANK_LINES)
            return b""
        return rest

    def _check_incomplete(self, size_bytes: int) -> None:
        """Check what a request whose end has not arrived may take."""
        limits = self._settings.limits
        if self.is_reading_head:
            if self._head_bytes > limits.header_bytes_max:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.HEAD_BYTES)
            return
        self._check_body()
        bounds = self._settings.request_limits
        # The parser keeps a trailer line that is not complete.
        self._quiet_bytes = 0 if self.events else self._quiet_bytes + size_bytes
        if self._quiet_bytes > bounds.trailer_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.TRAILERS)

    def _check_body(self) -> None:
        body_bytes = len(self._body)
        if body_bytes > self._settings.limits.body_bytes_max:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Cause.BODY_BYTES)
        bounds = self._settings.request_limits
        overhead_bytes = self._outside_bytes - body_bytes
        allowed = bounds.chunk_overhead_bytes_max + bounds.chunk_overhead_ratio_max * body_bytes
        if overhead_bytes > allowed:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Cause.CHUNK_OVERHEAD)

    def _refuse(self, status: HTTPStatus, cause: Cause) -> None:
        if self.refusal is None:
            self.refusal = Refusal(status, cause)

    @property
    def body_bytes_left(self) -> int:
        """Return how many bytes of a body of declared length are still to come."""
        return 0 if self.is_reading_head else max(0, self._length - len(self._body))

    def restart_time(self, now_s: float) -> None:
        """Start the time of an incomplete request anew while its connection is not read."""
        if self.started_s is not None:
            self.started_s = now_s

    def is_slow(self, now_s: float) -> bool:
        """Return whether the body arrives too slowly to keep a connection that others need."""
        lasted_s = now_s - (self.started_s if self.started_s is not None else now_s)
        return len(self._body) < SLOW_BYTES_PER_S * (lasted_s - SLOW_AFTER_S)

    def held_bytes(self) -> int:
        """Return the memory of the incomplete request."""
        if not self._has_begun:
            return 0
        unpacked_lines = len(self._lines.unpacked)
        head_bytes = cost_incomplete_head(unpacked_lines, self._head_bytes)
        return head_bytes + self._quiet_bytes + len(self._body)

    def take_request(self) -> tuple[CallerRequest, int]:
        """Return the request, or what is known of it, and the memory that it takes in flight."""
        headers = self._lines.to_list()
        request = build_request(
            self._settings.header_names,
            self._parser.get_method(),
            self._url,
            headers,
            self._body,
            self._now_s,
        )
        size_bytes = cost_request(len(headers), self._head_bytes) + len(self._body)
        return request, size_bytes

    def should_keep_alive(self) -> bool:
        """Return whether the caller may send another request after the complete one."""
        # The parser reads nothing after a request that asks for another protocol, or CONNECT.
        return bool(self._parser.should_keep_alive()) and not self._parser.should_upgrade()

    def discard(self) -> None:
        """Free what is held of an incomplete request; nothing more can be parsed."""
        self._reset()
        self.started_s = None
        self._parser = httptools.HttpRequestParser(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin to count the bytes of a request."""
        self._has_begun = self.is_reading_head = True
        self._head_bytes = self._part_bytes
        self._blank_bytes = 0
        self.started_s = self._now_s

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        if len(self._url) > self._settings.request_limits.request_line_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.REQUEST_LINE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a trailer is only counted, since trailers are not forwarded."""
        self.events += 1
        if not self.is_reading_head:
            self._count_trailer(len(name) + len(value) + 4)
            return
        unpacked = self._lines.unpacked
        unpacked.append((name, value))
        if len(unpacked) >= UNPACKED_LINES_MAX:
            self._lines.pack()
            if len(self._lines) > self._settings.request_limits.head_lines_max:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.HEAD_LINES)

    def _count_trailer(self, size_bytes: int) -> None:
        self._trailer_lines += 1
        self._trailer_bytes += size_bytes
        limits = self._settings.request_limits
        if (
            self._trailer_lines > limits.trailer_lines_max
            or self._trailer_bytes > limits.trailer_bytes_max
        ):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.TRAILERS)

    def on_headers_complete(self) -> None:
        """Refuse a request whose headers, or the length that they declare, are above a limit."""
        self.is_reading_head = False
        size_bytes = len(self._url)
        lines = 0
        for name, value in self._lines.to_list():
            lines += 1
            name_bytes = len(name)
            # At least a colon and a line end; a space after the colon is optional.
            size_bytes += name_bytes + len(value) + 3
            if name_bytes == 14 and not self._length and name.lower() == b"content-length":
                self._length = parse_content_length(value) or 0
            elif name_bytes == 6 and name.lower() == b"expect":
                self._expect_lines += 1
        self.events += 1
        # Without the bytes of a body that came with the end of the head.
        self._head_bytes = size_bytes
        if size_bytes > self._settings.limits.header_bytes_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.HEAD_BYTES)
        elif lines > self._settings.request_limits.head_lines_max:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.HEAD_LINES)
        elif self._length > self._settings.limits.body_bytes_max:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Cause.BODY_BYTES)
        elif self.refusal is None and (self._length or self._expect_lines):
            self._on_head(self._length, self._expect_lines)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; limits are checked once for each part that is parsed."""
        self.events += 1
        if self._body:
            self._body += body
        else:
            self._body = bytearray(body)

    def on_message_complete(self) -> None:
        """Pass the complete request on, and hold nothing of it on an idle connection."""
        if self._parser.should_upgrade() and self._has_framed_body():
            self._is_body_skipped = True
            return
        if self._body:
            self._check_body()
        self.started_s = None
        self._part_bytes = 0
        self.events += REQUEST_EVENTS
        if self.refusal is None:
            self._on_request()
        self._reset()

    def _has_framed_body(self) -> bool:
        """Return whether the head announces a body; what follows CONNECT is none."""
        if self._parser.get_method() == b"CONNECT":
            return False
        names = {name.lower() for name, _ in self._lines.to_list()}
        return bool(self._length) or b"transfer-encoding" in names


class _BodyCallbacks:
    """The callbacks of a parser that is only to read a body."""

    def __init__(self, reader: RequestReader) -> None:
        self.on_body = reader.on_body
        self.on_message_complete = reader.on_message_complete
