"""Look up who a bearer token belongs to by its SHA-256 digest, in constant time."""

import hmac
from collections.abc import Iterable
from hashlib import sha256
from typing import Generic, TypeVar

__all__ = ["DigestIndex", "hash_bearer_token"]

_SCHEME = b"bearer "

Owner = TypeVar("Owner")


def hash_bearer_token(authorization: bytes) -> bytes | None:
    """Return the SHA-256 digest of the bearer token in an Authorization value, if it has one."""
    if authorization[:7].lower() != _SCHEME:
        return None
    return sha256(authorization[7:].strip()).digest()


class DigestIndex(Generic[Owner]):
    """Find the owner of a bearer token."""

    def __init__(self, owners: Iterable[tuple[str, Owner]]) -> None:
        """Index pairs of a digest in hexadecimal digits and its owner."""
        # Indexed by digest prefix, so that the cost does not grow with the number of owners; a
        # prefix match alone never authenticates.
        self._buckets: dict[bytes, list[tuple[bytes, Owner]]] = {}
        for digest_hex, owner in owners:
            digest = bytes.fromhex(digest_hex)
            self._buckets.setdefault(digest[:4], []).append((digest, owner))

    def find(self, authorization: bytes) -> Owner | None:
        """Return the owner of an Authorization value; digests are compared in constant time."""
        digest = hash_bearer_token(authorization)
        if digest is None:
            return None
        match = None
        for known, owner in self._buckets.get(digest[:4], ()):
            if hmac.compare_digest(known, digest):
                match = owner
        return match
