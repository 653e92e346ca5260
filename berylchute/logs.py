"""Write process logs and request logs as JSON lines."""

import logging
import sys
import time
from typing import Any, TextIO

import msgspec
from pythonjsonlogger.json import JsonFormatter

from berylchute.settings import LogSettings
from berylchute.tracing import STAGES, RequestRecord

__all__ = ["RequestLog", "configure"]

# A full buffer is flushed at once so that a burst of requests does not grow memory.
BUFFER_LINES_MAX = 256


def configure(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Send the records of all loggers to `stream` (default: stdout) as JSON lines."""
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level)
    # httpcore formats a message per socket call at DEBUG; uvicorn would log requests twice.
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)


class RequestLog:
    """Buffer one JSON line per request; `flush` writes the lines.

    Request lines bypass `logging`, whose record and formatter cost as much as a whole routing
    decision on the request path.
    """

    def __init__(self, host: str, stream: TextIO | None = None) -> None:
        self._host = host
        self._stream = stream or sys.stdout
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []

    def record_request(self, record: RequestRecord) -> None:
        """Add the line of one finished request; flush when the buffer is full."""
        line: dict[str, Any] = {
            "time_s": round(time.time(), 3),
            "level": "INFO",
            "name": "berylchute.request",
            "message": "request",
            "host": self._host,
            "request_id": record.request_id,
            "method": record.method,
            "customer": record.customer,
            "plan": record.plan,
            "kind": record.kind,
            "server": record.server,
            "status": record.status,
            "outcome": record.outcome,
            "total_ms": round((record.ended_s - record.started_s) * 1000.0, 3),
            "attempts": len(record.attempts),
        }
        for name, seconds in zip(STAGES, record.stage_s, strict=True):
            if seconds:
                line[name + "_ms"] = round(seconds * 1000.0, 3)
        if record.code:
            line["code"] = record.code
            line["reason"] = record.reason
            line["not_run"] = record.not_run
        if record.forwarded_to:
            line["forwarded_to"] = record.forwarded_to
        self._lines.append(self._encode(line))
        if len(self._lines) >= BUFFER_LINES_MAX:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        if self._lines:
            lines, self._lines = self._lines, []
            self._stream.write(b"\n".join(lines).decode() + "\n")
            self._stream.flush()
