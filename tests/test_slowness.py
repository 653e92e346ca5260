"""Check the answer to "it is slow"."""

from random import Random

import pytest

from berylchute import slowness
from berylchute.slowness import STAGES, Sample, SampleWindow


def make_window(slow_stage: str | None, slow_server: str, seed: int) -> SampleWindow:
    """Record ten quiet minutes, then one in which a server is slow in a stage."""
    rng, window = Random(seed), SampleWindow()
    for i in range(11_000):
        at_s = i * 0.06
        server = f"saldo-{rng.randrange(20):02d}"
        stages = [rng.uniform(0.1, 1.0) for _ in STAGES]
        if at_s > 600 and server == slow_server and slow_stage:
            stages[STAGES.index(slow_stage)] += 80.0
        zone = f"zone-{int(server[-2:]) % 6}"
        window.record(
            Sample(at_s, "balance", "socio", zone, "occidente", "", server, tuple(stages))
        )
    return window


@pytest.mark.parametrize("stage", ["queue", "connect", "server"])
def test_slow_stage_and_server_are_named(stage: str) -> None:
    """Guards against an answer that blames the wrong stage or server."""
    report = slowness.analyze([make_window(stage, "saldo-07", 1).summary(660.0)])
    assert report.verdict == f"slow in stage {stage}"
    assert report.findings[0].value == "saldo-07"


def test_normal_tail_is_outside() -> None:
    """Guards against blaming a server when nothing inside has changed."""
    report = slowness.analyze([make_window(None, "", 2).summary(660.0)])
    assert report.verdict == "outside berylchute"


def test_merged_hosts_show_the_shared_cause() -> None:
    """Guards against a report that sees one host only."""
    windows = [make_window("link", "saldo-03", seed) for seed in (3, 4)]
    report = slowness.analyze(window.summary(660.0) for window in windows)
    assert report.verdict == "slow in stage link"
    assert report.requests > 1900


def test_window_is_bounded() -> None:
    """Guards against samples that grow with traffic."""
    summary = make_window(None, "", 5).summary(660.0)
    assert len(summary.recent) <= slowness.SAMPLES_MAX
    assert len(summary.past) <= 2 * slowness.SAMPLES_MAX
