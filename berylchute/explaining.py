"""Turn request records into explanations and samples for operators."""

import attrs

from berylchute.routing import Route
from berylchute.slowness import Sample, SampleWindow
from berylchute.tracing import STAGES, RequestRecord

__all__ = ["AttemptLine", "CandidateLine", "Explanation", "SampleSink", "StageLine", "explain"]


@attrs.frozen
class StageLine:
    """Time in one stage."""

    stage: str
    duration_ms: float


@attrs.frozen
class CandidateLine:
    """A backend server that routing considered, best first within its decision."""

    decision: int
    server: str
    availability_zone: str
    region: str
    reason: str
    score_ms: float


@attrs.frozen
class AttemptLine:
    """One attempt; times in ms after the request's start."""

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
    """One request's life."""

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


def _candidates(number: int, route: Route) -> list[CandidateLine]:
    return [
        CandidateLine(
            number,
            candidate.server,
            candidate.availability_zone,
            candidate.region,
            candidate.reason.value,
            round(candidate.score_s * 1000.0, 3),
        )
        for candidate in route.candidates
    ]


def explain(record: RequestRecord) -> Explanation:
    """Return the life of a finished request."""

    def after_ms(at_s: float) -> float:
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
                attempt.hedge,
                attempt.shed,
                attempt.error,
                after_ms(attempt.started_s),
                after_ms(attempt.ended_s),
            )
            for attempt in record.attempts
        ),
        tuple(
            line
            for number, route in enumerate(record.routes, 1)
            for line in _candidates(number, route)
        ),
    )


class SampleSink:
    """Feed the slowness analysis from finished requests that reached a backend server."""

    def __init__(self) -> None:
        self.window = SampleWindow()

    def take(self, record: RequestRecord) -> None:
        """Add the sample of a record."""
        if not record.routes:
            return
        candidate = next(
            (found for found in record.routes[-1].candidates if found.server == record.server), None
        )
        if candidate is None:
            return
        self.window.record(
            Sample(
                record.ended_s,
                record.kind,
                record.plan,
                candidate.availability_zone,
                candidate.region,
                candidate.link_out,
                record.server,
                tuple([seconds * 1000.0 for seconds in record.stage_s]),
            )
        )
