"""Run seeds of the soak and report them: `make soak SEEDS=3 SECONDS=10`."""

import argparse
import asyncio
import time
import tomllib
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import attrs
import msgspec

from soak.records import Records, find_violations
from soak.world import SoakWorld

REGRESSIONS = Path(__file__).parent / "regressions.toml"
# Share of requests below which a soak proves nothing.
ANSWERED_RATIO_MIN = 0.3


@attrs.frozen
class Report:
    """The result of one seed."""

    seed: int
    requests: int
    answered: int
    runs: int
    disturbances: int
    p50_ms: float
    p99_ms: float
    violations: list[str]


@attrs.frozen
class Case:
    """A seed to play for a time."""

    seed: int
    seconds: float


def play(case: Case, options: argparse.Namespace) -> Report:
    """Run one seed and return its report."""
    seed = case.seed
    out = Path(options.out) / f"seed-{seed}"
    out.mkdir(parents=True, exist_ok=True)
    world = SoakWorld(
        seed, out, options.edges, options.servers, options.callers, options.blocked_logs
    )
    asyncio.run(world.run(case.seconds))
    report = _report(seed, world.records)
    (out / "report.json").write_bytes(msgspec.json.encode(report))
    (out / "records.json").write_bytes(msgspec.json.encode(world.records))
    return report


def _report(seed: int, records: Records) -> Report:
    violations = find_violations(records)
    answered = sum(request.status == 200 for request in records.requests)
    if answered < ANSWERED_RATIO_MIN * max(1, len(records.requests)):
        violations.append(f"served: {answered} of {len(records.requests)} requests answered")
    times_ms = sorted(
        1000.0 * (request.ended_s - request.sent_s)
        for request in records.requests
        if request.status == 200
    )
    return Report(
        seed,
        len(records.requests),
        answered,
        len(records.runs),
        len(records.disturbances),
        _quantile(times_ms, 0.5),
        _quantile(times_ms, 0.99),
        violations,
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    return round(ordered[int(share * (len(ordered) - 1))], 1) if ordered else 0.0


def _plot(seed: int, out: Path) -> None:
    """Draw answers and faults over time; needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    records = msgspec.json.decode(
        (out / f"seed-{seed}" / "records.json").read_bytes(), type=Records
    )
    first_s = min(request.sent_s for request in records.requests)
    seconds = Counter(
        (int(request.sent_s - first_s), request.status) for request in records.requests
    )
    figure, axes = pyplot.subplots(figsize=(9, 4))
    last = max(second for second, _ in seconds)
    for status in sorted({status for _, status in seconds}):
        counts = [seconds[second, status] for second in range(last + 1)]
        axes.plot(counts, label=str(status or "no answer"))
    for item in records.disturbances:
        axes.axvspan(item.start_s - first_s, item.end_s - first_s, alpha=0.06, color="red")
    axes.set(xlabel="s", ylabel="requests in a second", title=f"seed {seed}")
    axes.legend()
    figure.savefig(out / f"seed-{seed}" / "report.png")
    pyplot.close(figure)


def _cases(options: argparse.Namespace) -> list[Case]:
    if options.regressions:
        listed = tomllib.loads(REGRESSIONS.read_text(encoding="utf-8"))["case"]
        return [Case(item["seed"], item["seconds"]) for item in listed]
    first = options.first if options.first is not None else int(time.time())
    return [Case(seed, options.seconds) for seed in range(first, first + options.seeds)]


def main() -> None:
    """Run the seeds; leave with 1 if any promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed; default: the clock")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--edges", type=int, default=4)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--out", default="out/soak")
    parser.add_argument("--plot", action="store_true")
    parser.add_argument(
        "--blocked-logs", action="store_true", help="nobody reads what the edges log"
    )
    parser.add_argument("--regressions", action="store_true", help="play seeds that once failed")
    options = parser.parse_args()
    cases = _cases(options)
    failed = 0
    for case in cases:
        seed = case.seed
        report = play(case, options)
        if options.plot:
            _plot(seed, Path(options.out))
        verdict = "ok" if not report.violations else "FAILED"
        print(
            f"seed {seed}: {verdict}, {report.answered} of {report.requests} answered, "
            f"{report.runs} runs, {report.disturbances} disturbances, "
            f"p50 {report.p50_ms} ms, p99 {report.p99_ms} ms",
            flush=True,
        )
        for violation in report.violations[:20]:
            print(f"  {violation}")
        if report.violations:
            failed += 1
            print(f"  again: make soak FIRST={seed} SEEDS=1 SECONDS={case.seconds:g}")
    print(f"{len(cases) - failed} passed, {failed} failed")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
