"""Simulated clients that send requests to the edges and check each response."""

import asyncio
import time
from random import Random

import httpcore

from soak import wire
from soak.keys import KeyRing
from soak.records import Records, Request
from soak.standins import expected_body

__all__ = ["Caller"]

REQUEST_DEADLINE_MS = 2000
TIMEOUT_S = 3.0
POST_RATIO = 0.4


class Caller:
    """One client with keep-alive connections.

    It resolves the edges' addresses every second, and at once when none is left to try.
    """

    def __init__(
        self,
        name: str,
        directory_addresses: list[str],
        records: Records,
        rng: Random,
        keys: KeyRing,
    ) -> None:
        self._name = name
        self._directory_addresses = directory_addresses
        self._records = records
        self._rng = rng
        self._keys = keys
        self._keys_rng = Random(name)  # keeps the other choices of a seed as they were
        self._pool = httpcore.AsyncConnectionPool(max_connections=4, keepalive_expiry=10.0)
        self._edge_names: dict[str, str] = {}
        self._request_count = 0

    def set_edge_names(self, edge_names: dict[str, str]) -> None:
        """Set the edges' names, keyed by the `ip:port` on which they accept callers."""
        self._edge_names = edge_names

    async def run(self, until_s: float) -> None:
        """Send requests one after another until `until_s` of the monotonic clock.

        Network errors, timeouts and wrong responses are recorded, not raised.
        """
        addresses: list[str] = []
        resolved_s = 0.0
        while time.monotonic() < until_s:
            if not addresses or time.monotonic() - resolved_s > 1.0:
                addresses = await self._resolve() or addresses
                resolved_s = time.monotonic()
            if addresses:
                address = self._rng.choice(addresses)
                if not await self._send_request(address):
                    addresses = [other for other in addresses if other != address]
            await asyncio.sleep(self._rng.uniform(0.01, 0.06))
        await self._pool.aclose()

    async def _resolve(self) -> list[str]:
        for address in self._rng.sample(self._directory_addresses, len(self._directory_addresses)):
            try:
                response = await self._send_http("GET", wire.directory_url(address), {}, b"")
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                continue
            if response.status == 200:
                return wire.parse_addresses(response.content)
        return []

    async def _send_request(self, address: str) -> bool:
        """Send and record one request; return False if the address should not be used again."""
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        is_post = self._rng.random() < POST_RATIO
        body = self._rng.randbytes(self._rng.choice((10, 300, 60_000))) if is_post else b""
        key = self._keys.choose(self._keys_rng)
        headers = wire.caller_headers(request_id, REQUEST_DEADLINE_MS, self._rng.randrange(20), key)
        record = Request(
            request_id, self._edge_names.get(address, address), not is_post, time.monotonic()
        )
        record.api_key = key
        self._records.requests.append(record)
        path = "post" if is_post else "read"
        url = f"http://{address}/{path}/{self._request_count}"
        try:
            response = await self._send_http("POST" if is_post else "GET", url, headers, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            record.was_read = False
            record.problem = repr(error)
            return False
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            record.problem = repr(error)
            return False
        finally:
            record.ended_s = time.monotonic()
        record.status = response.status
        record.problem = _find_mismatch(response, request_id, body)
        return True

    async def _send_http(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> httpcore.Response:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        all_headers: list[tuple[bytes | str, bytes | str]] = list(headers.items())
        if body:
            all_headers.append(("Content-Length", str(len(body))))
        return await self._pool.request(
            method, url, headers=all_headers, content=body, extensions={"timeout": timeouts}
        )


def _find_mismatch(response: httpcore.Response, request_id: str, body: bytes) -> str:
    """Return how a response differs from the expected one, or an empty string."""
    has_stamp = wire.server_stamp(response.headers) is not None
    if response.status == 200:
        response_id = wire.find_header(response.headers, wire.UNFILTERED_HEADER_NAMES.request_id)
        if response_id != request_id.encode():
            return f"mixed: response has request id {response_id!r}"
        if not has_stamp:
            return "mixed: status 200 without a server stamp"
        if response.content != expected_body(request_id, body):
            return f"mixed: unexpected body {response.content[:40]!r}"
    elif has_stamp:
        return f"mixed: status {response.status} with the stamp of a server's 200 response"
    return ""
