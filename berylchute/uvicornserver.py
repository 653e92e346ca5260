"""Create uvicorn servers that leave the handling of signals to the programs."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

from berylchute.settings import Settings

__all__ = ["UvicornServer", "make_server"]

# Callers reuse idle connections; closing one may lose a request that was just sent.
KEEP_ALIVE_TIMEOUT_S = 75


class UvicornServer(uvicorn.Server):
    """A uvicorn server without signal handlers; the program drains before it stops the server."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_server(app: Any, settings: Settings) -> UvicornServer:
    """Return a server that serves an ASGI application on the HTTP address of the settings."""
    host, _, port = settings.listen.http.rpartition(":")
    tls = settings.tls
    return UvicornServer(
        uvicorn.Config(
            app,
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
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=max(1, settings.limits.shutdown_timeout_ms // 1000),
        )
    )
