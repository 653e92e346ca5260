"""Send open-loop load as callers would, and check every answer.

Arrival times are drawn before the run and latency counts from the intended arrival, so a slow
answer or a busy load process never hides the wait of later calls.
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

from lab.caller import Call, Caller, CallerSpec, Record

__all__ = ["LoadKind", "LoadResult", "LoadSpec", "arrivals", "merge", "plot"]

HISTOGRAM_MAX_US = 120_000_000
# Without a pause, refused closed loops would keep the entry host busy with refusals alone.
REFUSED_PAUSE_S = 0.2


@attrs.frozen
class LoadKind:
    """One kind of call; `concurrency` above 0 makes it a closed loop without arrival times."""

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
    """One load process: its kinds, and `start_s` on the machine's monotonic clock."""

    name: str
    seed: int
    start_s: float
    duration_s: float
    caller: CallerSpec
    kinds: tuple[LoadKind, ...]


@attrs.frozen
class LoadResult:
    """Records of all calls; times are seconds after `start_s`."""

    start_s: float
    duration_s: float
    records: tuple[Record, ...]
    lag_max_s: float = 0.0

    def of(self, kinds: Sequence[str] = (), after_s: float = 0.0) -> "LoadResult":
        """Return the records of some kinds (none given: all) that arrived after a time."""
        chosen = tuple(
            item
            for item in self.records
            if item.arrival_s >= after_s and (not kinds or item.kind in kinds)
        )
        return attrs.evolve(self, records=chosen)

    def outcomes(self) -> Counter[str]:
        """Count outcomes; refusals and failures are split by code."""
        return Counter(
            item.outcome if not item.code else f"{item.outcome}:{item.code}"
            for item in self.records
        )

    def ok_share(self) -> float:
        """Return the share of calls with a complete answer of their own."""
        return sum(item.outcome == "ok" for item in self.records) / max(1, len(self.records))

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the answered calls from an HDR histogram."""
        return float(self.histogram().get_value_at_percentile(percentile)) / 1000

    def histogram(self) -> HdrHistogram:
        """Return the latencies of the answered calls in microseconds."""
        histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
        for item in self.records:
            if item.outcome == "ok":
                histogram.record_value(min(HISTOGRAM_MAX_US, max(1, int(item.latency_s * 1e6))))
        return histogram

    def goodput_per_s(self) -> float:
        """Return the answered calls per second that also ended before the run's end."""
        done = sum(
            item.outcome == "ok" and item.arrival_s + item.latency_s <= self.duration_s
            for item in self.records
        )
        return done / self.duration_s


def merge(results: Sequence[LoadResult]) -> LoadResult:
    """Return the results of processes that ran at the same time as one."""
    first = results[0]
    records = sorted(
        (item for result in results for item in result.records), key=lambda item: item.arrival_s
    )
    return attrs.evolve(
        first, records=tuple(records), lag_max_s=max(item.lag_max_s for item in results)
    )


def plot(results: Mapping[str, LoadResult], path: Path, title: str) -> None:
    """Write latency by percentile of several results to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    points = [0, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.95]
    for name, result in results.items():
        histogram = result.histogram()
        values = [histogram.get_value_at_percentile(point) / 1000 for point in points]
        axes.plot(range(len(points)), values, marker="o", label=name)
    axes.set_xticks(range(len(points)), [str(point) for point in points])
    axes.set(title=title, xlabel="percentile", ylabel="latency (ms)", yscale="log")
    axes.grid(True, alpha=0.3)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def arrivals(spec: LoadSpec) -> Iterator[tuple[float, LoadKind]]:
    """Yield the intended arrivals in order, in seconds after the start."""
    rng = random.Random(f"{spec.seed} {spec.name}")
    planned: list[tuple[float, int]] = []
    for index, kind in enumerate(spec.kinds):
        at_s = 0.0
        while kind.rate_per_s and (at_s := at_s + rng.expovariate(kind.rate_per_s)) < (
            spec.duration_s
        ):
            planned.append((at_s, index))
    for at_s, index in sorted(planned):
        yield at_s, spec.kinds[index]


class _Run:
    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._caller = Caller(spec.caller, spec.seed)
        self._random = random.Random(f"{spec.seed} {spec.name} callers")
        self._records: list[Record] = []
        self._number = 0
        self._lag_max_s = 0.0

    async def run(self) -> LoadResult:
        """Send all calls and wait for their ends."""
        spec = self._spec
        await self._caller.prepare()
        await asyncio.sleep(max(0.0, spec.start_s - time.monotonic()))
        loops = [
            asyncio.create_task(self._closed_loop(kind))
            for kind in spec.kinds
            for _ in range(kind.concurrency)
        ]
        tasks: set[asyncio.Task[None]] = set(loops)
        for at_s, kind in arrivals(spec):
            wait_s = spec.start_s + at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            else:
                self._lag_max_s = max(self._lag_max_s, -wait_s)
            task = asyncio.create_task(self._send(kind, at_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        await self._caller.aclose()
        return LoadResult(spec.start_s, spec.duration_s, tuple(self._records), self._lag_max_s)

    async def _closed_loop(self, kind: LoadKind) -> None:
        while (at_s := time.monotonic() - self._spec.start_s) < self._spec.duration_s:
            await self._send(kind, at_s)
            if self._records[-1].outcome != "ok":
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def _send(self, kind: LoadKind, at_s: float) -> None:
        self._number += 1
        customer = self._random.choice(kind.customers)
        call = Call(
            identity=f"{self._spec.name}.{customer}.{self._number}",
            customer=customer,
            kind=kind.name,
            method=kind.method,
            path=kind.path,
            idempotent=kind.idempotent,
            body_bytes=kind.body_bytes,
            deadline_ms=kind.deadline_ms,
        )
        self._records.append(await self._caller.make(call, self._spec.start_s, at_s))


def main() -> None:
    """Run one load process from a spec file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    spec = msgspec.json.decode(arguments.spec.read_bytes(), type=LoadSpec)
    # A full collection over all records would stall the arrivals for tens of milliseconds.
    gc.freeze()
    gc.disable()
    result = asyncio.run(_Run(spec).run())
    arguments.output.write_bytes(msgspec.msgpack.encode(result))
    if arguments.plot:
        plot({kind.name: result.of([kind.name]) for kind in spec.kinds}, arguments.plot, spec.name)


if __name__ == "__main__":
    main()
