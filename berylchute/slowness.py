"""Find which stage and place makes the tail of latency, against the recent past."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from operator import attrgetter

import attrs

from berylchute.tracing import STAGES

__all__ = [
    "STAGES",
    "Finding",
    "Sample",
    "SampleWindow",
    "SlowReport",
    "Summary",
    "analyze",
]

DIMENSIONS = ("kind", "plan", "availability_zone", "region", "link", "server")

RECENT_S = 60.0
SAMPLES_MAX = 4096
# One of eight older samples is kept, so that the past spans about eight recent windows.
PAST_SAMPLING = 8
TAIL_FRACTION = 0.01
TAIL_SAMPLES_MIN = 5
# A recent p99 within this factor of the past p99 is called normal.
NORMAL_RATIO = 1.3
NORMAL_EXCESS_MS = 2.0
FINDINGS_MAX = 5


@attrs.frozen
class Sample:
    """One finished request: where it went and its stages in ms, in the order of STAGES."""

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
        """Return the time inside berylchute and the backend server."""
        return sum(self.stages_ms)


@attrs.frozen
class Summary:
    """Samples of one or more hosts: the recent window and the past before it."""

    recent: tuple[Sample, ...]
    past: tuple[Sample, ...]

    def thinned(self, samples_max: int) -> "Summary":
        """Return evenly chosen samples, at most `samples_max` of either part."""
        return Summary(_thin(self.recent, samples_max), _thin(self.past, samples_max))


@attrs.frozen
class Finding:
    """One suspected cause of the tail; `lift` is its share of the tail over its share of all."""

    dimension: str
    value: str
    tail_share: float
    lift: float


@attrs.frozen
class SlowReport:
    """The answer to "it is slow"; times in ms."""

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
    """Keep bounded recent and past samples of one host."""

    def __init__(self) -> None:
        self._recent: deque[Sample] = deque(maxlen=SAMPLES_MAX)
        self._past: deque[Sample] = deque(maxlen=SAMPLES_MAX)
        self._aged = 0

    def record(self, sample: Sample) -> None:
        """Add a finished request."""
        recent = self._recent
        if len(recent) == SAMPLES_MAX or (recent and recent[0].at_s < sample.at_s - RECENT_S):
            self._age(recent.popleft())
        recent.append(sample)

    def summary(self, now_s: float) -> Summary:
        """Return the samples of the last minute and of the time before."""
        recent = tuple(sample for sample in self._recent if sample.at_s >= now_s - RECENT_S)
        late = tuple(sample for sample in self._recent if sample.at_s < now_s - RECENT_S)
        return Summary(recent, (*self._past, *late))

    def _age(self, sample: Sample) -> None:
        self._aged += 1
        if self._aged % PAST_SAMPLING == 0:
            self._past.append(sample)


def _thin(samples: tuple[Sample, ...], samples_max: int) -> tuple[Sample, ...]:
    return samples[:: max(1, -(-len(samples) // samples_max))]


def _percentile(values: Sequence[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _tail(samples: Sequence[Sample]) -> list[Sample]:
    count = max(TAIL_SAMPLES_MIN, int(len(samples) * TAIL_FRACTION))
    return sorted(samples, key=lambda sample: sample.total_ms, reverse=True)[:count]


def _mean_stages_ms(samples: Sequence[Sample]) -> list[float]:
    if not samples:
        return [0.0] * len(STAGES)
    return [
        sum(sample.stages_ms[i] for sample in samples) / len(samples) for i in range(len(STAGES))
    ]


def _findings(recent: Sequence[Sample], tail: Sequence[Sample]) -> tuple[Finding, ...]:
    found = []
    for dimension in DIMENSIONS:
        read = attrgetter(dimension)
        overall, in_tail = Counter(map(read, recent)), Counter(map(read, tail))
        value, count = in_tail.most_common(1)[0]
        share = count / len(tail)
        lift = share / (overall[value] / len(recent))
        if value and share >= 0.5 and lift >= 1.5:
            found.append(Finding(dimension, value, round(share, 3), round(lift, 2)))
    return tuple(sorted(found, key=lambda finding: finding.lift, reverse=True)[:FINDINGS_MAX])


def analyze(summaries: Iterable[Summary]) -> SlowReport:
    """Return what makes the recent tail; the verdict is "outside berylchute" if it is normal."""
    gathered = list(summaries)
    recent = [sample for summary in gathered for sample in summary.recent]
    past = [sample for summary in gathered for sample in summary.past]
    totals = [sample.total_ms for sample in recent]
    p99_ms = _percentile(totals, 0.99)
    past_p99_ms = _percentile([sample.total_ms for sample in past], 0.99)
    tail, past_tail = _tail(recent), _tail(past)
    tail_ms, past_tail_ms = _mean_stages_ms(tail), _mean_stages_ms(past_tail)
    excess_ms = [now - before for now, before in zip(tail_ms, past_tail_ms, strict=True)]
    worst = max(range(len(STAGES)), key=lambda i: excess_ms[i])
    if not recent:
        verdict = "no requests in the last minute"
    elif not past:
        verdict = "no past to compare with"
    elif p99_ms <= max(past_p99_ms * NORMAL_RATIO, past_p99_ms + NORMAL_EXCESS_MS):
        verdict = "outside berylchute"
    else:
        verdict = f"slow in stage {STAGES[worst]}"
    return SlowReport(
        requests=len(recent),
        p50_ms=round(_percentile(totals, 0.5), 3),
        p99_ms=round(p99_ms, 3),
        past_p99_ms=round(past_p99_ms, 3),
        verdict=verdict,
        stage=STAGES[worst],
        stage_tail_ms=round(tail_ms[worst], 3),
        stage_past_tail_ms=round(past_tail_ms[worst], 3),
        findings=_findings(recent, tail) if recent else (),
    )
