"""Build a caller's request from its parsed parts."""

import math

from berylchute.callermessages import CONNECTION_HEADERS, CallerRequest, Header
from berylchute.headernames import HeaderNames

__all__ = ["build_request"]


def build_request(
    header_names: HeaderNames,
    method: bytes,
    target: bytes,
    headers: list[Header],
    body: bytes | bytearray,
    received_s: float,
) -> CallerRequest:
    """Return a request without the headers that are not forwarded."""
    request = CallerRequest(
        method=method,
        target=target,
        path=target.partition(b"?")[0].decode("latin-1"),
        host="",
        headers=[],
        body=body,
        received_s=received_s,
    )
    for name, value in headers:
        key = name.lower()
        if key == b"host":
            request.host = value.decode("latin-1").partition(":")[0].lower()
        elif key == header_names.request_id:
            request.request_id = value.decode("latin-1")
        elif key == header_names.deadline_ms:
            request.time_left_ms = _parse_ms(value)
            continue  # sent to the backend server with the time that remains
        elif key == header_names.expected_server:
            continue
        elif key == b"cookie":
            request.affinity_key = _find_cookie(value, header_names.affinity_cookie)
        if key not in CONNECTION_HEADERS:
            request.headers.append((name, value))
    return request


def _parse_ms(value: bytes) -> float | None:
    try:
        time_ms = float(value)
    except ValueError:
        return None
    return max(0.0, time_ms) if math.isfinite(time_ms) else None


def _find_cookie(value: bytes, name: bytes) -> str:
    for part in value.split(b";"):
        key, _, content = part.strip().partition(b"=")
        if key.lower() == name:
            return content.decode("latin-1")
    return ""
