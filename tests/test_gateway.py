"""Guard what callers see: authentication, headers, refusals and the end of answers."""

import hashlib
from collections.abc import AsyncGenerator, AsyncIterable, Mapping
from typing import Any

import anyio
import msgspec
import pytest

from berylchute.background import Background
from berylchute.config import Configuration, Customer, Plan, Service
from berylchute.connections import Attempt
from berylchute.exchange import Answer, AnswerShort, ServerTarget
from berylchute.forwarding import Forwarder
from berylchute.gateway import Gateway, GatewayState
from berylchute.hedging import ExtraLoadBudget, HedgeDelays
from berylchute.idempotency import IdempotencyTable
from berylchute.metrics import Metrics
from berylchute.node import MonotonicClock
from berylchute.ownership import Ownership
from berylchute.settings import LimitSettings
from berylchute.tracing import RecentRequests, Tracer
from berylchute.transfers import Transfers
from berylchute.types import AttemptState
from tests.backends import FakePlacer, NoLimits, make_kind
from tests.test_ownership import FakeMembers

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


class Servers:
    """Answer with a prepared status, headers and body."""

    def __init__(self) -> None:
        self.status = 200
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b"body"
        self.stream: list[bytes] | None = None
        self.fails = False
        self.sent: dict[bytes, bytes] = {}
        self.received = b""

    async def run(
        self,
        target: ServerTarget,
        attempt: Attempt,
        method: bytes,
        raw_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | AsyncIterable[bytes],
    ) -> Answer:
        self.sent = {name.lower(): value for name, value in headers}
        attempt.state = AttemptState.SENT
        if isinstance(body, bytes):
            self.received = body
        else:
            self.received = b"".join([chunk async for chunk in body])
        attempt.state = AttemptState.ANSWERED
        rest = self._rest() if self.stream is not None else None
        return Answer(
            self.status,
            self.headers,
            self.body,
            rest=rest,
            length=None if rest else len(self.body),
            attempt=attempt,
        )

    async def _rest(self) -> AsyncGenerator[bytes, None]:
        for chunk in self.stream or ():
            yield chunk
        if self.fails:
            raise AnswerShort("cut")

    async def cancel(self, target: ServerTarget, attempt_id: str) -> bool:
        return True


class Lab:
    """A gateway over fake servers; `call` returns status, headers and body messages."""

    def __init__(self) -> None:
        self.servers = Servers()
        self.background = Background()
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
        ownership = Ownership(CLOCK, table, forwarder, self.servers, FakeMembers(), Metrics(), "p")
        self.gateway = Gateway(
            CLOCK,
            self.state,
            forwarder,
            ownership,
            self.background,
            Tracer((self.recent,)),
            LimitSettings(header_bytes_max=2000, body_bytes_max=300_000),
            "p",
            "p-1-",
            self.gateway_never,
        )

    async def gateway_never(self, scope: Any, receive: Any, send: Any) -> None:
        raise AssertionError("not an own path")

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
    """What a caller got."""

    def __init__(self, sent: list[dict[str, Any]]) -> None:
        self.status = sent[0]["status"]
        self.headers = dict(sent[0]["headers"])
        self.body = b"".join(message["body"] for message in sent[1:])
        self.is_finished = not sent[-1].get("more_body", False) and len(sent) > 1

    @property
    def problem(self) -> dict[str, Any]:
        found: dict[str, Any] = msgspec.json.decode(self.body)
        return found


def test_an_answer_carries_the_callers_id_and_stages() -> None:
    """Guard against answers that cannot be tied to their request."""
    lab = Lab()
    reply = lab.call(headers={"berylchute-request-id": "mine-1"})
    assert (reply.status, reply.body) == (200, b"body")
    assert reply.headers[b"berylchute-request-id"] == b"mine-1"
    assert reply.headers[b"server-timing"].startswith(b"entry;dur=")
    assert lab.recent.find("mine-1") is not None


def test_callers_cannot_set_what_hosts_state() -> None:
    """Guard against forged plans and against tokens reaching backend servers."""
    lab = Lab()
    lab.call(headers={"berylchute-plan": "gold", "berylchute-host": "x", "connection": "close"})
    assert lab.servers.sent[b"berylchute-plan"] == b"plan"
    assert lab.servers.sent[b"berylchute-host"] == b"p"
    assert b"authorization" not in lab.servers.sent
    assert b"connection" not in lab.servers.sent


def test_an_unknown_token_gets_no_hint() -> None:
    """Guard against unauthenticated callers learning which paths exist."""
    lab = Lab()
    known = lab.call(token="wrong")
    unknown = lab.call(token="wrong", path="/nowhere/x")
    assert known.status == unknown.status == 401
    assert known.problem["reason"] == unknown.problem["reason"]


@pytest.mark.parametrize("path", ["/s/../once/x", "/s/%2E%2e/once", "/s/./x"])
def test_dot_segments_are_refused(path: str) -> None:
    """Guard against a path that a server resolves into another kind."""
    assert Lab().call(path=path).status == 400


@pytest.mark.parametrize("how", ["leaving", "token", "path"])
def test_an_early_refusal_of_a_repeat_is_not_called_not_run(how: str) -> None:
    """Guard against a false not-run for a key that may have run before."""
    lab = Lab()
    key = {"idempotency-key": "p.5.0:k"}
    lab.state.leaving = how == "leaving"
    reply = lab.call(
        path="/nowhere/x" if how == "path" else "/s/x",
        headers=key,
        token="wrong" if how == "token" else "token",
    )
    assert reply.status >= 400
    assert reply.problem["not_run"] is False


def test_a_leaving_host_refuses_and_closes() -> None:
    """Guard against callers that stay on a host which stops."""
    lab = Lab()
    lab.state.leaving = True
    reply = lab.call()
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
def test_bad_heads_are_refused(headers: dict[str, str], status: int) -> None:
    """Guard against oversized or malformed heads reaching servers."""
    reply = Lab().call(headers=headers)
    assert reply.status == status
    assert reply.problem["not_run"] is True


def test_a_chunked_body_beyond_the_limit_is_cut_off() -> None:
    """Guard against bodies without a declared length that never end."""
    reply = Lab().call("PUT", headers={"transfer-encoding": "chunked"}, body=b"x" * 400_000)
    assert (reply.status, reply.problem["not_run"]) == (413, False)


def test_a_long_upload_arrives_whole() -> None:
    """Guard against lost or reordered chunks of streamed uploads."""
    lab = Lab()
    body = bytes(range(256)) * 1000
    assert lab.call("PUT", body=body).status == 200
    assert lab.servers.received == body
    assert lab.servers.sent[b"content-length"] == str(len(body)).encode()


def test_a_streamed_answer_ends_only_when_whole() -> None:
    """Guard against a truncated answer that looks complete to its caller."""
    lab = Lab()
    lab.servers.stream = [b"1", b"2"]
    assert lab.call().body == b"body12"
    lab.servers.fails = True
    reply = lab.call()
    assert reply.body == b"body12"
    assert not reply.is_finished


@pytest.mark.parametrize("status", [204, 304])
def test_bodiless_answers_declare_no_length(status: int) -> None:
    """Guard against callers waiting for a body that never comes."""
    lab = Lab()
    lab.servers.status, lab.servers.body = status, b""
    lab.servers.headers = [(b"Content-Length", b"0"), (b"ETag", b"x")]
    reply = lab.call()
    assert b"content-length" not in reply.headers
    assert reply.headers[b"etag"] == b"x"


def test_an_unconfigured_host_is_not_ready() -> None:
    """Guard against routing before a configuration is in force."""
    lab = Lab()
    lab.state.callers = None
    assert lab.call().problem["code"] == "not_ready"
