"""Write events as JSON lines to a pipe without blocking on its reader."""

import logging
import os
import time
from collections import deque

import anyio
import msgspec

__all__ = ["EventLog"]

# Bounds of the buffer for a slow reader. When it is full, new lines are dropped, because older
# events are more useful to find the cause of a failure.
PENDING_LINES_MAX = 4096
PENDING_BYTES_MAX = 1_000_000
# Lines per second about single requests: above REQUEST_LINES_PER_S only failures are logged, above
# FAILURE_LINES_PER_S none.
REQUEST_LINES_PER_S = 40
FAILURE_LINES_PER_S = 80
_WRITE_CHUNK_BYTES = 65_536
# Interval of writes. A pipe of 64 KiB holds what is logged in this time at the rate limits.
FLUSH_INTERVAL_S = 0.2


class EventLog(logging.Handler):
    """Buffer events, limit their rate and write them while the file descriptor is writable."""

    def __init__(self, file_descriptor: int, host: str) -> None:
        super().__init__()
        self._fd = file_descriptor
        self._host = host
        self._buffered_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        self._current_second = 0
        self._current_second_lines = 0
        self.lines_buffered = 0
        self.lines_dropped_buffer_full = 0
        self.lines_dropped_over_rate = 0
        self.lines_dropped_unwritable = 0
        self._reported_dropped = 0
        os.set_blocking(file_descriptor, False)

    def event(self, name: str, **fields: object) -> None:
        """Buffer one event, such as a state change; drop and count it if the buffer is full."""
        self._add({"time_s": round(time.time(), 3), "host": self._host, "event": name, **fields})

    def request_event(self, name: str, *, failed: bool, **fields: object) -> None:
        """Buffer one event about a request; drop and count it above the rate limit."""
        second = int(time.time())
        if second != self._current_second:
            self._current_second, self._current_second_lines = second, 0
        lines_max = FAILURE_LINES_PER_S if failed else REQUEST_LINES_PER_S
        if self._current_second_lines >= lines_max:
            self.lines_dropped_over_rate += 1
            return
        self._current_second_lines += 1
        self.event(name, **fields)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record of the standard library's loggers as an event named `log`."""
        fields: dict[str, object] = {"level": record.levelname, "logger": record.name}
        if record.exc_info:
            fields["error"] = self.format(record)
        self.event("log", message=record.getMessage(), **fields)

    def flush(self) -> None:
        """Write buffered lines until the file descriptor would block or fails."""
        self._report_dropped()
        while self._unwritten or self._buffered_lines:
            if not self._unwritten:
                chunk: list[bytes] = []
                chunk_bytes = 0
                while self._buffered_lines and chunk_bytes < _WRITE_CHUNK_BYTES:
                    chunk.append(self._buffered_lines.popleft())
                    chunk_bytes += len(chunk[-1])
                self._buffered_bytes -= chunk_bytes
                self._unwritten = b"".join(chunk)
            try:
                written_bytes = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Counted for metrics, and reported in the log once writes succeed again.
                self.lines_dropped_unwritable += self._unwritten.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written_bytes:]

    async def flush_forever(self) -> None:
        """Write buffered lines at intervals until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _report_dropped(self) -> None:
        dropped = (
            self.lines_dropped_buffer_full
            + self.lines_dropped_over_rate
            + self.lines_dropped_unwritable
        )
        if dropped != self._reported_dropped and not self._is_full():
            self.event(
                "log_lines_dropped",
                buffer_full=self.lines_dropped_buffer_full,
                over_rate=self.lines_dropped_over_rate,
                unwritable=self.lines_dropped_unwritable,
            )
            self._reported_dropped = dropped

    def _is_full(self) -> bool:
        return (
            len(self._buffered_lines) >= PENDING_LINES_MAX
            or self._buffered_bytes >= PENDING_BYTES_MAX
        )

    def _add(self, fields: dict[str, object]) -> None:
        if self._is_full():
            self.lines_dropped_buffer_full += 1
            return
        line = self._encode(fields) + b"\n"
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        self.lines_buffered += 1
