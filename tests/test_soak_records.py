"""Guard that the soak's checks find each kind of broken promise, and accept what is allowed."""

import pytest

from soak.records import (
    CONFIG_S,
    DRAIN_S,
    SLACK_S,
    Disturbance,
    Records,
    Request,
    Run,
    find_violations,
)


def records(*runs: Run, **changes: object) -> Records:
    request = Request("q", "e1", False, sent_s=10.0, ended_s=10.2, status=200)
    for name, value in changes.items():
        setattr(request, name, value)
    return Records([request], list(runs), routes=[(0.0, "s")])


def run(server: str = "i-1", at_s: float = 10.1, service: str = "s", request: str = "q") -> Run:
    return Run(request, server, service, at_s)


def kinds(found: Records) -> list[str]:
    return [line.partition(":")[0] for line in find_violations(found)]


def test_sound_request_passes() -> None:
    assert kinds(records(run())) == []


@pytest.mark.parametrize(
    ("found", "kind"),
    [
        (records(run(), run("i-2")), "twice"),
        (records(run(), run(), run(), is_idempotent=True), "attempts"),
        (records(run(), status=503), "refused"),
        (records(run(), problem="mixed: x"), "mixed"),
        (records(run(), status=0, problem="reset"), "lost"),
        (records(run(), run(request="other")), "unasked"),
        (records(run(service="t")), "config"),
    ],
)
def test_each_broken_promise_is_found(found: Records, kind: str) -> None:
    assert kind in kinds(found)


def test_drained_server_gets_nothing_after_its_time() -> None:
    late = records(run(at_s=5.0 + DRAIN_S + SLACK_S + 0.1))
    late.drains["i-1"] = 5.0
    assert kinds(late) == ["drain"]
    timely = records(run(at_s=5.0 + DRAIN_S))
    timely.drains["i-1"] = 5.0
    assert kinds(timely) == []


def test_loss_is_excused_by_a_fault_but_not_by_planned_work() -> None:
    planned = records(run(), status=0)
    planned.disturbances.append(Disturbance("e1", "stop", 9.0, 12.0, is_planned=True))
    assert kinds(planned) == ["lost"]
    killed = records(run(), status=0)
    killed.disturbances.append(Disturbance("e1", "kill", 10.1, 11.0))
    assert kinds(killed) == []
    crashed = records(run(), status=0)
    crashed.disturbances.append(Disturbance("i-1", "crash", 10.1, 11.0))
    assert kinds(crashed) == []
    away = records(run(), status=0)
    away.disturbances += [Disturbance(name, "down", 10.0, 11.0) for name in ("store", "i-2")]
    assert kinds(away) == ["lost"]
    other = records(run(), status=0)
    other.disturbances.append(Disturbance("e2", "kill", 10.1, 11.0))
    assert kinds(other) == ["lost"]


def test_route_change_may_take_its_time() -> None:
    found = records(run(service="s"))
    found.routes.append((10.0 - CONFIG_S, "t"))
    assert kinds(found) == []
    found.routes[-1] = (10.0 - CONFIG_S - SLACK_S - 0.1, "t")
    assert kinds(found) == ["config"]
