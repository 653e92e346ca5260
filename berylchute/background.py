"""Run background tasks and timers that outlive the request that started them."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

logger = logging.getLogger(__name__)

__all__ = ["BackgroundTasks", "Timer", "run_lasting"]

# Bounds the rate of log lines and of calls of a task that fails each time.
RESTART_DELAY_S = 0.5


class Timer(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; no effect if it has already run."""
        ...


class BackgroundTasks:
    """An async context manager for tasks and timers that run while the program serves."""

    def __init__(self) -> None:
        self._tasks: TaskGroup | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    async def __aenter__(self) -> "BackgroundTasks":
        """Open the task group; tasks and timers can be started from here on."""
        self._tasks = anyio.create_task_group()
        self._loop = asyncio.get_running_loop()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Cancel the running tasks and close the task group."""
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, traceback)

    def start(self, function: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> None:
        """Start a task; an exception in it cancels all tasks and ends the program."""
        assert self._tasks is not None
        self._tasks.start_soon(function, *arguments)

    def start_lasting(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any
    ) -> None:
        """Start a task that is started again, after a pause, if an exception ends it."""
        self.start(run_lasting, function, *arguments)

    def start_isolated(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any
    ) -> None:
        """Start a task for one request; an exception in it is logged and ends only this task."""
        self.start(_log_failure, function, *arguments)

    def call_later(self, delay_s: float, function: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule a function call in `delay_s` seconds.

        The event loop's timer is used because a task per request costs more than the whole routing
        decision, and nearly all of these timers are cancelled.
        """
        assert self._loop is not None
        return self._loop.call_later(delay_s, function, *arguments)


async def run_lasting(function: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> None:
    """Run a function, and again after each exception, until it returns or is cancelled."""
    while True:
        try:
            await function(*arguments)
        except Exception:
            name = getattr(function, "__qualname__", repr(function))
            logger.exception("task %s failed, starting it again in %g s", name, RESTART_DELAY_S)
            await anyio.sleep(RESTART_DELAY_S)
        else:
            return


async def _log_failure(function: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> None:
    try:
        await function(*arguments)
    except Exception:
        logger.exception("background task failed; only this task ends")
