"""Track the registered backend servers: their load, failures, and which may receive requests."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from hashlib import blake2b

import attrs

from berylchute.answerlimits import AnswerMemory
from berylchute.regions import RegionShare, region_of_key, region_shares
from berylchute.sharedobjects import RouteTable, ServerEntry, ServerList, ServicePolicy
from berylchute.types import Clock
from berylchute.upstream import ConnectionPool

__all__ = ["Backends", "ReportedLoad", "Server"]

# Time over which the weight of a reported load falls to zero: the longest usual work time of the
# deployments' services (0.54 s), rounded up.
REPORTED_LOAD_DECAY_S = 0.6
# A reported pace is ignored after this time: the load of other processes on a server's host
# changes several times a second.
PACE_AGE_MAX_S = 0.3
# Weight of one answer in the moving average of a server's usual work time, if it took less or more
# than the average. About five short answers set the average, and the slow ones among ten hardly
# change it.
WORK_TIME_FALL_WEIGHT = 0.2
WORK_TIME_RISE_WEIGHT = 0.02
# A server is likely to be late if its pace is at least SLOW_PACE_PERCENT and its work takes more
# than SERVER_TIME_RATIO_MAX of the latency objective; the rest is the round trip to the caller.
# Avoiding servers by their mean time instead gives worse results (docs/MEASUREMENTS.md).
SLOW_PACE_PERCENT = 150
SERVER_TIME_RATIO_MAX = 0.8
# Backoff after a failure, doubled with each further one. A restart takes fractions of a second, and
# one lost request in 3 s is enough to detect the end of a longer outage.
FAILURE_BACKOFF_S = 0.3
FAILURE_BACKOFF_MAX_S = 3.0
# Failures beyond this one don't lengthen the backoff.
BACKOFF_DOUBLINGS_MAX = 8
# Keys whose preference order is cached; further keys only cost hashing.
CACHED_ORDERS_MAX = 4096
# Servers of a key's own region that precede those of other regions. With two of them, a crowded
# region refuses requests for which others have room (docs/MEASUREMENTS.md).
LOCAL_SERVERS_FIRST = 1
# Spare connections are opened where connecting takes more than this ratio of the latency objective:
# connecting and the round trip of the request would together take half of the objective.
SPARE_CONNECT_RATIO = 0.25
# A server must accept this many connections of each member before spare ones are opened.
SPARE_CONNECTIONS_PER_MEMBER = 4
# Ratio of a cold server's rate that its single sender uses. Two senders may overlap for a moment,
# and servers sustain one and a half times their cold rate.
COLD_RATE_RATIO = 0.7
# Connection limit for a server whose service is not configured yet; more than the server has slots.
CONNECTIONS_DEFAULT = 64
# Number of members among which a server's connections are divided: with affinity, few members send
# most of its requests at any time.
SENDERS_PER_SERVER = 4


@attrs.frozen
class ReportedLoad:
    """The load that a server reported: requests, slots, and its work time (`pace`).

    `pace` is in percent of the usual work time: above 100, the server is slow.
    """

    running: int
    waiting: int
    slots: int
    pace: int = 100

    @classmethod
    def parse(cls, value: bytes | None) -> "ReportedLoad | None":
        """Return the load in the value of a load header, None if it is missing or malformed."""
        if value is None:
            return None
        try:
            numbers = [int(part) for part in value.split(b",")]
            return cls(*numbers[:4])
        except (ValueError, TypeError):
            return None


@attrs.define(eq=False)
class Server:
    """A registered server and its state as this process sees it.

    Times ending in `_at_s` or `_until_s` are times of the process's clock. `is_replaced` is set
    when the server is no longer registered or another process runs at its address.
    """

    entry: ServerEntry
    pool: ConnectionPool
    cold_until_s: float = 0.0
    in_flight: int = 0
    reported: ReportedLoad | None = None
    reported_at_s: float = -math.inf
    in_flight_at_report: int = 0
    answered_at_s: float = -math.inf
    failures: int = 0
    may_have_restarted: bool = False
    backoff_until_s: float = 0.0
    is_replaced: bool = False
    next_cold_send_s: float = 0.0
    usual_work_s: float = 0.0

    def load(self, now_s: float) -> float:
        """Estimate the number of requests at the server.

        Counts those of this process and, with a weight that falls over time, those that other
        members had there when the server last reported its load.
        """
        if self.reported is None:
            return self.in_flight
        others = self.reported.running + self.reported.waiting - self.in_flight_at_report
        weight = max(0.0, 1.0 - (now_s - self.reported_at_s) / REPORTED_LOAD_DECAY_S)
        return self.in_flight + max(0.0, others) * weight

    def pace(self, now_s: float) -> int:
        """Return the reported pace in percent; 100 if none was reported recently."""
        if self.reported is None or now_s - self.reported_at_s > PACE_AGE_MAX_S:
            return 100
        return self.reported.pace

    def is_likely_late(self, goal_s: float, now_s: float) -> bool:
        """Return whether the server's pace is likely to make answers exceed `goal_s`."""
        pace = self.pace(now_s)
        return (
            pace >= SLOW_PACE_PERCENT
            and self.usual_work_s * pace / 100.0 > SERVER_TIME_RATIO_MAX * goal_s
        )

    def record_work_time(self, seconds: float, now_s: float) -> None:
        """Record the time of an answer, divided by the pace; call after `record_load`."""
        usual_s = seconds * 100.0 / max(1, self.pace(now_s))
        if not self.usual_work_s:
            self.usual_work_s = usual_s
            return
        # Requests for objects that the server does not hold take several times longer; the average
        # is for those that it holds.
        weight = WORK_TIME_FALL_WEIGHT if usual_s < self.usual_work_s else WORK_TIME_RISE_WEIGHT
        self.usual_work_s += weight * (usual_s - self.usual_work_s)

    def record_load(self, load: ReportedLoad, now_s: float) -> None:
        """Record the load that the server reported with an answer."""
        self.reported, self.reported_at_s, self.in_flight_at_report = load, now_s, self.in_flight

    def record_success(self, now_s: float) -> None:
        """Record an answer: reset the failure count and end the backoff."""
        self.answered_at_s = now_s
        self.failures = 0
        self.may_have_restarted = False
        self.backoff_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Count a failure and start the backoff, which doubles with each failure."""
        doublings = min(self.failures, BACKOFF_DOUBLINGS_MAX)
        backoff_s = min(FAILURE_BACKOFF_MAX_S, FAILURE_BACKOFF_S * 2.0**doublings)
        self.failures += 1
        self.may_have_restarted = True
        self.backoff_until_s = now_s + backoff_s

    def record_timeout(self, sent_s: float, now_s: float) -> None:
        """Count a request without an answer as a failure, unless others were answered since."""
        if self.answered_at_s < sent_s:
            # A server that was only slow keeps its caches, so that it needs no warm-up.
            may_have_restarted = self.may_have_restarted
            self.record_failure(now_s)
            self.may_have_restarted = may_have_restarted

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is warming up and limited to its cold rate."""
        return now_s < self.cold_until_s


class Backends:
    """The registered servers by service, ordered for an affinity key by rendezvous hashing."""

    def __init__(
        self,
        clock: Clock,
        zone: str = "",
        zone_regions: Mapping[str, str] | None = None,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        self._clock = clock
        self._answer_memory = answer_memory or AnswerMemory()
        self._own_zone = zone
        self._own_region = (zone_regions or {}).get(zone, "")
        self._zone_regions = zone_regions or {}
        self._region_shares: dict[str, tuple[RegionShare, ...]] = {}
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._orders: dict[tuple[str, str, bool], tuple[Server, ...]] = {}
        self._policies: dict[str, ServicePolicy] = {}
        self._goals_s: dict[str, float] = {}
        self._zone_connect_s: dict[str, float] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._opened_to_removed = 0

    def __len__(self) -> int:
        return len(self._servers)

    def configure(self, table: RouteTable) -> None:
        """Set the limits of each service's servers and its strictest latency objective."""
        self._policies = {policy.name: policy for policy in table.services}
        self._goals_s = {}
        for route in table.routes:
            for share in route.shares:
                goal_s = self._goals_s.get(share.service, math.inf)
                self._goals_s[share.service] = min(goal_s, route.goal_s)

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the limits of a service's servers, None if it is not configured."""
        return self._policies.get(service)

    def update_servers(self, servers: ServerList) -> None:
        """Set the registered servers; those missing from the list receive nothing more."""
        kept: dict[str, Server] = {}
        for entry in servers.entries:
            server = self._servers.get(entry.server_id)
            if server is None or _is_other_process(server.entry, entry):
                if server is not None:
                    self._remove(server)
                server = self._add(entry)
            # Counted from the arrival of a change: clocks of hosts may differ or be set.
            if entry.cold_s and (server.entry is entry or entry.cold_s != server.entry.cold_s):
                server.cold_until_s = max(server.cold_until_s, self._clock.now_s() + entry.cold_s)
            server.entry = entry
            kept[entry.server_id] = server
        for server_id, server in self._servers.items():
            if server_id not in kept:
                self._remove(server)
        self._servers = kept
        self._rebuild_index()

    def drain_zones(self, availability_zones: Iterable[str]) -> tuple[str, ...]:
        """Set the drained zones, which receive nothing; return those that are no longer drained.

        The servers of a zone that is no longer drained count as cold, since their entries may
        report the cold time late.
        """
        drained = frozenset(availability_zones)
        returned = tuple(sorted(self._drained_zones - drained))
        self._drained_zones = drained
        self._rebuild_index()
        now_s = self._clock.now_s()
        for server in self._servers.values():
            if server.entry.availability_zone in returned:
                policy = self._policies.get(server.entry.service)
                warmup_s = policy.warmup_s if policy else 0.0
                server.cold_until_s = max(server.cold_until_s, now_s + warmup_s)
        return returned

    def may_receive(self, server: Server) -> bool:
        """Return whether a server is registered and neither it nor its zone is drained."""
        return (
            not server.entry.is_draining
            and not server.is_replaced
            and server.entry.availability_zone not in self._drained_zones
        )

    def of_service(self, service: str) -> Sequence[Server]:
        """Return all servers of a service, including draining ones."""
        return self._by_service.get(service, ())

    def preference_order(
        self, service: str, key: str, *, is_upload: bool = False
    ) -> Sequence[Server]:
        """Return the servers of a service in the preference order of a key.

        Uploads prefer servers of the process's own availability zone, since transfers between
        zones cost more than a second copy of the objects that a server keeps for a key.
        """
        order = self._orders.get((service, key, is_upload))
        if order is None:
            if len(self._orders) >= CACHED_ORDERS_MAX:
                self._orders.clear()
            order = tuple(self._make_order(service, key, is_upload))
            self._orders[service, key, is_upload] = order
        return order

    def _make_order(self, service: str, key: str, is_upload: bool) -> Sequence[Server]:
        """Return the best LOCAL_SERVERS_FIRST servers of the key's region, then all others."""
        servers = sorted(
            self._by_service.get(service, ()),
            key=lambda server: _rendezvous_weight(key, server),
            reverse=True,
        )
        region = region_of_key(key, self._region_shares.get(service, ()))
        near = [server for server in servers if self._region_of(server) == region]
        far = [server for server in servers if self._region_of(server) != region]
        if is_upload:
            near.sort(key=lambda server: server.entry.availability_zone != self._own_zone)
        return [*near[:LOCAL_SERVERS_FIRST], *far, *near[LOCAL_SERVERS_FIRST:]]

    def _region_of(self, server: Server) -> str:
        return self._zone_regions.get(server.entry.availability_zone, "")

    def record_recovery(self, server: Server, now_s: float) -> None:
        """Treat a server that answers again after failures as cold: it may have restarted."""
        policy = self._policies.get(server.entry.service)
        if policy is not None:
            server.cold_until_s = max(server.cold_until_s, now_s + policy.warmup_s)

    def acquire_cold_send(self, server: Server, now_s: float) -> bool:
        """Reserve one request to a cold server; return whether its rate allows it."""
        if now_s < server.next_cold_send_s:
            return False
        policy = self._policies.get(server.entry.service)
        rate_per_s = policy.cold_rate_per_s * COLD_RATE_RATIO if policy else 1.0
        server.next_cold_send_s = now_s + 1.0 / max(rate_per_s, 0.1)
        return True

    def should_open_spare(self, server: Server, member_count: Callable[[], int]) -> bool:
        """Return whether to open a connection before the next request needs it.

        True for servers that take long to connect to and accept enough connections.
        """
        connect_s = self._zone_connect_s.get(server.entry.availability_zone)
        if (
            connect_s is None
            or not server.pool.needs_spare_connection
            or not self.may_receive(server)
        ):
            return False
        goal_s = self._goals_s.get(server.entry.service, math.inf)
        policy = self._policies.get(server.entry.service)
        connections_max = policy.connections_max if policy else 0
        return (
            connect_s > SPARE_CONNECT_RATIO * goal_s
            and not server.failures
            and member_count() * SPARE_CONNECTIONS_PER_MEMBER <= connections_max
        )

    def unconnected_servers(self) -> Sequence[Server]:
        """Return the servers to which this process has opened no connection."""
        return [server for server in self._servers.values() if not server.pool.connections_opened]

    def update_connect_times(self) -> None:
        """Update the shortest connect time of each availability zone from its servers' pools."""
        for server in self._servers.values():
            connect_s = server.pool.last_connect_s
            if connect_s is not None:
                zone = server.entry.availability_zone
                self._zone_connect_s[zone] = min(
                    self._zone_connect_s.get(zone, connect_s), connect_s
                )

    def close_expired(self) -> None:
        """Close idle keep-alive connections that servers are about to close."""
        for server in self._servers.values():
            server.pool.close_expired()

    def connections_opened(self) -> int:
        """Return the number of connections opened so far, including to removed servers."""
        return self._opened_to_removed + sum(
            s.pool.connections_opened for s in self._servers.values()
        )

    def _add(self, entry: ServerEntry) -> Server:
        policy = self._policies.get(entry.service)
        connections_max = (
            max(SENDERS_PER_SERVER, policy.connections_max // SENDERS_PER_SERVER)
            if policy
            else CONNECTIONS_DEFAULT
        )
        pool = ConnectionPool(entry.address, self._clock, connections_max, self._answer_memory)
        return Server(entry, pool)

    def _remove(self, server: Server) -> None:
        server.is_replaced = True
        self._opened_to_removed += server.pool.connections_opened
        server.pool.close()

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.entry.service, []).append(server)
        self._by_service = {service: tuple(servers) for service, servers in by_service.items()}
        self._orders.clear()
        self._region_shares = {
            service: region_shares(
                self._own_region, self._zone_regions, self._slots_by_region(servers)
            )
            for service, servers in by_service.items()
        }

    def _slots_by_region(self, servers: Sequence[Server]) -> Mapping[str, float]:
        slots: dict[str, float] = {}
        for server in servers:
            if self.may_receive(server):
                region = self._region_of(server)
                slots[region] = slots.get(region, 0.0) + server.entry.slots
        return slots


def _is_other_process(old: ServerEntry, new: ServerEntry) -> bool:
    return (old.address, old.started_ms, old.service) != (new.address, new.started_ms, new.service)


def _rendezvous_weight(key: str, server: Server) -> bytes:
    return blake2b(f"{key}/{server.entry.server_id}".encode(), digest_size=8).digest()
