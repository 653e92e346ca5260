"""A fake transport and a manual clock for tests of the HTTP server and client."""

import asyncio
import errno
from typing import Any


class ManualClock:
    """A clock whose time tests set."""

    def __init__(self, now_s: float = 100.0) -> None:
        self.now = now_s

    def now_s(self) -> float:
        return self.now


class _Socket:
    def fileno(self) -> int:
        return 0

    def setsockopt(self, *options: object) -> None:
        """Ignore the options."""


class FakeTransport(asyncio.Transport):
    """Record written bytes; `unsent` is the size of the write buffer in bytes.

    It is closed once its peer would see the end of the stream, and gone once it reads nothing more.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unsent = 0
        self.is_closed = self.is_gone = False
        self.is_aborted = self.is_reset = False
        self.is_paused = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket()

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = self.is_gone = True

    def write_eof(self) -> None:
        if self.is_reset:
            raise OSError(errno.ENOTCONN, "not connected")
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = self.is_gone = self.is_aborted = True

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False
