"""Check that the soak finds each kind of violation and accepts what the system may do."""

from random import Random

import pytest

from soak.keys import KEY_LEAD_S, KeyRing
from soak.records import (
    CONFIG_DELAY_MAX_S,
    DRAIN_LIMIT_S,
    SCHEDULING_SLACK_S,
    Disturbance,
    KeyPeriod,
    Records,
    Request,
    Run,
    StatedLimit,
    find_violations,
)


def make_records(*runs: Run, **changes: object) -> Records:
    request = Request("q", "e1", False, sent_s=10.0, ended_s=10.2, status=200)
    for name, value in changes.items():
        setattr(request, name, value)
    return Records([request], list(runs), routes=[(0.0, "s")])


def make_run(
    server: str = "i-1", at_s: float = 10.1, service: str = "s", request: str = "q"
) -> Run:
    return Run(request, server, service, at_s)


def violation_kinds(soak_records: Records) -> list[str]:
    return [line.partition(":")[0] for line in find_violations(soak_records)]


def test_valid_request_has_no_violation() -> None:
    """Guard against false alarms: one execution with a complete response is correct."""
    assert violation_kinds(make_records(make_run())) == []


@pytest.mark.parametrize(
    ("soak_records", "kind"),
    [
        (make_records(make_run(), make_run("i-2")), "twice"),
        (make_records(make_run(), make_run(), make_run(), is_idempotent=True), "attempts"),
        (make_records(make_run(), status=503), "refused"),
        (make_records(make_run(), problem="mixed: x"), "mixed"),
        (make_records(make_run(), status=0, problem="reset"), "lost"),
        (make_records(make_run(), make_run(request="other")), "unasked"),
        (make_records(make_run(service="t")), "config"),
    ],
)
def test_each_violation_is_found(soak_records: Records, kind: str) -> None:
    """Guard against a check that no longer reports its kind of violation."""
    assert kind in violation_kinds(soak_records)


def test_drained_server_gets_no_request_after_limit() -> None:
    """Guard against a drain check that misses late requests or reports timely ones."""
    late_records = make_records(make_run(at_s=5.0 + DRAIN_LIMIT_S + SCHEDULING_SLACK_S + 0.1))
    late_records.drains["i-1"] = 5.0
    assert violation_kinds(late_records) == ["drain"]
    timely_records = make_records(make_run(at_s=5.0 + DRAIN_LIMIT_S))
    timely_records.drains["i-1"] = 5.0
    assert violation_kinds(timely_records) == []


def test_only_unplanned_fault_on_path_excuses_lost_response() -> None:
    """Guard against excuses that hide lost responses.

    Only an unplanned fault of the edge or of the server that executed the request counts; a planned
    stop, a store outage or a fault elsewhere does not.
    """
    planned_stop = make_records(make_run(), status=0)
    planned_stop.disturbances.append(Disturbance("e1", "stop", 9.0, 12.0, is_planned=True))
    assert violation_kinds(planned_stop) == ["lost"]
    killed_edge = make_records(make_run(), status=0)
    killed_edge.disturbances.append(Disturbance("e1", "kill", 10.1, 11.0))
    assert violation_kinds(killed_edge) == []
    crashed_server = make_records(make_run(), status=0)
    crashed_server.disturbances.append(Disturbance("i-1", "crash", 10.1, 11.0))
    assert violation_kinds(crashed_server) == []
    unrelated_scopes = make_records(make_run(), status=0)
    unrelated_scopes.disturbances += [
        Disturbance(name, "down", 10.0, 11.0) for name in ("store", "i-2")
    ]
    assert violation_kinds(unrelated_scopes) == ["lost"]
    other_edge = make_records(make_run(), status=0)
    other_edge.disturbances.append(Disturbance("e2", "kill", 10.1, 11.0))
    assert violation_kinds(other_edge) == ["lost"]


def test_old_route_is_allowed_until_config_limit() -> None:
    """Guard against a check that expects routes to change at once, or allows old ones forever."""
    soak_records = make_records(make_run(service="s"))
    soak_records.routes.append((10.0 - CONFIG_DELAY_MAX_S, "t"))
    assert violation_kinds(soak_records) == []
    soak_records.routes[-1] = (10.0 - CONFIG_DELAY_MAX_S - SCHEDULING_SLACK_S - 0.1, "t")
    assert violation_kinds(soak_records) == ["config"]


@pytest.mark.parametrize(("count", "kinds"), [(17, []), (18, ["limit"])])
def test_server_with_a_limit_gets_no_more_than_a_window_may_hold(
    count: int, kinds: list[str]
) -> None:
    """Guard against a check that misses servers above their limit, or counts requests too early."""
    first = make_run(at_s=10.0)
    early = [make_run(at_s=12.9, request=f"e{number}") for number in range(50)]
    late = [make_run(at_s=13.0 + 0.2 * number, request=f"q{number}") for number in range(count)]
    soak_records = Records(
        [Request(run.request_id, "e1", False, 10.0, status=200) for run in (first, *early, *late)],
        [first, *early, *late],
        limits=[StatedLimit("i-1", 2.0, 9.5, 20.0)],
    )
    assert violation_kinds(soak_records) == kinds


def _make_key_records(
    key: KeyPeriod, *runs: Run, status: int = 200, sent_s: float = 10.0
) -> Records:
    soak_records = make_records(*runs, status=status, api_key=key.key, sent_s=sent_s)
    soak_records.keys.append(key)
    return soak_records


def _run_for(organisation: str, *, at_s: float = 10.1, has_api_key: bool = False) -> Run:
    return Run("q", "i-1", "s", at_s, organisation, has_api_key)


REMOVED_S = 10.0 - CONFIG_DELAY_MAX_S - SCHEDULING_SLACK_S


@pytest.mark.parametrize(
    ("soak_records", "kinds"),
    [
        (_make_key_records(KeyPeriod("k", "one", 0.0), _run_for("one")), []),
        (_make_key_records(KeyPeriod("k", "one", 0.0), _run_for("two")), ["organisation"]),
        (_make_key_records(KeyPeriod("k", "one", 0.0), _run_for("")), ["organisation"]),
        (
            _make_key_records(KeyPeriod("k", "one", 0.0), _run_for("one", has_api_key=True)),
            ["organisation"],
        ),
        # A removed key may be in force for some time on edges that have not heard of it.
        (_make_key_records(KeyPeriod("k", "one", 0.0, REMOVED_S), _run_for("one")), ["removed"]),
        (_make_key_records(KeyPeriod("k", "one", 0.0, REMOVED_S + 0.2), _run_for("one")), []),
        (_make_key_records(KeyPeriod("k", "one", 0.0, 9.0), status=401), []),
        (_make_key_records(KeyPeriod("k", "one", 0.0), status=401), ["unauthorized"]),
        (
            _make_key_records(KeyPeriod("k", "one", 0.0, 9.0), _run_for("one"), status=401),
            ["unauthorized"],
        ),
        # So may a new one be unknown.
        (_make_key_records(KeyPeriod("k", "one", REMOVED_S - 0.1), status=401), ["unauthorized"]),
        (_make_key_records(KeyPeriod("k", "one", REMOVED_S + 0.1), status=401), []),
    ],
)
def test_use_of_keys_is_checked(soak_records: Records, kinds: list[str]) -> None:
    """Guard against a key check that misses a violation or reports what a change may cause."""
    assert violation_kinds(soak_records) == kinds


@pytest.mark.parametrize("scope", ["e1", "store"])
def test_fault_excuses_a_late_removal_but_no_refusal_of_an_old_key(scope: str) -> None:
    """Guard against false alarms while an edge is cut off, and against missed wrong refusals."""
    late = _make_key_records(KeyPeriod("k", "one", 0.0, REMOVED_S), _run_for("one"))
    late.disturbances.append(Disturbance(scope, "cut", 8.0, 9.0))
    assert violation_kinds(late) == []
    refused = _make_key_records(KeyPeriod("k", "one", 0.0), status=401)
    refused.disturbances.append(Disturbance(scope, "cut", 8.0, 9.0))
    assert violation_kinds(refused) == ["unauthorized"]


def test_replaced_keys_are_known_before_they_are_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against callers of the soak whose keys no edge can know yet."""
    now_s = 100.0
    monkeypatch.setattr("soak.keys.time.monotonic", lambda: now_s)
    soak_records = Records()
    keys = KeyRing(soak_records, Random(1))
    for _ in range(200):
        keys.replace_key()
        now_s += 0.5
        assert all(len(valid) == 2 for valid in keys.valid().values())
        for valid in keys.valid().values():
            used = next(period for period in soak_records.keys if period.key == valid[0])
            assert used.start_s == 0.0 or now_s - used.start_s > KEY_LEAD_S
    assert len([period for period in soak_records.keys if period.end_s is not None]) > 20
    chosen = {keys.choose(Random(seed)) for seed in range(300)}
    assert chosen & {period.key for period in soak_records.keys if period.end_s is not None}
