"""Write events as JSON lines to a pipe without ever waiting for its reader."""

import logging
import os
import time
from collections import deque

import msgspec

__all__ = ["EventLog"]

# Lines kept while the reader is behind; older events are of more use than newer ones to find
# the cause of a failure, so that new lines are dropped.
PENDING_LINES_MAX = 4096
PENDING_BYTES_MAX = 1_000_000
# Lines about single requests in one second; above it only failures are written, then none.
REQUEST_LINES_PER_S = 40
FAILURE_LINES_PER_S = 80
_WRITE_BYTES = 65_536


class EventLog(logging.Handler):
    """Encode events, bound their rate, and write them when the file descriptor takes them."""

    def __init__(self, file_descriptor: int, host: str) -> None:
        super().__init__()
        self._fd = file_descriptor
        self._host = host
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._rest = b""
        self._rest_lines = 0
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._second = 0
        self._request_lines = 0
        self.written = 0
        self.dropped_full = 0
        self.dropped_rate = 0
        self.dropped_unwritable = 0
        self._reported_dropped = 0
        os.set_blocking(file_descriptor, False)

    def event(self, name: str, **fields: object) -> None:
        """Write one event that changes what this process believes."""
        self._add({"time_s": round(time.time(), 3), "host": self._host, "event": name, **fields})

    def request_event(self, name: str, *, failed: bool, **fields: object) -> None:
        """Write one event of a request, unless too many were written this second."""
        second = int(time.time())
        if second != self._second:
            self._second, self._request_lines = second, 0
        bound = FAILURE_LINES_PER_S if failed else REQUEST_LINES_PER_S
        if self._request_lines >= bound:
            self.dropped_rate += 1
            return
        self._request_lines += 1
        self.event(name, **fields)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of the standard library's loggers."""
        fields: dict[str, object] = {"level": record.levelname, "logger": record.name}
        if record.exc_info:
            fields["error"] = self.format(record)
        self.event("log", message=record.getMessage(), **fields)

    def flush(self) -> None:
        """Write as much as the file descriptor takes now."""
        self._report_dropped()
        while self._rest or self._lines:
            if not self._rest:
                chunk: list[bytes] = []
                size = 0
                while self._lines and size < _WRITE_BYTES:
                    chunk.append(self._lines.popleft())
                    size += len(chunk[-1])
                self._bytes -= size
                self._rest = b"".join(chunk)
                self._rest_lines = len(chunk)
            try:
                done = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Counted for metrics, and told in the log if the descriptor works again.
                self.dropped_unwritable += self._rest_lines
                self._rest, self._rest_lines = b"", 0
                return
            self._rest = self._rest[done:]

    def _report_dropped(self) -> None:
        dropped = self.dropped_full + self.dropped_rate + self.dropped_unwritable
        if dropped != self._reported_dropped and not self._is_full():
            self.event(
                "log_lines_dropped",
                buffer_full=self.dropped_full,
                over_rate=self.dropped_rate,
                unwritable=self.dropped_unwritable,
            )
            self._reported_dropped = dropped

    def _is_full(self) -> bool:
        return len(self._lines) >= PENDING_LINES_MAX or self._bytes >= PENDING_BYTES_MAX

    def _add(self, fields: dict[str, object]) -> None:
        if self._is_full():
            self.dropped_full += 1
            return
        line = self._encode(fields) + b"\n"
        self._lines.append(line)
        self._bytes += len(line)
        self.written += 1
