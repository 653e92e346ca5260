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
# A reported end takes effect after this time: the server may state a limit again before all members
# have received the report. Must be below END_REPORTED_S.
END_CONFIRM_S = 1.0
# Reported in place of a limit that has ended.
NO_LIMIT = math.inf


@attrs.frozen
class _Report:
    """A limit or NO_LIMIT as one member reports it, since `first_at_s`."""

    limit_per_s: float
    first_at_s: float

    def is_continued_by(self, limit_per_s: float, now_s: float) -> bool:
        """Return whether the member still reports the same, and not the end of a later limit."""
        if limit_per_s == NO_LIMIT and now_s - self.first_at_s > END_REPORTED_S:
            return False  # the member has seen newer answers without a limit
        return limit_per_s == self.limit_per_s


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
        self._reports: Mapping[str, Mapping[str, _Report]] = {}
        self._reported: dict[str, _ReportedLimit] = {}
        self._end_reported_at_s: dict[str, float] = {}

    def update_members(self, members: Iterable[MemberStatus], servers: Iterable[Server]) -> None:
        """Take over what the other members report about `servers`."""
        now_s = self._clock.now_s()
        self._reports = self._read_reports(members, now_s)
        for server_id, reported in list(self._reported.items()):
            reported.reporters = ()
            if now_s - reported.reported_at_s > REPORT_GAP_S:
                del self._reported[server_id]
        self._end_reported_at_s.clear()
        ended_ids = {
            server_id
            for server_id, by_host in self._reports.items()
            if self._update_reported(server_id, by_host, now_s)
        }
        for server in servers:
            if server.entry.server_id in ended_ids and not self._is_newer_than_end(server):
                server.rate_limit_per_s = None

    def _read_reports(
        self, members: Iterable[MemberStatus], now_s: float
    ) -> Mapping[str, Mapping[str, _Report]]:
        """Return what each of the other members reports, by server id and host id."""
        reports: dict[str, dict[str, _Report]] = {}
        for status in members:
            host_id = status.record.host_id
            if host_id == self._own_host_id or status.state is MemberState.GONE:
                continue
            for server_id, limit_per_s in status.record.server_limits.items():
                report = self._reports.get(server_id, {}).get(host_id)
                if report is None or not report.is_continued_by(limit_per_s, now_s):
                    report = _Report(limit_per_s, now_s)
                reports.setdefault(server_id, {})[host_id] = report
        return reports

    def _update_reported(
        self, server_id: str, by_host: Mapping[str, _Report], now_s: float
    ) -> bool:
        """Find the limit of a server that others report; return whether it has ended.

        It has if an end is reported for END_CONFIRM_S and no limit is newly reported meanwhile.
        """
        limits = {h: report for h, report in by_host.items() if report.limit_per_s != NO_LIMIT}
        reporters = limits
        if len(limits) < len(by_host):
            ends_s = (r.first_at_s for r in by_host.values() if r.limit_per_s == NO_LIMIT)
            end_at_s = self._end_reported_at_s[server_id] = min(ends_s)
            reporters = {h: report for h, report in limits.items() if report.first_at_s > end_at_s}
            if not reporters and now_s - end_at_s >= END_CONFIRM_S:
                self._reported.pop(server_id, None)
                return True
        if limits:
            known = self._reported.get(server_id)
            self._reported[server_id] = _ReportedLimit(
                min(report.limit_per_s for report in limits.values()),
                known.first_at_s if known else now_s,
                now_s,
                list(reporters),
            )
        return False

    def _is_newer_than_end(self, server: Server) -> bool:
        """Return whether the last answer of a server arrived after the first report of an end."""
        end_at_s = self._end_reported_at_s.get(server.entry.server_id, -math.inf)
        return server.rate_limit_at_s > end_at_s

    def limits_to_report(self, servers: Iterable[Server]) -> Mapping[str, float]:
        """Return the limits of `servers` to report, by server id; NO_LIMIT for those that ended."""
        now_s = self._clock.now_s()
        limits = {}
        for server in servers:
            if server.rate_limit_per_s is not None:
                if self._is_newer_than_end(server) and self._is_reporter(server):
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
