"""Record the stages and attempts of each request and keep the most recent records."""

from collections.abc import Iterator
from typing import Any, Protocol

import attrs

from berylchute.exchange import Attempt

__all__ = ["STAGES", "RecentRequests", "RequestRecord", "TraceSink", "Tracer"]

STAGES = ("entry", "queue", "slot", "link", "connect", "server", "answer")
# Indices of the stages in `RequestRecord.stage_s`.
ENTRY, QUEUE, SLOT, LINK, CONNECT, SERVER, ANSWER = range(len(STAGES))
RECORDS_MAX = 4096


@attrs.define(eq=False)
class RequestRecord:
    """Routing decisions (`decisions`), attempts and outcome of one request.

    `stage_s` has the seconds of each of STAGES. A refusal of a request with an idempotency key says
    `not_run` only if `not_run_certain`: an earlier request with the key may have run.
    `forwarded_to` is the host position that the request was forwarded to.
    """

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
    decisions: list[Any] = attrs.Factory(list)
    server: str = ""
    status: int = 0
    outcome: str = ""
    code: str = ""
    reason: str = ""
    not_run: bool | None = None
    not_run_certain: bool = False
    forwarded_to: str = ""
    ended_s: float = 0.0

    def set_answering_attempt(self, attempt: Attempt) -> None:
        """Set the server and its stages from the attempt whose answer is sent to the caller."""
        self.server = attempt.server
        sent_s = attempt.sent_s or attempt.head_received_s
        self.stage_s[CONNECT] = max(0.0, sent_s - attempt.started_s)
        self.stage_s[SERVER] = max(0.0, attempt.head_received_s - sent_s)
        self.stage_s[ANSWER] = max(0.0, attempt.ended_s - attempt.head_received_s)

    def server_timing(self) -> bytes:
        """Return the value of the Server-Timing response header; durations are in ms."""
        return ", ".join(
            [
                f"{name};dur={seconds * 1000.0:.2f}"
                for name, seconds in zip(STAGES, self.stage_s, strict=True)
            ]
        ).encode()


class TraceSink(Protocol):
    """Receiver of the records of finished requests."""

    def record_request(self, record: RequestRecord) -> None:
        """Process one finished record without blocking."""
        ...


class RecentRequests:
    """Bounded collection of the most recent records by request id."""

    def __init__(self, records_max: int = RECORDS_MAX) -> None:
        self._records_max = records_max
        self._records: dict[str, RequestRecord] = {}

    def record_request(self, record: RequestRecord) -> None:
        """Add a record; evict the oldest one above the bound."""
        self._records.pop(record.request_id, None)
        self._records[record.request_id] = record
        if len(self._records) > self._records_max:
            del self._records[next(iter(self._records))]

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if it was evicted or never added."""
        return self._records.get(request_id)

    def __iter__(self) -> Iterator[RequestRecord]:
        """Iterate over the records, oldest first."""
        return iter(list(self._records.values()))


class Tracer:
    """Pass each finished record to all sinks."""

    def __init__(self, sinks: tuple[TraceSink, ...]) -> None:
        self._sinks = sinks

    def finish(self, record: RequestRecord, now_s: float) -> None:
        """Set the end of a record and pass it to all sinks."""
        record.ended_s = now_s
        for sink in self._sinks:
            sink.record_request(record)
