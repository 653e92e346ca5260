"""Check what callers receive: authentication, headers, refusals and the end of answers."""

import hashlib
from collections.abc import AsyncGenerator, AsyncIterable, Mapping
from typing import Any

import anyio
import msgspec
import pytest

from berylchute.background import BackgroundTasks
from berylchute.config import Configuration, Customer, Plan, Service
from berylchute.exchange import AnswerShort, MatchedAnswer, ServerTarget
from berylchute.forwarding import Forwarder
from berylchute.gateway import Gateway, GatewayState
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.idempotency import IdempotencyTable
from berylchute.keyedrequests import KeyedRequestHandler
from berylchute.metrics import Metrics
from berylchute.node import MonotonicClock
from berylchute.serverstreams import Attempt
from berylchute.settings import LimitSettings
from berylchute.tracing import RecentRequests, Tracer
from berylchute.transfers import Transfers
from berylchute.types import AttemptState
from tests.backends import FakePlacer, NoLimits, make_kind
from tests.test_keyedrequests import FakeMembers

CLOCK = MonotonicClock()
CONFIGURATION = Configuration(
    plans=(Plan("plan", 1),),
    customers=(Customer("customer", "plan", (hashlib.sha256(b"token").hexdigest(),)),),
    allowances=(),
    regions=(),
    availability_zones=(),
    services=(Service("s"), Service("once")),
    kinds=(make_kind(),),
    backend_servers=(),
    host_positions=(),
)


class FakeExchanger:
    """An exchanger that answers with the configured status, headers and body."""

    def __init__(self) -> None:
        self.status = 200
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b"body"
        self.stream: list[bytes] | None = None
        self.fails = False
        self.sent: dict[bytes, bytes] = {}
        self.received = b""

    async def send_request(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> MatchedAnswer:
        self.sent = {name.lower(): value for name, value in headers}
        attempt.state = AttemptState.SENT
        if isinstance(body, bytes):
            self.received = body
        else:
            self.received = b"".join([chunk async for chunk in body])
        attempt.state = AttemptState.ANSWERED
        rest = self._rest() if self.stream is not None else None
        return MatchedAnswer(
            self.status,
            self.headers,
            self.body,
            remaining_body=rest,
            body_bytes=None if rest else len(self.body),
            attempt=attempt,
        )

    async def _rest(self) -> AsyncGenerator[bytes, None]:
        for chunk in self.stream or ():
            yield chunk
        if self.fails:
            raise AnswerShort("cut")

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        return True


class GatewayHarness:
    """A gateway with fake servers; `call` returns the reply to one request."""

    def __init__(self) -> None:
        self.servers = FakeExchanger()
        self.background = BackgroundTasks()
        self.recent = RecentRequests()
        self.state = GatewayState()
        self.state.configure(CONFIGURATION)
        forwarder = Forwarder(
            CLOCK,
            FakePlacer(3),
            self.servers,
            Metrics(),
            self.background,
            ExtraLoadBudget(),
            HedgeDelays(),
            Transfers(NoLimits(), self.background),
        )
        table = IdempotencyTable("p", 5, CLOCK.now_s())
        keyed_requests = KeyedRequestHandler(
            CLOCK, table, forwarder, self.servers, FakeMembers(), Metrics(), "p"
        )
        self.gateway = Gateway(
            CLOCK,
            self.state,
            forwarder,
            keyed_requests,
            self.background,
            Tracer((self.recent,)),
            LimitSettings(header_bytes_max=2000, body_bytes_max=300_000),
            "p",
            "p-1-",
            self.unexpected_internal_request,
        )

    async def unexpected_internal_request(self, scope: Any, receive: Any, send: Any) -> None:
        raise AssertionError("not a path of the host itself")

    def call(
        self,
        method: str = "GET",
        path: str = "/s/x",
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        token: str = "token",
    ) -> "Reply":
        sent: list[dict[str, Any]] = []
        fields = {"authorization": f"Bearer {token}", **(headers or {})}
        if body and "transfer-encoding" not in fields:
            fields.setdefault("content-length", str(len(body)))
        chunks = [body[start : start + 50_000] for start in range(0, len(body), 50_000)] or [b""]

        async def receive() -> dict[str, Any]:
            chunk = chunks.pop(0)
            return {"type": "http.request", "body": chunk, "more_body": bool(chunks)}

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(name.encode(), value.encode()) for name, value in fields.items()],
        }

        async def main() -> None:
            with anyio.fail_after(20):
                async with self.background:
                    await self.gateway(scope, receive, send)

        anyio.run(main)
        return Reply(sent)


class Reply:
    """The status, headers and body that a caller received."""

    def __init__(self, sent: list[dict[str, Any]]) -> None:
        self.status = sent[0]["status"]
        self.headers = dict(sent[0]["headers"])
        self.body = b"".join(message["body"] for message in sent[1:])
        self.is_finished = not sent[-1].get("more_body", False) and len(sent) > 1

    @property
    def problem(self) -> dict[str, Any]:
        problem: dict[str, Any] = msgspec.json.decode(self.body)
        return problem


def test_an_answer_carries_the_callers_id_and_stages() -> None:
    """Guard against answers that cannot be matched to their request."""
    harness = GatewayHarness()
    reply = harness.call(headers={"berylchute-request-id": "mine-1"})
    assert (reply.status, reply.body) == (200, b"body")
    assert reply.headers[b"berylchute-request-id"] == b"mine-1"
    assert reply.headers[b"server-timing"].startswith(b"entry;dur=")
    assert harness.recent.find("mine-1") is not None


def test_callers_cannot_set_headers_of_hosts() -> None:
    """Guard against forged plans, and against forwarding tokens to backend servers."""
    harness = GatewayHarness()
    harness.call(headers={"berylchute-plan": "gold", "berylchute-host": "x", "connection": "close"})
    assert harness.servers.sent[b"berylchute-plan"] == b"plan"
    assert harness.servers.sent[b"berylchute-host"] == b"p"
    assert b"authorization" not in harness.servers.sent
    assert b"connection" not in harness.servers.sent


def test_an_unknown_token_reveals_no_paths() -> None:
    """Guard against unauthenticated callers that find out which paths exist."""
    harness = GatewayHarness()
    known = harness.call(token="wrong")
    unknown = harness.call(token="wrong", path="/nowhere/x")
    assert known.status == unknown.status == 401
    assert known.problem["reason"] == unknown.problem["reason"]


@pytest.mark.parametrize("path", ["/s/../once/x", "/s/%2E%2e/once", "/s/./x"])
def test_dot_segments_are_refused(path: str) -> None:
    """Guard against a path that a server resolves to a different kind."""
    assert GatewayHarness().call(path=path).status == 400


@pytest.mark.parametrize("how", ["leaving", "token", "path"])
def test_an_early_refusal_of_a_repeat_is_not_reported_as_not_run(how: str) -> None:
    """Guard against reporting a request as not run when one with its key may have run."""
    harness = GatewayHarness()
    key = {"idempotency-key": "p.5.0:k"}
    harness.state.is_leaving = how == "leaving"
    reply = harness.call(
        path="/nowhere/x" if how == "path" else "/s/x",
        headers=key,
        token="wrong" if how == "token" else "token",
    )
    assert reply.status >= 400
    assert reply.problem["not_run"] is False


def test_a_leaving_host_refuses_requests_and_closes_the_connection() -> None:
    """Guard against callers that keep their connection to a host that is stopping."""
    harness = GatewayHarness()
    harness.state.is_leaving = True
    reply = harness.call()
    assert (reply.problem["code"], reply.problem["not_run"]) == ("leaving", True)
    assert reply.headers[b"connection"] == b"close"


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"x": "y" * 3000}, 431),
        ({"content-length": "300001"}, 413),
        ({"content-length": "x"}, 400),
        ({"berylchute-deadline-ms": "-5"}, 400),
        ({"content-length": "1", "transfer-encoding": "chunked"}, 400),
        ({"berylchute-request-id": "a b"}, 400),
    ],
)
def test_bad_headers_are_refused(headers: dict[str, str], status: int) -> None:
    """Guard against forwarding oversized or malformed headers to servers."""
    reply = GatewayHarness().call(headers=headers)
    assert reply.status == status
    assert reply.problem["not_run"] is True


def test_a_chunked_body_beyond_the_limit_is_cut_off() -> None:
    """Guard against bodies without a declared length that exceed the limit."""
    reply = GatewayHarness().call(
        "PUT", headers={"transfer-encoding": "chunked"}, body=b"x" * 400_000
    )
    assert (reply.status, reply.problem["not_run"]) == (413, False)


def test_a_long_upload_arrives_whole() -> None:
    """Guard against lost or reordered chunks in streamed uploads."""
    harness = GatewayHarness()
    body = bytes(range(256)) * 1000
    assert harness.call("PUT", body=body).status == 200
    assert harness.servers.received == body
    assert harness.servers.sent[b"content-length"] == str(len(body)).encode()


def test_a_streamed_answer_ends_only_when_complete() -> None:
    """Guard against a truncated answer that looks complete to its caller."""
    harness = GatewayHarness()
    harness.servers.stream = [b"1", b"2"]
    assert harness.call().body == b"body12"
    harness.servers.fails = True
    reply = harness.call()
    assert reply.body == b"body12"
    assert not reply.is_finished


@pytest.mark.parametrize("status", [204, 304])
def test_bodiless_answers_declare_no_length(status: int) -> None:
    """Guard against callers that wait for a body that the status does not allow."""
    harness = GatewayHarness()
    harness.servers.status, harness.servers.body = status, b""
    harness.servers.headers = [(b"Content-Length", b"0"), (b"ETag", b"x")]
    reply = harness.call()
    assert b"content-length" not in reply.headers
    assert reply.headers[b"etag"] == b"x"


def test_an_unconfigured_host_is_not_ready() -> None:
    """Guard against routing before a configuration is loaded."""
    harness = GatewayHarness()
    harness.state.callers = None
    assert harness.call().problem["code"] == "not_ready"
