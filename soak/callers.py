"""Call the edge programs as clients do, and judge every answer."""

import asyncio
import time
from random import Random

import httpcore

from soak import wire
from soak.records import Records, Request
from soak.standins import answer_body

__all__ = ["Caller"]

TIME_LEFT_MS = 2000
TIMEOUT_S = 3.0
POST_SHARE = 0.4


class Caller:
    """One client with kept connections; it asks the directory before new ones."""

    def __init__(self, name: str, directories: list[str], records: Records, rng: Random) -> None:
        self._name = name
        self._directories = directories
        self._records = records
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=4, keepalive_expiry=10.0)
        self._edges: dict[str, str] = {}
        self._count = 0

    def name_edges(self, edges: dict[str, str]) -> None:
        """Set the names of edges by their callers' address."""
        self._edges = edges

    async def run(self, until_s: float) -> None:
        """Send requests until a time of the monotonic clock."""
        addresses: list[str] = []
        asked_s = 0.0
        while time.monotonic() < until_s:
            if not addresses or time.monotonic() - asked_s > 1.0:
                addresses = await self._resolve() or addresses
                asked_s = time.monotonic()
            if addresses:
                address = self._rng.choice(addresses)
                if not await self._request(address):
                    addresses = [other for other in addresses if other != address]
            await asyncio.sleep(self._rng.uniform(0.01, 0.06))
        await self._pool.aclose()

    async def _resolve(self) -> list[str]:
        for directory in self._rng.sample(self._directories, len(self._directories)):
            try:
                answer = await self._call("GET", wire.directory_url(directory), {}, b"")
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                continue
            if answer.status == 200:
                return wire.parse_addresses(answer.content)
        return []

    async def _request(self, address: str) -> bool:
        """Send one request; tell whether the address is of further use."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        is_post = self._rng.random() < POST_SHARE
        body = self._rng.randbytes(self._rng.choice((10, 300, 60_000))) if is_post else b""
        headers = wire.caller_headers(request_id, TIME_LEFT_MS, self._rng.randrange(20))
        record = Request(
            request_id, self._edges.get(address, address), not is_post, time.monotonic()
        )
        self._records.requests.append(record)
        path = "post" if is_post else "read"
        url = f"http://{address}/{path}/{self._count}"
        try:
            answer = await self._call("POST" if is_post else "GET", url, headers, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            record.was_read = False
            record.problem = repr(error)
            return False
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            record.problem = repr(error)
            return False
        finally:
            record.ended_s = time.monotonic()
        record.status = answer.status
        record.problem = _judge(answer, request_id, body)
        return True

    async def _call(
        self, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> httpcore.Response:
        limits = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        fields: list[tuple[bytes | str, bytes | str]] = list(headers.items())
        if body:
            fields.append(("Content-Length", str(len(body))))
        return await self._pool.request(
            method, url, headers=fields, content=body, extensions={"timeout": limits}
        )


def _judge(answer: httpcore.Response, request_id: str, body: bytes) -> str:
    """Return what is wrong with an answer, or an empty text."""
    has_stamp = wire.server_stamp(answer.headers) is not None
    if answer.status == 200:
        answered_id = wire.find_header(answer.headers, wire.PLAIN.request_id)
        if answered_id != request_id.encode():
            return f"mixed: answer carries {answered_id!r}"
        if not has_stamp:
            return "mixed: success without a server's stamp"
        if answer.content != answer_body(request_id, body):
            return f"mixed: body {answer.content[:40]!r}"
    elif has_stamp:
        return f"mixed: {answer.status} with the stamp of a server that gave 200"
    return ""
