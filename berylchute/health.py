"""Ask backend servers for their health and take what may lower their use."""

import logging
from collections.abc import Callable, Mapping

import anyio
import httpcore
import msgspec

from berylchute.balance import LoadReport
from berylchute.config import BackendServer
from berylchute.types import Clock

__all__ = ["HealthPoller", "believed_drains"]

# A server that starts to drain by itself must be found within 2 s.
PERIOD_S = 1.5
TIMEOUT_S = 1.0
CONCURRENT_MAX = 8

logger = logging.getLogger(__name__)


def believed_drains(reported: Mapping[str, bool], service_of: Mapping[str, str]) -> frozenset[str]:
    """Return the servers to treat as draining.

    Reports can mislead: where more than half of a service's servers claim to drain, none is
    believed, since the service would stop.
    """
    members: dict[str, int] = {}
    claims: dict[str, set[str]] = {}
    for server, is_draining in reported.items():
        service = service_of.get(server, "")
        members[service] = members.get(service, 0) + 1
        if is_draining:
            claims.setdefault(service, set()).add(server)
    return frozenset(
        server
        for service, servers in claims.items()
        if len(servers) * 2 <= members[service]
        for server in servers
    )


class HealthPoller:
    """Poll the servers that this host uses; reports go to the observer and the drain view."""

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
        self._reported: dict[str, bool] = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONCURRENT_MAX * 4, keepalive_expiry=PERIOD_S * 4
        )

    def configure(self, servers: Mapping[str, BackendServer]) -> None:
        """Replace the servers to ask, by name."""
        self._servers = dict(servers)
        self._reported = {name: self._reported.get(name, False) for name in servers}

    async def run(self) -> None:
        """Ask each server once a period, spread over the period."""
        limiter = anyio.CapacityLimiter(CONCURRENT_MAX)
        async with self._pool, anyio.create_task_group() as tasks:
            while True:
                servers = list(self._servers.values())
                for server in servers:
                    tasks.start_soon(self._ask, server, limiter)
                    await anyio.sleep(PERIOD_S / len(servers))
                if not servers:
                    await anyio.sleep(PERIOD_S)

    async def _ask(self, server: BackendServer, limiter: anyio.CapacityLimiter) -> None:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            async with limiter:
                response = await self._pool.request(
                    "GET", f"http://{server.address}/health", extensions={"timeout": timeouts}
                )
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (OSError, httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            # The attempts' own failures tell whether the server answers requests.
            return
        except msgspec.MsgspecError as error:
            logger.warning("health of %s not understood: %s", server.name, error)
            return
        if server.name not in self._servers:
            return
        self._record_report(server.name, report, self._clock.now_s())
        self._reported[server.name] = report.state == "draining"
        services = {name: entry.service for name, entry in self._servers.items()}
        self._set_draining(believed_drains(self._reported, services))
