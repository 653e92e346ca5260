"""A simulated fleet in three regions whose servers queue, warm up, crash and return."""

import heapq
import itertools
import math
import os
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from random import Random

import attrs

from berylchute.backends import Backends
from berylchute.discovery import MemberDiscovery
from berylchute.edge import REPORT_INTERVAL_S
from berylchute.eventlog import EventLog
from berylchute.exceptions import AnswerLost
from berylchute.headernames import HeaderNames
from berylchute.selection import Selector
from berylchute.serverlimits import ServerLimits
from berylchute.servers import Server
from berylchute.servertracker import ServerTracker
from berylchute.sharedobjects import (
    CallerLimits,
    RouteTable,
    ServerEntry,
    ServerList,
    ServicePolicy,
)
from berylchute.spillshare import SpillLimiter
from berylchute.upstream import ServerAnswer
from tests.httpfakes import ManualClock
from tests.test_backends import entry

ZONE_REGIONS = {"ra-1": "ra", "ra-2": "ra", "rb-1": "rb", "rb-2": "rb", "rc-1": "rc", "rc-2": "rc"}
# Region rb has a tenth of the servers, so most of its keys belong to the other two.
ZONE_SERVERS = {"ra-1": 5, "ra-2": 5, "rb-1": 1, "rb-2": 1, "rc-1": 4, "rc-2": 4}
SLOTS = 9
QUEUE_MAX = 27
KEY_COUNT = 115
OBJECTS_KEPT = 72
WORK_S, WARM_WORK_S = 0.41, 0.123
COLD_S, COLD_WORK_RATIO = 3.0, 2.0
STRAGGLER_RATIO, STRAGGLER_WORK_RATIO = 0.03, 7.0
TIMEOUT_S = 1.2
REGION_DELAY_S = 0.012
# Entries of crashed servers remain this long.
LEASE_S = 4.0
WINDOW_S = 2.0
# Fewer requests from a region in a window say nothing about its shares.
WINDOW_REQUESTS_MIN = 100


@attrs.define
class _Work:
    key: str
    arrived_s: float
    respond: Callable[[ServerAnswer | None], None]


class FleetServer:
    """A backend server: slots, a queue, recently handled objects and a cold start."""

    def __init__(self, fleet: "RegionFleet", server_entry: ServerEntry) -> None:
        self.entry = server_entry
        self.started_s = fleet.clock.now
        self.is_up = True
        self._fleet = fleet
        self._running = 0
        self._waiting: deque[_Work] = deque()
        self._kept: OrderedDict[str, None] = OrderedDict()

    def receive(self, work: _Work) -> None:
        """Start, queue or reject a request."""
        if not self.is_up:
            work.respond(None)
        elif self._running < SLOTS:
            self._start(work)
        elif len(self._waiting) < QUEUE_MAX:
            self._waiting.append(work)
        else:
            work.respond(self._answer(503))

    def crash(self) -> None:
        """Lose all requests."""
        self.is_up = False
        for work in self._waiting:
            work.respond(None)
        self._waiting.clear()

    def _start(self, work: _Work) -> None:
        self._running += 1
        seconds = WARM_WORK_S if work.key in self._kept else WORK_S
        if self._fleet.clock.now < self.started_s + COLD_S:
            seconds *= COLD_WORK_RATIO
        self._kept[work.key] = None
        self._kept.move_to_end(work.key)
        while len(self._kept) > OBJECTS_KEPT:
            self._kept.popitem(last=False)
        seconds *= self._fleet.rng.uniform(0.7, 1.3)
        if self._fleet.rng.random() < STRAGGLER_RATIO:
            seconds *= STRAGGLER_WORK_RATIO
        self._fleet.call_later(seconds, lambda: self._finish(work))

    def _finish(self, work: _Work) -> None:
        if not self.is_up:
            work.respond(None)
            return
        self._running -= 1
        work.respond(self._answer(200))
        while self._waiting and self._running < SLOTS:
            following = self._waiting.popleft()
            if self._fleet.clock.now < following.arrived_s + TIMEOUT_S:
                self._start(following)
            else:
                following.respond(self._answer(504))

    def _answer(self, status: int) -> ServerAnswer:
        load = b"%d,%d,%d,100" % (self._running, len(self._waiting), SLOTS)
        return ServerAnswer(status, ((b"Berylchute-Load", load),), b"", -math.inf)


class RegionMember:
    """The parts of one edge process that select servers and read their answers."""

    def __init__(self, fleet: "RegionFleet", zone: str) -> None:
        self.zone, self.region = zone, ZONE_REGIONS[zone]
        self._fleet = fleet
        self.backends = Backends(fleet.clock, zone, ZONE_REGIONS)
        policy = ServicePolicy("s", 390, warmup_s=COLD_S, cold_rate_per_s=14.0)
        self.backends.configure(RouteTable(1, (), (policy,), CallerLimits()))
        limits = ServerLimits(zone, self.backends, fleet.clock, MemberDiscovery(fleet.clock))
        self.selector = Selector(self.backends, self._is_cold_sender, limits, SpillLimiter())
        self._tracker = ServerTracker(self.backends, HeaderNames(), fleet.clock, fleet.log)

    def request(self, key: str) -> None:
        """Send a caller's request to the selected server, if there is one."""
        now_s = self._fleet.clock.now
        selection = self.selector.select("s", key, 0.3, False, lambda _: True, (), now_s)
        server = selection.server
        self._fleet.record_outcome("refused" if server is None else "sent")
        if server is not None:
            server.in_flight += 1
            self.selector.record_send(server, now_s)
            delay_s = self._delay_s(server)
            self._fleet.call_later(delay_s, lambda: self._reach(server, key, now_s))

    def _reach(self, server: Server, key: str, sent_s: float) -> None:
        delay_s = self._delay_s(server)

        def respond(answer: ServerAnswer | None) -> None:
            self._fleet.call_later(delay_s, lambda: self._receive(server, answer, sent_s))

        work = _Work(key, self._fleet.clock.now, respond)
        self._fleet.servers[server.entry.server_id].receive(work)

    def _receive(self, server: Server, answer: ServerAnswer | None, sent_s: float) -> None:
        server.in_flight -= 1
        if answer is None:
            self._tracker.record_failure(server, AnswerLost("reset"))
            return
        seconds = self._fleet.clock.now - sent_s
        self._tracker.record_answer(server, answer, seconds)
        if answer.status == 200:
            in_time = "in_time" if seconds < 0.3 else "late"
            self._fleet.record_outcome(in_time)
            server_region = ZONE_REGIONS[server.entry.availability_zone]
            self._fleet.runs.append((sent_s, self.region, server_region))

    def _delay_s(self, server: Server) -> float:
        is_near = ZONE_REGIONS[server.entry.availability_zone] == self.region
        return 0.0 if is_near else REGION_DELAY_S

    def _is_cold_sender(self, server: Server) -> bool:
        return self.zone == server.entry.availability_zone


class RegionFleet:
    """One member a zone, servers and callers on a virtual clock.

    `runs` holds the time, the caller's region and the server's region of each answered request.
    """

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock(0.0)
        self.rng = Random(seed)
        self.log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
        self.servers: dict[str, FleetServer] = {}
        self.runs: list[tuple[float, str, str]] = []
        self.outcomes: dict[int, Counter[str]] = {}
        self._listed: list[ServerEntry] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.members = [RegionMember(self, zone) for zone in ZONE_REGIONS]
        self._move_keys()
        self.add_servers(*(zone for zone, count in ZONE_SERVERS.items() for _ in range(count)))
        for server in self.servers.values():
            server.started_s = -COLD_S
        for fleet_member in self.members:
            for backend in fleet_member.backends.all_servers():
                backend.cold_until_s = 0.0

    def add_servers(self, *zones: str) -> None:
        """Start a cold server in each of `zones` and list it."""
        for zone in zones:
            name = f"i-{len(self.servers)}"
            cold = entry(name, availability_zone=zone, slots=SLOTS, cold_s=COLD_S)
            self.servers[name] = FleetServer(self, cold)
            self._listed.append(cold)
        self._publish()

    def crash(self, servers: Sequence[FleetServer], *, restart_s: float | None) -> None:
        """Crash servers; others start in their zones after `restart_s`, unless it is None."""
        for server in servers:
            server.crash()

        def expire() -> None:
            self._listed = [item for item in self._listed if self.servers[item.server_id].is_up]
            self._publish()

        self.call_later(LEASE_S, expire)
        if restart_s is not None:
            zones = [server.entry.availability_zone for server in servers]
            self.call_later(restart_s, lambda: self.add_servers(*zones))

    def pick_servers(self, ratio: float, *regions: str) -> Sequence[FleetServer]:
        """Return a random part of the servers that are up, of all regions or only of `regions`."""
        up = [
            server
            for server in self.servers.values()
            if server.is_up and (not regions or _region(server) in regions)
        ]
        return self.rng.sample(up, round(ratio * len(up)))

    def run(self, until_s: float, zone_rates_per_s: Callable[[str], float]) -> None:
        """Let callers send requests to the member of their zone, at a rate for each zone."""
        zones = list(ZONE_REGIONS)
        while self.clock.now < until_s:
            rates = [zone_rates_per_s(zone) for zone in zones]
            self._advance(self.clock.now + self.rng.expovariate(sum(rates)))
            (number,) = self.rng.choices(range(len(zones)), rates)
            self.members[number].request(str(self.rng.randrange(KEY_COUNT)))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_s` of virtual time."""
        heapq.heappush(self._events, (self.clock.now + delay_s, next(self._numbers), action))

    def record_outcome(self, outcome: str) -> None:
        """Count an outcome in the current second."""
        self.outcomes.setdefault(int(self.clock.now), Counter())[outcome] += 1

    def largest_shift(self, from_s: float, until_s: float) -> float:
        """Return the largest share of a region's requests that changed their region.

        Compares each window with the one before it, all between two times.
        """
        shifts = [0.0]
        for region in set(ZONE_REGIONS.values()):
            runs = [(at_s, to) for at_s, home, to in self.runs if home == region]
            middle_s = from_s + WINDOW_S
            while middle_s + WINDOW_S <= until_s:
                before = Counter(to for at_s, to in runs if middle_s - WINDOW_S <= at_s < middle_s)
                after = Counter(to for at_s, to in runs if middle_s <= at_s < middle_s + WINDOW_S)
                if min(before.total(), after.total()) >= WINDOW_REQUESTS_MIN:
                    shifts.append(_distance(before, after))
                middle_s += WINDOW_S / 4.0
        return max(shifts)

    def _move_keys(self) -> None:
        for fleet_member in self.members:
            fleet_member.backends.move_keys()
        self.call_later(REPORT_INTERVAL_S, self._move_keys)

    def _publish(self) -> None:
        for fleet_member in self.members:
            # Copies, as if decoded anew: a list with the same entries starts no cold time.
            entries = tuple(attrs.evolve(item) for item in self._listed)
            fleet_member.backends.update_servers(ServerList(entries))

    def _advance(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.now = at_s
            action()
        self.clock.now = until_s


def _region(server: FleetServer) -> str:
    return ZONE_REGIONS[server.entry.availability_zone]


def _distance(before: Counter[str], after: Counter[str]) -> float:
    """Return the share of all requests by which two distributions differ."""
    regions = before.keys() | after.keys()
    return sum(
        max(0.0, after[region] / after.total() - before[region] / before.total())
        for region in regions
    )
