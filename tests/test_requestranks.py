"""Check what the rank of a request changes while it is routed."""

import json
import os
from random import Random

import pytest

from berylchute.attempts import ActiveRequest
from berylchute.callers import CallerConnection, CallerRequest, CallerServer, PendingRequest
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.organisations import Identity
from berylchute.priorities import EqualRanks, RequestRanks, make_ranks
from berylchute.retryafter import DELAY_RATIO_RANGE
from berylchute.returns import ReturnDetector
from berylchute.selection import FULL_LOAD_RATIO, NoServerReason, Selection
from berylchute.sharedobjects import RouteKind
from tests.httpfakes import ManualClock
from tests.test_organisations import DIRECTORY, organisation
from tests.test_requesthandler import OK, _Harness, _LoopClock, _status
from tests.test_routeindex import route


def _log() -> tuple[EventLog, int]:
    read, write = os.pipe()
    return EventLog(write, "h"), read


def _fill(harness: _Harness, load: int) -> None:
    for server in harness.all_servers:
        server.in_flight = load


class _LowRatio(EqualRanks):
    """A ratio of half of the slots for every request."""

    def full_ratio(self, active: ActiveRequest) -> float | None:
        return 0.5


class _Recorder(EqualRanks):
    """Records which requests count as returns, and the periodic updates."""

    def __init__(self) -> None:
        super().__init__(Random(1))
        self.returns: list[bool] = []
        self.updates = 0

    def update(self) -> None:
        self.updates += 1

    def full_ratio(self, active: ActiveRequest) -> float | None:
        self.returns.append(active.is_return)
        return None


def test_ratio_of_the_rank_decides_whether_a_server_is_full() -> None:
    # Guard against a reserve that the selection of a server ignores.
    harness = _Harness(RouteKind.IDEMPOTENT)
    harness.ranks = _LowRatio(Random(1))
    assert _status(harness.run(prepare=lambda harness: _fill(harness, 2))) == 503
    equal = _Harness(RouteKind.IDEMPOTENT, OK)
    assert _status(equal.run(prepare=lambda harness: _fill(harness, 2))) == 200


def test_refusal_has_a_scheduled_return_and_is_counted_by_rank() -> None:
    # Guard against refusals by rank that operators don't see, and returns beyond a third of the
    # remaining time.
    harness = _Harness(RouteKind.NON_IDEMPOTENT)
    harness.ranks = RequestRanks(_LoopClock(), Random(1), _log()[0], harness.metrics)
    answer = harness.run(prepare=lambda harness: _fill(harness, 8))
    assert answer is not None and answer.status == 503
    delay_s = float(dict(answer.headers)[b"Retry-After"])
    first, last = DELAY_RATIO_RANGE
    assert 2.9 * first <= delay_s <= 3.0 * last
    metrics = harness.metrics.render().decode()
    assert 'berylchute_edge_rank_refusals_total{rank="1",reason="all_full"} 1.0' in metrics
    assert 'berylchute_edge_full_load_ratio{rank="1",service="s"} 1.25' in metrics


@pytest.mark.parametrize("is_return", [False, True])
def test_returns_and_periodic_updates_reach_the_ranks(
    is_return: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guard against returns that ranks treat as new requests, and a shortage that is never ended.
    monkeypatch.setattr(ReturnDetector, "is_return", lambda *_: is_return)
    harness = _Harness(RouteKind.IDEMPOTENT, OK)
    harness.ranks = ranks = _Recorder()
    assert _status(harness.run()) == 200
    assert ranks.returns == [is_return] and ranks.updates == 1


def _active(rank: int) -> ActiveRequest:
    connection = CallerConnection(CallerServer(lambda _: None, ManualClock()))
    request = CallerRequest(b"GET", b"/a/x", "/a/x", "a", [], b"", 0.0)
    pending = PendingRequest(connection, request, keep_alive=True)
    return ActiveRequest(pending, request, route("/a/", priority=rank), "s", "k", 1.0)


def test_shortage_is_logged_with_the_ratios_by_rank() -> None:
    # Guard against a shortage that operators can't see, or that never ends without requests.
    clock, metrics = ManualClock(), EdgeMetrics()
    log, read = _log()
    ranks = RequestRanks(clock, Random(1), log, metrics)
    full = Selection(None, NoServerReason.ALL_FULL, 12.0)
    for _ in range(40):
        clock.now += 0.05
        for rank in (0, 2):
            ranks.record_selection(_active(rank), full)
    urgent, low = ranks.full_ratio(_active(0)), ranks.full_ratio(_active(2))
    assert urgent == FULL_LOAD_RATIO
    clock.now += 3.0
    ranks.update()
    clock.now += 3.0
    ranks.update()
    log.flush()
    events = [json.loads(line) for line in os.read(read, 65536).splitlines()]
    assert [(event["event"], event["short"]) for event in events] == [
        ("reserve", True),
        ("reserve", False),
    ]
    assert events[0]["service"] == "s" and set(events[0]["full_ratios"]) == {"0", "2"}
    assert low is not None and low < FULL_LOAD_RATIO


def test_effective_rank_and_organisation_of_a_request_count() -> None:
    # Guard against the rank of the route where the organisation has another one, and against
    # organisations that are counted together.
    clock, metrics = ManualClock(), EdgeMetrics()
    ranks = RequestRanks(clock, Random(1), _log()[0], metrics)

    def active_of(name: str) -> ActiveRequest:
        active = _active(2)
        active.apply_identity(Identity(organisation(name, priority=3), (), DIRECTORY))
        return active

    full = Selection(None, NoServerReason.ALL_FULL, 12.0)
    hot, other = active_of("hot"), active_of("other")
    for step in range(400):
        clock.now += 0.005
        ranks.record_selection(other if step % 20 == 0 else hot, full)
    assert ranks.full_ratio(other) == FULL_LOAD_RATIO
    assert min(ranks.full_ratio(hot) or 0.0 for _ in range(20)) < FULL_LOAD_RATIO
    ranks.refuse(hot, 2.0, 0.0)
    assert 'rank_refusals_total{rank="3002"' in metrics.render().decode()


def test_ranks_are_equal_unless_enabled() -> None:
    # Guard against a change of selections and returns where ranks are not enabled.
    ranks = make_ranks(
        is_enabled=False, clock=ManualClock(), rng=Random(1), log=_log()[0], metrics=EdgeMetrics()
    )
    assert isinstance(ranks, EqualRanks)
    active = _active(2)
    ranks.record_selection(active, Selection(None, NoServerReason.ALL_FULL))
    assert ranks.full_ratio(active) is None
