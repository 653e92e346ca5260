"""Read responses of the store, health endpoints and entry hosts, bounded in bytes and time."""

from collections.abc import Sequence
from typing import Any

import anyio
import attrs
import httpcore

from berylchute.answerlimits import AnswerLimits, AnswerMeter
from berylchute.serverstreams import current_meter

__all__ = ["RESPONSE_LIMITS", "Response", "read_response"]

# The store holds values up to 1 MB; a watch may return several of them.
RESPONSE_LIMITS = AnswerLimits(overhead_bytes_max=262_144, body_bytes_max=16_000_000)


@attrs.frozen
class Response:
    """A complete response."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    content: bytes


async def read_response(
    pool: httpcore.AsyncConnectionPool,
    method: str | bytes,
    url: httpcore.URL | str,
    *,
    timeout_s: float,
    connect_timeout_s: float | None = None,
    headers: Sequence[tuple[bytes, bytes]] | Sequence[tuple[str, str]] = (),
    content: bytes | None = None,
    limits: AnswerLimits = RESPONSE_LIMITS,
) -> Response:
    """Send a request and return its response within `timeout_s`.

    Raise httpcore.RemoteProtocolError above the limits, TimeoutError, or httpcore's errors. The
    pool's network backend must be a StreamBackend.
    """
    meter = AnswerMeter(limits)
    token = current_meter.set(meter)
    connect_s = min(connect_timeout_s or timeout_s, timeout_s)
    extensions: dict[str, Any] = {"timeout": {"connect": connect_s, "pool": connect_s}}
    body = bytearray()
    try:
        with anyio.fail_after(timeout_s):
            async with pool.stream(
                method, url, headers=list(headers), content=content, extensions=extensions
            ) as response:
                async for chunk in response.aiter_stream():
                    meter.body_bytes += len(chunk)
                    body += chunk
                return Response(response.status, response.headers, bytes(body))
    finally:
        current_meter.reset(token)
