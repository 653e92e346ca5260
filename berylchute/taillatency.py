"""Find what dominates tail latency in the last minute, compared with the time before."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from operator import attrgetter

import attrs

from berylchute.tracing import STAGES

__all__ = [
    "STAGES",
    "Finding",
    "LatencySample",
    "LatencySamples",
    "SampleWindow",
    "TailLatencyReport",
    "analyze",
]

DIMENSIONS = ("kind", "plan", "availability_zone", "region", "link", "server")

RECENT_WINDOW_S = 60.0
SAMPLES_MAX = 4096
# One of eight older samples is kept so that the past covers about eight recent windows.
PAST_SAMPLING_INTERVAL = 8
TAIL_FRACTION = 0.01
TAIL_SAMPLES_MIN = 5
# A recent p99 is normal up to this multiple of the past p99 or this excess over it.
NORMAL_P99_RATIO_MAX = 1.3
NORMAL_P99_EXCESS_MAX_MS = 2.0
FINDINGS_MAX = 5


@attrs.frozen
class LatencySample:
    """Latency of one finished request and where it was served.

    `at_s` is its end; `stages_ms` is in the order of STAGES.
    """

    at_s: float
    kind: str
    plan: str
    availability_zone: str
    region: str
    link: str
    server: str
    stages_ms: tuple[float, ...]

    @property
    def total_ms(self) -> float:
        """Return the sum of all stages: the time in berylchute and in the backend server."""
        return sum(self.stages_ms)


@attrs.frozen
class LatencySamples:
    """Latency samples of one or more hosts: the recent window and the time before it."""

    recent: tuple[LatencySample, ...]
    past: tuple[LatencySample, ...]

    def downsampled(self, samples_max: int) -> "LatencySamples":
        """Return evenly spaced samples, at most `samples_max` recent and as many past ones."""
        return LatencySamples(
            _downsample(self.recent, samples_max), _downsample(self.past, samples_max)
        )


@attrs.frozen
class Finding:
    """A value that is over-represented in the tail and so a suspected cause.

    `lift` is its share of the tail divided by its share of all recent samples.
    """

    dimension: str
    value: str
    tail_share: float
    lift: float


@attrs.frozen
class TailLatencyReport:
    """Latency of the recent window and what dominates its tail.

    `stage` is the one whose mean time in the tail grew most against the past.
    """

    requests: int
    p50_ms: float
    p99_ms: float
    past_p99_ms: float
    verdict: str
    stage: str
    stage_tail_ms: float
    stage_past_tail_ms: float
    findings: tuple[Finding, ...]


class SampleWindow:
    """Bounded recent and past latency samples of one host."""

    def __init__(self) -> None:
        self._recent: deque[LatencySample] = deque(maxlen=SAMPLES_MAX)
        self._past: deque[LatencySample] = deque(maxlen=SAMPLES_MAX)
        self._aged_count = 0

    def record(self, sample: LatencySample) -> None:
        """Add a sample; the oldest moves to the past if it is outdated or the window is full."""
        recent = self._recent
        if len(recent) == SAMPLES_MAX or (
            recent and recent[0].at_s < sample.at_s - RECENT_WINDOW_S
        ):
            self._move_to_past(recent.popleft())
        recent.append(sample)

    def snapshot(self, now_s: float) -> LatencySamples:
        """Return the samples of the last RECENT_WINDOW_S seconds and of the time before."""
        recent = tuple(sample for sample in self._recent if sample.at_s >= now_s - RECENT_WINDOW_S)
        expired = tuple(sample for sample in self._recent if sample.at_s < now_s - RECENT_WINDOW_S)
        return LatencySamples(recent, (*self._past, *expired))

    def _move_to_past(self, sample: LatencySample) -> None:
        self._aged_count += 1
        if self._aged_count % PAST_SAMPLING_INTERVAL == 0:
            self._past.append(sample)


def _downsample(samples: tuple[LatencySample, ...], samples_max: int) -> tuple[LatencySample, ...]:
    return samples[:: max(1, -(-len(samples) // samples_max))]


def _percentile(values: Sequence[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _select_slowest(samples: Sequence[LatencySample]) -> list[LatencySample]:
    count = max(TAIL_SAMPLES_MIN, int(len(samples) * TAIL_FRACTION))
    return sorted(samples, key=lambda sample: sample.total_ms, reverse=True)[:count]


def _mean_stages_ms(samples: Sequence[LatencySample]) -> list[float]:
    if not samples:
        return [0.0] * len(STAGES)
    return [
        sum(sample.stages_ms[i] for sample in samples) / len(samples) for i in range(len(STAGES))
    ]


def _find_over_represented(
    recent: Sequence[LatencySample], tail: Sequence[LatencySample]
) -> tuple[Finding, ...]:
    findings = []
    for dimension in DIMENSIONS:
        get_value = attrgetter(dimension)
        overall, in_tail = Counter(map(get_value, recent)), Counter(map(get_value, tail))
        value, count = in_tail.most_common(1)[0]
        share = count / len(tail)
        lift = share / (overall[value] / len(recent))
        if value and share >= 0.5 and lift >= 1.5:
            findings.append(Finding(dimension, value, round(share, 3), round(lift, 2)))
    return tuple(sorted(findings, key=lambda finding: finding.lift, reverse=True)[:FINDINGS_MAX])


def analyze(sample_sets: Iterable[LatencySamples]) -> TailLatencyReport:
    """Return what dominates the recent tail of all sample sets together.

    The verdict is "outside berylchute" if the recent p99 is normal.
    """
    all_sets = list(sample_sets)
    recent = [sample for sample_set in all_sets for sample in sample_set.recent]
    past = [sample for sample_set in all_sets for sample in sample_set.past]
    totals = [sample.total_ms for sample in recent]
    p99_ms = _percentile(totals, 0.99)
    past_p99_ms = _percentile([sample.total_ms for sample in past], 0.99)
    tail, past_tail = _select_slowest(recent), _select_slowest(past)
    tail_ms, past_tail_ms = _mean_stages_ms(tail), _mean_stages_ms(past_tail)
    excess_ms = [now - before for now, before in zip(tail_ms, past_tail_ms, strict=True)]
    worst_index = max(range(len(STAGES)), key=lambda i: excess_ms[i])
    if not recent:
        verdict = "no requests in the last minute"
    elif not past:
        verdict = "no past to compare with"
    elif p99_ms <= max(past_p99_ms * NORMAL_P99_RATIO_MAX, past_p99_ms + NORMAL_P99_EXCESS_MAX_MS):
        verdict = "outside berylchute"
    else:
        verdict = f"slow in stage {STAGES[worst_index]}"
    return TailLatencyReport(
        requests=len(recent),
        p50_ms=round(_percentile(totals, 0.5), 3),
        p99_ms=round(p99_ms, 3),
        past_p99_ms=round(past_p99_ms, 3),
        verdict=verdict,
        stage=STAGES[worst_index],
        stage_tail_ms=round(tail_ms[worst_index], 3),
        stage_past_tail_ms=round(past_tail_ms[worst_index], 3),
        findings=_find_over_represented(recent, tail) if recent else (),
    )
