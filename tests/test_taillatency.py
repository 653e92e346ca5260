"""Check the analysis of tail latency."""

from random import Random

import pytest

from berylchute import taillatency
from berylchute.taillatency import STAGES, LatencySample, SampleWindow


def make_window(slow_stage: str | None, slow_server: str, seed: int) -> SampleWindow:
    """Record ten minutes of normal latency, then one with a server that is slow in a stage."""
    rng, window = Random(seed), SampleWindow()
    for i in range(11_000):
        at_s = i * 0.06
        server = f"saldo-{rng.randrange(20):02d}"
        stages = [rng.uniform(0.1, 1.0) for _ in STAGES]
        if at_s > 600 and server == slow_server and slow_stage:
            stages[STAGES.index(slow_stage)] += 80.0
        zone = f"zone-{int(server[-2:]) % 6}"
        window.record(
            LatencySample(at_s, "balance", "socio", zone, "occidente", "", server, tuple(stages))
        )
    return window


@pytest.mark.parametrize("stage", ["queue", "connect", "server"])
def test_slow_stage_and_server_are_named(stage: str) -> None:
    """Guard against a report that names the wrong stage or server when one server is slow."""
    report = taillatency.analyze([make_window(stage, "saldo-07", 1).snapshot(660.0)])
    assert report.verdict == f"slow in stage {stage}"
    assert report.findings[0].value == "saldo-07"


def test_normal_tail_is_reported_as_outside() -> None:
    """Guard against a report that names a server when the latency distribution has not changed."""
    report = taillatency.analyze([make_window(None, "", 2).snapshot(660.0)])
    assert report.verdict == "outside berylchute"


def test_samples_of_hosts_are_merged() -> None:
    """Guard against a report that uses the samples of one host only."""
    windows = [make_window("link", "saldo-03", seed) for seed in (3, 4)]
    report = taillatency.analyze(window.snapshot(660.0) for window in windows)
    assert report.verdict == "slow in stage link"
    assert report.requests > 1900


def test_window_is_bounded() -> None:
    """Guard against a sample window whose memory grows with the number of requests."""
    sample_set = make_window(None, "", 5).snapshot(660.0)
    assert len(sample_set.recent) <= taillatency.SAMPLES_MAX
    assert len(sample_set.past) <= 2 * taillatency.SAMPLES_MAX
