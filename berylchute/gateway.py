"""Serve callers over ASGI: authenticate, forward and answer."""

import itertools
import logging
from collections.abc import Sequence

import anyio
import attrs

from berylchute.background import BackgroundTasks
from berylchute.config import Configuration, RequestKind
from berylchute.exceptions import ExchangeError
from berylchute.exchange import MatchedAnswer
from berylchute.forwardedrequest import BodyStream, ForwardedRequest
from berylchute.forwarding import Forwarder
from berylchute.identity import Caller, CallerDirectory
from berylchute.keyedrequests import KeyedRequestHandler
from berylchute.refusals import RefusalCode, RefusedError, encode_problem
from berylchute.requesthead import (
    KEYED_BODY_BYTES_MAX,
    AsgiApp,
    CallerBody,
    CallerGone,
    KindTable,
    Receive,
    RequestHead,
    Scope,
    Send,
    parse_request_head,
    receive_body,
)
from berylchute.settings import LimitSettings
from berylchute.tracing import ENTRY, RequestRecord, Tracer
from berylchute.types import Clock

__all__ = ["Gateway", "GatewayState"]

logger = logging.getLogger(__name__)

BUFFERED_BODY_BYTES_MAX = 65536
WATCH_INTERVAL_S = 0.05
WATCH_AGE_MIN_S = 0.1
# Hop-by-hop headers are not forwarded. The gateway sets the length and the timing itself, and
# returns the caller's request id instead of the attempt's.
_DROPPED_ANSWER_HEADERS = frozenset(
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


@attrs.define(eq=False)
class GatewayState:
    """The mutable state of a gateway; `is_leaving` is set while the host drains or stops."""

    kinds: KindTable | None = None
    callers: CallerDirectory | None = None
    is_leaving: bool = False
    in_flight: int = 0

    def configure(self, configuration: Configuration) -> None:
        """Replace the kinds and callers by those of an accepted configuration."""
        self.kinds = KindTable(configuration)
        self.callers = CallerDirectory(configuration)


class Gateway:
    """The ASGI application of an entry host."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        forwarder: Forwarder,
        keyed_requests: KeyedRequestHandler,
        background_tasks: BackgroundTasks,
        tracer: Tracer,
        limits: LimitSettings,
        position: str,
        id_prefix: str,
        internal_app: AsgiApp,
    ) -> None:
        """Set the parts; `id_prefix` makes request ids unique across hosts and restarts.

        `internal_app` serves the paths of the host itself, such as /metrics and /healthz.
        """
        self._clock = clock
        self._state = state
        self._forwarder = forwarder
        self._keyed_requests = keyed_requests
        self._background_tasks = background_tasks
        self._tracer = tracer
        self._limits = limits
        self._host_position = position.encode()
        self._id_prefix = id_prefix
        self._request_numbers = itertools.count(1)
        self._internal_app = internal_app
        self._active_requests: set[ForwardedRequest] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, or pass it to `internal_app`."""
        path: bytes = scope["raw_path"]
        if path.startswith(b"/berylchute/v1/") or path in (b"/metrics", b"/healthz", b"/readyz"):
            await self._internal_app(scope, receive, send)
            return
        generated_id = f"{self._id_prefix}{next(self._request_numbers):x}"
        record = RequestRecord(generated_id, self._clock.now_s(), scope["method"], scope["path"])
        self._state.in_flight += 1
        try:
            await self._serve(scope, receive, send, record, generated_id)
        finally:
            self._state.in_flight -= 1
            self._tracer.finish(record, self._clock.now_s())

    async def watch_callers(self) -> None:
        """Cancel the requests of callers that disconnect; run until cancelled.

        Only requests older than WATCH_AGE_MIN_S are watched, because a task for each request
        would cost more than most requests.
        """
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            started_before_s = self._clock.now_s() - WATCH_AGE_MIN_S
            for request in self._active_requests:
                if (
                    request.is_watched
                    or request.receive is None
                    or request.record.started_s > started_before_s
                ):
                    continue
                # A request that still reads its body detects the disconnect itself.
                if isinstance(request.body, bytes) or request.body.is_complete:
                    request.is_watched = True
                    self._background_tasks.start_isolated(_watch_caller, request)

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, record: RequestRecord, generated_id: str
    ) -> None:
        request: ForwardedRequest | None = None
        try:
            request_head = parse_request_head(scope, self._limits)
            if request_head.request_id:
                record.request_id = request_head.request_id
            request = await self._create_request(scope, receive, record, request_head, generated_id)
            self._active_requests.add(request)
            if request_head.idempotency_key and not request.kind.idempotent:
                answer = await self._keyed_requests.handle(
                    request, request_head, is_leaving=self._state.is_leaving
                )
            else:
                answer = await self._forwarder.forward(request)
            await self._send_answer(send, request, answer)
        except RefusedError as error:
            await self._send_refusal(scope, send, record, error)
        except CallerGone:
            record.outcome = "caller_gone"
        except Exception:
            logger.exception(
                "request failed with an unexpected error", extra={"request_id": record.request_id}
            )
            record.outcome = "failed"
            if record.status:
                # The answer has started, so only closing the connection can report the failure.
                raise
            failure = RefusedError(RefusalCode.INTERNAL, "see the log", not_run=False)
            await self._send_refusal(scope, send, record, failure)
        finally:
            if request is not None:
                self._active_requests.discard(request)

    async def _create_request(
        self,
        scope: Scope,
        receive: Receive,
        record: RequestRecord,
        request_head: RequestHead,
        generated_id: str,
    ) -> ForwardedRequest:
        """Authenticate the caller and return the request; raise RefusedError if it is refused."""
        state = self._state
        if state.callers is None or state.kinds is None:
            raise RefusedError(RefusalCode.NOT_READY, "no configuration yet", not_run=True)
        caller = state.callers.find(request_head.authorization)
        if caller is None:
            raise RefusedError(RefusalCode.UNAUTHORIZED, "no valid token", not_run=True)
        record.customer, record.plan = caller.customer, caller.plan
        kind = state.kinds.find(scope["method"], scope["raw_path"])
        record.service, record.kind = kind.service, kind.name
        # A leaving host still answers repeats of the keyed requests that it has run.
        if state.is_leaving and (kind.idempotent or not request_head.idempotency_key):
            raise RefusedError(RefusalCode.LEAVING, "use another entry host", not_run=True)
        deadline_ms = min(
            kind.deadline_max_ms,
            (
                kind.deadline_default_ms
                if request_head.deadline_ms is None
                else request_head.deadline_ms
            ),
        )
        deadline_s = record.started_s + deadline_ms / 1000.0
        body = await self._read_body(request_head, kind, receive, deadline_s)
        headers = self._forwarded_headers(scope, request_head, body, caller)
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target = target + b"?" + scope["query_string"]
        record.stage_s[ENTRY] = self._clock.now_s() - record.started_s
        return ForwardedRequest(
            record,
            caller,
            kind,
            scope["method"].encode(),
            target,
            headers,
            body,
            deadline_s,
            generated_id,
            len(body) if isinstance(body, bytes) else request_head.content_length or 0,
            # A non-idempotent request continues after its caller disconnects, so that a repeat with
            # the same key gets its answer.
            receive=receive if kind.idempotent else None,
        )

    def _forwarded_headers(
        self, scope: Scope, request_head: RequestHead, body: bytes | BodyStream, caller: Caller
    ) -> list[tuple[bytes, bytes]]:
        headers = request_head.headers
        if isinstance(body, bytes):
            if body or scope["method"] not in ("GET", "HEAD", "DELETE"):
                headers.append((b"Content-Length", b"%d" % len(body)))
        elif request_head.content_length is not None:
            headers.append((b"Content-Length", b"%d" % request_head.content_length))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        headers.append((b"Berylchute-Plan", caller.plan.encode()))
        headers.append((b"Berylchute-Host", self._host_position))
        return headers

    async def _read_body(
        self, request_head: RequestHead, kind: RequestKind, receive: Receive, deadline_s: float
    ) -> bytes | BodyStream:
        """Return a stream for a long body of an idempotent request, any other body whole."""
        if not request_head.chunked and not request_head.content_length:
            return b""
        has_short_body = (
            not request_head.chunked
            and (request_head.content_length or 0) <= BUFFERED_BODY_BYTES_MAX
        )
        if kind.idempotent and not has_short_body:
            return CallerBody(receive, self._limits.body_bytes_max)
        with anyio.CancelScope(deadline=deadline_s):
            return await receive_body(
                receive, min(KEYED_BODY_BYTES_MAX, self._limits.body_bytes_max)
            )
        raise RefusedError(RefusalCode.DEADLINE_PASSED, "the body came too late", not_run=True)

    async def _send_refusal(
        self, scope: Scope, send: Send, record: RequestRecord, error: RefusedError
    ) -> None:
        refusal = error.refusal
        if refusal.not_run and not record.not_run_certain and _has_key(scope):
            # An earlier request with this key may have run; only the host that owns the key knows.
            refusal = attrs.evolve(refusal, not_run=False)
        record.outcome = "refused" if refusal.not_run else "failed"
        record.status, record.code = refusal.status, refusal.code.value
        record.reason, record.not_run = refusal.reason, refusal.not_run
        body = encode_problem(refusal, record.request_id)
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", b"%d" % len(body)),
            (b"berylchute-request-id", record.request_id.encode()),
            (b"server-timing", record.server_timing()),
        ]
        # The request body may not have been read to its end, so the connection cannot be reused.
        if self._state.is_leaving or refusal.code in _CLOSING_CODES:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": refusal.status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _send_answer(
        self, send: Send, request: ForwardedRequest, answer: MatchedAnswer
    ) -> None:
        record = request.record
        record.status = answer.status
        record.outcome = record.outcome or "answered"
        if answer.attempt is not None:
            record.set_answering_attempt(answer.attempt)
        headers = _answer_headers(answer, request.method)
        headers.append((b"berylchute-request-id", record.request_id.encode()))
        headers.append((b"server-timing", record.server_timing()))
        if self._state.is_leaving:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        if answer.remaining_body is None:
            await send({"type": "http.response.body", "body": answer.body})
            return
        await self._stream_answer(send, request, answer)

    async def _stream_answer(
        self, send: Send, request: ForwardedRequest, answer: MatchedAnswer
    ) -> None:
        assert answer.remaining_body is not None
        is_complete = False
        try:
            with anyio.CancelScope(deadline=request.deadline_s) as request.cancel_scope:
                await send({"type": "http.response.body", "body": answer.body, "more_body": True})
                async for chunk in answer.remaining_body:
                    await send({"type": "http.response.body", "body": chunk, "more_body": True})
                is_complete = True
        except ExchangeError as error:
            request.record.code = error.code
        finally:
            await self._forwarder.finish_answer(answer, is_complete=is_complete)
        if not is_complete:
            # Returning without the last chunk makes the ASGI server close the connection, which
            # reports the answer as incomplete.
            request.record.outcome = "caller_gone" if request.is_caller_gone else "cut"
            return
        await send({"type": "http.response.body", "body": b""})


async def _watch_caller(request: ForwardedRequest) -> None:
    """Cancel the request when its caller disconnects; return at the end of the answer."""
    assert request.receive is not None
    while not request.is_caller_gone:
        message = await request.receive()
        if message["type"] != "http.disconnect":
            continue
        request.is_caller_gone = True
        if request.cancel_scope is not None:
            request.cancel_scope.cancel()


def _has_key(scope: Scope) -> bool:
    return any(name == b"idempotency-key" and b":" in value for name, value in scope["headers"])


_CLOSING_CODES = frozenset(
    {RefusalCode.BODY_TOO_LARGE, RefusalCode.HEADERS_TOO_LARGE, RefusalCode.UNAUTHORIZED}
)


def _answer_headers(answer: MatchedAnswer, method: bytes) -> list[tuple[bytes, bytes]]:
    headers: list[tuple[bytes, bytes]] = []
    declared: Sequence[bytes] = ()
    for raw_name, value in answer.headers:
        name = raw_name.lower()
        if name == b"content-length":
            declared = (value,)
        if name not in _DROPPED_ANSWER_HEADERS:
            headers.append((name, value))
    if method == b"HEAD":
        headers.extend((b"content-length", value) for value in declared)
    elif answer.body_bytes is not None and answer.status not in (204, 304):
        headers.append((b"content-length", b"%d" % answer.body_bytes))
    return headers
