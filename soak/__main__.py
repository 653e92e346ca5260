"""Run the soak test for one or more seeds: `make soak SEEDS=3 SECONDS=10`."""

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

REGRESSIONS_PATH = Path(__file__).parent / "regressions.toml"
# Below this ratio of successful requests the other checks prove nothing.
ANSWERED_RATIO_MIN = 0.3


@attrs.frozen
class Report:
    """Counts, latencies of successful requests and violations of one seed.

    Encoded as `report.json`.
    """

    seed: int
    requests: int
    answered: int
    runs: int
    disturbances: int
    p50_ms: float
    p99_ms: float
    violations: list[str]


@attrs.frozen
class SeedCase:
    """A seed and the duration of its load."""

    seed: int
    seconds: float


def run_case(case: SeedCase, options: argparse.Namespace) -> Report:
    """Run one seed and return its report.

    Writes `report.json` and `records.json` to the seed's output directory.
    """
    seed = case.seed
    out_dir = Path(options.out) / f"seed-{seed}"
    out_dir.mkdir(parents=True, exist_ok=True)
    world = SoakWorld(
        seed, out_dir, options.edges, options.servers, options.callers, options.blocked_logs
    )
    asyncio.run(world.run(case.seconds))
    report = _make_report(seed, world.records)
    (out_dir / "report.json").write_bytes(msgspec.json.encode(report))
    (out_dir / "records.json").write_bytes(msgspec.json.encode(world.records))
    return report


def _make_report(seed: int, records: Records) -> Report:
    violations = find_violations(records)
    answered = sum(request.status == 200 for request in records.requests)
    # A wrong 401 is a violation of its own.
    authorized = sum(request.status != 401 for request in records.requests)
    if answered < ANSWERED_RATIO_MIN * max(1, authorized):
        violations.append(f"served: {answered} of {authorized} requests succeeded")
    latencies_ms = sorted(
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
        _quantile(latencies_ms, 0.5),
        _quantile(latencies_ms, 0.99),
        violations,
    )


def _quantile(sorted_values: Sequence[float], ratio: float) -> float:
    return round(sorted_values[int(ratio * (len(sorted_values) - 1))], 1) if sorted_values else 0.0


def _plot(seed: int, out_dir: Path) -> None:
    """Write `report.png`: responses per second by status, with the faults; needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    records = msgspec.json.decode(
        (out_dir / f"seed-{seed}" / "records.json").read_bytes(), type=Records
    )
    first_sent_s = min(request.sent_s for request in records.requests)
    request_counts = Counter(
        (int(request.sent_s - first_sent_s), request.status) for request in records.requests
    )
    figure, axes = pyplot.subplots(figsize=(9, 4))
    last_second = max(second for second, _ in request_counts)
    for status in sorted({status for _, status in request_counts}):
        counts = [request_counts[second, status] for second in range(last_second + 1)]
        axes.plot(counts, label=str(status or "no response"))
    for fault in records.disturbances:
        axes.axvspan(
            fault.start_s - first_sent_s, fault.end_s - first_sent_s, alpha=0.06, color="red"
        )
    axes.set(xlabel="s", ylabel="requests per second", title=f"seed {seed}")
    axes.legend()
    figure.savefig(out_dir / f"seed-{seed}" / "report.png")
    pyplot.close(figure)


def _select_cases(options: argparse.Namespace) -> list[SeedCase]:
    if options.regressions:
        entries = tomllib.loads(REGRESSIONS_PATH.read_text(encoding="utf-8"))["case"]
        return [SeedCase(entry["seed"], entry["seconds"]) for entry in entries]
    first_seed = options.first if options.first is not None else int(time.time())
    return [
        SeedCase(seed, options.seconds) for seed in range(first_seed, first_seed + options.seeds)
    ]


def main() -> None:
    """Run the seeds and exit with status 1 if any of them has a violation."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed; default: Unix time")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--edges", type=int, default=4)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--out", default="out/soak")
    parser.add_argument("--plot", action="store_true")
    parser.add_argument(
        "--blocked-logs",
        action="store_true",
        help="send the edges' stdout to a pipe that nobody reads",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run the failed seeds of regressions.toml"
    )
    options = parser.parse_args()
    cases = _select_cases(options)
    failed = 0
    for case in cases:
        seed = case.seed
        report = run_case(case, options)
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
            print(f"  reproduce with: make soak FIRST={seed} SEEDS=1 SECONDS={case.seconds:g}")
    print(f"{len(cases) - failed} passed, {failed} failed")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
