"""A small model of hosts that select servers with slots and queues, and callers that return."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable, Sequence
from random import Random

import attrs

from berylchute.backends import Backends
from berylchute.discovery import MemberDiscovery
from berylchute.priorities import AdmissionParameters, RankAdmission, RequestClass, ReturnSchedule
from berylchute.retryafter import choose_delay_s
from berylchute.returns import ReturnDetector
from berylchute.selection import Selection, Selector
from berylchute.serverlimits import ServerLimits
from berylchute.servers import ReportedLoad, Server
from berylchute.sharedobjects import ServerList
from berylchute.spillshare import SpillLimiter
from tests.httpfakes import ManualClock
from tests.test_backends import entry, make_backends

SLOTS, WORK_S, ROUND_TRIP_S = 9, 0.12, 0.01
CALLER_TIME_S, RETURNS_MAX = 2.0, 2
KEYS = 300


@attrs.frozen
class Kind:
    """Callers of one rank and organisation; `rate_per_s` is a function of the time."""

    name: str
    rank: int
    rate_per_s: Callable[[float], float]
    organisation: str = ""


@attrs.define(eq=False)
class _SlotServer:
    slots: int
    running: int = 0
    waiting: deque[Callable[[], None]] = attrs.Factory(deque)


class _Host:
    def __init__(self, fleet: "SlotFleet", name: str, names: Sequence[str]) -> None:
        entries = [entry(server, slots=SLOTS) for server in names]
        self.backends: Backends = make_backends(fleet.clock, *entries)
        limits = ServerLimits(name, self.backends, fleet.clock, MemberDiscovery(fleet.clock))
        self.selector = Selector(self.backends, lambda _: True, limits, SpillLimiter())
        self.returns = ReturnDetector()
        self.schedule = ReturnSchedule()
        self.admission = RankAdmission(fleet.parameters) if fleet.parameters else None


class SlotFleet:
    """Hosts, servers and callers on a virtual clock; without `parameters`, ranks count nothing."""

    def __init__(
        self, parameters: AdmissionParameters | None, seed: int, hosts: int = 3, servers: int = 6
    ) -> None:
        self.clock = ManualClock(0.0)
        self.parameters = parameters
        self.rng = Random(seed)
        self._rng_ranks = Random(seed)
        names = [f"i-{number}" for number in range(servers)]
        self.servers = {name: _SlotServer(SLOTS) for name in names}
        self.hosts = [_Host(self, f"m{number}", names) for number in range(hosts)]
        # Counts by kind and result: "sent", "served", "refused" (at once), "refused_twice".
        self.counts: Counter[tuple[str, str]] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def run(self, until_s: float, *kinds: Kind) -> None:
        """Let callers of all kinds send requests until a time."""
        for kind in kinds:
            self._arrive(kind, until_s, is_first=True)
        while self._events:
            self.clock.now, _, action = heapq.heappop(self._events)
            action()

    def ratio(self, name: str, result: str = "served") -> float:
        """Return the ratio of a kind's requests with a result."""
        return self.counts[name, result] / max(1, self.counts[name, "sent"])

    def served(self) -> int:
        """Return the number of all served requests."""
        return sum(count for (_, result), count in self.counts.items() if result == "served")

    def set_slots(self, slots: int) -> None:
        """Set the slots of all servers, and their entries."""
        for server in self.servers.values():
            server.slots = slots
        entries = tuple(entry(name, slots=slots) for name in self.servers)
        for host in self.hosts:
            host.backends.update_servers(ServerList(entries))

    def call_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def _arrive(self, kind: Kind, until_s: float, *, is_first: bool = False) -> None:
        now_s = self.clock.now
        if not is_first:
            self.counts[kind.name, "sent"] += 1
            key = str(self.rng.randrange(KEYS))
            self._request(kind, key, now_s + CALLER_TIME_S, refusals=0)
        next_s = now_s + self.rng.expovariate(max(kind.rate_per_s(now_s), 0.01))
        if next_s < until_s:
            self.call_at(next_s, lambda: self._arrive(kind, until_s))

    def _request(self, kind: Kind, key: str, deadline_s: float, refusals: int) -> None:
        host, now_s = self.rng.choice(self.hosts), self.clock.now
        remaining_s = deadline_s - now_s
        is_return = host.returns.is_return("r", remaining_s * 1000.0, now_s)
        request = RequestClass("s", kind.rank, kind.organisation)
        ratio = None
        if host.admission is not None:
            # A random number of its own, so that both variants get the same load.
            ratio = host.admission.full_ratio(request, now_s, self._rng_ranks, is_return=is_return)
        selection = self._select(host, key, ratio, is_return=is_return)
        if host.admission is not None:
            host.admission.record_selection(request, selection, now_s)
        if selection.server is not None and self._send(host, selection.server, kind, deadline_s):
            return
        self.counts[kind.name, ("refused", "refused_twice", "refused_thrice")[refusals]] += 1
        if refusals == RETURNS_MAX:
            return
        delay_s = choose_delay_s(remaining_s, self._rng_ranks)
        if host.admission is not None:
            delay_s = host.schedule.schedule(
                remaining_s,
                host.admission.return_room_per_s(request),
                host.admission.position(request),
                now_s,
                self._rng_ranks,
            )
        self.call_at(
            now_s + delay_s + ROUND_TRIP_S,
            lambda: self._request(kind, key, deadline_s, refusals + 1),
        )

    def _select(self, host: _Host, key: str, ratio: float | None, *, is_return: bool) -> Selection:
        return host.selector.select(
            "s",
            key,
            0.3,
            False,
            lambda _: True,
            (),
            self.clock.now,
            is_return=is_return,
            full_ratio=ratio,
        )

    def _send(self, host: _Host, server: Server, kind: Kind, deadline_s: float) -> bool:
        """Send a request to a server; return whether it has room in its queue."""
        slots = self.servers[server.entry.server_id]
        if slots.running >= slots.slots and len(slots.waiting) >= slots.slots:
            self._report(server, slots)
            return False
        server.in_flight += 1
        sent_s = self.clock.now

        def start() -> None:
            slots.running += 1
            self.call_at(self.clock.now + WORK_S * self.rng.uniform(0.3, 1.7), finish)

        def finish() -> None:
            slots.running -= 1
            if slots.waiting and slots.running < slots.slots:
                slots.waiting.popleft()()
            server.in_flight -= 1
            self._report(server, slots)
            assert server.reported is not None
            server.work_time.record(self.clock.now - sent_s, server.reported)
            if self.clock.now <= deadline_s:
                self.counts[kind.name, "served"] += 1

        if slots.running < slots.slots:
            start()
        else:
            slots.waiting.append(start)
        return True

    def _report(self, server: Server, slots: _SlotServer) -> None:
        load = ReportedLoad(slots.running, len(slots.waiting), slots.slots)
        server.record_load(load, self.clock.now)
