"""Simulate hosts that lend units to each other, on a virtual clock and an unreliable network."""

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from berylchute.borrowing import Outgoing, Peer
from berylchute.ledger import Ledger
from berylchute.lending import Lending
from berylchute.messages import Message
from berylchute.types import Position, Reservation, ResourceId, ResourceUnits

__all__ = ["Flight", "SimHost", "Work", "World"]

OneWayMs = Callable[[Position, Position], float]


@attrs.frozen
class Flight:
    """A message in flight; a healthy network delivers it at `due_s` of virtual time."""

    due_s: float
    address: str
    message: Message


@attrs.define(eq=False)
class Work:
    """A request that runs at servers until it is finished or its deadline passes there."""

    host: "SimHost"
    hold: Reservation
    ends_s: float


@attrs.define(eq=False)
class SimHost:
    """One simulated process; its clock runs at `rate` times real time."""

    position: Position
    host_id: str
    incarnation: int
    offset_s: float
    rate: float
    ledger: Ledger
    lending: Lending
    paused: bool = False

    def local_s(self, now_s: float) -> float:
        """Return the monotonic time of this host's clock at a real time."""
        return self.offset_s + self.rate * now_s

    def real_s(self, local_s: float) -> float:
        """Return the real time at which this host's clock shows `local_s`."""
        return (local_s - self.offset_s) / self.rate


class World:
    """Hosts by address, messages in flight and the requests that run at servers."""

    def __init__(
        self,
        shares: Mapping[Position, Mapping[ResourceId, int]],
        one_way_ms: OneWayMs,
        rates: Sequence[float] = (1.0,),
        loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        """Start one host per position; `loss` is the ratio of messages that the network drops."""
        self.now_s = 0.0
        self._loss_ratio = loss
        self._rng = random.Random(seed)
        self.shares = shares
        self.flights: list[Flight] = []
        self.running: list[Work] = []
        self.hosts: dict[str, SimHost] = {}
        self.caps: dict[ResourceId, int] = {}
        self._one_way_ms = one_way_ms
        for units in shares.values():
            for resource, count in units.items():
                self.caps[resource] = self.caps.get(resource, 0) + count
        for index, position in enumerate(shares):
            rate = rates[index % len(rates)]
            self.start(position, f"{position}-h", 1, rate, shares[position])

    def start(
        self,
        position: Position,
        host_id: str,
        incarnation: int,
        rate: float,
        shares: Mapping[ResourceId, int],
        address: str = "",
    ) -> SimHost:
        """Start a process without earlier state; `address` is that of the position by default."""
        address = address or position
        ledger = Ledger(shares)
        lending = Lending(host_id, position, incarnation, address, ledger)
        offset_s = 1000.0 * (len(self.hosts) + incarnation)
        host = SimHost(position, host_id, incarnation, offset_s, rate, ledger, lending)
        lending.set_peers(
            [
                Peer(other, other, self._one_way_ms(position, other), units)
                for other, units in self.shares.items()
                if other != position
            ]
        )
        self.hosts[address] = host
        return host

    def acquire(self, host: SimHost, units: Sequence[ResourceUnits], run_s: float) -> Work | None:
        """Start a request if the host's ledger has free units; otherwise record the demand."""
        local_s = host.local_s(self.now_s)
        hold = host.ledger.try_acquire(units, local_s + run_s, local_s)
        if hold is None:
            host.ledger.record_demand(units, local_s + run_s, local_s)
            return None
        work = Work(host, hold, host.real_s(hold.until_s))
        self.running.append(work)
        return work

    def finish(self, work: Work) -> None:
        """Finish a request at its server; the answer releases the units at the host."""
        self.running.remove(work)
        work.host.ledger.release(work.hold)

    def tick(self, host: SimHost) -> None:
        """Run one lending tick of a host and send its messages; a paused host does nothing."""
        if not host.paused:
            self.send(host, host.lending.tick(host.local_s(self.now_s)))

    def send(self, host: SimHost, outgoing: Sequence[Outgoing]) -> None:
        """Send messages over the network, which drops some of them."""
        for item in outgoing:
            if self._rng.random() < self._loss_ratio:
                continue
            delay_s = self._one_way_ms(host.position, item.address) / 1000
            self.flights.append(Flight(self.now_s + delay_s, item.address, item.message))

    def deliver(self, flight: Flight) -> bool:
        """Deliver one message; return False if the host is paused and must receive it later."""
        host = self.hosts.get(flight.address)
        if host is not None and host.paused:
            return False
        if host is not None:
            self.send(host, host.lending.handle(flight.message, host.local_s(self.now_s)))
        return True

    def deliver_due(self) -> None:
        """Deliver all messages that are due, in the order of a healthy network."""
        due = [flight for flight in self.flights if flight.due_s <= self.now_s]
        self.flights = [flight for flight in self.flights if flight.due_s > self.now_s]
        for flight in sorted(due, key=lambda flight: flight.due_s):
            if not self.deliver(flight):
                self.flights.append(flight)

    def advance(self, by_s: float) -> None:
        """Advance the virtual clock; requests whose deadline has passed end."""
        self.now_s += by_s
        self.running = [work for work in self.running if work.ends_s > self.now_s]

    def in_use(self, resource: ResourceId) -> int:
        """Return the units that running requests take, whether or not a host's ledger has them."""
        return sum(
            item.units
            for work in self.running
            for item in work.hold.units
            if item.resource == resource
        )

    def over_cap(self) -> dict[ResourceId, int]:
        """Return the units in use of each resource that exceeds its cap."""
        used = {resource: self.in_use(resource) for resource in self.caps}
        return {r: units for r, units in used.items() if units > self.caps[r]}
