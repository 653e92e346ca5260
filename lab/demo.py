"""Run a small Cooperativa deployment end to end and check every answer."""

import sys
import time

import attrs

from berylchute.exceptions import BerylchuteError
from lab.launcher import Deployment, read_example_lists
from lab.load import LoadResult
from lab.processes import send_json
from lab.scenarios.stops import add_drain
from lab.workload import WORKLOADS, add_client_blocks, run_load

__all__ = ["main"]

POSITIONS = ("xela-a-1", "xela-b-1", "coban-a-1", "coban-b-1")
LOAD_S = 12.0
DRAIN_AT_S = 5.0
DRAIN_LIMIT_S = 2.0


@attrs.frozen
class _KindRow:
    name: str
    calls: int
    answered: int
    p50_ms: float
    p99_ms: float
    outcomes: str


def _start(deployment: Deployment) -> None:
    started_s = time.monotonic()
    deployment.start_store()
    deployment.start_servers()
    deployment.start_hosts(POSITIONS)
    deployment.start_locator()
    deployment.wait_until_converged()
    print(f"started {len(deployment.processes)} processes in {time.monotonic() - started_s:.1f} s")


def _query_locator(deployment: Deployment) -> None:
    url = f"{deployment.locator_url}/berylchute/v1/locate?address=10.10.0.1"
    response = send_json("GET", url)
    print("locator for 10.10.0.1:", ", ".join(host["position"] for host in response["hosts"]))


def _kind_rows(result: LoadResult) -> list[_KindRow]:
    rows = []
    for kind in sorted({item.kind for item in result.records}):
        kind_result = result.filter_records([kind])
        answered = kind_result.outcomes()["ok"]
        other_outcomes = ", ".join(
            f"{k}={n}" for k, n in kind_result.outcomes().items() if k != "ok"
        )
        rows.append(
            _KindRow(
                kind,
                len(kind_result.records),
                answered,
                kind_result.percentile_ms(50),
                kind_result.percentile_ms(99),
                other_outcomes or "-",
            )
        )
    return rows


def _print_table(rows: list[_KindRow]) -> None:
    print(f"{'kind':<16}{'calls':>7}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}  not answered")
    for row in rows:
        print(
            f"{row.name:<16}{row.calls:>7}{row.answered:>10}"
            f"{row.p50_ms:>9.1f}{row.p99_ms:>9.1f}  {row.outcomes}"
        )


def _run(deployment: Deployment) -> bool:
    workload = WORKLOADS["cooperativa"]
    _start(deployment)
    _query_locator(deployment)
    kinds = [
        workload.lookup_kind(60.0),
        workload.ledger_kind(10.0),
        workload.ledger_kind(10.0, path_index=1),
        workload.upload_kind(2.0),
    ]
    load = run_load(deployment, "demo", kinds, LOAD_S, processes=1)
    time.sleep(max(0.0, load.start_s + DRAIN_AT_S - time.monotonic()))
    drained_server = deployment.lists.backend_servers[0].name
    add_drain(deployment, "server", drained_server)
    drain_added_s = time.monotonic()
    result = load.wait()
    _print_table(_kind_rows(result))
    stats = deployment.server_stats()
    last_new_s = (
        next(row["last_arrival_s"] for row in stats if row["name"] == drained_server)
        - drain_added_s
    )
    print(
        f"drained {drained_server}: last new request {max(0.0, last_new_s):.2f} s after the drain"
    )
    non_idempotent = {
        item.identity for item in result.records if item.kind not in ("lookup", "upload")
    }
    double_run_count = sum(
        count > 1 for name, count in deployment.run_counts().items() if name in non_idempotent
    )
    over_slots_count = sum(row["peak"] > row["slots"] for row in stats)
    print(f"double runs: {double_run_count}; servers over their slots: {over_slots_count}")
    is_complete = result.ok_ratio() == 1.0 and double_run_count == 0 and over_slots_count == 0
    return is_complete and last_new_s <= DRAIN_LIMIT_S


def main() -> int:
    """Run the demo and return its exit status.

    It is 0 if every call got its own complete answer, no non-idempotent request ran twice, no
    server exceeded its slots, and the drained server received no request later than
    DRAIN_LIMIT_S after the drain.
    """
    started_s = time.monotonic()
    lists = add_client_blocks(read_example_lists("cooperativa"))
    with Deployment(lists, WORKLOADS["cooperativa"].server_profiles()) as deployment:
        try:
            has_passed = _run(deployment)
        except (RuntimeError, OSError, BerylchuteError) as error:
            print(error, file=sys.stderr)
            has_passed = False
    print(f"{'passed' if has_passed else 'FAILED'} in {time.monotonic() - started_s:.0f} s")
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
