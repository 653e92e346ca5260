"""Keep the requests of all members within the limits that servers state."""

import math
from collections.abc import Mapping, Sequence

from berylchute.backends import Backends
from berylchute.discovery import MemberDiscovery
from berylchute.limitreports import LimitReports
from berylchute.sendershares import SenderShare, divide_rate, sender_rank
from berylchute.servers import Server
from berylchute.tokenbucket import TokenBucket
from berylchute.types import Clock, MemberStatus

__all__ = ["ServerLimits"]

# Requests that all members together may send at once, as the time in which the limit allows them.
BURST_S = 1.5
# Weight of members whose region sends none of its keys to the server's region, so that they may
# send when the servers of their own region are full.
REMOTE_WEIGHT = 0.05
# Tokens that callers who return after a refusal may take in advance, so that they come before new
# ones.
RETURN_DEBT = 0.25
# Rate at servers that state a lower limit: without a request, no answer would show its end.
RATE_MIN_PER_S = 0.05


class ServerLimits:
    """Decide whether this member may send to servers that state a limit for all members.

    Each member gets a share of the limit by the part of its region's keys that belongs to the
    server's region. Members that are gone keep their shares unless they announced that they leave:
    they may only be cut off from this member. So do members that are only assumed.
    """

    def __init__(
        self, own_host_id: str, backends: Backends, clock: Clock, discovery: MemberDiscovery
    ) -> None:
        self._own_host_id = own_host_id
        self._backends = backends
        self._discovery = discovery
        self._reports = LimitReports(own_host_id, clock, self._rank)
        self._regions: Mapping[str, str] = {}
        self._index_number = 0
        self._weights: dict[tuple[str, str], Mapping[str, float]] = {}
        self._shares: dict[str, tuple[float, SenderShare]] = {}

    def update_members(self, members: Sequence[MemberStatus]) -> None:
        """Take over the members, and the limits that they report; call it periodically."""
        self._reports.update_members(members, self._backends.all_servers())
        records = [status.record for status in members]
        regions = {record.host_id: record.region for record in records if not record.leaving}
        regions.update(self._discovery.assumed_regions(members))
        if regions != self._regions or self._index_number != self._backends.index_number:
            self._regions = regions
            self._index_number = self._backends.index_number
            self._weights.clear()
            self._shares.clear()

    def limits_to_report(self) -> Mapping[str, float]:
        """Return the limits by server id that this member should report to the others."""
        return self._reports.limits_to_report(self._backends.all_servers())

    def may_send(self, server: Server, now_s: float, *, is_return: bool = False) -> bool:
        """Return whether this member's share of a server's limit, if any, allows a request."""
        limit_per_s = self._reports.limit_per_s(server, now_s)
        if limit_per_s is None:
            server.bucket = None
            return True
        if server.bucket is None:
            server.bucket = TokenBucket(now_s)
        share = self._share(server, limit_per_s)
        rate_per_s = share.part * max(limit_per_s, RATE_MIN_PER_S)
        server.bucket.refill(rate_per_s, share.burst, now_s)
        debt = RETURN_DEBT if is_return else 0.0
        return server.bucket.has_token(debt=debt) or self._reports.may_probe(server, now_s)

    def record_send(self, server: Server, now_s: float) -> None:
        """Count a request to a server against this member's share of its limit."""
        server.sent_at_s = now_s
        if server.bucket is not None:
            server.bucket.take()

    def _share(self, server: Server, limit_per_s: float) -> SenderShare:
        if not self._discovery.is_complete():
            return SenderShare()  # unknown among how many members the limit is divided
        server_id = server.entry.server_id
        known_limit_per_s, share = self._shares.get(server_id, (None, SenderShare()))
        if known_limit_per_s != limit_per_s:
            shares = divide_rate(server_id, self._weights_at(server), limit_per_s * BURST_S)
            share = shares.get(self._own_host_id, SenderShare())
            self._shares[server_id] = (limit_per_s, share)
        return share

    def _weights_at(self, server: Server) -> Mapping[str, float]:
        key = (server.entry.service, server.entry.availability_zone)
        weights = self._weights.get(key)
        if weights is None:
            region_weights = {
                region: max(REMOTE_WEIGHT, self._backends.region_share(server, region))
                for region in set(self._regions.values())
            }
            weights = {host_id: region_weights[r] for host_id, r in self._regions.items()}
            self._weights[key] = weights
        return weights

    def _rank(self, server: Server, host_id: str) -> float:
        # A member that leaves, or is not known yet, comes after all others.
        weight = self._weights_at(server).get(host_id)
        return math.inf if weight is None else sender_rank(server.entry.server_id, host_id, weight)
