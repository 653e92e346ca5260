"""Replicate store objects: the highest version of each key wins."""

import logging
from collections.abc import Iterable, Mapping

import attrs

from berylchute.messages import ObjectPush
from berylchute.types import StoredObject

__all__ = ["OBJECT_KEYS", "STORE_VALUE_BYTES_MAX", "ObjectReplica"]

OBJECT_KEYS = ("config", "history", "drains", "shifts", "claims")
STORE_VALUE_BYTES_MAX = 1_000_000  # the store rejects larger values

_LOG = logging.getLogger(__name__)

# After this time without an answer, an object is pulled from the sender of the next digest.
PULL_RETRY_S = 0.5


@attrs.frozen
class _Pull:
    version: int
    started_s: float


class ObjectReplica:
    """Hold the newest known version of each store object; other keys are ignored.

    Values of more than `value_bytes_max` are rejected.
    """

    def __init__(
        self, keys: Iterable[str] = OBJECT_KEYS, value_bytes_max: int = STORE_VALUE_BYTES_MAX
    ) -> None:
        self._keys = frozenset(keys)
        self._value_bytes_max = value_bytes_max
        self._objects: dict[str, StoredObject] = {}
        self._digest: Mapping[str, int] = {}
        self._pulls: dict[str, _Pull] = {}
        self._pushes: dict[str, ObjectPush] = {}
        self._rejected: dict[str, int] = {}

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known object of a key; None when there is none."""
        return self._objects.get(key)

    def version(self, key: str) -> int:
        """Return the newest known version of a key; 0 when there is none."""
        return self._digest.get(key, 0)

    def highest_version(self) -> int:
        """Return the highest version over all keys; 0 when empty."""
        return max(self._digest.values(), default=0)

    def digest(self) -> Mapping[str, int]:
        """Return the version of each key; the mapping is replaced, never changed."""
        return self._digest

    def apply(self, key: str, version: int, value: bytes) -> bool:
        """Store an object if its version is higher than the known one; return whether it was.

        Objects with an unknown key or a value that is too long are rejected.
        """
        if key not in self._keys or version <= self.version(key):
            return False
        if len(value) > self._value_bytes_max:
            self._reject(key, version, len(value))
            return False
        self._objects[key] = StoredObject(key=key, version=version, value=value)
        self._pushes[key] = ObjectPush(key=key, version=version, value=value)
        self._digest = {**self._digest, key: version}
        pull = self._pulls.get(key)
        if pull is not None and pull.version <= version:
            del self._pulls[key]
        return True

    def _reject(self, key: str, version: int, size_bytes: int) -> None:
        if version == self._rejected.get(key):
            return
        self._rejected[key] = version
        _LOG.error(
            "object %s version %d has %d bytes, more than %d: keeping version %d",
            key,
            version,
            size_bytes,
            self._value_bytes_max,
            self.version(key),
        )

    def start_pull(self, versions: Mapping[str, int], now_s: float) -> tuple[str, ...]:
        """Return the keys to pull from a peer with these versions, and record the pulls.

        A key with a pull in flight is left out, so that the same value is not fetched from every
        peer that sends a digest.
        """
        wanted = []
        for key, version in versions.items():
            if key not in self._keys or version <= self.version(key):
                continue
            if version == self._rejected.get(key):
                continue
            pull = self._pulls.get(key)
            if pull and pull.version >= version and now_s - pull.started_s < PULL_RETRY_S:
                continue
            self._pulls[key] = _Pull(version=version, started_s=now_s)
            wanted.append(key)
        return tuple(wanted)

    def is_behind(self, versions: Mapping[str, int]) -> bool:
        """Return whether a peer with these versions holds a newer object."""
        return any(
            version > self.version(key) for key, version in versions.items() if key in self._keys
        )

    def is_ahead(self, versions: Mapping[str, int]) -> bool:
        """Return whether a peer with these versions lacks an object or holds an older one."""
        return any(version > versions.get(key, 0) for key, version in self._digest.items())

    def pushes_for(self, keys: Iterable[str]) -> tuple[ObjectPush, ...]:
        """Return a push message for each known object among `keys`, the same one each time."""
        found = (self._pushes.get(key) for key in dict.fromkeys(keys))
        return tuple(push for push in found if push is not None)
