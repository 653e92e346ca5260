"""Read and write objects in the platform's object store over HTTP."""

import re
from collections.abc import Mapping
from random import Random
from typing import Any

import anyio
import attrs
import httpcore
import msgspec

from berylchute.backoff import Backoff
from berylchute.exceptions import (
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from berylchute.responses import read_response
from berylchute.serverstreams import StreamBackend
from berylchute.settings import StoreSettings
from berylchute.types import Clock, StoredObject, WatchEvent

__all__ = ["CallBudget", "HttpObjectStore"]

ATTEMPTS_MAX = 3
_ETAG = re.compile(rb'^(?:W/)?"(\d{1,18})"$')

# In these cases the request was not sent, so a write did not take effect.
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@attrs.frozen
class _WatchedObject:
    key: str
    version: int
    value: msgspec.Raw


@attrs.frozen
class _WatchBody:
    revision: int
    objects: tuple[_WatchedObject, ...] = ()


@attrs.frozen
class _Response:
    status: int
    etag: bytes
    body: bytes


class CallBudget:
    """Limit the rate of this host's store calls by a token bucket of one second of calls."""

    def __init__(self, calls_per_s: float, now_s: float) -> None:
        self._calls_per_s = calls_per_s
        self._burst = max(1.0, calls_per_s)
        self._tokens = self._burst
        self._updated_s = now_s

    def reserve(self, now_s: float, wait_max_s: float) -> float | None:
        """Reserve a call and return the wait before it in seconds; None if above `wait_max_s`."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._calls_per_s)
        self._updated_s = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / self._calls_per_s)
        if wait_s > wait_max_s:
            return None
        self._tokens -= 1.0
        return wait_s


class HttpObjectStore:
    """Call the object store; implements ObjectStore.

    Reads are retried, and so are writes that were not sent or got status 429 or 503. A write
    without a response is not, as it may have taken effect.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: Clock,
        rng: Random,
        pool: httpcore.AsyncConnectionPool | None = None,
    ) -> None:
        self._url = settings.url.rstrip("/")
        self._token = settings.token
        self._timeout_s = settings.timeout_ms / 1000.0
        self._clock = clock
        self._rng = rng
        self._budget = CallBudget(settings.calls_per_s, clock.now_s())
        self._pool = pool or httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=5.0, network_backend=StreamBackend()
        )
        self.calls = 0
        self.failures = 0

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None if it does not exist; raise StoreUnavailable or StoreError."""
        response = await self._read(f"/objects/{key}", self._timeout_s, ATTEMPTS_MAX)
        if response.status == 404:
            return None
        return StoredObject(key=key, version=_parse_version(response), value=response.body)

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        """Write an object if its version is `expected_version` (0: if it does not exist).

        Raise StoreConflict, StoreUnavailable, StoreOutcomeUnknown or StoreError.
        """
        condition = (
            (b"If-Match", b'"%d"' % expected_version)
            if expected_version
            else (b"If-None-Match", b"*")
        )
        headers = [condition, (b"Content-Type", b"application/json")]
        backoff = Backoff(0.05, 1.0, self._rng)
        for attempt in range(ATTEMPTS_MAX):
            try:
                response = await self._call(
                    "PUT", f"/objects/{key}", self._timeout_s, headers, value
                )
                return self._parse_write_response(key, value, response)
            except StoreUnavailable:
                if attempt == ATTEMPTS_MAX - 1:
                    raise
                await anyio.sleep(backoff.next_delay_s())
        raise StoreUnavailable(f"PUT {key}: no attempt left")

    def _parse_write_response(self, key: str, value: bytes, response: _Response) -> StoredObject:
        if response.status == 412:
            match = _ETAG.match(response.etag)
            raise StoreConflict(
                f"PUT {key}: the stored version is not the expected one",
                current_version=int(match.group(1)) if match else 0,
                current_value=response.body,
            )
        if response.status in (429, 503):
            raise StoreUnavailable(f"PUT {key}: status {response.status}")
        if response.status >= 500:
            raise StoreOutcomeUnknown(f"PUT {key}: status {response.status}")
        if response.status not in (200, 201, 204):
            raise StoreError(f"PUT {key}: status {response.status}")
        try:
            return StoredObject(key=key, version=_parse_version(response), value=value)
        except StoreError as error:
            raise StoreOutcomeUnknown(f"PUT {key}: {error}") from error

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        """Wait up to `wait_s` for objects newer than `after_revision`; raise StoreError."""
        path = f"/watch?after={after_revision}&wait_ms={int(wait_s * 1000)}"
        response = await self._read(path, self._timeout_s + wait_s, 1)
        body = _decode(response.body, _WatchBody)
        objects = tuple(
            StoredObject(key=item.key, version=item.version, value=bytes(item.value))
            for item in body.objects
        )
        return WatchEvent(revision=body.revision, objects=objects)

    async def list_hosts(self) -> Mapping[str, str]:
        """Return the platform's host states by host id, which lag by seconds; raise StoreError."""
        response = await self._read("/hosts", self._timeout_s, ATTEMPTS_MAX)
        hosts: dict[str, str] = _decode(response.body, dict[str, str])
        return hosts

    async def _read(self, path: str, timeout_s: float, attempts: int) -> _Response:
        backoff = Backoff(0.05, 1.0, self._rng)
        for attempt in range(attempts):
            try:
                response = await self._call("GET", path, timeout_s, [], b"")
                if response.status in (429, 500, 502, 503, 504):
                    raise StoreUnavailable(f"GET {path}: status {response.status}")
                if response.status not in (200, 404):
                    raise StoreError(f"GET {path}: status {response.status}")
                return response
            except StoreUnavailable:
                if attempt == attempts - 1:
                    raise
                await anyio.sleep(backoff.next_delay_s())
        raise StoreUnavailable(f"GET {path}: no attempt left")

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> _Response:
        wait_s = self._budget.reserve(self._clock.now_s(), self._timeout_s)
        if wait_s is None:
            raise StoreUnavailable(f"{method} {path}: call budget of this host is exhausted")
        await anyio.sleep(wait_s)
        self.calls += 1
        all_headers = [*headers, (b"Accept", b"application/json")]
        if self._token:
            all_headers.append((b"Authorization", b"Bearer " + self._token.encode()))
        try:
            response = await read_response(
                self._pool,
                method,
                self._url + path,
                headers=all_headers,
                content=body or None,
                timeout_s=timeout_s,
                connect_timeout_s=self._timeout_s / 2,
            )
        except _NOT_SENT as error:
            self.failures += 1
            raise StoreUnavailable(f"{method} {path}: {error!r}") from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            self.failures += 1
            raise _no_response_error(method, path, error) from error
        except (TimeoutError, OSError) as error:
            self.failures += 1
            raise _no_response_error(method, path, error) from error
        etag = next((value for name, value in response.headers if name.lower() == b"etag"), b"")
        return _Response(status=response.status, etag=etag, body=response.content)


def _no_response_error(method: str, path: str, error: Exception) -> StoreError:
    if method == "GET":
        return StoreUnavailable(f"{method} {path}: {error!r}")
    return StoreOutcomeUnknown(f"{method} {path}: no complete response: {error!r}")


def _parse_version(response: _Response) -> int:
    match = _ETAG.match(response.etag)
    if match is None:
        raise StoreError(f"ETag {response.etag!r} of the response is not a version")
    return int(match.group(1))


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(f"cannot decode the response of the store: {error}") from error
