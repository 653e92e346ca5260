"""Identify callers and operators by the digests of their bearer tokens."""

import hmac
from collections.abc import Iterable

import attrs

from berylchute.bearertokens import DigestIndex, hash_bearer_token
from berylchute.config import Configuration

__all__ = ["Caller", "CallerDirectory", "OperatorDirectory", "hash_bearer_token"]


@attrs.frozen
class Caller:
    """An authenticated customer with its plan and the priority of that plan."""

    customer: str
    plan: str
    priority: int


class CallerDirectory:
    """Look up callers by bearer token."""

    def __init__(self, configuration: Configuration) -> None:
        priorities = {plan.name: plan.priority for plan in configuration.plans}
        self._callers = DigestIndex(
            (digest_hex, Caller(customer.name, customer.plan, priorities.get(customer.plan, 0)))
            for customer in configuration.customers
            for digest_hex in customer.token_sha256
        )

    def find(self, authorization: bytes) -> Caller | None:
        """Return the caller of an Authorization value; digests are compared in constant time."""
        return self._callers.find(authorization)


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
