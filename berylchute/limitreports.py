"""Exchange the limits that servers state between members, and find the one in force."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from berylchute.servers import Server
from berylchute.types import Clock, MemberState, MemberStatus

__all__ = ["NO_LIMIT", "LimitReports"]

# Members that report the limit of a server to the others.
REPORTER_COUNT = 2
# An answer that arrived after the first report overrides reports for this time.
OWN_ANSWER_AGE_MAX_S = 1.0
# A reporter may send one request to a server that has not answered it for this time, whatever its
# share of the limit is, so that the end of a limit is noticed.
PROBE_AFTER_S = 5.0
# A reported limit stays in force for this time without a report, until others report it instead.
REPORT_GAP_S = 2.0
# Members report the end of a limit for this time, so that others don't go on reporting the limit.
END_REPORTED_S = 2.0
# Reported in place of a limit that has ended.
NO_LIMIT = math.inf


@attrs.define
class _ReportedLimit:
    """A limit as others report it: first at `first_at_s`, and last at `reported_at_s`."""

    limit_per_s: float
    first_at_s: float
    reported_at_s: float
    reporters: Sequence[str]


class LimitReports:
    """The limits of servers that this member knows from answers and from other members.

    A limit stays in force until an answer or another member shows its end, however long the server
    gets no request. `rank` orders the members that may report a server's limit; the lowest ranks
    report it.
    """

    def __init__(
        self, own_host_id: str, clock: Clock, rank: Callable[[Server, str], float]
    ) -> None:
        self._own_host_id = own_host_id
        self._clock = clock
        self._rank = rank
        self._reported: dict[str, _ReportedLimit] = {}

    def update_members(self, members: Iterable[MemberStatus], servers: Iterable[Server]) -> None:
        """Take over what the other members report about `servers`."""
        now_s = self._clock.now_s()
        limits: dict[str, dict[str, float]] = {}
        for status in members:
            record = status.record
            if record.host_id != self._own_host_id and status.state is not MemberState.GONE:
                for server_id, limit_per_s in record.server_limits.items():
                    limits.setdefault(server_id, {})[record.host_id] = limit_per_s
        for server_id, reported in list(self._reported.items()):
            reported.reporters = ()
            if now_s - reported.reported_at_s > REPORT_GAP_S:
                del self._reported[server_id]
        ended_ids = {server_id for server_id, found in limits.items() if NO_LIMIT in found.values()}
        for server_id, by_host in limits.items():
            known = self._reported.get(server_id)
            self._reported[server_id] = _ReportedLimit(
                min(by_host.values()), known.first_at_s if known else now_s, now_s, list(by_host)
            )
        for server_id in ended_ids:
            del self._reported[server_id]
        for server in servers:
            is_older = now_s - server.rate_limit_at_s > OWN_ANSWER_AGE_MAX_S
            if server.entry.server_id in ended_ids and is_older:
                server.rate_limit_per_s = None

    def limits_to_report(self, servers: Iterable[Server]) -> Mapping[str, float]:
        """Return the limits of `servers` to report, by server id; NO_LIMIT for those that ended."""
        now_s = self._clock.now_s()
        limits = {}
        for server in servers:
            if server.rate_limit_per_s is not None:
                if self._is_reporter(server):
                    limits[server.entry.server_id] = server.rate_limit_per_s
            elif now_s - self._ended_at_s(server) < END_REPORTED_S:
                limits[server.entry.server_id] = NO_LIMIT
        return limits

    def limit_per_s(self, server: Server, now_s: float) -> float | None:
        """Return the limit of a server that is in force, None if there is none."""
        own_limit_per_s = server.rate_limit_per_s
        if own_limit_per_s is None and not self._reported:
            return None
        reported = self._reported.get(server.entry.server_id)
        if reported is None:
            return own_limit_per_s
        is_newer = server.rate_limit_at_s > reported.first_at_s
        if is_newer and now_s - server.rate_limit_at_s < OWN_ANSWER_AGE_MAX_S:
            return own_limit_per_s
        return reported.limit_per_s

    def may_probe(self, server: Server, now_s: float) -> bool:
        """Return whether this member should send a request to learn whether a limit has ended."""
        last_s = max(server.rate_limit_at_s, server.sent_at_s)
        return (
            server.rate_limit_per_s is not None
            and now_s - last_s > PROBE_AFTER_S
            and self._is_reporter(server)
        )

    def _ended_at_s(self, server: Server) -> float:
        """Return when this member last learned that a server without a limit had one before."""
        reported = self._reported.get(server.entry.server_id)
        if reported and server.rate_limit_at_s > reported.first_at_s + OWN_ANSWER_AGE_MAX_S:
            return server.rate_limit_at_s  # others still report a limit that has ended
        return server.limit_ended_at_s

    def _is_reporter(self, server: Server) -> bool:
        reported = self._reported.get(server.entry.server_id)
        reporters = reported.reporters if reported else ()
        own_rank = self._rank(server, self._own_host_id)
        return sum(self._rank(server, other) < own_rank for other in reporters) < REPORTER_COUNT
