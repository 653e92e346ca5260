"""Call the operator API of entry hosts over HTTP."""

import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import httpcore
import msgspec

from berylchute.exceptions import CommandError
from berylchute.responses import read_response
from berylchute.serverstreams import StreamBackend
from berylchute.types import StoredObject

__all__ = ["HostAnswer", "HostClient", "HostUnreachable"]

PUSH_HOSTS_MAX = 2


class HostUnreachable(CommandError):
    """An entry host could not be reached, or its answer is not JSON."""

    code = "host_unreachable"


@attrs.frozen
class HostAnswer:
    """The decoded JSON answer of one entry host; `body` is None if it is empty."""

    url: str
    status: int
    body: Any


class HostClient:
    """Send requests to entry hosts in the given order of their URLs."""

    def __init__(
        self, urls: Sequence[str], token: str, timeout_s: float, ca_file: str = ""
    ) -> None:
        """Use base URLs such as `http://127.0.0.1:8080` and the operator's bearer token.

        `timeout_s` applies to each whole request. `ca_file` is a PEM
        file of additional certificate authorities.
        """
        context = ssl.create_default_context()
        if ca_file:
            context.load_verify_locations(cadata=Path(ca_file).read_text(encoding="ascii"))
        self._urls = tuple(urls)
        self._headers = [("Authorization", f"Bearer {token}")]
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=context, network_backend=StreamBackend()
        )

    @property
    def urls(self) -> tuple[str, ...]:
        """Return the base URLs, in the order in which the hosts are called."""
        return self._urls

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, url: str, path: str) -> HostAnswer:
        """Return the answer of the host at `url`; raise HostUnreachable."""
        return await self._request("GET", url, path, [], b"")

    async def get_any(self, path: str) -> HostAnswer:
        """Return the answer of the first reachable host; raise HostUnreachable if there is none."""
        errors = []
        for url in self._urls:
            try:
                return await self.get(url, path)
            except HostUnreachable as error:
                errors.append(str(error))
        raise HostUnreachable("; ".join(errors) or "no entry host is configured")

    async def get_all(self, path: str) -> list[HostAnswer]:
        """Return the answers of all reachable hosts; unreachable ones are left out."""
        answers = []
        for url in self._urls:
            try:
                answers.append(await self.get(url, path))
            except HostUnreachable:
                continue
        return answers

    async def push(self, stored: StoredObject) -> int:
        """Send an object to entry hosts until two have accepted it; return the number that did."""
        accepted = 0
        headers = [("Berylchute-Version", str(stored.version))]
        for url in self._urls:
            try:
                path = f"/berylchute/v1/objects/{stored.key}"
                answer = await self._request("PUT", url, path, headers, stored.value)
            except HostUnreachable:
                continue
            accepted += answer.status < 300
            if accepted == PUSH_HOSTS_MAX:
                break
        return accepted

    async def _request(
        self, method: str, url: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> HostAnswer:
        try:
            response = await read_response(
                self._pool,
                method,
                url.rstrip("/") + path,
                headers=[*self._headers, *headers],
                content=body,
                timeout_s=self._timeout_s,
            )
        except (OSError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise HostUnreachable(f"{url}: {type(error).__name__} {error}".strip()) from error
        except httpcore.ProtocolError as error:
            raise HostUnreachable(f"{url}: {error}") from error
        try:
            decoded = msgspec.json.decode(response.content) if response.content else None
        except msgspec.DecodeError as error:
            raise HostUnreachable(f"{url}{path}: answer is not JSON: {error}") from error
        return HostAnswer(url, response.status, decoded)
