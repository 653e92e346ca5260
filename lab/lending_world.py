"""Simulate hosts that lend units to each other, on a virtual clock and an unreliable network."""

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from berylchute.borrowing import LenderCandidate
from berylchute.ledger import Ledger
from berylchute.lending import Lending
from berylchute.messages import Message, Outgoing
from berylchute.types import Position, Reservation, ResourceId, ResourceUnits

__all__ = ["InFlightMessage", "LendingSimulation", "RunningRequest", "SimHost"]

OneWayMs = Callable[[Position, Position], float]


@attrs.frozen
class InFlightMessage:
    """A message in flight; a healthy network delivers it at `due_s` of virtual time."""

    due_s: float
    address: str
    message: Message


@attrs.define(eq=False)
class RunningRequest:
    """A request that runs at servers until it is finished or its deadline passes there."""

    host: "SimHost"
    reservation: Reservation

    def has_ended(self, now_s: float) -> bool:
        """Return whether its deadline has passed at a real time.

        Compared on the clock of its host, as in the ledger: a conversion to real time rounds.
        """
        return self.host.to_local_s(now_s) >= self.reservation.until_s


@attrs.define(eq=False)
class SimHost:
    """One simulated process; its clock runs at `clock_rate` times real time."""

    position: Position
    host_id: str
    incarnation: int
    offset_s: float
    clock_rate: float
    ledger: Ledger
    lending: Lending
    paused: bool = False

    def to_local_s(self, now_s: float) -> float:
        """Return the monotonic time of this host's clock at a real time."""
        return self.offset_s + self.clock_rate * now_s


class LendingSimulation:
    """Simulation of hosts, the messages between them and the requests that run at servers."""

    def __init__(
        self,
        shares: Mapping[Position, Mapping[ResourceId, int]],
        one_way_ms: OneWayMs,
        clock_rates: Sequence[float] = (1.0,),
        loss_ratio: float = 0.0,
        seed: int = 0,
    ) -> None:
        """Start one host per position; the network drops `loss_ratio` of the messages."""
        self.now_s = 0.0
        self._loss_ratio = loss_ratio
        self._rng = random.Random(seed)
        self.shares = shares
        self.in_flight_messages: list[InFlightMessage] = []
        self.running_requests: list[RunningRequest] = []
        self.hosts: dict[str, SimHost] = {}
        self.caps: dict[ResourceId, int] = {}
        self._one_way_ms = one_way_ms
        for units in shares.values():
            for resource, count in units.items():
                self.caps[resource] = self.caps.get(resource, 0) + count
        for index, position in enumerate(shares):
            clock_rate = clock_rates[index % len(clock_rates)]
            self.start_host(position, f"{position}-h", 1, clock_rate, shares[position])

    def start_host(
        self,
        position: Position,
        host_id: str,
        incarnation: int,
        clock_rate: float,
        shares: Mapping[ResourceId, int],
        address: str = "",
    ) -> SimHost:
        """Start a process without earlier state; `address` is that of the position by default."""
        address = address or position
        ledger = Ledger(shares)
        lending = Lending(host_id, position, incarnation, address, ledger)
        offset_s = 1000.0 * (len(self.hosts) + incarnation)
        host = SimHost(position, host_id, incarnation, offset_s, clock_rate, ledger, lending)
        lending.set_peers(
            [
                LenderCandidate(other, other, self._one_way_ms(position, other), units)
                for other, units in self.shares.items()
                if other != position
            ]
        )
        self.hosts[address] = host
        return host

    def acquire(
        self, host: SimHost, units: Sequence[ResourceUnits], request_s: float
    ) -> RunningRequest | None:
        """Start a request if the host's ledger has free units; otherwise record the demand."""
        local_s = host.to_local_s(self.now_s)
        reservation = host.ledger.try_acquire(units, local_s + request_s, local_s)
        if reservation is None:
            host.ledger.record_demand(units, local_s + request_s, local_s)
            return None
        request = RunningRequest(host, reservation)
        self.running_requests.append(request)
        return request

    def finish_request(self, request: RunningRequest) -> None:
        """Finish a request at its server; the answer releases the units at the host."""
        self.running_requests.remove(request)
        request.host.ledger.release(request.reservation)

    def tick(self, host: SimHost) -> None:
        """Run one lending tick of a host and send its messages; a paused host does nothing."""
        if not host.paused:
            self.send(host, host.lending.tick(host.to_local_s(self.now_s)))

    def send(self, host: SimHost, outgoing: Sequence[Outgoing]) -> None:
        """Send messages over the network, which drops some of them."""
        for item in outgoing:
            if self._rng.random() < self._loss_ratio:
                continue
            delay_s = self._one_way_ms(host.position, item.address) / 1000
            self.in_flight_messages.append(
                InFlightMessage(self.now_s + delay_s, item.address, item.message)
            )

    def deliver(self, in_flight: InFlightMessage) -> bool:
        """Deliver one message; return False if the host is paused and must receive it later."""
        host = self.hosts.get(in_flight.address)
        if host is not None and host.paused:
            return False
        if host is not None:
            self.send(host, host.lending.handle(in_flight.message, host.to_local_s(self.now_s)))
        return True

    def deliver_due_messages(self) -> None:
        """Deliver all messages that are due, in the order of a healthy network."""
        due = [in_flight for in_flight in self.in_flight_messages if in_flight.due_s <= self.now_s]
        self.in_flight_messages = [
            in_flight for in_flight in self.in_flight_messages if in_flight.due_s > self.now_s
        ]
        for in_flight in sorted(due, key=lambda in_flight: in_flight.due_s):
            if not self.deliver(in_flight):
                self.in_flight_messages.append(in_flight)

    def advance(self, duration_s: float) -> None:
        """Advance the virtual clock; requests whose deadline has passed end."""
        self.now_s += duration_s
        self.running_requests = [
            request for request in self.running_requests if not request.has_ended(self.now_s)
        ]

    def count_units_in_use(self, resource: ResourceId) -> int:
        """Return the units that running requests take, whether or not a host's ledger has them."""
        return sum(
            item.units
            for request in self.running_requests
            for item in request.reservation.units
            if item.resource == resource
        )

    def find_over_cap(self) -> dict[ResourceId, int]:
        """Return the units in use of each resource that exceeds its cap."""
        used = {resource: self.count_units_in_use(resource) for resource in self.caps}
        return {r: units for r, units in used.items() if units > self.caps[r]}
