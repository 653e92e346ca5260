"""Compose and run the entry program."""

import contextlib
import logging
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import cyclopts
import uvicorn

from berylchute import __version__, logs
from berylchute.config import decode_json
from berylchute.endpoints import Endpoints
from berylchute.exceptions import ConfigError, SettingsError
from berylchute.exchange import HttpExchanger
from berylchute.forwarding import Forwarder, RotatingPlacer
from berylchute.gateway import Gateway, GatewayState
from berylchute.identity import OperatorDirectory
from berylchute.metrics import Metrics
from berylchute.settings import Settings, load
from berylchute.tracing import RecentRequests, Tracer

__all__ = ["Entry", "MonotonicClock", "main"]

# Callers that hold an older locator answer still arrive; they are refused rather than cut off.
LINGER_S = 1.0
DRAIN_POLL_S = 0.02
LOG_FLUSH_S = 0.2

logger = logging.getLogger(__name__)


class MonotonicClock:
    """Tell the time of the event loop, which is the system's monotonic clock."""

    now_s = staticmethod(time.monotonic)


class _Server(uvicorn.Server):
    """Leave signals to the composition root, which drains before it stops the server."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers."""
        yield


class Entry:
    """Wire the parts of the entry program."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self.incarnation = time.time_ns() // 1_000_000
        self.state = GatewayState()
        self._versions: dict[str, int] = {}
        self._placer = RotatingPlacer(self._clock)
        self._exchanger = HttpExchanger(self._clock)
        metrics = Metrics()
        metrics.in_flight.set_function(lambda: self.state.in_flight)
        self._request_log = logs.RequestLog(settings.host.position)
        recent = RecentRequests()
        sinks = (recent, metrics, self._request_log) if settings.log.requests else (recent, metrics)
        endpoints = Endpoints(
            metrics,
            OperatorDirectory(settings.operators.token_sha256),
            self._is_ready,
            self.apply_object,
            {},
        )
        self.gateway = Gateway(
            self._clock,
            self.state,
            Forwarder(self._clock, self._placer, self._exchanger, metrics),
            Tracer(sinks),
            metrics,
            settings.limits,
            settings.host.position,
            f"{settings.host.position or settings.host.host_id}-{self.incarnation:x}-",
            endpoints,
        )

    def _is_ready(self) -> bool:
        return self.state.kinds is not None and not self.state.leaving

    def apply_object(self, key: str, version: int, value: bytes) -> bool:
        """Take an object with a higher version; tell whether it was taken."""
        if version <= self._versions.get(key, 0):
            return False
        if key == "config":
            try:
                configuration = decode_json(value)
            except ConfigError as error:
                logger.error("configuration ignored: %s", error, extra={"version": version})
                return False
            self._placer.configure(configuration)
            self.state.configure(configuration)
        self._versions[key] = version
        return True

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
        server = _Server(self._server_config())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._flush_logs)
            tasks.start_soon(self._stop_on_signal, server)
            await server.serve()
            tasks.cancel_scope.cancel()
        await self._exchanger.aclose()
        self._request_log.flush()

    def _server_config(self) -> uvicorn.Config:
        host, _, port = self._settings.listen.http.rpartition(":")
        tls = self._settings.tls
        return uvicorn.Config(
            self.gateway,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            ssl_certfile=tls.certificate_file or None,
            ssl_keyfile=tls.key_file or None,
            # Callers keep connections between requests; a close may cut off a request on its way.
            timeout_keep_alive=75,
            timeout_graceful_shutdown=max(1, self._settings.limits.shutdown_timeout_ms // 1000),
        )

    async def _flush_logs(self) -> None:
        while True:
            await anyio.sleep(LOG_FLUSH_S)
            self._request_log.flush()

    async def _stop_on_signal(self, server: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("leaving", extra={"in_flight": self.state.in_flight})
        self.state.leaving = True
        await anyio.sleep(LINGER_S)
        timeout_s = self._settings.limits.shutdown_timeout_ms / 1000.0
        with anyio.move_on_after(timeout_s):
            while self.state.in_flight:
                await anyio.sleep(DRAIN_POLL_S)
        server.should_exit = True


app = cyclopts.App(name="berylchute-entry", version=__version__, help=__doc__)


@app.default
def run(*, settings: Path, check: bool = False) -> None:
    """Run the entry program.

    Parameters
    ----------
    settings
        TOML settings file of this process.
    check
        Check the settings and exit.
    """
    try:
        loaded = load(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from error
    if check:
        print(f"{settings}: ok")
        return
    logs.configure(loaded.log)
    anyio.run(Entry(loaded).serve)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
