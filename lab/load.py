"""Send open-loop load as callers do, and check every answer.

Arrival times are drawn before the run and latency counts from the intended arrival. A slow answer
or a busy load process therefore can't hide the wait of later calls (coordinated omission).
"""

import argparse
import asyncio
import gc
import random
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from lab.caller import Call, Caller, CallerSpec, CallRecord

__all__ = [
    "LoadKind",
    "LoadResult",
    "LoadSpec",
    "merge_results",
    "plan_arrivals",
    "plot_percentiles",
]

HISTOGRAM_MAX_US = 120_000_000
# Without a pause, closed loops that are refused would saturate the entry host with refusals.
REFUSAL_PAUSE_S = 0.2


@attrs.frozen
class LoadKind:
    """One kind of call; `concurrency` counts its closed loops, which have no arrival times."""

    name: str
    method: str
    path: str
    idempotent: bool
    customers: tuple[str, ...]
    rate_per_s: float = 0.0
    body_bytes: int = 0
    deadline_ms: int = 0
    concurrency: int = 0


@attrs.frozen
class LoadSpec:
    """The load of one process; `start_s` is a time of the machine's monotonic clock."""

    name: str
    seed: int
    start_s: float
    duration_s: float
    caller: CallerSpec
    kinds: tuple[LoadKind, ...]


@attrs.frozen
class LoadResult:
    """Records of all calls; their times are seconds after `start_s`.

    `lag_max_s` is the longest delay of a call after its intended arrival in the load process.
    """

    start_s: float
    duration_s: float
    records: tuple[CallRecord, ...]
    lag_max_s: float = 0.0

    def filter_records(self, kinds: Sequence[str] = (), after_s: float = 0.0) -> "LoadResult":
        """Return the calls of some kinds (all by default) that arrived at or after `after_s`."""
        selected = tuple(
            item
            for item in self.records
            if item.arrival_s >= after_s and (not kinds or item.kind in kinds)
        )
        return attrs.evolve(self, records=selected)

    def outcomes(self) -> Counter[str]:
        """Count calls by outcome, or by `outcome:code` for those with a code."""
        return Counter(
            item.outcome if not item.code else f"{item.outcome}:{item.code}"
            for item in self.records
        )

    def ok_ratio(self) -> float:
        """Return the ratio of calls that got their own complete answer."""
        return sum(item.outcome == "ok" for item in self.records) / max(1, len(self.records))

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile (0 to 100) of the answered calls."""
        return float(self.histogram().get_value_at_percentile(percentile)) / 1000

    def histogram(self) -> HdrHistogram:
        """Return an HDR histogram of the answered calls' latencies in microseconds."""
        histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
        for item in self.records:
            if item.outcome == "ok":
                histogram.record_value(min(HISTOGRAM_MAX_US, max(1, int(item.latency_s * 1e6))))
        return histogram

    def goodput_per_s(self) -> float:
        """Return the rate of answered calls that ended within `duration_s`."""
        ended_in_time_count = sum(
            item.outcome == "ok" and item.arrival_s + item.latency_s <= self.duration_s
            for item in self.records
        )
        return ended_in_time_count / self.duration_s


def merge_results(results: Sequence[LoadResult]) -> LoadResult:
    """Merge the results of load processes that ran at the same time."""
    first = results[0]
    records = sorted(
        (item for result in results for item in result.records), key=lambda item: item.arrival_s
    )
    return attrs.evolve(
        first, records=tuple(records), lag_max_s=max(item.lag_max_s for item in results)
    )


def plot_percentiles(results: Mapping[str, LoadResult], path: Path, title: str) -> None:
    """Plot latency by percentile of several results to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    percentiles = [0, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.95]
    for name, result in results.items():
        histogram = result.histogram()
        values = [
            histogram.get_value_at_percentile(percentile) / 1000 for percentile in percentiles
        ]
        axes.plot(range(len(percentiles)), values, marker="o", label=name)
    axes.set_xticks(range(len(percentiles)), [str(percentile) for percentile in percentiles])
    axes.set(title=title, xlabel="percentile", ylabel="latency (ms)", yscale="log")
    axes.grid(True, alpha=0.3)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def plan_arrivals(spec: LoadSpec) -> Iterator[tuple[float, LoadKind]]:
    """Yield each intended arrival, in seconds after the start, with its kind; ordered by time."""
    rng = random.Random(f"{spec.seed} {spec.name}")
    planned: list[tuple[float, int]] = []
    for index, kind in enumerate(spec.kinds):
        arrival_s = 0.0
        while kind.rate_per_s and (arrival_s := arrival_s + rng.expovariate(kind.rate_per_s)) < (
            spec.duration_s
        ):
            planned.append((arrival_s, index))
    for arrival_s, index in sorted(planned):
        yield arrival_s, spec.kinds[index]


class _LoadProcess:
    """Send the load of one process and collect the records of its calls."""

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._caller = Caller(spec.caller, spec.seed)
        self._customer_rng = random.Random(f"{spec.seed} {spec.name} callers")
        self._records: list[CallRecord] = []
        self._call_count = 0
        self._lag_max_s = 0.0

    async def run(self) -> LoadResult:
        """Send all calls, wait until they have ended and return their records."""
        spec = self._spec
        await self._caller.locate_all()
        await asyncio.sleep(max(0.0, spec.start_s - time.monotonic()))
        closed_loops = [
            asyncio.create_task(self._closed_loop(kind))
            for kind in spec.kinds
            for _ in range(kind.concurrency)
        ]
        tasks: set[asyncio.Task[None]] = set(closed_loops)
        for arrival_s, kind in plan_arrivals(spec):
            wait_s = spec.start_s + arrival_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            else:
                self._lag_max_s = max(self._lag_max_s, -wait_s)
            task = asyncio.create_task(self._send(kind, arrival_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        await self._caller.aclose()
        return LoadResult(spec.start_s, spec.duration_s, tuple(self._records), self._lag_max_s)

    async def _closed_loop(self, kind: LoadKind) -> None:
        while (arrival_s := time.monotonic() - self._spec.start_s) < self._spec.duration_s:
            await self._send(kind, arrival_s)
            if self._records[-1].outcome != "ok":
                await asyncio.sleep(REFUSAL_PAUSE_S)

    async def _send(self, kind: LoadKind, arrival_s: float) -> None:
        self._call_count += 1
        customer = self._customer_rng.choice(kind.customers)
        call = Call(
            identity=f"{self._spec.name}.{customer}.{self._call_count}",
            customer=customer,
            kind=kind.name,
            method=kind.method,
            path=kind.path,
            idempotent=kind.idempotent,
            body_bytes=kind.body_bytes,
            deadline_ms=kind.deadline_ms,
        )
        self._records.append(await self._caller.make_call(call, self._spec.start_s, arrival_s))


def main() -> None:
    """Run one load process from a spec file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    spec = msgspec.json.decode(arguments.spec.read_bytes(), type=LoadSpec)
    # A full garbage collection over all records would delay arrivals by tens of milliseconds.
    gc.freeze()
    gc.disable()
    result = asyncio.run(_LoadProcess(spec).run())
    arguments.output.write_bytes(msgspec.msgpack.encode(result))
    if arguments.plot:
        plot_percentiles(
            {kind.name: result.filter_records([kind.name]) for kind in spec.kinds},
            arguments.plot,
            spec.name,
        )


if __name__ == "__main__":
    main()
