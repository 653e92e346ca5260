"""Track the registered backend servers: their order for a key, and which may receive requests."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from hashlib import blake2b

import attrs

from berylchute.bodymemory import BodyMemory
from berylchute.regions import RegionShare, move_shares, region_of_key, region_shares
from berylchute.servers import Server, WorkTime
from berylchute.sharedobjects import RouteTable, ServerEntry, ServerList, ServicePolicy
from berylchute.types import Clock
from berylchute.upstream import ConnectionPool

__all__ = ["Backends", "Preference"]

# Keys whose preference is cached; further keys only cost hashing.
CACHED_PREFERENCES_MAX = 4096
# Spare connections are opened where connecting takes more than this ratio of the latency objective:
# connecting and the round trip of the request would together take half of the objective.
SPARE_CONNECT_RATIO = 0.25
# A server must accept this many connections of each member before spare ones are opened.
SPARE_CONNECTIONS_PER_MEMBER = 4
# Ratio of a cold server's rate that its single sender uses. Two senders may overlap for a moment,
# and servers sustain one and a half times their cold rate.
COLD_RATE_RATIO = 0.7
# Time for which a change of its servers may move a service's requests to other regions at once.
DISRUPTION_S = 3.0
# Part of the keys that may change their region in a second after the entries of failed servers
# expired: that comes seconds after the failure, when requests have found other servers.
SHARE_CHANGE_PER_S = 0.015
# Connection limit for a server whose service is not configured yet; more than the server has slots.
CONNECTIONS_DEFAULT = 64
# Number of members among which a server's connections are divided: with affinity, few members send
# most of its requests at any time.
SENDERS_PER_SERVER = 4


@attrs.frozen
class Preference:
    """The servers of a service for a key: those of the key's region and of others, best first."""

    region: str
    near: tuple[Server, ...]
    far: tuple[Server, ...]


class Backends:
    """The registered servers by service, ordered for an affinity key by rendezvous hashing.

    `index_number` increases with each change of the servers or of the drained zones.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str = "",
        zone_regions: Mapping[str, str] | None = None,
        body_memory: BodyMemory | None = None,
        connections_max: int | None = None,
    ) -> None:
        self._clock = clock
        self._body_memory = body_memory or BodyMemory()
        self._connections_max = connections_max
        self._own_zone = zone
        self._own_region = (zone_regions or {}).get(zone, "")
        self._zone_regions = zone_regions or {}
        self._region_shares: dict[str, Mapping[str, tuple[RegionShare, ...]]] = {}
        self._own_shares: dict[str, tuple[RegionShare, ...]] = {}
        self._shares_moved_at_s = 0.0
        self.index_number = 0
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._preferences: dict[tuple[str, str, bool], Preference] = {}
        self._policies: dict[str, ServicePolicy] = {}
        self._goals_s: dict[str, float] = {}
        self._zone_connect_s: dict[str, float] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._opened_to_removed = 0
        self._work_times: dict[str, WorkTime] = {}
        self._disrupted_at_s: dict[str, float] = {}

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
        now_s = self._clock.now_s()
        for entry in servers.entries:
            server = self._servers.get(entry.server_id)
            if server is None or _is_other_process(server.entry, entry):
                if server is not None:
                    self._remove(server)
                server = self._add(entry)
                self.record_disruption(entry.service, now_s)
            elif server.entry.is_draining:
                # A process that leaves doesn't return: an entry that says so is an older one.
                entry = attrs.evolve(entry, is_draining=True)
            elif entry.is_draining:
                self.record_disruption(entry.service, now_s)
            # Counted from the arrival of a change: clocks of hosts may differ or be set.
            if entry.cold_s and (server.entry is entry or entry.cold_s != server.entry.cold_s):
                server.cold_until_s = max(server.cold_until_s, now_s + entry.cold_s)
            server.entry = entry
            kept[entry.server_id] = server
        for server_id, server in self._servers.items():
            if server_id not in kept:
                # The entry of a server that failed expires some time after the disruption.
                if not server.failures:
                    self.record_disruption(server.entry.service, now_s)
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
        now_s = self._clock.now_s()
        for server in self._servers.values():
            if server.entry.availability_zone in drained ^ self._drained_zones:
                self.record_disruption(server.entry.service, now_s)
        self._drained_zones = drained
        self._rebuild_index()
        for server in self._servers.values():
            if server.entry.availability_zone in returned:
                policy = self._policies.get(server.entry.service)
                warmup_s = policy.warmup_s if policy else 0.0
                server.cold_until_s = max(server.cold_until_s, now_s + warmup_s)
        return returned

    def may_receive(self, server: Server) -> bool:
        """Return whether a server is registered, stays, and its zone is not drained."""
        return (
            not server.entry.is_draining
            and not server.is_replaced
            and not server.is_leaving
            and server.entry.availability_zone not in self._drained_zones
        )

    def of_service(self, service: str) -> Sequence[Server]:
        """Return all servers of a service, including draining ones."""
        return self._by_service.get(service, ())

    def preference(self, service: str, key: str, *, is_upload: bool = False) -> Preference:
        """Return the servers of a service in the preference order of a key.

        Uploads prefer servers of the process's own availability zone, since transfers between
        zones cost more than a second copy of the objects that a server keeps for a key.
        """
        preference = self._preferences.get((service, key, is_upload))
        if preference is None:
            if len(self._preferences) >= CACHED_PREFERENCES_MAX:
                self._preferences.clear()
            preference = self._make_preference(service, key, is_upload)
            self._preferences[service, key, is_upload] = preference
        return preference

    def _make_preference(self, service: str, key: str, is_upload: bool) -> Preference:
        servers = sorted(
            self._by_service.get(service, ()),
            key=lambda server: _rendezvous_weight(key, server),
            reverse=True,
        )
        region = region_of_key(key, self._own_shares.get(service, ()))
        near = [server for server in servers if self.region_of(server) == region]
        far = [server for server in servers if self.region_of(server) != region]
        if is_upload:
            near.sort(key=lambda server: server.entry.availability_zone != self._own_zone)
        return Preference(region, tuple(near), tuple(far))

    def is_disrupted(self, service: str, now_s: float) -> bool:
        """Return whether servers of a service started, left or failed shortly before."""
        return now_s - self._disrupted_at_s.get(service, -math.inf) < DISRUPTION_S

    def record_disruption(self, service: str, now_s: float) -> None:
        """Record that a server of a service started, left, failed or stated another limit."""
        self._disrupted_at_s[service] = now_s

    def record_leaving(self, server: Server, now_s: float) -> None:
        """Record that a server said that it leaves: it receives nothing more."""
        server.is_leaving = True
        self.record_disruption(server.entry.service, now_s)
        self._rebuild_index()

    def region_share(self, server: Server, region: str) -> float:
        """Return the share (0 to 1) of a region's keys that belong to a server's region."""
        shares = self._region_shares.get(server.entry.service, {}).get(region, ())
        server_region = self.region_of(server)
        return sum(share.share for share in shares if share.region == server_region)

    def region_of(self, server: Server) -> str:
        """Return the region of a server, empty if its availability zone is unknown."""
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
            and not self._is_full()
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

    def move_keys(self) -> None:
        """Let keys change their region step by step; call it periodically."""
        now_s = self._clock.now_s()
        change_max = SHARE_CHANGE_PER_S * (now_s - self._shares_moved_at_s)
        self._shares_moved_at_s = now_s
        for service, shares in self._region_shares.items():
            own_shares = move_shares(
                self._own_shares[service], shares[self._own_region], change_max
            )
            if own_shares != self._own_shares[service]:
                self._own_shares[service] = own_shares
                self._preferences.clear()

    def close_expired(self) -> None:
        """Close idle keep-alive connections that servers are about to close."""
        for server in self._servers.values():
            server.pool.close_expired()

    def limited_count(self) -> int:
        """Return the number of servers that state a limit of requests per second."""
        return sum(server.rate_limit_per_s is not None for server in self._servers.values())

    def all_servers(self) -> Collection[Server]:
        """Return the registered servers of all services, including draining ones."""
        return self._servers.values()

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
        pool = ConnectionPool(
            entry.address, self._clock, connections_max, self._body_memory, self._has_room
        )
        work_time = self._work_times.setdefault(entry.service, WorkTime())
        return Server(entry, pool, work_time=work_time)

    def _is_full(self) -> bool:
        """Return whether the process has all the connections to servers that it may have."""
        return self._connections_max is not None and self._connections_max <= sum(
            server.pool.open_count for server in self._servers.values()
        )

    def _has_room(self) -> bool:
        """Return whether another connection may be opened, maybe in place of an idle one."""
        if not self._is_full():
            return True
        pools = [server.pool for server in self._servers.values()]
        largest = max(pools, key=lambda pool: pool.idle_count)
        if not largest.idle_count:
            return False
        largest.close_idle_one()
        return True

    def _remove(self, server: Server) -> None:
        server.is_replaced = True
        self._opened_to_removed += server.pool.connections_opened
        server.pool.close()

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.entry.service, []).append(server)
        self._by_service = {service: tuple(servers) for service, servers in by_service.items()}
        self._preferences.clear()
        self.index_number += 1
        regions = {self._own_region, *self._zone_regions.values()}
        self._region_shares = {}
        for service, servers in by_service.items():
            slots = self._slots_by_region(servers)
            self._region_shares[service] = {
                region: region_shares(region, self._zone_regions, slots) for region in regions
            }
        now_s = self._clock.now_s()
        self._own_shares = {
            service: (
                shares[self._own_region]
                if self.is_disrupted(service, now_s)
                else self._own_shares.get(service, shares[self._own_region])
            )
            for service, shares in self._region_shares.items()
        }

    def _slots_by_region(self, servers: Sequence[Server]) -> Mapping[str, float]:
        slots: dict[str, float] = {}
        for server in servers:
            if self.may_receive(server):
                region = self.region_of(server)
                slots[region] = slots.get(region, 0.0) + server.entry.slots
        return slots


def _is_other_process(old: ServerEntry, new: ServerEntry) -> bool:
    return (old.address, old.started_ms, old.service) != (new.address, new.started_ms, new.service)


def _rendezvous_weight(key: str, server: Server) -> bytes:
    return blake2b(f"{key}/{server.entry.server_id}".encode(), digest_size=8).digest()
