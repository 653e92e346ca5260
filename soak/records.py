"""Record what callers, backend servers and the operator saw, and check the promises."""

import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import attrs

__all__ = ["Disturbance", "Records", "Request", "Run", "find_violations"]

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bounds of the platform's pages for these deployments.
DRAIN_S = 2.5
CONFIG_S = 2.5
SETTLE_S = 4.0
# Time that a loaded machine may add to a bound.
SLACK_S = 0.5


@attrs.define
class Request:
    """One attempt of a caller; `status` is 0 where no whole answer came."""

    request_id: str
    edge: str
    is_idempotent: bool
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    problem: str = ""
    was_read: bool = True


@attrs.frozen
class Run:
    """A server began to work on a request."""

    request_id: str
    server: str
    service: str
    at_s: float


@attrs.frozen
class Disturbance:
    """A fault on `scope`: an edge, a server, or `store`; planned ones excuse no loss."""

    scope: str
    kind: str
    start_s: float
    end_s: float
    is_planned: bool = False


@attrs.define
class Records:
    """Everything that one soak saw."""

    requests: list[Request] = attrs.Factory(list)
    runs: list[Run] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)
    drains: dict[str, float] = attrs.Factory(dict)
    routes: list[tuple[float, str]] = attrs.Factory(list)

    def is_calm(self, start_s: float, end_s: float, scopes: Iterable[str]) -> bool:
        """Tell whether nothing unplanned touched the scopes from before `start_s` to `end_s`."""
        wanted = set(scopes)
        return not any(
            item.scope in wanted
            and not item.is_planned
            and item.start_s < end_s
            and item.end_s + SETTLE_S > start_s
            for item in self.disturbances
        )


def find_violations(records: Records) -> list[str]:
    """Return one line for each broken promise."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in records.runs:
        runs[run.request_id].append(run)
    known = {request.request_id for request in records.requests}
    found = [
        f"unasked: {run.request_id} ran at {run.server}"
        for run in records.runs
        if run.request_id not in known
    ]
    for request in records.requests:
        found += _check_request(records, request, runs.get(request.request_id, []))
    found += _check_drains(records)
    return found


def _check_request(records: Records, request: Request, runs: Sequence[Run]) -> list[str]:
    found = []
    name = f"{request.request_id} at {request.edge}, sent {request.sent_s:.2f}"
    if not request.is_idempotent and len(runs) > 1:
        found.append(f"twice: {name} ran {len(runs)} times")
    if len(runs) > 2:
        found.append(f"attempts: {name} ran {len(runs)} times")
    if not request.is_idempotent and request.status in NOT_RUN_STATUSES and runs:
        found.append(f"refused: {name} got {request.status} and ran at {runs[0].server}")
    if request.problem.startswith("mixed"):
        found.append(f"mixed: {name}: {request.problem}")
    is_lost = request.status == 0 and request.was_read and runs
    # An outage of the store excuses no loss.
    scopes = (request.edge, *(run.server for run in runs))
    if is_lost and records.is_calm(request.sent_s, request.ended_s, scopes):
        found.append(f"lost: {name}: {request.problem}")
    found += _check_routes(records, request, runs)
    return found


def _check_routes(records: Records, request: Request, runs: Sequence[Run]) -> list[str]:
    times = [at_s for at_s, _ in records.routes]
    index = bisect.bisect_right(times, request.sent_s - CONFIG_S - SLACK_S) - 1
    if index < 0 or not runs:
        return []
    allowed = {service for _, service in records.routes[index:]}
    scopes = (request.edge, "store")
    is_bound = records.is_calm(records.routes[index][0], request.ended_s, scopes)
    if is_bound and runs[0].service not in allowed:
        return [
            f"config: {request.request_id} at {request.edge} ran at {runs[0].service}, "
            f"allowed {sorted(allowed)}"
        ]
    return []


def _check_drains(records: Records) -> list[str]:
    late: Counter[str] = Counter()
    edges = {request.request_id: request.edge for request in records.requests}
    for run in records.runs:
        drained_s = records.drains.get(run.server)
        if drained_s is None or run.at_s < drained_s + DRAIN_S + SLACK_S:
            continue
        edge = edges.get(run.request_id, "")
        if records.is_calm(drained_s, run.at_s, (edge, "store")):
            late[run.server] += 1
    return [f"drain: {server} ran {count} requests too late" for server, count in late.items()]
