"""Check the statistics and weights of backend servers."""

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute import balance
from berylchute.balance import LoadReport, ServerObserver
from berylchute.config import Configuration, decode_toml

LISTS = Path(__file__).parent.parent / "examples" / "cooperativa" / "lists.toml"
CONFIG = decode_toml(LISTS.read_text(encoding="utf-8"))
SALDO = [server.name for server in CONFIG.backend_servers if server.service == "saldo"]


def make_observer(config: Configuration = CONFIG) -> ServerObserver:
    observer = ServerObserver("xela-a", "occidente")
    observer.configure(config, 0.0)
    return observer


def answer_all(observer: ServerObserver, start_s: float, slow: dict[str, float]) -> float:
    """Record 40 answers per saldo server within 10 s; return the end time.

    `slow` maps a server to the factor of its latency.
    """
    rng = random.Random(1)
    for step in range(40):
        for name in SALDO:
            now_s = start_s + step * 0.25
            if observer.weight(name, now_s) > 0.0:
                observer.record_sent(name, now_s)
                latency_s = 0.03 + rng.uniform(0.008, 0.012) * slow.get(name, 1.0)
                observer.record_answer(name, latency_s, now_s)
    return start_s + 10.0


def test_slow_server_is_ejected_gradually_and_readmitted() -> None:
    """Guard against a slow server that keeps its weight, and one that is never readmitted."""
    observer = make_observer()
    slow = SALDO[0]
    weights: list[float] = []
    rng = random.Random(2)
    for step in range(40):
        for name in SALDO:
            now_s = step * 0.25
            factor = 10.0 if name == slow else 1.0
            observer.record_sent(name, now_s)
            observer.record_answer(name, 0.03 + rng.uniform(0.009, 0.011) * factor, now_s)
        weights.append(observer.weight(slow, now_s))
    lowered = [weight for weight in weights if weight < 1.0]
    assert 0.25 <= lowered[0] < 1.0
    assert 0.0 in lowered
    end_s = answer_all(observer, 60.0, {})
    assert observer.weight(slow, end_s) == 1.0


@given(st.dictionaries(st.sampled_from(SALDO), st.floats(5.0, 50.0)), st.data())
def test_ejection_is_bounded(slow: dict[str, float], data: st.DataObject) -> None:
    """Guard against ejecting so many siblings that the rest cannot carry the load."""
    observer = make_observer()
    now_s = answer_all(observer, 0.0, slow)
    for name in data.draw(st.lists(st.sampled_from(SALDO), max_size=100)):
        observer.record_failure(name, now_s, was_sent=False)
    ejected = [name for name in SALDO if observer.weight(name, now_s) == 0.0]
    assert len(ejected) <= len(SALDO) * balance.LOWERED_RATIO_MAX


@given(
    st.sampled_from(["ready", "draining", "cold"]),
    st.floats(-10.0, 10.0),
    st.floats(0.0, 30.0),
)
def test_load_report_never_raises_rank(state: str, load: float, age_s: float) -> None:
    """Guard against a wrong or outdated load report that attracts traffic."""
    plain, reported = make_observer(), make_observer()
    report = LoadReport(state, load, 1000)  # type: ignore[arg-type]
    reported.record_report(SALDO[0], report, 0.0)
    score_s, weight = plain.score(SALDO[0], age_s)
    other_score_s, other_weight = reported.score(SALDO[0], age_s)
    assert other_score_s >= score_s
    assert other_weight <= weight


def test_three_failures_eject_and_one_after_readmission() -> None:
    """Guard against a failed server that receives three requests after each readmission."""
    observer = make_observer()
    for _ in range(3):
        observer.record_failure(SALDO[0], 0.0, was_sent=False)
    assert observer.weight(SALDO[0], 0.1) == 0.0
    readmitted_s = balance.EJECTION_S + 0.1
    assert observer.weight(SALDO[0], readmitted_s) == balance.WEIGHT_MIN
    observer.record_failure(SALDO[0], readmitted_s, was_sent=False)
    assert observer.weight(SALDO[0], readmitted_s + balance.EJECTION_S + 0.1) == 0.0


def test_one_straggler_does_not_make_a_slow_server() -> None:
    """Guard against ejection for one request that runs many times longer than others."""
    observer = make_observer()
    now_s = answer_all(observer, 0.0, {})
    observer.record_answer(SALDO[0], 5.0, now_s)
    for name in SALDO[1:]:
        observer.record_answer(name, 0.04, now_s + 1.0)
    assert observer.weight(SALDO[0], now_s + 1.0) == 1.0
    assert observer.score(SALDO[0], now_s)[0] > observer.score(SALDO[1], now_s)[0]


def test_added_and_cold_servers_start_slowly() -> None:
    """Guard against full load on a server with cold caches."""
    observer = make_observer()
    observer.restart_slow_start([SALDO[0]], 100.0)
    weights = [observer.weight(SALDO[0], 100.0 + age_s) for age_s in (0.0, 5.0, 10.0)]
    assert weights == pytest.approx([balance.WEIGHT_MIN, 0.5, 1.0])
    observer.record_report(SALDO[1], LoadReport("cold", 0.0, 9), 100.0)
    assert observer.weight(SALDO[1], 101.0) < 1.0


def test_distance_is_not_slowness() -> None:
    """Guard against ejecting remote servers because of their round trip."""
    observer = make_observer()
    zone_of = {server.name: server.availability_zone for server in CONFIG.backend_servers}
    for step in range(40):
        for name in SALDO:
            round_trip_s = 0.0 if zone_of[name].startswith("xela") else 0.027
            observer.record_answer(name, 0.005 + round_trip_s, step * 0.25)
    assert all(observer.weight(name, 10.0) == 1.0 for name in SALDO)
