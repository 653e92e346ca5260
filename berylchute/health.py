"""Poll the health endpoints of backend servers."""

import logging
import math
from collections.abc import Callable, Mapping

import anyio
import httpcore
import msgspec

from berylchute.answerlimits import AnswerLimits
from berylchute.balance import LoadReport
from berylchute.config import BackendServer
from berylchute.responses import read_response
from berylchute.serverstreams import StreamBackend
from berylchute.types import Clock

__all__ = ["REPORT_AGE_MAX_S", "SERVERS_JUDGED_MIN", "HealthPoller", "select_draining_servers"]

# A server that starts draining by itself must be detected within 2 s.
POLL_PERIOD_S = 1.5
POLL_TIMEOUT_S = 1.0
CONCURRENT_POLLS_MAX = 8
# Three polls; a server whose health endpoint is silent for longer may have stopped draining.
REPORT_AGE_MAX_S = 4.5
SERVERS_JUDGED_MIN = 3
# A report is one line of JSON.
HEALTH_LIMITS = AnswerLimits(body_bytes_max=65_536)

logger = logging.getLogger(__name__)


def select_draining_servers(
    reported: Mapping[str, bool], service_of: Mapping[str, str]
) -> frozenset[str]:
    """Return the servers to treat as draining.

    Reports may be wrong. If more than half of a service's servers report draining, all of these
    reports are ignored, because obeying them would stop the service. With fewer servers than
    SERVERS_JUDGED_MIN a majority says nothing, so their reports are accepted.
    """
    server_counts: dict[str, int] = {}
    draining: dict[str, set[str]] = {}
    for server, is_draining in reported.items():
        service = service_of.get(server, "")
        server_counts[service] = server_counts.get(service, 0) + 1
        if is_draining:
            draining.setdefault(service, set()).add(server)
    return frozenset(
        server
        for service, servers in draining.items()
        if len(servers) * 2 <= server_counts[service] or server_counts[service] < SERVERS_JUDGED_MIN
        for server in servers
    )


class HealthPoller:
    """Poll the servers that this host uses, and pass on load reports and draining servers."""

    def __init__(
        self,
        clock: Clock,
        record_report: Callable[[str, LoadReport, float], None],
        set_draining: Callable[[frozenset[str]], None],
    ) -> None:
        self._clock = clock
        self._record_report = record_report
        self._set_draining = set_draining
        self._servers: dict[str, BackendServer] = {}
        self._draining_reported_s: dict[str, float] = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONCURRENT_POLLS_MAX * 4,
            keepalive_expiry=POLL_PERIOD_S * 4,
            network_backend=StreamBackend(),
        )

    def configure(self, servers: Mapping[str, BackendServer]) -> None:
        """Replace the servers to poll, by name."""
        self._servers = dict(servers)
        self._draining_reported_s = {
            name: reported_s
            for name, reported_s in self._draining_reported_s.items()
            if name in servers
        }

    async def run(self) -> None:
        """Poll each server once per period, spread evenly over the period; run until cancelled."""
        limiter = anyio.CapacityLimiter(CONCURRENT_POLLS_MAX)
        async with self._pool, anyio.create_task_group() as tasks:
            while True:
                servers = list(self._servers.values())
                for server in servers:
                    tasks.start_soon(self._poll, server, limiter)
                    await anyio.sleep(POLL_PERIOD_S / len(servers))
                if not servers:
                    await anyio.sleep(POLL_PERIOD_S)

    async def _poll(self, server: BackendServer, limiter: anyio.CapacityLimiter) -> None:
        try:
            async with limiter:
                response = await read_response(
                    self._pool,
                    "GET",
                    f"http://{server.address}/health",
                    timeout_s=POLL_TIMEOUT_S,
                    limits=HEALTH_LIMITS,
                )
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (OSError, httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            # Not recorded as a failure: only failed attempts eject a server.
            self.update_draining()
            return
        except msgspec.MsgspecError as error:
            logger.warning("ignored a malformed health report of %s: %s", server.name, error)
            self.update_draining()
            return
        if server.name not in self._servers:
            return
        self._record_report(server.name, report, self._clock.now_s())
        self.record_state(server.name, report.state)

    def record_state(self, server: str, state: str) -> None:
        """Record the state that a server reported and pass on the draining servers."""
        if state == "draining":
            self._draining_reported_s[server] = self._clock.now_s()
        else:
            self._draining_reported_s.pop(server, None)
        self.update_draining()

    def update_draining(self) -> None:
        """Pass on the draining servers; reports older than REPORT_AGE_MAX_S don't count."""
        oldest_s = self._clock.now_s() - REPORT_AGE_MAX_S
        reported = {
            name: self._draining_reported_s.get(name, -math.inf) >= oldest_s
            for name in self._servers
        }
        services = {name: entry.service for name, entry in self._servers.items()}
        self._set_draining(select_draining_servers(reported, services))
