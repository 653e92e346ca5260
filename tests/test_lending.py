"""Check that no order of loan messages and faults lets the units in use exceed a cap."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylchute.borrowing import LOAN_TERM_MAX_S, loan_term_s
from berylchute.lending import CLOCK_DRIFT_FACTOR, CLOCK_DRIFT_MARGIN_S
from berylchute.messages import LoanGrant, LoanOffer, LoanRecall, LoanRequest, LoanReturn
from berylchute.types import ResourceUnits
from lab.lending_world import LendingSimulation, SimHost

SHARES = {"a": {"s": 3, "r": 4}, "b": {"s": 3, "r": 2}, "c": {"s": 2, "r": 2}}
RATES = (1.0, 1.02, 0.98)
LONGEST_DEADLINE_S = 60.0
QUARANTINE_S = (LONGEST_DEADLINE_S + LOAN_TERM_MAX_S) * CLOCK_DRIFT_FACTOR + CLOCK_DRIFT_MARGIN_S


def one_way_ms(first: str, second: str) -> float:
    return 1.5


class LendingMachine(RuleBasedStateMachine):
    """Run three hosts with drifting clocks under every fault that the design document lists."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = LendingSimulation(SHARES, one_way_ms, RATES)
        self.quarantine_ends: dict[str, float] = {}

    hosts = st.sampled_from(sorted(SHARES))
    index = st.integers(min_value=0, max_value=1_000)

    @rule(by_s=st.sampled_from([0.001, 0.02, 0.02, 0.1, 0.3, 1.0, 2.0, 5.0, 30.0, 100.0]))
    def pass_time(self, by_s: float) -> None:
        self.simulation.advance(by_s)
        for name, ends_s in list(self.quarantine_ends.items()):
            host = self.simulation.hosts[name]
            if host.to_local_s(self.simulation.now_s) >= ends_s and not host.paused:
                host.ledger.set_shares(SHARES[name])
                del self.quarantine_ends[name]

    @rule(name=hosts, slots=st.integers(1, 4), run_s=st.sampled_from([0.5, 2.0, 5.0, 60.0]))
    def acquire(self, name: str, slots: int, run_s: float) -> None:
        host = self.simulation.hosts[name]
        units = [ResourceUnits("s", slots), ResourceUnits("r", slots)]
        if not host.paused:
            self.simulation.acquire(host, units, run_s)
            self.simulation.tick(host)

    @rule(name=hosts, slots=st.integers(1, 8))
    def fill(self, name: str, slots: int) -> None:
        host = self.simulation.hosts[name]
        while not host.paused and self.simulation.acquire(host, [ResourceUnits("s", 1)], 3.0):
            pass
        self.tick(name)

    @precondition(lambda self: self.simulation.running_requests)
    @rule(index=index, abandoned=st.booleans())
    def end_work(self, index: int, abandoned: bool) -> None:
        request = self.simulation.running_requests[index % len(self.simulation.running_requests)]
        if abandoned:
            request.host.ledger.keep_until_deadline(request.reservation)
        else:
            self.simulation.finish_request(request)

    @rule(name=hosts)
    def tick(self, name: str) -> None:
        self.simulation.tick(self.simulation.hosts[name])

    @rule()
    def run_healthily(self) -> None:
        for _ in range(10):
            self.simulation.advance(0.025)
            self.simulation.deliver_due_messages()
            for host in self.simulation.hosts.values():
                self.simulation.tick(host)

    @precondition(lambda self: self.simulation.in_flight_messages)
    @rule(index=index, copies=st.sampled_from([0, 1, 1, 1, 2]))
    def deliver(self, index: int, copies: int) -> None:
        in_flight = self.simulation.in_flight_messages[
            index % len(self.simulation.in_flight_messages)
        ]
        if copies < 2:
            self.simulation.in_flight_messages.remove(in_flight)
        if copies and not self.simulation.deliver(in_flight):
            self.simulation.in_flight_messages.append(in_flight)

    @rule(name=hosts)
    def pause_or_resume(self, name: str) -> None:
        host = self.simulation.hosts[name]
        host.paused = not host.paused

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        old = self.simulation.hosts[name]
        host = self.simulation.start_host(
            name, old.host_id, old.incarnation + 1, old.clock_rate, {}
        )
        self.quarantine_ends[name] = host.to_local_s(self.simulation.now_s) + QUARANTINE_S

    @rule(name=hosts)
    def recall(self, name: str) -> None:
        host = self.simulation.hosts[name]
        now_s = host.to_local_s(self.simulation.now_s)
        self.simulation.send(host, host.lending.lender.recall({"s": 9, "r": 9}, now_s))

    @rule(name=hosts)
    def leave(self, name: str) -> None:
        host = self.simulation.hosts[name]
        now_s = host.to_local_s(self.simulation.now_s)
        self.simulation.send(host, host.lending.borrower.return_all(now_s))
        host.lending.borrower.is_leaving = False

    @invariant()
    def caps_hold(self) -> None:
        """Guard against units in use above a cap; abandoned requests count until their deadline."""
        assert self.simulation.find_over_cap() == {}


LendingMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestLending = LendingMachine.TestCase


def apply_random_event(
    simulation: LendingSimulation, machine: LendingMachine, rng: random.Random
) -> None:
    """Apply one random event; time advances in small steps, so that loans last for many events."""
    name = rng.choice(sorted(SHARES))
    event = rng.random()
    if event < 0.35:
        machine.acquire(name, rng.randint(1, 3), rng.choice([0.5, 2.0, 5.0, 60.0]))
    elif event < 0.5 and simulation.running_requests:
        machine.end_work(rng.randrange(1000), rng.random() < 0.3)
    elif event < 0.7 and simulation.in_flight_messages:
        machine.deliver(rng.randrange(1000), rng.choice([0, 1, 1, 1, 1, 2]))
    elif event < 0.71:
        machine.pause_or_resume(name)
    elif event < 0.715:
        machine.restart(name)
    elif event < 0.72:
        machine.recall(name)
    elif event < 0.8:
        machine.pass_time(rng.choice([0.01, 0.1, 0.5, 1.0, 3.0]))
    elif event < 0.802:
        machine.pass_time(rng.choice([30.0, 170.0]))
    else:
        machine.pass_time(0.025)
        machine.tick(name)


@pytest.mark.parametrize("seed", range(20))
def test_caps_hold_over_long_runs(seed: int) -> None:
    """Guard against exceeded caps that appear only after many loans, renewals and recalls."""
    rng = random.Random(seed)
    machine = LendingMachine()
    for _ in range(1500):
        apply_random_event(machine.simulation, machine, rng)
        machine.caps_hold()


def test_request_ends_when_its_units_are_free() -> None:
    """Guard against a request that counts as running when its host has already freed its units."""
    machine = LendingMachine()
    machine.fill("b", 1)
    for _ in range(8):
        machine.pass_time(0.001)
    machine.fill("a", 1)
    machine.pass_time(1.0)
    machine.pass_time(2.0)
    machine.fill("a", 1)
    machine.fill("b", 1)
    machine.caps_hold()


def saturate(simulation: LendingSimulation, host: SimHost, run_s: float, for_s: float) -> int:
    """Keep one host short of units for `for_s`; return the units in use in the last step."""
    ends_s = simulation.now_s + for_s
    used = 0
    while simulation.now_s < ends_s:
        while simulation.acquire(host, [ResourceUnits("s", 1), ResourceUnits("r", 1)], run_s):
            pass
        used = simulation.count_units_in_use("s")
        for _ in range(9):
            local_s = host.to_local_s(simulation.now_s)
            units = [ResourceUnits("s", 1), ResourceUnits("r", 1)]
            host.ledger.record_demand(units, local_s + run_s, local_s)
        for other in simulation.hosts.values():
            simulation.tick(other)
        simulation.advance(0.0251)
        simulation.deliver_due_messages()
    return used


@pytest.mark.parametrize("run_s", [2.0, 60.0])
def test_busy_host_borrows_all_unused_units(run_s: float) -> None:
    """Guard against idle units that a busy host cannot borrow, for short and long requests."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    assert saturate(simulation, simulation.hosts["c"], run_s, 1.0) == 8


def test_busy_host_renews_its_loans_without_a_gap() -> None:
    """Guard against a gap between a loan and its renewal."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    host = simulation.hosts["c"]
    saturate(simulation, host, 2.0, 1.0)
    used_units = []
    for _ in range(60):
        used_units.append(saturate(simulation, host, 2.0, 0.3))
    assert min(used_units) == 8


def test_lender_that_lacks_units_gets_them_back() -> None:
    """Guard against a borrower that keeps renewing a loan while the lender itself lacks units."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    saturate(simulation, simulation.hosts["c"], 1.0, 1.0)
    lender = simulation.hosts["a"]
    for _ in range(60):
        saturate(simulation, simulation.hosts["c"], 1.0, 0.03)
        saturate(simulation, lender, 1.0, 0.03)
    now_s = lender.to_local_s(simulation.now_s)
    assert lender.ledger.usage("s", now_s).lent == 0
    assert lender.ledger.usage("s", now_s).in_use >= 3


def test_idle_loans_return_before_their_term() -> None:
    """Guard against units that stay lent for a whole term after the borrower became idle."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    saturate(simulation, simulation.hosts["c"], 0.5, 1.0)
    for _ in range(100):
        simulation.advance(0.025)
        simulation.deliver_due_messages()
        for host in simulation.hosts.values():
            simulation.tick(host)
    assert [
        h.ledger.usage("s", h.to_local_s(simulation.now_s)).lent for h in simulation.hosts.values()
    ] == [
        0,
        0,
        0,
    ]


def test_paused_borrower_does_not_use_an_expired_loan() -> None:
    """Guard against use of an expired loan by a borrower that was paused past its term."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    host = simulation.hosts["c"]
    saturate(simulation, host, 0.5, 1.0)
    simulation.advance(loan_term_s(0.5))
    now_s = host.to_local_s(simulation.now_s)
    assert host.ledger.free_units("s", now_s + 0.1, now_s) == SHARES["c"]["s"]


def request(loan_id: str, units: int, renews: str = "") -> LoanRequest:
    return LoanRequest(loan_id, "b-h", 1, "b", (LoanOffer("s", units),), 5000, renews)


def test_repeated_request_is_granted_once() -> None:
    """Guard against units that are lent twice when the network duplicates a request."""
    host = LendingSimulation(SHARES, one_way_ms).hosts["a"]
    first = host.lending.handle(request("b-h.1.1", 2), 0.0)
    assert host.lending.handle(request("b-h.1.1", 2), 0.1) == first
    assert host.ledger.usage("s", 0.1).lent == 2


def test_return_before_its_request_closes_the_loan() -> None:
    """Guard against units lent for a whole term when a return arrives before its request."""
    host = LendingSimulation(SHARES, one_way_ms).hosts["a"]
    host.lending.handle(LoanReturn("b-h.1.1", "b-h", 1, 1, ()), 0.0)
    assert host.lending.handle(request("b-h.1.1", 2), 0.1) == []
    assert host.ledger.usage("s", 0.1).lent == 0


def test_renewal_moves_all_units_or_none() -> None:
    """Guard against a partial renewal while the borrower uses every unit of the loan."""
    host = LendingSimulation(SHARES, one_way_ms).hosts["a"]
    host.lending.handle(request("b-h.1.1", 2), 0.0)
    (refusal,) = host.lending.handle(request("b-h.1.2", 3, "b-h.1.1"), 1.0)
    assert isinstance(refusal.message, LoanGrant)
    assert [offer.units for offer in refusal.message.granted] == [0]
    host.lending.handle(request("b-h.1.3", 2, "b-h.1.1"), 1.0)
    assert host.ledger.usage("s", 5.0).lent == 2
    assert host.ledger.usage("s", 6.34).lent == 2
    assert host.ledger.usage("s", 6.36).lent == 0


def test_recall_of_a_loan_of_an_earlier_incarnation_is_not_answered() -> None:
    """Guard against a restarted borrower returning units that its earlier requests still use."""
    simulation = LendingSimulation(SHARES, one_way_ms)
    host = simulation.start_host("b", "b-h", 2, 1.0, {})
    assert host.lending.handle(LoanRecall("b-h.1.1"), 0.0) == []


def borrow_two(simulation: LendingSimulation) -> tuple[SimHost, LoanRequest, LoanGrant]:
    """Let host c request two slots from host a; return c, the request and the undelivered grant."""
    borrower = simulation.hosts["c"]
    borrower.ledger.set_shares({})
    borrower.ledger.record_demand([ResourceUnits("s", 2)], borrower.to_local_s(0.0) + 2.0, 0.0)
    simulation.tick(borrower)
    (loan_request,) = [f.message for f in simulation.in_flight_messages if f.address == "a"]
    assert isinstance(loan_request, LoanRequest)
    simulation.in_flight_messages.clear()
    (answer,) = simulation.hosts["a"].lending.handle(
        loan_request, simulation.hosts["a"].to_local_s(0.0)
    )
    assert isinstance(answer.message, LoanGrant)
    return borrower, loan_request, answer.message


def simulation_with_one_lender() -> LendingSimulation:
    simulation = LendingSimulation({"a": {"s": 2}, "c": {}}, one_way_ms)
    host = simulation.hosts["c"]
    host.offset_s = 0.0
    return simulation


def test_expiry_counts_from_the_request_even_for_a_late_grant() -> None:
    """Guard against units of a late grant that are used after the lender reclaimed them."""
    simulation = simulation_with_one_lender()
    borrower, _, grant = borrow_two(simulation)
    term_s = grant.term_ms / 1000
    borrower.lending.handle(grant, term_s - 1.0)
    assert borrower.ledger.free_units("s", term_s, term_s - 1.0) == 2
    assert borrower.ledger.free_units("s", term_s + 0.01, term_s - 1.0) == 0


def test_repeated_grant_does_not_reopen_a_returned_loan() -> None:
    """Guard against use of a duplicated grant after its units were returned."""
    simulation = simulation_with_one_lender()
    borrower, loan_request, grant = borrow_two(simulation)
    borrower.lending.handle(grant, 0.1)
    (loan_return,) = borrower.lending.handle(LoanRecall(loan_request.loan_id), 0.2)
    assert isinstance(loan_return.message, LoanReturn) and loan_return.message.remaining == ()
    (second_return,) = borrower.lending.handle(grant, 0.3)
    assert second_return.message.remaining == ()  # type: ignore[union-attr]
    assert borrower.ledger.free_units("s", 1.0, 0.3) == 0


def test_recall_of_a_pending_renewal_keeps_units_in_use() -> None:
    """Guard against returning a pending renewal while requests use its units under the old loan."""
    simulation = simulation_with_one_lender()
    borrower, loan_request, grant = borrow_two(simulation)
    borrower.lending.handle(grant, 0.1)
    renewals: list[LoanRequest] = []
    now_s = 0.1
    while not renewals:
        now_s += 0.1
        borrower.ledger.try_acquire([ResourceUnits("s", 2)], now_s + 0.09, now_s)
        sent = [item.message for item in borrower.lending.tick(now_s)]
        renewals = [
            m for m in sent if isinstance(m, LoanRequest) and m.renews == loan_request.loan_id
        ]
    assert borrower.lending.handle(LoanRecall(renewals[0].loan_id), now_s) == []


def test_renewal_with_a_shorter_term_keeps_the_later_reclaim_time() -> None:
    """Guard against a lender that reclaims renewed units before the old loan expires."""
    host = LendingSimulation(SHARES, one_way_ms).hosts["a"]
    long_loan = LoanRequest("b-h.1.1", "b-h", 1, "b", (LoanOffer("s", 2),), 60_000)
    host.lending.handle(long_loan, 0.0)
    host.lending.handle(request("b-h.1.2", 2, "b-h.1.1"), 1.0)
    assert host.ledger.usage("s", 60.0).lent == 2


def test_repeated_grant_does_not_refill_a_partly_returned_loan() -> None:
    """Guard against a duplicated grant that adds returned units again to a loan still open."""
    simulation = LendingSimulation({"a": {"s": 2, "r": 2}, "c": {}}, one_way_ms)
    borrower = simulation.hosts["c"]
    borrower.offset_s = 0.0
    both = [ResourceUnits("s", 2), ResourceUnits("r", 2)]
    borrower.ledger.record_demand(both, 2.0, 0.0)
    (loan_request,) = borrower.lending.tick(0.0)
    lender = simulation.hosts["a"]
    (grant,) = lender.lending.handle(loan_request.message, lender.to_local_s(0.0))
    borrower.lending.handle(grant.message, 0.1)
    assert borrower.ledger.try_acquire([ResourceUnits("r", 2)], 2.0, 0.1) is not None
    assert isinstance(loan_request.message, LoanRequest)
    borrower.lending.handle(LoanRecall(loan_request.message.loan_id), 0.2)
    borrower.lending.handle(grant.message, 0.3)
    assert borrower.ledger.free_units("s", 1.0, 0.3) == 0
