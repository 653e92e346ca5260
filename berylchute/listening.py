"""Listen on an address, also if another process holds it for a while."""

import errno
import logging
import os
from collections.abc import Awaitable, Callable

import anyio

from berylchute.exceptions import ListenError

__all__ = ["listen"]

# Longer than a process may take to stop, so that the one started in its place comes up.
RETRY_MAX_S = 10.0
RETRY_PERIOD_S = 0.1
_PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

logger = logging.getLogger(__name__)


async def listen(address: str, bind: Callable[[], Awaitable[None]]) -> None:
    """Call `bind` until it succeeds; raise ListenError if the address can't be used in time."""
    started_s = anyio.current_time()
    is_retry = False
    while True:
        try:
            await bind()
        except OSError as error:
            message = (
                f"cannot listen on {address}: {os.strerror(error.errno) if error.errno else error}"
            )
            is_late = anyio.current_time() - started_s >= RETRY_MAX_S
            if is_late or error.errno not in _PASSING_ERRORS:
                raise ListenError(message) from error
            if not is_retry:
                logger.warning("%s, trying again for %g s", message, RETRY_MAX_S)
            is_retry = True
            await anyio.sleep(RETRY_PERIOD_S)
        else:
            if is_retry:
                logger.warning("listening on %s after all", address)
            return
