"""Trace the stages and attempts of each request and keep the recent ones."""

from collections.abc import Iterator
from typing import Any, Protocol

import attrs

from berylchute.exchange import Attempt

__all__ = ["STAGES", "RecentRequests", "RequestRecord", "TraceSink", "Tracer"]

STAGES = ("entry", "queue", "slot", "link", "connect", "server", "answer")
ENTRY, QUEUE, SLOT, LINK, CONNECT, SERVER, ANSWER = range(len(STAGES))
RECORDS_KEPT = 4096


@attrs.define(eq=False)
class RequestRecord:
    """What happened to one request; `stage_s` holds the seconds of each stage in order."""

    request_id: str
    started_s: float
    method: str = ""
    path: str = ""
    customer: str = ""
    plan: str = ""
    service: str = ""
    kind: str = ""
    stage_s: list[float] = attrs.Factory(lambda: [0.0] * len(STAGES))
    attempts: list[Attempt] = attrs.Factory(list)
    routes: list[Any] = attrs.Factory(list)
    server: str = ""
    status: int = 0
    outcome: str = ""
    code: str = ""
    reason: str = ""
    not_run: bool | None = None
    not_run_certain: bool = False
    forwarded_to: str = ""
    ended_s: float = 0.0

    def take_attempt(self, attempt: Attempt) -> None:
        """Set the stages of the attempt whose answer the caller gets."""
        self.server = attempt.server
        sent_s = attempt.sent_s or attempt.head_s
        self.stage_s[CONNECT] = max(0.0, sent_s - attempt.started_s)
        self.stage_s[SERVER] = max(0.0, attempt.head_s - sent_s)
        self.stage_s[ANSWER] = max(0.0, attempt.ended_s - attempt.head_s)

    def server_timing(self) -> bytes:
        """Return the Server-Timing value, in milliseconds."""
        return ", ".join(
            [
                f"{name};dur={seconds * 1000.0:.2f}"
                for name, seconds in zip(STAGES, self.stage_s, strict=True)
            ]
        ).encode()


class TraceSink(Protocol):
    """Take finished records."""

    def take(self, record: RequestRecord) -> None:
        """Take one finished record; never blocks."""
        ...


class RecentRequests:
    """Keep the last records by request id."""

    def __init__(self, records_kept: int = RECORDS_KEPT) -> None:
        self._records_kept = records_kept
        self._records: dict[str, RequestRecord] = {}

    def take(self, record: RequestRecord) -> None:
        """Keep a record and drop the oldest beyond the bound."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self._records_kept:
            del self._records[next(iter(self._records))]

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request; None when it is not kept."""
        return self._records.get(request_id)

    def __iter__(self) -> Iterator[RequestRecord]:
        """Iterate over the records, oldest first."""
        return iter(list(self._records.values()))


class Tracer:
    """Hand each finished record to every sink."""

    def __init__(self, sinks: tuple[TraceSink, ...]) -> None:
        self._sinks = sinks

    def finish(self, record: RequestRecord, now_s: float) -> None:
        """Close a record."""
        record.ended_s = now_s
        for sink in self._sinks:
            sink.take(record)
