"""Run one scenario and its baseline; print the report as the last line."""

import argparse
import fcntl
import os
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

from lab.scenario import Options, Report, Scenario
from lab.scenarios.capacity import lending, shift
from lab.scenarios.control import config, store_outage
from lab.scenarios.overhead import overhead
from lab.scenarios.overload import overload
from lab.scenarios.pure import decide, slopes
from lab.scenarios.stops import drain, host_loss, region_loss
from lab.scenarios.tail import mixed_sizes, slowed_servers
from lab.workload import WORKLOADS

__all__ = ["SCENARIOS", "main"]

SCENARIOS: Mapping[str, Scenario] = {
    "overhead": overhead,
    "slowed_servers": slowed_servers,
    "mixed_sizes": mixed_sizes,
    "overload": overload,
    "drain": drain,
    "host_loss": host_loss,
    "region_loss": region_loss,
    "config": config,
    "store_outage": store_outage,
    "lending": lending,
    "shift": shift,
    "decide": decide,
    "slopes": slopes,
}
LOCK_FILE = Path(tempfile.gettempdir()) / "berylchute-lab.lock"


@contextmanager
def exclusive_run() -> Iterator[None]:
    """Acquire the machine's measurement lock, as concurrent measurements disturb each other."""
    with LOCK_FILE.open("a") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            print("waiting for another measurement to end", file=sys.stderr)
            fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _print_text(report: Report) -> None:
    for title, figures in (("figures", report.figures), ("baseline", report.baseline)):
        print(title)
        for name, value in figures.items():
            print(f"  {name:<40} {value:g}")
    for target in report.targets:
        verdict = "met" if target.met else "MISSED"
        print(f"target {target.name} {target.op} {target.bound:g}: {target.value:g} {verdict}")


def main() -> int:
    """Run a scenario and return exit status 0, whether or not its targets are met."""
    parser = argparse.ArgumentParser(prog="lab.measure", description=__doc__)
    parser.add_argument("scenario", nargs="?", choices=sorted(SCENARIOS))
    parser.add_argument("--list", action="store_true", help="list the scenarios")
    parser.add_argument("--deployment", choices=sorted(WORKLOADS), default="cooperativa")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", choices=("text", "json"), default="text")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(SCENARIOS))
        return 0
    if arguments.scenario is None:
        parser.error("name a scenario, or use --list")
    with exclusive_run():
        started_s = time.monotonic()
        report = SCENARIOS[arguments.scenario](Options(arguments.deployment, arguments.seed))
        # Shows load of other processes, which raises the tail latency of both systems.
        report.figures["machine_load_1_min"] = round(os.getloadavg()[0], 1)
        print(f"ran {time.monotonic() - started_s:.0f} s", file=sys.stderr)
    if arguments.output == "text":
        _print_text(report)
    print(report.to_json())
    return 0


if __name__ == "__main__":
    sys.exit(main())
