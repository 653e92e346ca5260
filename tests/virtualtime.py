"""An event loop whose clock jumps to the next timer, for simulations of many seconds."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

__all__ = ["LoopClock", "run_in_virtual_time"]


class _InstantSelector(selectors.SelectSelector):
    """A selector that advances the time of its loop instead of waiting."""

    loop: "_VirtualTimeLoop | None" = None

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout and self.loop is not None:
            self.loop.virtual_s += timeout
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_s = 1000.0
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self.virtual_s


class LoopClock:
    """The clock of the running event loop."""

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a simulation without real waits; it must use no sockets."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        runner.run(main)
