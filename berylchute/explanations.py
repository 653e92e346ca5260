"""Convert request records to explanations and latency samples for operators."""

import attrs

from berylchute.routing import RoutingDecision
from berylchute.taillatency import LatencySample, SampleWindow
from berylchute.tracing import STAGES, RequestRecord

__all__ = [
    "AttemptLine",
    "CandidateLine",
    "Explanation",
    "LatencySampleSink",
    "StageLine",
    "explain",
]


@attrs.frozen
class StageLine:
    """Time that a request spent in one stage."""

    stage: str
    duration_ms: float


@attrs.frozen
class CandidateLine:
    """A backend server that routing considered, best first within its routing decision.

    `decision` numbers the routing decisions of the request from 1.
    """

    decision: int
    server: str
    availability_zone: str
    region: str
    reason: str
    score_ms: float


@attrs.frozen
class AttemptLine:
    """One attempt to send the request; times are in ms since the start of the request."""

    attempt_id: str
    server: str
    state: str
    hedge: bool
    shed: bool
    error: str
    started_ms: float
    ended_ms: float


@attrs.frozen
class Explanation:
    """How one finished request was handled: its outcome, stages, attempts and candidates."""

    request_id: str
    customer: str
    plan: str
    service: str
    kind: str
    status: int
    outcome: str
    code: str
    reason: str
    server: str
    forwarded_to: str
    stages: tuple[StageLine, ...]
    attempts: tuple[AttemptLine, ...]
    candidates: tuple[CandidateLine, ...]


def _candidate_lines(number: int, decision: RoutingDecision) -> list[CandidateLine]:
    return [
        CandidateLine(
            number,
            candidate.server,
            candidate.availability_zone,
            candidate.region,
            candidate.reason.value,
            round(candidate.score_s * 1000.0, 3),
        )
        for candidate in decision.candidates
    ]


def explain(record: RequestRecord) -> Explanation:
    """Return the explanation of a finished request."""

    def ms_since_start(at_s: float) -> float:
        return round(max(0.0, at_s - record.started_s) * 1000.0, 3)

    return Explanation(
        record.request_id,
        record.customer,
        record.plan,
        record.service,
        record.kind,
        record.status,
        record.outcome,
        record.code,
        record.reason,
        record.server,
        record.forwarded_to,
        tuple(
            StageLine(name, round(seconds * 1000.0, 3))
            for name, seconds in zip(STAGES, record.stage_s, strict=True)
        ),
        tuple(
            AttemptLine(
                attempt.attempt_id,
                attempt.server,
                attempt.state.value,
                attempt.is_hedge,
                attempt.is_shed,
                attempt.error,
                ms_since_start(attempt.started_s),
                ms_since_start(attempt.ended_s),
            )
            for attempt in record.attempts
        ),
        tuple(
            line
            for number, decision in enumerate(record.decisions, 1)
            for line in _candidate_lines(number, decision)
        ),
    )


class LatencySampleSink:
    """Record latency samples of finished requests that reached a backend server."""

    def __init__(self) -> None:
        self.window = SampleWindow()

    def record_request(self, record: RequestRecord) -> None:
        """Record the sample of a request.

        It is skipped if its server is not a candidate of its last routing decision.
        """
        if not record.decisions:
            return
        candidate = next(
            (
                option
                for option in record.decisions[-1].candidates
                if option.server == record.server
            ),
            None,
        )
        if candidate is None:
            return
        self.window.record(
            LatencySample(
                record.ended_s,
                record.kind,
                record.plan,
                candidate.availability_zone,
                candidate.region,
                candidate.outbound_link,
                record.server,
                tuple([seconds * 1000.0 for seconds in record.stage_s]),
            )
        )
