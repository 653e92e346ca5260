"""Compose and run the locator program."""

import logging
import signal
from random import Random

import anyio

from berylchute.endpoints import Endpoints
from berylchute.exceptions import ConfigError
from berylchute.httpserver import Server, make_server
from berylchute.identity import OperatorDirectory
from berylchute.locator import Locator, LocatorApp
from berylchute.metrics import Metrics
from berylchute.node import ConfigurationInForce, MonotonicClock, Node
from berylchute.program import run_command_line
from berylchute.settings import Settings
from berylchute.store import HttpObjectStore
from berylchute.types import StoredObject

__all__ = ["LocatorProgram", "main"]

MEMBERS_POLL_S = 0.25

logger = logging.getLogger(__name__)


class LocatorProgram:
    """Wire the parts of the locator program and run its tasks."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        clock = MonotonicClock()
        store = HttpObjectStore(settings.store, clock, Random())
        self._node = Node(settings, "locator", store=store, clock=clock)
        self._locator = Locator()
        self._configured_version = 0
        self._leaving = False
        metrics = Metrics()
        metrics.read_node = self._node.counts
        self._app = Endpoints(
            metrics,
            OperatorDirectory(settings.operators.token_sha256),
            self._is_ready,
            lambda key, version, value: self._node.receive_object(
                StoredObject(key, version, value)
            ),
            LocatorApp(self._locator),
            {"members": lambda _: self._node.members.statuses()},
        )

    def _is_ready(self) -> bool:
        return self._configured_version > 0 and self._node.is_ready and not self._leaving

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        server = make_server(self._app, self._settings)
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._node.run)
            tasks.start_soon(self._follow)
            tasks.start_soon(self._stop_on_signal, server)
            await server.serve()
            tasks.cancel_scope.cancel()

    async def _follow(self) -> None:
        """Keep the table and the ranking current."""
        while True:
            in_force = self._node.in_force
            if in_force is not None and in_force.version > self._configured_version:
                self._configure(in_force)
            self._locator.update(self._node.members.statuses())
            if self._is_ready() != self._node.record.ready:
                self._node.set_ready(self._is_ready())
            await anyio.sleep(MEMBERS_POLL_S)

    def _configure(self, in_force: ConfigurationInForce) -> None:
        try:
            self._locator.configure(in_force.configuration, in_force.version)
        except ConfigError as error:
            # The last good table stays; a document that slipped past validation must not end
            # every locator at once.
            logger.error("config version %d cannot be used: %s", in_force.version, error)
        else:
            self._configured_version = in_force.version

    async def _stop_on_signal(self, server: Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("leaving")
        self._leaving = True
        self._node.announce_leaving()
        # Uvicorn finishes the requests in flight before it ends.
        server.should_exit = True


def main() -> None:
    """Run the command line."""
    run_command_line("berylchute-locator", "Tell callers which entry hosts to use.", LocatorProgram)


if __name__ == "__main__":
    main()
