"""Build and run the locator program."""

import logging
import signal
from random import Random

import anyio

from berylchute.endpoints import Endpoints
from berylchute.exceptions import ConfigError
from berylchute.identity import OperatorDirectory
from berylchute.locator import Locator, LocatorApp
from berylchute.metrics import Metrics
from berylchute.node import ActiveConfiguration, MonotonicClock, Node
from berylchute.program import run_command_line
from berylchute.settings import Settings
from berylchute.store import HttpObjectStore
from berylchute.types import StoredObject
from berylchute.uvicornserver import UvicornServer, make_server

__all__ = ["LocatorProgram", "main"]

MEMBERS_POLL_INTERVAL_S = 0.25

logger = logging.getLogger(__name__)


class LocatorProgram:
    """The locator program: its parts and its tasks."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        clock = MonotonicClock()
        store = HttpObjectStore(settings.store, clock, Random())
        self._node = Node(settings, "locator", store=store, clock=clock)
        self._locator = Locator()
        self._configured_version = 0
        self._is_leaving = False
        metrics = Metrics()
        metrics.get_node_counts = self._node.counts
        self._endpoints = Endpoints(
            metrics,
            OperatorDirectory(settings.operators.token_sha256),
            self._is_ready,
            lambda key, version, value: self._node.apply_object(StoredObject(key, version, value)),
            LocatorApp(self._locator),
            {"members": lambda _: self._node.members.list_members()},
        )

    def _is_ready(self) -> bool:
        return self._configured_version > 0 and self._node.is_ready and not self._is_leaving

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
        server = make_server(self._endpoints, self._settings)
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._node.run)
            tasks.start_soon(self._poll_node)
            tasks.start_soon(self._stop_on_signal, server)
            await server.serve()
            tasks.cancel_scope.cancel()

    async def _poll_node(self) -> None:
        """Apply new configurations and membership changes to the locator periodically."""
        while True:
            active = self._node.active_configuration
            if active is not None and active.version > self._configured_version:
                self._configure(active)
            self._locator.update(self._node.members.list_members())
            if self._is_ready() != self._node.record.ready:
                self._node.set_ready(self._is_ready())
            await anyio.sleep(MEMBERS_POLL_INTERVAL_S)

    def _configure(self, active: ActiveConfiguration) -> None:
        try:
            self._locator.configure(active.configuration, active.version)
        except ConfigError as error:
            # Keep the previous configuration: a bad document that passed validation must not stop
            # all locators at once.
            logger.error(
                "config version %d is invalid, keeping the previous one: %s",
                active.version,
                error,
            )
        else:
            self._configured_version = active.version

    async def _stop_on_signal(self, server: UvicornServer) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("leaving")
        self._is_leaving = True
        self._node.announce_leaving()
        # Uvicorn finishes the requests in flight before it stops.
        server.should_exit = True


def main() -> None:
    """Run `berylchute-locator` with the arguments of the process."""
    run_command_line("berylchute-locator", "Serve callers the entry hosts to use.", LocatorProgram)


if __name__ == "__main__":
    main()
