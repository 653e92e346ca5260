"""A simulated fleet of members that share the allotments of organisations, in virtual time."""

import asyncio
import bisect
import os
from collections import Counter
from collections.abc import Collection, Coroutine, Sequence
from random import Random
from typing import Any

import attrs

from berylchute.allotments import Allotments, MemberShares
from berylchute.allotments.limits import RETRY_AFTER_MAX_S
from berylchute.discovery import MemberDiscovery
from berylchute.edgemetrics import EdgeMetrics
from berylchute.eventlog import EventLog
from berylchute.messages import AllotmentGrant, AllotmentRequest, MemberRecord, Message
from berylchute.types import MemberState, MemberStatus
from tests.test_directory import member
from tests.virtualtime import LoopClock

__all__ = ["AllotmentFleet", "Organisation", "most_used_ratio", "served_in_one_place"]

ZONE_REGIONS = {"za": "ra", "zb": "ra", "zc": "rb", "zd": "rb", "ze": "rc", "zf": "rc"}
STRONG, WEAK = 8.0, 2.0
# The bound of the specification: requests in any window, relative to what the limit allows.
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20.0
VIEW_PERIOD_S = 0.25
# When members notice a silent one, in their own zone and in others (MEMBER_TIMING, roster.py).
SUSPECT_S, GONE_S, REMOTE_DELAY_S = 1.6, 3.0, 1.5
CONFIG_APPLY_S = 3.0
# Part of the members of which a host hears in an update of its view, and the longest time until it
# has heard of all.
GOSSIP_RATIO, GOSSIP_MAX_S = 0.4, 1.0


@attrs.frozen
class Organisation:
    """The limit of an organisation."""

    name: str
    rate_per_s: float
    burst: float


class FleetHost:
    """The allotments of one process, and what it sees of the others."""

    def __init__(self, fleet: "AllotmentFleet", name: str, zone: str, capacity: float) -> None:
        fleet.incarnations += 1
        self.name, self.zone = name, zone
        self.is_alive, self.is_frozen = True, False
        self.backlog: list[Message] = []
        self.started_s = fleet.now_s()
        self.record: MemberRecord = member(
            name,
            zone,
            ZONE_REGIONS[zone],
            capacity=capacity,
            peer_address=name,
            incarnation=fleet.incarnations,
        ).record
        # The time at which this host last heard of each other one.
        self.heard_s: dict[str, float] = {}
        self.seen: dict[str, MemberRecord] = {}
        self.statuses: tuple[MemberStatus, ...] = ()
        self.discovery = MemberDiscovery(fleet.clock, ZONE_REGIONS)
        self.shares = MemberShares(name, self.discovery)
        metrics = EdgeMetrics().allotments
        self.allotments = Allotments(
            self.record,
            self.shares,
            _Peers(fleet, self),
            fleet.clock,
            fleet.log,
            metrics,
        )
        self.counts = metrics.counts
        self.allotments.configure(fleet.organisations.values())


class _Peers:
    def __init__(self, fleet: "AllotmentFleet", host: FleetHost) -> None:
        self._fleet, self._host = fleet, host

    def send(self, address: str, message: Message) -> None:
        self._fleet.transmit(self._host, address, message)


class AllotmentFleet:
    """Hosts, the links between them, and callers of organisations.

    `loss` and `duplicates` are the parts of messages that are lost or sent twice, `delay_s` the
    range of their delay.
    """

    def __init__(
        self,
        organisations: Sequence[Organisation],
        seed: int,
        weak_per_zone: int,
        strong_per_zone: int = 2,
    ) -> None:
        self.clock = LoopClock()
        self.rng = Random(seed)
        self.organisations = {item.name: item for item in organisations}
        self.log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
        self.incarnations = 0
        self.messages = 0
        self.loss = self.duplicates = 0.0
        self.delay_s = (0.001, 0.03)
        # Pairs of host names whose messages are lost, and those that also hear nothing by others.
        self.cut_links: set[tuple[str, str]] = set()
        self.sides: dict[str, int] = {}
        # Whether hosts that start read a record of all hosts from the store.
        self.has_record = False
        self.sends: dict[str, list[float]] = {}
        self.refused: dict[str, int] = {}
        self.offered: dict[str, int] = {}
        self.arrivals_s: dict[str, list[float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors: list[BaseException] = []
        self.hosts: dict[str, FleetHost] = {}
        for zone in ZONE_REGIONS:
            for number in range(strong_per_zone + weak_per_zone):
                capacity = STRONG if number < strong_per_zone else WEAK
                name = f"{zone}{number}"
                self.hosts[name] = FleetHost(self, name, zone, capacity)
        for host in self.hosts.values():
            host.heard_s = dict.fromkeys(self.hosts, self.now_s())
            host.seen = {name: other.record for name, other in self.hosts.items()}

    @property
    def strong_names(self) -> list[str]:
        """Return the hosts that callers use."""
        return [name for name, host in self.hosts.items() if host.record.capacity == STRONG]

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Run until all hosts know each other and the buckets are full."""
        self._spawn(self._update_views_forever())
        await asyncio.sleep(8.0)

    async def stop(self) -> None:
        """End all tasks; raise the first error of a request."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._errors:
            raise self._errors[0]

    def demand(
        self, name: str, rate_per_s: float, seconds: float, hosts: Collection[str] = ()
    ) -> None:
        """Let callers send requests of an organisation to hosts, by default all strong ones."""
        self._spawn(self._call_forever(name, rate_per_s, self.now_s() + seconds, list(hosts)))

    def owner(self, name: str) -> str:
        """Return the host that most hosts ask for tokens of an organisation."""
        owners = Counter(
            owner.host_id
            for host in self.hosts.values()
            if host.is_alive and (owner := host.shares.find_owner(name))
        )
        return max(owners, key=lambda host_id: (owners[host_id], host_id))

    def kill(self, name: str) -> None:
        """End a host's process without notice."""
        self.hosts[name].is_alive = False

    def restart(self, name: str) -> None:
        """Replace a host by a new process, which knows the others after a moment."""
        old = self.hosts[name]
        old.is_alive = False
        fresh = FleetHost(self, name, old.zone, old.record.capacity)
        fresh.heard_s = {name: self.now_s()}
        if self.has_record:
            fresh.discovery.set_recorded(
                {other: host.record.region for other, host in self.hosts.items()},
                {other: host.record.capacity for other, host in self.hosts.items()},
            )
        self.hosts[name] = fresh

    def leave(self, name: str) -> None:
        """Let a host announce that it leaves; it still finishes requests."""
        host = self.hosts[name]
        host.record = attrs.evolve(host.record, leaving=True, ready=False, sequence=2)

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a process for some time; the messages to it arrive afterwards."""
        host = self.hosts[name]
        host.is_frozen = True

        def thaw() -> None:
            host.is_frozen = False
            for other in host.heard_s:
                host.heard_s[other] += seconds
            backlog, host.backlog = host.backlog, []
            for message in backlog:
                host.allotments.handle(message)

        asyncio.get_running_loop().call_later(seconds, thaw)

    def split(self, zones: Collection[str]) -> None:
        """Cut the hosts of some zones off from the others."""
        self.split_hosts([name for name, host in self.hosts.items() if host.zone in zones])

    def split_hosts(self, names: Collection[str]) -> None:
        """Cut some hosts off from the others, which may be of the same zones."""
        self.sides = {name: int(name in names) for name in self.hosts}

    def cut_off_singly(self, names: Collection[str]) -> None:
        """Cut each of some hosts off from all others."""
        self.sides = {name: number for number, name in enumerate(sorted(names), 1)}
        self.sides.update({name: 0 for name in self.hosts if name not in names})

    def heal(self) -> None:
        self.sides = {}
        self.cut_links.clear()

    def cut_link(self, one: str, other: str) -> None:
        """Lose the messages between two hosts, which still hear of each other by relays."""
        self.cut_links |= {(one, other), (other, one)}

    def reconfigure(self, organisations: Sequence[Organisation]) -> None:
        """Change the limits; each host applies them within CONFIG_APPLY_S."""
        self.organisations = {item.name: item for item in organisations}
        for host in self.hosts.values():
            delay_s = self.rng.uniform(0.0, CONFIG_APPLY_S)
            asyncio.get_running_loop().call_later(
                delay_s, host.allotments.configure, list(organisations)
            )

    def transmit(self, sender: FleetHost, address: str, message: Message) -> None:
        """Deliver a message after a delay, unless it is lost on its way."""
        assert isinstance(message, AllotmentRequest | AllotmentGrant)
        self.messages += 1
        if not sender.is_alive or sender.is_frozen:
            return
        for _ in range(2 if self.rng.random() < self.duplicates else 1):
            if self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(*self.delay_s)
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._deliver, sender.name, address, message)

    def _deliver(self, sender: str, address: str, message: Message) -> None:
        host = self.hosts[address]
        if not host.is_alive or not self._is_linked(sender, address):
            return
        if (sender, address) in self.cut_links:
            return
        if host.is_frozen:
            host.backlog.append(message)
        else:
            host.allotments.handle(message)

    def _is_linked(self, one: str, other: str) -> bool:
        return self.sides.get(one) == self.sides.get(other)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._record_end)

    def _record_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._errors.append(error)

    async def _call_forever(
        self, name: str, rate_per_s: float, end_s: float, hosts: Sequence[str]
    ) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if self.now_s() >= end_s:
                return
            host = self.hosts[self.rng.choice(hosts or self.strong_names)]
            if host.is_alive and not host.is_frozen and name in self.organisations:
                self.offered[name] = self.offered.get(name, 0) + 1
                self.arrivals_s.setdefault(name, []).append(self.now_s())
                self._spawn(self._request(host, name))

    async def _request(self, host: FleetHost, name: str) -> None:
        verdict = await host.allotments.acquire(self.organisations[name], self.now_s() + 1.5)
        if not host.is_alive or host.is_frozen:
            return
        if verdict.is_allowed:
            self.sends.setdefault(name, []).append(self.now_s())
        else:
            self.refused[name] = self.refused.get(name, 0) + 1
            assert 0.0 < verdict.retry_after_s <= RETRY_AFTER_MAX_S

    async def _update_views_forever(self) -> None:
        while True:
            for host in list(self.hosts.values()):
                if host.is_alive and not host.is_frozen:
                    self._update_view(host)
            await asyncio.sleep(VIEW_PERIOD_S)

    def _update_view(self, reader: FleetHost) -> None:
        now_s = self.now_s()
        for name, host in self.hosts.items():
            # News of others arrive with some rounds of gossip.
            silent_s = now_s - reader.heard_s.get(name, now_s)
            is_late = GOSSIP_MAX_S <= silent_s < GOSSIP_MAX_S + 2.0 * VIEW_PERIOD_S
            is_at_once = host.record.leaving or name == reader.name
            is_fresh = is_at_once or is_late or self.rng.random() < GOSSIP_RATIO
            is_heard = host.is_alive and not host.is_frozen and self._is_linked(reader.name, name)
            if is_heard and is_fresh:
                reader.heard_s[name], reader.seen[name] = now_s, host.record
        statuses = tuple(
            MemberStatus(reader.seen[name], self._state(reader, name, now_s))
            for name in sorted(reader.seen)
        )
        if statuses != reader.statuses:
            reader.statuses = statuses
        reader.discovery.update(is_joined=len(statuses) > 1)
        reader.allotments.update_members(reader.statuses)

    def _state(self, reader: FleetHost, name: str, now_s: float) -> MemberState:
        silent_s = now_s - reader.heard_s[name]
        if self.hosts[name].zone != reader.zone:
            silent_s -= REMOTE_DELAY_S
        if silent_s >= GONE_S:
            return MemberState.GONE
        if reader.seen[name].leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if silent_s >= SUSPECT_S else MemberState.LIVE


def served_in_one_place(arrivals_s: Sequence[float], limit: Organisation) -> int:
    """Return how many requests a full bucket would let pass that sees them all without delay."""
    tokens, served, last_s = limit.burst, 0, min(arrivals_s)
    for at_s in sorted(arrivals_s):
        tokens = min(limit.burst, tokens + limit.rate_per_s * (at_s - last_s))
        last_s = at_s
        if tokens >= 1.0:
            tokens -= 1.0
            served += 1
    return served


def most_used_ratio(times_s: Sequence[float], limit: Organisation) -> float:
    """Return the most requests of any window, as a ratio of what the specification allows."""
    allowed = (limit.rate_per_s * WINDOW_S + limit.burst) * (1.0 + OVER) + SLACK
    times_s = sorted(times_s)
    return max(
        (
            (bisect.bisect_left(times_s, start_s + WINDOW_S) - first) / allowed
            for first, start_s in enumerate(times_s)
        ),
        default=0.0,
    )
