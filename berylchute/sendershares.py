"""Divide a server's rate among the members that may send to it."""

import math
from collections.abc import Mapping
from hashlib import blake2b

import attrs

__all__ = ["SenderShare", "divide_rate", "sender_rank"]

_HASH_RANGE = 2.0**64


@attrs.frozen
class SenderShare:
    """A member's part of a rate (0 to 1), and the requests that it may send at once."""

    part: float = 0.0
    burst: float = 1.0


def divide_rate(
    server_id: str, weights: Mapping[str, float], burst: float
) -> Mapping[str, SenderShare]:
    """Return the shares of the members that may send to a server.

    Their parts sum up to 1 and their bursts to `burst`, but each member may send one request at
    least. `weights` holds a positive weight by host id. Weighted rendezvous hashing selects
    the members if there are more than requests in `burst`. Members with the same weights compute
    the same shares without messages.
    """
    ranked = sorted(weights, key=lambda host_id: sender_rank(server_id, host_id, weights[host_id]))
    senders = ranked[: max(1, int(burst))]
    total = sum(weights[host_id] for host_id in senders)
    further = max(0.0, burst - len(senders))
    parts = {host_id: weights[host_id] / total for host_id in senders}
    return {
        host_id: SenderShare(part, burst=1.0 + further * part) for host_id, part in parts.items()
    }


def sender_rank(server_id: str, host_id: str, weight: float) -> float:
    """Return the rank of a member among the senders of a server; the lowest comes first."""
    digest = blake2b(f"{server_id}/{host_id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / _HASH_RANGE
    return -math.log(uniform) / weight
