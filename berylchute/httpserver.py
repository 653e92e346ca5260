"""Configure uvicorn for the programs, which handle signals themselves."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

from berylchute.settings import Settings

__all__ = ["Server", "make_server"]

# Callers keep connections between requests; a close may cut off a request on its way.
KEEP_ALIVE_TIMEOUT_S = 75


class Server(uvicorn.Server):
    """Leave signals to the composition root, which drains before it stops the server."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers."""
        yield


def make_server(app: Any, settings: Settings) -> Server:
    """Return a server of an ASGI application on the process's HTTP address."""
    host, _, port = settings.listen.http.rpartition(":")
    tls = settings.tls
    return Server(
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
