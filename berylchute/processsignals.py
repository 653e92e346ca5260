"""Receive the signals of a process from the first statement of its program to its end.

Imports only what the interpreter has loaded at its start, so that it can be imported first.
"""

import signal
from collections.abc import Callable
from types import FrameType

__all__ = ["ProcessSignals"]

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """The signals received so far: stops, and requests to reload the settings.

    Handlers of the event loop would come too late, and end with it: the default action of these
    signals ends the process.
    """

    def __init__(self) -> None:
        """Install the handlers; must be called in the main thread."""
        self._notify: Callable[[], object] | None = None
        self._has_reload = False
        self.is_stop_requested = False
        self._replaced = {
            number: signal.signal(number, self._receive)
            for number in (*_STOP_SIGNALS, signal.SIGHUP)
        }

    def attach(self, notify: Callable[[], object]) -> None:
        """Call `notify` after each signal from now on; it must be safe in a signal handler."""
        self._notify = notify
        if self.is_stop_requested or self._has_reload:
            notify()

    def detach(self) -> None:
        """Stop calling the function of `attach`; further signals are only recorded."""
        self._notify = None

    def ignore(self) -> None:
        """Ignore signals from now on: the interpreter's end would restore the default actions."""
        for number in self._replaced:
            signal.signal(number, signal.SIG_IGN)

    def restore(self) -> None:
        """Install the handlers that were in place before."""
        for number, handler in self._replaced.items():
            signal.signal(number, handler)

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        has_reload, self._has_reload = self._has_reload, False
        return has_reload

    def _receive(self, number: int, frame: FrameType | None) -> None:
        if number in _STOP_SIGNALS:
            self.is_stop_requested = True
        else:
            self._has_reload = True
        if self._notify is not None:
            self._notify()
