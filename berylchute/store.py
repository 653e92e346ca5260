"""Reach the platform's object store over HTTP."""

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
from berylchute.settings import StoreSettings
from berylchute.types import Clock, StoredObject, WatchEvent

__all__ = ["CallBudget", "HttpObjectStore"]

ATTEMPTS = 3
_ETAG = re.compile(rb'^(?:W/)?"(\d{1,18})"$')

# The request did not leave this host in these cases, so that a write did not take effect.
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
class _Answer:
    status: int
    etag: bytes
    body: bytes


class CallBudget:
    """Limit store calls of this host: a token bucket that holds one second of calls."""

    def __init__(self, calls_per_s: float, now_s: float) -> None:
        self._calls_per_s = calls_per_s
        self._burst = max(1.0, calls_per_s)
        self._tokens = self._burst
        self._at_s = now_s

    def reserve(self, now_s: float, wait_max_s: float) -> float | None:
        """Take one call and return the time to wait before it; None if above `wait_max_s`."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._calls_per_s)
        self._at_s = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / self._calls_per_s)
        if wait_s > wait_max_s:
            return None
        self._tokens -= 1.0
        return wait_s


class HttpObjectStore:
    """Call the object store; reads and refused writes are retried, lost answers are not."""

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
        self._pool = pool or httpcore.AsyncConnectionPool(max_connections=8, keepalive_expiry=5.0)
        self.calls = 0
        self.failures = 0

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object; None when it does not exist. Raises StoreUnavailable, StoreError."""
        answer = await self._read(f"/objects/{key}", self._timeout_s, ATTEMPTS)
        if answer.status == 404:
            return None
        return StoredObject(key=key, version=_version(answer), value=answer.body)

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        """Write if the current version is `expected_version` (0: must not exist).

        Raises StoreConflict, StoreUnavailable or StoreOutcomeUnknown.
        """
        condition = (
            (b"If-Match", b'"%d"' % expected_version)
            if expected_version
            else (b"If-None-Match", b"*")
        )
        headers = [condition, (b"Content-Type", b"application/json")]
        backoff = Backoff(0.05, 1.0, self._rng)
        for attempt in range(ATTEMPTS):
            try:
                answer = await self._call("PUT", f"/objects/{key}", self._timeout_s, headers, value)
                return self._written(key, value, answer)
            except StoreUnavailable:
                if attempt == ATTEMPTS - 1:
                    raise
                await anyio.sleep(backoff.next_delay_s())
        raise StoreUnavailable(f"PUT {key}: no attempt left")

    def _written(self, key: str, value: bytes, answer: _Answer) -> StoredObject:
        if answer.status == 412:
            found = _ETAG.match(answer.etag)
            raise StoreConflict(
                f"{key} has another version",
                current_version=int(found.group(1)) if found else 0,
                current_value=answer.body,
            )
        if answer.status in (429, 503):
            raise StoreUnavailable(f"PUT {key}: status {answer.status}")
        if answer.status >= 500:
            raise StoreOutcomeUnknown(f"PUT {key}: status {answer.status}")
        if answer.status not in (200, 201, 204):
            raise StoreError(f"PUT {key}: status {answer.status}")
        try:
            return StoredObject(key=key, version=_version(answer), value=value)
        except StoreError as error:
            raise StoreOutcomeUnknown(f"PUT {key}: {error}") from error

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        """Wait up to `wait_s` for objects newer than `after_revision`. Raises StoreError."""
        path = f"/watch?after={after_revision}&wait_ms={int(wait_s * 1000)}"
        answer = await self._read(path, self._timeout_s + wait_s, 1)
        body = _decode(answer.body, _WatchBody)
        objects = tuple(
            StoredObject(key=item.key, version=item.version, value=bytes(item.value))
            for item in body.objects
        )
        return WatchEvent(revision=body.revision, objects=objects)

    async def list_hosts(self) -> Mapping[str, str]:
        """Return the platform's late list: host id to state. Raises StoreError."""
        answer = await self._read("/hosts", self._timeout_s, ATTEMPTS)
        hosts: dict[str, str] = _decode(answer.body, dict[str, str])
        return hosts

    async def _read(self, path: str, timeout_s: float, attempts: int) -> _Answer:
        backoff = Backoff(0.05, 1.0, self._rng)
        for attempt in range(attempts):
            try:
                answer = await self._call("GET", path, timeout_s, [], b"")
                if answer.status in (429, 500, 502, 503, 504):
                    raise StoreUnavailable(f"GET {path}: status {answer.status}")
                if answer.status not in (200, 404):
                    raise StoreError(f"GET {path}: status {answer.status}")
                return answer
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
    ) -> _Answer:
        wait_s = self._budget.reserve(self._clock.now_s(), self._timeout_s)
        if wait_s is None:
            raise StoreUnavailable(f"{method} {path}: call budget of this host is used up")
        await anyio.sleep(wait_s)
        self.calls += 1
        sent = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        sent["connect"] = sent["pool"] = self._timeout_s / 2  # below the limit for the whole call
        all_headers = [*headers, (b"Accept", b"application/json")]
        if self._token:
            all_headers.append((b"Authorization", b"Bearer " + self._token.encode()))
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._url + path,
                    headers=all_headers,
                    content=body or None,
                    extensions={"timeout": sent},
                )
        except _NOT_SENT as error:
            self.failures += 1
            raise StoreUnavailable(f"{method} {path}: {error!r}") from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            self.failures += 1
            raise _lost(method, path, error) from error
        except (TimeoutError, OSError) as error:
            self.failures += 1
            raise _lost(method, path, error) from error
        etag = next((value for name, value in response.headers if name.lower() == b"etag"), b"")
        return _Answer(status=response.status, etag=etag, body=response.content)


def _lost(method: str, path: str, error: Exception) -> StoreError:
    if method == "GET":
        return StoreUnavailable(f"{method} {path}: {error!r}")
    return StoreOutcomeUnknown(f"{method} {path}: answer lost: {error!r}")


def _version(answer: _Answer) -> int:
    found = _ETAG.match(answer.etag)
    if found is None:
        raise StoreError(f"ETag {answer.etag!r} is not a version")
    return int(found.group(1))


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(f"answer has another form: {error}") from error
