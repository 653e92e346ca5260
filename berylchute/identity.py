"""Identify callers and operators by the digests of their bearer tokens."""

import hmac
from collections.abc import Iterable
from hashlib import sha256

import attrs

from berylchute.config import Configuration

__all__ = ["Caller", "CallerDirectory", "OperatorDirectory", "hash_bearer_token"]

_SCHEME = b"bearer "


@attrs.frozen
class Caller:
    """An authenticated customer with its plan and the priority of that plan."""

    customer: str
    plan: str
    priority: int


def hash_bearer_token(authorization: bytes) -> bytes | None:
    """Return the SHA-256 digest of the bearer token in an Authorization value, if it has one."""
    if authorization[:7].lower() != _SCHEME:
        return None
    return sha256(authorization[7:].strip()).digest()


class CallerDirectory:
    """Look up callers by bearer token."""

    def __init__(self, configuration: Configuration) -> None:
        priorities = {plan.name: plan.priority for plan in configuration.plans}
        # Indexed by digest prefix, so that the cost does not grow with the number of customers; a
        # prefix match alone never authenticates.
        self._buckets: dict[bytes, list[tuple[bytes, Caller]]] = {}
        for customer in configuration.customers:
            caller = Caller(customer.name, customer.plan, priorities.get(customer.plan, 0))
            for digest_hex in customer.token_sha256:
                digest = bytes.fromhex(digest_hex)
                self._buckets.setdefault(digest[:4], []).append((digest, caller))

    def find(self, authorization: bytes) -> Caller | None:
        """Return the caller of an Authorization value; digests are compared in constant time."""
        digest = hash_bearer_token(authorization)
        if digest is None:
            return None
        match = None
        for known, caller in self._buckets.get(digest[:4], ()):
            if hmac.compare_digest(known, digest):
                match = caller
        return match


class OperatorDirectory:
    """Check the bearer tokens of operators and of peer hosts."""

    def __init__(self, digests_hex: Iterable[str]) -> None:
        self._digests = tuple(bytes.fromhex(digest_hex) for digest_hex in digests_hex)

    def allows(self, authorization: bytes) -> bool:
        """Return whether an Authorization value contains a known token."""
        digest = hash_bearer_token(authorization)
        if digest is None:
            return False
        # All digests are compared, so that the duration does not reveal which one matched.
        return sum(hmac.compare_digest(known, digest) for known in self._digests) > 0
