"""Records of a soak run, and the checks of the system's guarantees against them."""

import bisect
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import attrs

__all__ = [
    "CONFIG_DELAY_MAX_S",
    "Disturbance",
    "KeyPeriod",
    "Records",
    "Request",
    "Run",
    "StatedLimit",
    "find_violations",
]

# Statuses which guarantee that no server has executed the request or will execute it.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Upper bounds from the platform's documentation for these deployments: how long a draining server
# may get requests, a configuration may take to apply, and a fault may have effects after its end.
DRAIN_LIMIT_S = 2.5
CONFIG_DELAY_MAX_S = 2.5
RECOVERY_S = 4.0
# From this time after a server first stated a limit, a window may hold LIMIT_RATIO times what the
# limit allows, and LIMIT_SLACK requests more.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5.0
# Allowance for scheduling delays on a loaded machine, added to the bounds.
SCHEDULING_SLACK_S = 0.5


@attrs.define
class Request:
    """One request of a caller; times are in seconds of the monotonic clock.

    `status` is 0 if no complete response arrived. `was_read` is False if the connection to the
    edge failed, so that the edge cannot have read the request.
    """

    request_id: str
    edge: str
    is_idempotent: bool
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    problem: str = ""
    was_read: bool = True
    api_key: str = ""


@attrs.frozen
class Run:
    """The start of a request's execution by a server, at `at_s` of the monotonic clock.

    `organisation` is the name that the server received; `has_api_key` is true if it got a key.
    """

    request_id: str
    server: str
    service: str
    at_s: float
    organisation: str = ""
    has_api_key: bool = False


@attrs.frozen
class Disturbance:
    """A fault injected into `scope`: the name of an edge or a server, or `store`.

    Planned faults, such as the stop of an edge, don't excuse a violation.
    """

    scope: str
    kind: str
    start_s: float
    end_s: float
    is_planned: bool = False


@attrs.frozen
class StatedLimit:
    """A limit that a server stated for all edges together from `start_s` to `end_s`."""

    server: str
    limit_per_s: float
    start_s: float
    end_s: float


@attrs.define
class KeyPeriod:
    """A key and the time in which the configuration holds it; the first ones start at 0."""

    key: str
    organisation: str
    start_s: float
    end_s: float | None = None


@attrs.define
class Records:
    """All records of one seed; encoded as `records.json`.

    `drains` maps a server's name to the time at which its drain began; `routes` lists the time and
    the target service of each configuration. `own_ends` describes the processes that ended by
    themselves, or in a planned stop with another exit code than 0.
    """

    requests: list[Request] = attrs.Factory(list)
    runs: list[Run] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)
    drains: dict[str, float] = attrs.Factory(dict)
    routes: list[tuple[float, str]] = attrs.Factory(list)
    limits: list[StatedLimit] = attrs.Factory(list)
    own_ends: list[str] = attrs.Factory(list)
    keys: list[KeyPeriod] = attrs.Factory(list)

    def has_no_unplanned_fault(self, start_s: float, end_s: float, scopes: Iterable[str]) -> bool:
        """Return whether no unplanned fault on the scopes could affect `start_s` to `end_s`.

        A fault counts until RECOVERY_S after its end.
        """
        scope_set = set(scopes)
        return not any(
            fault.scope in scope_set
            and not fault.is_planned
            and fault.start_s < end_s
            and fault.end_s + RECOVERY_S > start_s
            for fault in self.disturbances
        )


def find_violations(records: Records) -> list[str]:
    """Return one line for each violated guarantee, starting with the name of its kind."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in records.runs:
        runs[run.request_id].append(run)
    sent_ids = {request.request_id for request in records.requests}
    violations = [
        f"unasked: {run.request_id}, which no caller sent, ran at {run.server}"
        for run in records.runs
        if run.request_id not in sent_ids
    ]
    for request in records.requests:
        violations += _check_request(records, request, runs.get(request.request_id, []))
    violations += [f"ended: {end}" for end in records.own_ends]
    violations += _check_drains(records)
    for limit in records.limits:
        violations += _check_limit(records, limit)
    return violations


def _check_request(records: Records, request: Request, runs: Sequence[Run]) -> list[str]:
    violations = []
    label = f"{request.request_id} at {request.edge}, sent {request.sent_s:.2f}"
    if not request.is_idempotent and len(runs) > 1:
        violations.append(f"twice: {label} ran {len(runs)} times")
    if len(runs) > 2:
        violations.append(f"attempts: {label} ran {len(runs)} times")
    if not request.is_idempotent and request.status in NOT_RUN_STATUSES and runs:
        violations.append(
            f"refused: {label} got status {request.status} but ran at {runs[0].server}"
        )
    if request.problem.startswith("mixed"):
        violations.append(f"mixed: {label}: {request.problem}")
    is_response_lost = request.status == 0 and request.was_read and runs
    # The store is not among the scopes: its outage does not excuse a lost response.
    scopes = (request.edge, *(run.server for run in runs))
    if is_response_lost and records.has_no_unplanned_fault(request.sent_s, request.ended_s, scopes):
        violations.append(f"lost: {label}: {request.problem}")
    violations += _check_service(records, request, runs)
    return violations + _check_key(records, request, runs)


def _check_key(records: Records, request: Request, runs: Sequence[Run]) -> list[str]:
    """Check that servers know the organisation and get no key, and when a key is valid."""
    period = next((period for period in records.keys if period.key == request.api_key), None)
    if period is None:
        return []
    label = f"{request.request_id} at {request.edge}, sent {request.sent_s:.2f}"
    scopes = (request.edge, "store")
    violations = [
        f"organisation: {label} ran for {run.organisation!r}, key: {run.has_api_key}"
        for run in runs
        if run.organisation != period.organisation or run.has_api_key
    ]
    delay_s = CONFIG_DELAY_MAX_S + SCHEDULING_SLACK_S
    for run in runs:
        if (
            period.end_s is not None
            and run.at_s > period.end_s + delay_s
            and records.has_no_unplanned_fault(period.end_s, run.at_s, scopes)
        ):
            violations.append(f"removed: {label} ran {run.at_s - period.end_s:.2f} s after its key")
    was_valid = period.end_s is None or request.ended_s < period.end_s
    # The first keys are in all configurations until they are removed, so that nothing excuses 401.
    was_known = period.start_s == 0.0 or (
        request.sent_s > period.start_s + delay_s
        and records.has_no_unplanned_fault(period.start_s, request.ended_s, scopes)
    )
    if request.status == 401 and (runs or (was_valid and was_known)):
        violations.append(f"unauthorized: {label} got 401, ran {len(runs)} times")
    return violations


def _check_service(records: Records, request: Request, runs: Sequence[Run]) -> list[str]:
    change_times_s = [at_s for at_s, _ in records.routes]
    index = (
        bisect.bisect_right(
            change_times_s, request.sent_s - CONFIG_DELAY_MAX_S - SCHEDULING_SLACK_S
        )
        - 1
    )
    if index < 0 or not runs:
        return []
    allowed = {service for _, service in records.routes[index:]}
    scopes = (request.edge, "store")
    is_unaffected = records.has_no_unplanned_fault(
        records.routes[index][0], request.ended_s, scopes
    )
    if is_unaffected and runs[0].service not in allowed:
        return [
            f"config: {request.request_id} at {request.edge} ran at {runs[0].service}, "
            f"allowed services {sorted(allowed)}"
        ]
    return []


def _check_drains(records: Records) -> list[str]:
    late_runs: Counter[str] = Counter()
    edge_names = {request.request_id: request.edge for request in records.requests}
    for run in records.runs:
        drained_s = records.drains.get(run.server)
        if drained_s is None or run.at_s < drained_s + DRAIN_LIMIT_S + SCHEDULING_SLACK_S:
            continue
        edge = edge_names.get(run.request_id, "")
        if records.has_no_unplanned_fault(drained_s, run.at_s, (edge, "store")):
            late_runs[run.server] += 1
    return [
        f"drain: {server} ran {count} requests after the drain limit"
        for server, count in late_runs.items()
    ]


def _check_limit(records: Records, limit: StatedLimit) -> list[str]:
    times_s = sorted(
        run.at_s
        for run in records.runs
        if run.server == limit.server and limit.start_s <= run.at_s <= limit.end_s
    )
    # The first request shows the limit to the edges.
    counted_s = [at_s for at_s in times_s if at_s >= times_s[0] + LIMIT_KNOWN_S]
    allowed = LIMIT_RATIO * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    most = max(
        (
            bisect.bisect_left(counted_s, at_s + LIMIT_WINDOW_S) - first
            for first, at_s in enumerate(counted_s)
        ),
        default=0,
    )
    if most <= allowed:
        return []
    return [
        f"limit: {limit.server} ran {most} requests in {LIMIT_WINDOW_S:g} s with a limit of "
        f"{limit.limit_per_s:.1f}/s stated at {limit.start_s:.2f}"
    ]
