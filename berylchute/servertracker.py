"""Record what answers and failures say about backend servers."""

from http import HTTPStatus

from berylchute.attempts import Outcome
from berylchute.backends import Backends
from berylchute.eventlog import EventLog
from berylchute.exceptions import ExchangeError, NoConnectionLeft
from berylchute.headernames import HeaderNames
from berylchute.servers import ReportedLoad, Server, parse_pause_s, parse_rate_limit
from berylchute.types import Clock
from berylchute.upstream import ServerAnswer

__all__ = ["ServerTracker"]

RETRY_AFTER = b"retry-after"


class ServerTracker:
    """Update the state of servers after each attempt and log its changes."""

    def __init__(
        self, backends: Backends, header_names: HeaderNames, clock: Clock, log: EventLog
    ) -> None:
        self._backends = backends
        self._header_names = header_names
        self._clock = clock
        self._log = log

    def record_answer(self, server: Server, answer: ServerAnswer, seconds: float) -> None:
        """Record an answer that arrived `seconds` after its request was sent."""
        now_s = self._clock.now_s()
        reported = ReportedLoad.parse(answer.find_header(self._header_names.server_load))
        if reported is not None:
            server.record_load(reported, now_s)
            if answer.status < 300:
                server.record_work_time(seconds, now_s)
                server.work_time.record(seconds, reported)
        if answer.status != HTTPStatus.MISDIRECTED_REQUEST:
            self._record_rate_limit(server, answer, now_s - seconds)
            self._record_leaving(server, answer)
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._record_pause(server, answer)
        if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
            # The server was too slow for the deadline: no sign that it serves requests again.
            self.record_timeout(server, now_s - seconds)
        else:
            self._record_success(server, answer, now_s)
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            server.is_replaced = True
            self._log.event("server_replaced", server=server.entry.server_id)

    def record_failure(self, server: Server, error: ExchangeError) -> None:
        """Record that an attempt was not sent or got no usable answer."""
        if isinstance(error, NoConnectionLeft):
            return
        now_s = self._clock.now_s()
        if not server.failures:
            self._backends.record_disruption(server.entry.service, now_s)
        server.record_failure(now_s)
        self._log_failure(server, error.code, str(error))

    def record_timeout(self, server: Server, sent_s: float) -> None:
        """Record that a request reached its deadline at a server."""
        failures = server.failures
        server.record_timeout(sent_s, self._clock.now_s())
        if server.failures > failures:
            self._log_failure(server, Outcome.TIMED_OUT, "no answer to any request meanwhile")

    def _record_success(self, server: Server, answer: ServerAnswer, now_s: float) -> None:
        if server.may_have_restarted(answer.opened_s):
            self._backends.record_recovery(server, now_s)
        if server.failures:
            self._log.event("server_back", server=server.entry.server_id)
        server.record_success(now_s)

    def _record_leaving(self, server: Server, answer: ServerAnswer) -> None:
        if answer.find_header(self._header_names.server_leaving) == b"1" and not server.is_leaving:
            self._backends.record_leaving(server, self._clock.now_s())
            self._log.event("server_leaving", server=server.entry.server_id)

    def _record_pause(self, server: Server, answer: ServerAnswer) -> None:
        stated = answer.find_header(RETRY_AFTER)
        if stated is None:
            return
        pause_s = parse_pause_s(stated)
        now_s = self._clock.now_s()
        self._log.event(
            "server_pause",
            server=server.entry.server_id,
            stated=stated.decode("latin-1"),
            pause_s=pause_s,
        )
        if pause_s is None:
            return
        if server.paused_until_s < now_s:
            self._backends.record_disruption(server.entry.service, now_s)
        # An answer that comes later may have been written before.
        server.paused_until_s = max(server.paused_until_s, now_s + pause_s)

    def _record_rate_limit(self, server: Server, answer: ServerAnswer, sent_s: float) -> None:
        stated = answer.find_header(self._header_names.server_limit)
        limit_per_s = parse_rate_limit(stated)
        if limit_per_s is None and stated is not None:
            return  # unreadable: neither a limit nor the end of one
        is_limited = server.rate_limit_per_s is not None
        if limit_per_s is None and is_limited and sent_s < server.rate_limit_at_s:
            return  # the server may have written this answer before the limit began
        server.rate_limit_at_s = self._clock.now_s()
        if limit_per_s == server.rate_limit_per_s:
            return
        if limit_per_s is None:
            server.limit_ended_at_s = server.rate_limit_at_s
        server.rate_limit_per_s = limit_per_s
        self._backends.record_disruption(server.entry.service, self._clock.now_s())
        self._log.event(
            "server_limit",
            server=server.entry.server_id,
            limit_per_s=limit_per_s,
            sends=server.sends,
        )

    def _log_failure(self, server: Server, code: str, reason: str) -> None:
        self._log.event(
            "server_failed",
            server=server.entry.server_id,
            address=server.entry.address,
            code=code,
            reason=reason,
            failures=server.failures,
        )
