"""A simulated fleet of members that send to servers which state limits of requests per second."""

import bisect
import heapq
import itertools
import os
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random

import attrs

from berylchute.backends import Backends
from berylchute.discovery import MemberDiscovery
from berylchute.eventlog import EventLog
from berylchute.headernames import HeaderNames
from berylchute.selection import Selector
from berylchute.serverlimits import ServerLimits
from berylchute.servers import Server
from berylchute.servertracker import ServerTracker
from berylchute.sharedobjects import CallerLimits, RouteTable, ServerList, ServicePolicy
from berylchute.spillshare import SpillLimiter
from berylchute.types import MemberState, MemberStatus
from berylchute.upstream import ServerAnswer
from tests.httpfakes import ManualClock
from tests.test_backends import entry
from tests.test_directory import member

ZONE_REGIONS = {"za": "ra", "zb": "ra", "zc": "rb", "zd": "rb"}
# Region ra has three times as many servers as rb, so half of the keys of rb belong to ra.
SERVER_ZONES = ("za", "zb", "za", "zb", "za", "zb", "zc", "zd")
ANSWER_S = 0.15
WINDOW_S = 4.0
# What a window may hold: this ratio of what the limit allows, and some requests more.
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5.0
VIEW_PERIOD_S = 0.25
JOIN_S = 2.0
LEARNED_AFTER_S = 0.5


class FleetMember:
    """The parts of one edge process that choose servers and read their answers."""

    def __init__(self, fleet: "Fleet", name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.published: Mapping[str, float] = {}
        # Names of the members that this one regards as gone.
        self.cut_off: frozenset[str] = frozenset()
        # Names of the members of which this one has never heard.
        self.unheard_of: frozenset[str] = frozenset()
        self._fleet = fleet
        self.backends = Backends(fleet.clock, zone, ZONE_REGIONS)
        policy = ServicePolicy("s", 390, warmup_s=3.0, cold_rate_per_s=10.0)
        self.backends.configure(RouteTable(1, (), (policy,), CallerLimits()))
        self.backends.update_servers(fleet.server_list)
        self.discovery = MemberDiscovery(fleet.clock, ZONE_REGIONS)
        self.limits = ServerLimits(name, self.backends, fleet.clock, self.discovery)
        self.selector = Selector(self.backends, lambda _: True, self.limits, SpillLimiter())
        self.tracker = ServerTracker(self.backends, HeaderNames(), fleet.clock, fleet.log)

    def update_view(self) -> None:
        """Take over what the other members publish, and publish the own limits."""
        statuses = self._fleet.statuses(self)
        is_alone = len(self._fleet.members) == 1
        self.discovery.update(is_joined=is_alone or len(statuses) > 1)
        self.limits.update_members(statuses)
        self.published = self.limits.limits_to_report()

    def request(self, key: str, *, is_return: bool = False) -> None:
        """Send a caller's request to the selected server, if there is one."""
        now_s = self._fleet.clock.now
        selection = self.selector.select(
            "s", key, 0.3, False, lambda _: True, (), now_s, is_return=is_return
        )
        if selection.server is not None:
            self._send(selection.server)

    def _send(self, server: Server) -> None:
        server.in_flight += 1
        self.selector.record_send(server, self._fleet.clock.now)
        answer = self._fleet.receive(server.entry.server_id)

        def respond() -> None:
            server.in_flight -= 1
            self.tracker.record_answer(server, answer, ANSWER_S)

        self._fleet.call_later(ANSWER_S, respond)


@attrs.define
class _LimitedServer:
    limit_per_s: float | None = None
    stated_at_s: float = 0.0
    arrivals_s: list[float] = attrs.Factory(list)


class Fleet:
    """Members, servers and callers on a virtual clock."""

    def __init__(self, member_count: int, seed: int) -> None:
        self.clock = ManualClock(0.0)
        self.rng = Random(seed)
        self.server_list = ServerList(
            tuple(
                entry(f"i-{number}", availability_zone=zone, slots=9)
                for number, zone in enumerate(SERVER_ZONES)
            )
        )
        self.servers = {item.server_id: _LimitedServer() for item in self.server_list.entries}
        self.log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        zones = itertools.cycle(ZONE_REGIONS)
        self.members = [
            FleetMember(self, f"m{number}", zone)
            for number, zone in zip(range(1, member_count + 1), zones, strict=False)
        ]
        self._update_views()

    def statuses(self, reader: FleetMember) -> Sequence[MemberStatus]:
        """Return the member list as `reader` sees it."""
        return [
            attrs.evolve(status, state=MemberState.GONE) if name in reader.cut_off else status
            for name, status in self._published.items()
            if name not in reader.unheard_of
        ]

    def state_limits(self, limit_per_s: float | None, *server_ids: str) -> None:
        """Let servers state a limit from now on, or none."""
        for server_id in server_ids or self.servers:
            server = self.servers[server_id]
            server.limit_per_s, server.stated_at_s = limit_per_s, self.clock.now

    def restart(self, number: int, *, is_cut_off: bool = False) -> None:
        """Replace a member by a fresh process with the same name, which joins unless cut off.

        It knows only itself at first, and the others after JOIN_S.
        """
        self._replace(number, known=() if is_cut_off else [other.name for other in self.members])

    def restart_region(self, region: str) -> None:
        """Cut off a region's members and restart them: they know each other, but no one else."""
        names = {m.name for m in self.members if ZONE_REGIONS[m.zone] == region}
        for number, old in enumerate(self.members):
            if old.name in names:
                self._replace(number, known=names)
            else:
                old.cut_off = frozenset(names)

    def _replace(self, number: int, known: Collection[str]) -> None:
        old = self.members[number]
        fresh = self.members[number] = FleetMember(self, old.name, old.zone)
        others = {other.name for other in self.members} - {old.name}
        fresh.unheard_of = frozenset(others)

        def join() -> None:
            fresh.unheard_of = frozenset(others.difference(known))

        self.call_later(JOIN_S, join)

    def run(self, seconds: float, requests_per_s: float, *, is_return: bool = False) -> None:
        """Let callers send requests to random members, new or (`is_return`) refused before."""
        end_s = self.clock.now + seconds
        next_s = self.clock.now + self.rng.expovariate(requests_per_s)
        while next_s < end_s:
            self._advance(next_s)
            self.rng.choice(self.members).request(str(self.rng.randrange(400)), is_return=is_return)
            next_s += self.rng.expovariate(requests_per_s)
        self._advance(end_s)

    def receive(self, server_id: str) -> ServerAnswer:
        """Count a request that reaches a server; return the answer."""
        server = self.servers[server_id]
        server.arrivals_s.append(self.clock.now)
        headers = ()
        if server.limit_per_s is not None:
            headers = ((b"Berylchute-Limit", b"%.1f" % server.limit_per_s),)
        return ServerAnswer(200, headers, b"", 0.0)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_s` of virtual time."""
        heapq.heappush(self._events, (self.clock.now + delay_s, next(self._numbers), action))

    def busiest_ratio(self) -> float:
        """Return the most that a window held, as a ratio of what it may hold.

        All members count, from the time on by which they should have learned of the limit.
        """
        ratios = [0.0]
        for server in self.servers.values():
            if server.limit_per_s is None:
                continue
            allowed = LIMIT_RATIO * server.limit_per_s * WINDOW_S + LIMIT_SLACK
            times_s = [t for t in server.arrivals_s if t >= server.stated_at_s + LEARNED_AFTER_S]
            for first, start_s in enumerate(times_s):
                end = bisect.bisect_left(times_s, start_s + WINDOW_S)
                ratios.append((end - first) / allowed)
        return max(ratios)

    def rate_per_s(self, server_id: str, seconds: float) -> float:
        """Return the mean rate of requests to a server in the last `seconds`."""
        since_s = self.clock.now - seconds
        return sum(t >= since_s for t in self.servers[server_id].arrivals_s) / seconds

    def _update_views(self) -> None:
        self._published = {
            other.name: member(
                other.name, other.zone, ZONE_REGIONS[other.zone], server_limits=other.published
            )
            for other in self.members
        }
        for fleet_member in self.members:
            fleet_member.update_view()
        self.call_later(VIEW_PERIOD_S, self._update_views)

    def _advance(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.now = at_s
            action()
        self.clock.now = until_s
