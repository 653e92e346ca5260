"""Serve callers over ASGI: authenticate, forward and answer."""

import itertools
from collections.abc import Sequence
from typing import Protocol

import anyio
import attrs

from berylchute.config import Configuration, Kind
from berylchute.exchange import Answer
from berylchute.forwarding import BodyStream, Forwarder, Work
from berylchute.identity import CallerDirectory
from berylchute.intake import (
    KEYED_BODY_BYTES_MAX,
    CallerBody,
    CallerGone,
    Intake,
    KindTable,
    Receive,
    Scope,
    Send,
    read_intake,
    read_whole,
)
from berylchute.metrics import Metrics
from berylchute.refusals import RefusalCode, RefusedError, problem_body
from berylchute.settings import LimitSettings
from berylchute.tracing import ENTRY, RequestRecord, Tracer
from berylchute.types import Clock

__all__ = ["AsgiApp", "Gateway", "GatewayState"]

BUFFERED_BODY_BYTES = 65536
# Connection fields end here, the length is set anew, and the id is the caller's.
_ANSWER_DROPPED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"trailer",
        b"content-length",
        b"berylchute-request-id",
        b"berylchute-not-run",
        b"server-timing",
    }
)


class AsgiApp(Protocol):
    """An ASGI application."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        ...


@attrs.define(eq=False)
class GatewayState:
    """What changes while the gateway serves."""

    kinds: KindTable | None = None
    callers: CallerDirectory | None = None
    leaving: bool = False
    in_flight: int = 0

    def configure(self, configuration: Configuration) -> None:
        """Follow an accepted configuration."""
        self.kinds = KindTable(configuration)
        self.callers = CallerDirectory(configuration)


class Gateway:
    """The ASGI application of the entry program."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        forwarder: Forwarder,
        tracer: Tracer,
        metrics: Metrics,
        limits: LimitSettings,
        position: str,
        id_prefix: str,
        own_paths: AsgiApp,
    ) -> None:
        """Wire the parts; `id_prefix` makes request ids unique over hosts and restarts."""
        self._clock = clock
        self._state = state
        self._forwarder = forwarder
        self._tracer = tracer
        self._metrics = metrics
        self._limits = limits
        self._host = position.encode()
        self._id_prefix = id_prefix
        self._numbers = itertools.count(1)
        self._own_paths = own_paths

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path: bytes = scope["raw_path"]
        if path.startswith(b"/berylchute/v1/") or path in (b"/metrics", b"/healthz", b"/readyz"):
            await self._own_paths(scope, receive, send)
            return
        own_id = f"{self._id_prefix}{next(self._numbers):x}"
        record = RequestRecord(own_id, self._clock.now_s(), scope["method"], scope["path"])
        self._state.in_flight += 1
        try:
            await self._serve(scope, receive, send, record, own_id)
        finally:
            self._state.in_flight -= 1
            self._tracer.finish(record, self._clock.now_s())

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, record: RequestRecord, own_id: str
    ) -> None:
        try:
            work = await self._accept(scope, receive, record, own_id)
            answer = await self._forwarder.answer(work)
        except RefusedError as error:
            await self._refuse(send, record, error)
        except CallerGone:
            record.outcome = "caller_gone"
        else:
            await self._reply(send, work, answer)

    async def _accept(
        self, scope: Scope, receive: Receive, record: RequestRecord, own_id: str
    ) -> Work:
        intake = read_intake(scope, self._limits)
        record.request_id = intake.request_id or own_id
        state = self._state
        if state.callers is None or state.kinds is None:
            raise RefusedError(RefusalCode.NOT_READY, "no configuration yet", not_run=True)
        caller = state.callers.find(intake.authorization)
        if caller is None:
            raise RefusedError(RefusalCode.UNAUTHORIZED, "no valid token", not_run=True)
        record.customer, record.plan = caller.customer, caller.plan
        kind = state.kinds.find(scope["method"], scope["raw_path"])
        record.service, record.kind = kind.service, kind.name
        if state.leaving:
            raise RefusedError(RefusalCode.LEAVING, "use another entry host", not_run=True)
        body = await self._read_body(intake, kind, receive)
        headers = intake.headers
        if isinstance(body, bytes):
            if body or scope["method"] not in ("GET", "HEAD", "DELETE"):
                headers.append((b"Content-Length", b"%d" % len(body)))
        elif intake.content_length is not None:
            headers.append((b"Content-Length", b"%d" % intake.content_length))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        headers.append((b"Berylchute-Plan", caller.plan.encode()))
        headers.append((b"Berylchute-Host", self._host))
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target = target + b"?" + scope["query_string"]
        deadline_ms = min(
            kind.deadline_max_ms,
            kind.deadline_default_ms if intake.deadline_ms is None else intake.deadline_ms,
        )
        now_s = self._clock.now_s()
        record.stage_s[ENTRY] = now_s - record.started_s
        return Work(
            record,
            caller,
            kind,
            scope["method"].encode(),
            target,
            headers,
            body,
            record.started_s + deadline_ms / 1000.0,
            own_id,
        )

    async def _read_body(self, intake: Intake, kind: Kind, receive: Receive) -> bytes | BodyStream:
        if not intake.chunked and not intake.content_length:
            return b""
        if not kind.idempotent:
            return await read_whole(receive, min(KEYED_BODY_BYTES_MAX, self._limits.body_bytes_max))
        if not intake.chunked and (intake.content_length or 0) <= BUFFERED_BODY_BYTES:
            return await read_whole(receive, BUFFERED_BODY_BYTES)
        return CallerBody(receive, self._limits.body_bytes_max)

    async def _refuse(self, send: Send, record: RequestRecord, error: RefusedError) -> None:
        refusal = error.refusal
        record.outcome = "refused" if refusal.not_run else "failed"
        record.status, record.code = refusal.status, refusal.code.value
        record.reason, record.not_run = refusal.reason, refusal.not_run
        body = problem_body(refusal, record.request_id)
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", b"%d" % len(body)),
            (b"berylchute-request-id", record.request_id.encode()),
            (b"server-timing", record.server_timing()),
        ]
        # A caller whose body was not read to its end must not send another request after it.
        if self._state.leaving or refusal.code in _CLOSING:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": refusal.status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _reply(self, send: Send, work: Work, answer: Answer) -> None:
        record = work.record
        record.status = answer.status
        record.outcome = "answered"
        record.take_attempt(record.attempts[-1])
        headers = _answer_headers(answer, work.method)
        headers.append((b"berylchute-request-id", record.request_id.encode()))
        headers.append((b"server-timing", record.server_timing()))
        if self._state.leaving:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        if answer.rest is None:
            await send({"type": "http.response.body", "body": answer.body})
            return
        await self._stream(send, work, answer)

    async def _stream(self, send: Send, work: Work, answer: Answer) -> None:
        assert answer.rest is not None
        complete = False
        with anyio.CancelScope(deadline=work.deadline_s):
            await send({"type": "http.response.body", "body": answer.body, "more_body": True})
            async for chunk in answer.rest:
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
            complete = True
        if not complete:
            work.record.outcome = "cut"
            return
        await send({"type": "http.response.body", "body": b""})


_CLOSING = frozenset(
    {RefusalCode.BODY_TOO_LARGE, RefusalCode.HEADERS_TOO_LARGE, RefusalCode.UNAUTHORIZED}
)


def _answer_headers(answer: Answer, method: bytes) -> list[tuple[bytes, bytes]]:
    headers: list[tuple[bytes, bytes]] = []
    declared: Sequence[bytes] = ()
    for raw_name, value in answer.headers:
        name = raw_name.lower()
        if name == b"content-length":
            declared = (value,)
        if name not in _ANSWER_DROPPED:
            headers.append((name, value))
    if method == b"HEAD":
        headers.extend((b"content-length", value) for value in declared)
    elif answer.length is not None and answer.status not in (204, 304):
        headers.append((b"content-length", b"%d" % answer.length))
    return headers
