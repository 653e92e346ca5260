"""Identify callers and operators by the digests of their bearer tokens."""

import hmac
from collections.abc import Iterable
from hashlib import sha256

import attrs

from berylchute.config import Configuration

__all__ = ["Caller", "CallerDirectory", "OperatorDirectory", "digest_of_bearer"]

_SCHEME = b"bearer "


@attrs.frozen
class Caller:
    """An authenticated customer and the plan that it holds."""

    customer: str
    plan: str
    priority: int


def digest_of_bearer(authorization: bytes) -> bytes | None:
    """Return the SHA-256 digest of the token in an Authorization value; None without one."""
    if authorization[:7].lower() != _SCHEME:
        return None
    return sha256(authorization[7:].strip()).digest()


class CallerDirectory:
    """Find the caller that a token belongs to."""

    def __init__(self, configuration: Configuration) -> None:
        priorities = {plan.name: plan.priority for plan in configuration.plans}
        # Buckets of digest prefixes keep the cost flat; a prefix match alone never authenticates.
        self._buckets: dict[bytes, list[tuple[bytes, Caller]]] = {}
        for customer in configuration.customers:
            caller = Caller(customer.name, customer.plan, priorities.get(customer.plan, 0))
            for text in customer.token_sha256:
                digest = bytes.fromhex(text)
                self._buckets.setdefault(digest[:4], []).append((digest, caller))

    def find(self, authorization: bytes) -> Caller | None:
        """Return the caller of an Authorization value, compared in constant time."""
        digest = digest_of_bearer(authorization)
        if digest is None:
            return None
        found = None
        for known, caller in self._buckets.get(digest[:4], ()):
            if hmac.compare_digest(known, digest):
                found = caller
        return found


class OperatorDirectory:
    """Check the tokens of operators and of peer hosts."""

    def __init__(self, digests_hex: Iterable[str]) -> None:
        self._digests = tuple(bytes.fromhex(text) for text in digests_hex)

    def allows(self, authorization: bytes) -> bool:
        """Tell whether an Authorization value carries an operator's token."""
        digest = digest_of_bearer(authorization)
        if digest is None:
            return False
        # Every known digest is compared, so the time does not tell which one matched.
        return sum(hmac.compare_digest(known, digest) for known in self._digests) > 0
