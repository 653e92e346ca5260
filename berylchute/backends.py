"""Track the registered backend servers: who may receive work, and how loaded each is."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from hashlib import blake2b

import attrs

from berylchute.regions import RegionShare, region_of_key, region_shares
from berylchute.services import RouteTable, ServerEntry, ServerList, ServicePolicy
from berylchute.types import Clock
from berylchute.upstream import ConnectionPool

__all__ = ["Backends", "Server", "ToldLoad"]

# Load that a server told loses its weight over this time, the longest usual work time of the
# deployments' services (0.54 s), rounded up.
TOLD_FADES_S = 0.6
# A told pace says nothing after this time: neighbours on a server's machine come and go several
# times a second.
PACE_AGE_MAX_S = 0.3
# Weight of one answer in the usual time of a server's answers, by whether it was shorter: some
# five short answers set it, and the slow ones among ten barely move it.
WORK_FALL_WEIGHT = 0.2
WORK_RISE_WEIGHT = 0.02
# Pace in percent from which another server is worth a detour, and the part of the latency
# objective that an answer may take there; the rest is the way to the caller and back. Leaving
# servers by their mean time instead was worse in trials (docs/MEASUREMENTS.md).
SLOWED_PACE = 150
IN_TIME_RATIO = 0.8
# A server that failed is left alone for this long, doubled with each further failure: a restart
# takes fractions of a second, and one lost request in 3 s tells when a longer outage has ended.
FAILURE_PAUSE_S = 0.3
FAILURE_PAUSE_MAX_S = 3.0
# Distinct keys whose server order is kept; more keys only cost hashing.
ORDERS_KEPT_MAX = 4096
# Servers of a key's own region that come before those of other regions; with two of them a crowded
# region refused what others had room for (docs/MEASUREMENTS.md).
NEAR_SERVERS = 1
# Where connecting takes more than this share of the latency objective, connections are opened ahead
# of need: with the way there and back of the request itself, half of the objective would be gone.
SPARE_CONNECT_RATIO = 0.25
# Connections of each member that a server must bear for spares to be opened.
SPARE_CONNECTIONS = 4
# Share of a cold server's rate that its one sender uses. Two senders may overlap for a moment, and
# servers bear half as much again as their rate.
COLD_RATE_SHARE = 0.7
# Connections to a server until the configuration names its service; more than its slots.
CONNECTIONS_DEFAULT = 64
# A server's connections are split among this many senders: affinity sends most requests for it
# through few members at a time.
CONNECTIONS_SPREAD = 4


@attrs.frozen
class ToldLoad:
    """What a server said of its load; `pace` is its work time in percent of the usual."""

    running: int
    waiting: int
    slots: int
    pace: int = 100

    @classmethod
    def parse(cls, value: bytes | None) -> "ToldLoad | None":
        """Return the load in a header's value, None where it tells none."""
        if value is None:
            return None
        try:
            numbers = [int(part) for part in value.split(b",")]
            return cls(*numbers[:4])
        except (ValueError, TypeError):
            return None


@attrs.define(eq=False)
class Server:
    """One registered server with what this process knows of it."""

    entry: ServerEntry
    pool: ConnectionPool
    cold_until_s: float = 0.0
    in_flight: int = 0
    told: ToldLoad | None = None
    told_s: float = -math.inf
    told_in_flight: int = 0
    failures: int = 0
    paused_until_s: float = 0.0
    is_replaced: bool = False
    next_cold_send_s: float = 0.0
    work_s: float = 0.0

    def load(self, now_s: float) -> float:
        """Estimate the requests at the server: own ones and what others had there."""
        if self.told is None:
            return self.in_flight
        others = self.told.running + self.told.waiting - self.told_in_flight
        weight = max(0.0, 1.0 - (now_s - self.told_s) / TOLD_FADES_S)
        return self.in_flight + max(0.0, others) * weight

    def pace(self, now_s: float) -> int:
        """Return the told pace in percent if it was told lately, else the usual."""
        if self.told is None or now_s - self.told_s > PACE_AGE_MAX_S:
            return 100
        return self.told.pace

    def is_slowed(self, goal_s: float, now_s: float) -> bool:
        """Tell whether an answer is likely to come late because of the server's present pace."""
        pace = self.pace(now_s)
        return pace >= SLOWED_PACE and self.work_s * pace / 100.0 > IN_TIME_RATIO * goal_s

    def note_work(self, seconds: float, now_s: float) -> None:
        """Take the time of one answer, at the pace that came with it."""
        usual_s = seconds * 100.0 / max(1, self.pace(now_s))
        if not self.work_s:
            self.work_s = usual_s
            return
        # Work on objects that the server does not hold is several times longer; the estimate
        # is of work on those that it holds.
        weight = WORK_FALL_WEIGHT if usual_s < self.work_s else WORK_RISE_WEIGHT
        self.work_s += weight * (usual_s - self.work_s)

    def note_load(self, told: ToldLoad, now_s: float) -> None:
        """Take the load that came with an answer."""
        self.told, self.told_s, self.told_in_flight = told, now_s, self.in_flight

    def note_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.paused_until_s = 0.0

    def note_failure(self, now_s: float) -> None:
        """Leave the server alone for a while."""
        pause_s = min(FAILURE_PAUSE_MAX_S, FAILURE_PAUSE_S * 2.0**self.failures)
        self.failures += 1
        self.paused_until_s = now_s + pause_s

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the server bears only its cold rate."""
        return now_s < self.cold_until_s


class Backends:
    """Hold all servers by service, and order them for an affinity key."""

    def __init__(
        self,
        clock: Clock,
        zone: str = "",
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._region = (zone_regions or {}).get(zone, "")
        self._zone_regions = zone_regions or {}
        self._shares: dict[str, tuple[RegionShare, ...]] = {}
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._orders: dict[tuple[str, str, bool], tuple[Server, ...]] = {}
        self._policies: dict[str, ServicePolicy] = {}
        self._goals_s: dict[str, float] = {}
        self._zone_connect_s: dict[str, float] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._opened_to_gone = 0

    def __len__(self) -> int:
        return len(self._servers)

    def configure(self, table: RouteTable) -> None:
        """Take what the servers of each service bear."""
        self._policies = {policy.name: policy for policy in table.services}
        self._goals_s = {}
        for route in table.routes:
            for share in route.shares:
                goal_s = self._goals_s.get(share.service, math.inf)
                self._goals_s[share.service] = min(goal_s, route.goal_s)

    def policy(self, service: str) -> ServicePolicy | None:
        """Return what the servers of a service bear."""
        return self._policies.get(service)

    def apply(self, servers: ServerList) -> None:
        """Take the list of registered servers; those that are missing are gone."""
        kept: dict[str, Server] = {}
        for entry in servers.entries:
            server = self._servers.get(entry.server_id)
            if server is None or _is_other_process(server.entry, entry):
                if server is not None:
                    self._retire(server)
                server = self._add(entry)
            # Counted from the arrival of a change: clocks of machines may differ or be set.
            if entry.cold_s and (server.entry is entry or entry.cold_s != server.entry.cold_s):
                server.cold_until_s = max(server.cold_until_s, self._clock.now_s() + entry.cold_s)
            server.entry = entry
            kept[entry.server_id] = server
        for server_id, server in self._servers.items():
            if server_id not in kept:
                self._retire(server)
        self._servers = kept
        self._index()

    def drain_zones(self, availability_zones: Iterable[str]) -> tuple[str, ...]:
        """Set the zones that receive nothing; return those that were taken back.

        The servers of a zone that is taken back count as cold, since an entry may tell it late.
        """
        drained = frozenset(availability_zones)
        returned = tuple(sorted(self._drained_zones - drained))
        self._drained_zones = drained
        self._index()
        now_s = self._clock.now_s()
        for server in self._servers.values():
            if server.entry.availability_zone in returned:
                policy = self._policies.get(server.entry.service)
                warmup_s = policy.warmup_s if policy else 0.0
                server.cold_until_s = max(server.cold_until_s, now_s + warmup_s)
        return returned

    def is_open(self, server: Server) -> bool:
        """Tell whether a server may receive new work at all."""
        return (
            not server.entry.is_draining
            and not server.is_replaced
            and server.entry.availability_zone not in self._drained_zones
        )

    def of_service(self, service: str) -> Sequence[Server]:
        """Return the servers of a service."""
        return self._by_service.get(service, ())

    def order(self, service: str, key: str, *, is_bulky: bool = False) -> Sequence[Server]:
        """Return the servers of a service in the order in which a key prefers them.

        Bulky requests prefer servers of the own availability zone, since bytes between zones
        cost more than a second copy of what a server keeps for a key.
        """
        order = self._orders.get((service, key, is_bulky))
        if order is None:
            if len(self._orders) >= ORDERS_KEPT_MAX:
                self._orders.clear()
            order = tuple(self._make_order(service, key, is_bulky))
            self._orders[service, key, is_bulky] = order
        return order

    def _make_order(self, service: str, key: str, is_bulky: bool) -> Sequence[Server]:
        """Put the best NEAR_SERVERS of the key's region first, then all others."""
        servers = sorted(
            self._by_service.get(service, ()),
            key=lambda server: _weight(key, server),
            reverse=True,
        )
        region = region_of_key(key, self._shares.get(service, ()))
        near = [server for server in servers if self._region_of(server) == region]
        far = [server for server in servers if self._region_of(server) != region]
        if is_bulky:
            near.sort(key=lambda server: server.entry.availability_zone != self._zone)
        return [*near[:NEAR_SERVERS], *far, *near[NEAR_SERVERS:]]

    def _region_of(self, server: Server) -> str:
        return self._zone_regions.get(server.entry.availability_zone, "")

    def note_back(self, server: Server, now_s: float) -> None:
        """Take a server that answers again after failures; it may have restarted cold."""
        policy = self._policies.get(server.entry.service)
        if policy is not None:
            server.cold_until_s = max(server.cold_until_s, now_s + policy.warmup_s)

    def take_cold_send(self, server: Server, now_s: float) -> bool:
        """Reserve one request to a cold server; tell whether its rate allows it."""
        if now_s < server.next_cold_send_s:
            return False
        policy = self._policies.get(server.entry.service)
        rate_per_s = policy.cold_rate_per_s * COLD_RATE_SHARE if policy else 1.0
        server.next_cold_send_s = now_s + 1.0 / max(rate_per_s, 0.1)
        return True

    def wants_spare(self, server: Server, member_count: Callable[[], int]) -> bool:
        """Tell whether a connection should be opened before the next request needs it."""
        connect_s = self._zone_connect_s.get(server.entry.availability_zone)
        if connect_s is None or not server.pool.lacks_spare or not self.is_open(server):
            return False
        goal_s = self._goals_s.get(server.entry.service, math.inf)
        policy = self._policies.get(server.entry.service)
        borne = policy.connections_max if policy else 0
        return (
            connect_s > SPARE_CONNECT_RATIO * goal_s
            and not server.failures
            and member_count() * SPARE_CONNECTIONS <= borne
        )

    def unused_servers(self) -> Sequence[Server]:
        """Return the servers to which no connection was opened yet."""
        return [server for server in self._servers.values() if not server.pool.opened]

    def note_distances(self) -> None:
        """Learn from the connections so far how long it takes to reach each availability zone."""
        for server in self._servers.values():
            connect_s = server.pool.connect_s
            if connect_s is not None:
                zone = server.entry.availability_zone
                self._zone_connect_s[zone] = min(
                    self._zone_connect_s.get(zone, connect_s), connect_s
                )

    def close_expired(self) -> None:
        """Close kept connections that servers are about to close."""
        for server in self._servers.values():
            server.pool.close_expired()

    def connections_opened(self) -> int:
        """Return the connections opened so far, those to servers that are gone included."""
        return self._opened_to_gone + sum(s.pool.opened for s in self._servers.values())

    def _add(self, entry: ServerEntry) -> Server:
        policy = self._policies.get(entry.service)
        connections_max = (
            max(CONNECTIONS_SPREAD, policy.connections_max // CONNECTIONS_SPREAD)
            if policy
            else CONNECTIONS_DEFAULT
        )
        return Server(entry, ConnectionPool(entry.address, self._clock, connections_max))

    def _retire(self, server: Server) -> None:
        server.is_replaced = True
        self._opened_to_gone += server.pool.opened
        server.pool.close()

    def _index(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.entry.service, []).append(server)
        self._by_service = {service: tuple(servers) for service, servers in by_service.items()}
        self._orders.clear()
        self._shares = {
            service: region_shares(self._region, self._zone_regions, self._slots(servers))
            for service, servers in by_service.items()
        }

    def _slots(self, servers: Sequence[Server]) -> Mapping[str, float]:
        slots: dict[str, float] = {}
        for server in servers:
            if self.is_open(server):
                region = self._region_of(server)
                slots[region] = slots.get(region, 0.0) + server.entry.slots
        return slots


def _is_other_process(old: ServerEntry, new: ServerEntry) -> bool:
    return (old.address, old.started_ms, old.service) != (new.address, new.started_ms, new.service)


def _weight(key: str, server: Server) -> bytes:
    return blake2b(f"{key}/{server.entry.server_id}".encode(), digest_size=8).digest()
