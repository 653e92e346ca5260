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
from lab.lending_world import SimHost, World

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
        self.world = World(SHARES, one_way_ms, RATES)
        self.quarantine_ends: dict[str, float] = {}

    hosts = st.sampled_from(sorted(SHARES))
    index = st.integers(min_value=0, max_value=1_000)

    @rule(by_s=st.sampled_from([0.001, 0.02, 0.02, 0.1, 0.3, 1.0, 2.0, 5.0, 30.0, 100.0]))
    def pass_time(self, by_s: float) -> None:
        self.world.advance(by_s)
        for name, ends_s in list(self.quarantine_ends.items()):
            host = self.world.hosts[name]
            if host.local_s(self.world.now_s) >= ends_s and not host.paused:
                host.ledger.set_shares(SHARES[name])
                del self.quarantine_ends[name]

    @rule(name=hosts, slots=st.integers(1, 4), run_s=st.sampled_from([0.5, 2.0, 5.0, 60.0]))
    def acquire(self, name: str, slots: int, run_s: float) -> None:
        host = self.world.hosts[name]
        units = [ResourceUnits("s", slots), ResourceUnits("r", slots)]
        if not host.paused:
            self.world.acquire(host, units, run_s)
            self.world.tick(host)

    @rule(name=hosts, slots=st.integers(1, 8))
    def fill(self, name: str, slots: int) -> None:
        host = self.world.hosts[name]
        while not host.paused and self.world.acquire(host, [ResourceUnits("s", 1)], 3.0):
            pass
        self.tick(name)

    @precondition(lambda self: self.world.running)
    @rule(index=index, abandoned=st.booleans())
    def end_work(self, index: int, abandoned: bool) -> None:
        work = self.world.running[index % len(self.world.running)]
        if abandoned:
            work.host.ledger.keep_until_deadline(work.hold)
        else:
            self.world.finish(work)

    @rule(name=hosts)
    def tick(self, name: str) -> None:
        self.world.tick(self.world.hosts[name])

    @rule()
    def run_healthily(self) -> None:
        for _ in range(10):
            self.world.advance(0.025)
            self.world.deliver_due()
            for host in self.world.hosts.values():
                self.world.tick(host)

    @precondition(lambda self: self.world.flights)
    @rule(index=index, copies=st.sampled_from([0, 1, 1, 1, 2]))
    def deliver(self, index: int, copies: int) -> None:
        flight = self.world.flights[index % len(self.world.flights)]
        if copies < 2:
            self.world.flights.remove(flight)
        if copies and not self.world.deliver(flight):
            self.world.flights.append(flight)

    @rule(name=hosts)
    def pause_or_resume(self, name: str) -> None:
        host = self.world.hosts[name]
        host.paused = not host.paused

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        old = self.world.hosts[name]
        host = self.world.start(name, old.host_id, old.incarnation + 1, old.rate, {})
        self.quarantine_ends[name] = host.local_s(self.world.now_s) + QUARANTINE_S

    @rule(name=hosts)
    def recall(self, name: str) -> None:
        host = self.world.hosts[name]
        now_s = host.local_s(self.world.now_s)
        self.world.send(host, host.lending.lender.recall({"s": 9, "r": 9}, now_s))

    @rule(name=hosts)
    def leave(self, name: str) -> None:
        host = self.world.hosts[name]
        now_s = host.local_s(self.world.now_s)
        self.world.send(host, host.lending.borrower.return_all(now_s))
        host.lending.borrower.is_leaving = False

    @invariant()
    def caps_hold(self) -> None:
        """Guard against units in use above a cap; abandoned requests count until their deadline."""
        assert self.world.over_cap() == {}


LendingMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestLending = LendingMachine.TestCase


def apply_random_event(world: World, machine: LendingMachine, rng: random.Random) -> None:
    """Apply one random event; time advances in small steps, so that loans last for many events."""
    name = rng.choice(sorted(SHARES))
    event = rng.random()
    if event < 0.35:
        machine.acquire(name, rng.randint(1, 3), rng.choice([0.5, 2.0, 5.0, 60.0]))
    elif event < 0.5 and world.running:
        machine.end_work(rng.randrange(1000), rng.random() < 0.3)
    elif event < 0.7 and world.flights:
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
        apply_random_event(machine.world, machine, rng)
        machine.caps_hold()


def saturate(world: World, host: SimHost, run_s: float, for_s: float) -> int:
    """Keep one host short of units for `for_s`; return the units in use in the last step."""
    ends_s = world.now_s + for_s
    used = 0
    while world.now_s < ends_s:
        while world.acquire(host, [ResourceUnits("s", 1), ResourceUnits("r", 1)], run_s):
            pass
        used = world.in_use("s")
        for _ in range(9):
            local_s = host.local_s(world.now_s)
            units = [ResourceUnits("s", 1), ResourceUnits("r", 1)]
            host.ledger.record_demand(units, local_s + run_s, local_s)
        for other in world.hosts.values():
            world.tick(other)
        world.advance(0.0251)
        world.deliver_due()
    return used


@pytest.mark.parametrize("run_s", [2.0, 60.0])
def test_busy_host_borrows_all_unused_units(run_s: float) -> None:
    """Guard against idle units that a busy host cannot borrow, for short and long requests."""
    world = World(SHARES, one_way_ms)
    assert saturate(world, world.hosts["c"], run_s, 1.0) == 8


def test_busy_host_renews_its_loans_without_a_gap() -> None:
    """Guard against a gap between a loan and its renewal."""
    world = World(SHARES, one_way_ms)
    host = world.hosts["c"]
    saturate(world, host, 2.0, 1.0)
    used_units = []
    for _ in range(60):
        used_units.append(saturate(world, host, 2.0, 0.3))
    assert min(used_units) == 8


def test_lender_that_lacks_units_gets_them_back() -> None:
    """Guard against a borrower that keeps renewing a loan while the lender itself lacks units."""
    world = World(SHARES, one_way_ms)
    saturate(world, world.hosts["c"], 1.0, 1.0)
    lender = world.hosts["a"]
    for _ in range(60):
        saturate(world, world.hosts["c"], 1.0, 0.03)
        saturate(world, lender, 1.0, 0.03)
    now_s = lender.local_s(world.now_s)
    assert lender.ledger.usage("s", now_s).lent == 0
    assert lender.ledger.usage("s", now_s).in_use >= 3


def test_idle_loans_return_before_their_term() -> None:
    """Guard against units that stay lent for a whole term after the borrower became idle."""
    world = World(SHARES, one_way_ms)
    saturate(world, world.hosts["c"], 0.5, 1.0)
    for _ in range(100):
        world.advance(0.025)
        world.deliver_due()
        for host in world.hosts.values():
            world.tick(host)
    assert [h.ledger.usage("s", h.local_s(world.now_s)).lent for h in world.hosts.values()] == [
        0,
        0,
        0,
    ]


def test_paused_borrower_does_not_use_an_expired_loan() -> None:
    """Guard against use of an expired loan by a borrower that was paused past its term."""
    world = World(SHARES, one_way_ms)
    host = world.hosts["c"]
    saturate(world, host, 0.5, 1.0)
    world.advance(loan_term_s(0.5))
    now_s = host.local_s(world.now_s)
    assert host.ledger.free_units("s", now_s + 0.1, now_s) == SHARES["c"]["s"]


def request(loan_id: str, units: int, renews: str = "") -> LoanRequest:
    return LoanRequest(loan_id, "b-h", 1, "b", (LoanOffer("s", units),), 5000, renews)


def test_repeated_request_is_granted_once() -> None:
    """Guard against units that are lent twice when the network duplicates a request."""
    host = World(SHARES, one_way_ms).hosts["a"]
    first = host.lending.handle(request("b-h.1.1", 2), 0.0)
    assert host.lending.handle(request("b-h.1.1", 2), 0.1) == first
    assert host.ledger.usage("s", 0.1).lent == 2


def test_return_before_its_request_closes_the_loan() -> None:
    """Guard against units lent for a whole term when a return arrives before its request."""
    host = World(SHARES, one_way_ms).hosts["a"]
    host.lending.handle(LoanReturn("b-h.1.1", "b-h", 1, 1, ()), 0.0)
    assert host.lending.handle(request("b-h.1.1", 2), 0.1) == []
    assert host.ledger.usage("s", 0.1).lent == 0


def test_renewal_moves_all_units_or_none() -> None:
    """Guard against a partial renewal while the borrower uses every unit of the loan."""
    host = World(SHARES, one_way_ms).hosts["a"]
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
    world = World(SHARES, one_way_ms)
    host = world.start("b", "b-h", 2, 1.0, {})
    assert host.lending.handle(LoanRecall("b-h.1.1"), 0.0) == []


def borrow_two(world: World) -> tuple[SimHost, LoanRequest, LoanGrant]:
    """Let host c request two slots from host a; return c, the request and the undelivered grant."""
    borrower = world.hosts["c"]
    borrower.ledger.set_shares({})
    borrower.ledger.record_demand([ResourceUnits("s", 2)], borrower.local_s(0.0) + 2.0, 0.0)
    world.tick(borrower)
    (loan_request,) = [f.message for f in world.flights if f.address == "a"]
    assert isinstance(loan_request, LoanRequest)
    world.flights.clear()
    (answer,) = world.hosts["a"].lending.handle(loan_request, world.hosts["a"].local_s(0.0))
    assert isinstance(answer.message, LoanGrant)
    return borrower, loan_request, answer.message


def world_with_one_lender() -> World:
    world = World({"a": {"s": 2}, "c": {}}, one_way_ms)
    host = world.hosts["c"]
    host.offset_s = 0.0
    return world


def test_expiry_counts_from_the_request_even_for_a_late_grant() -> None:
    """Guard against units of a late grant that are used after the lender reclaimed them."""
    world = world_with_one_lender()
    borrower, _, grant = borrow_two(world)
    term_s = grant.term_ms / 1000
    borrower.lending.handle(grant, term_s - 1.0)
    assert borrower.ledger.free_units("s", term_s, term_s - 1.0) == 2
    assert borrower.ledger.free_units("s", term_s + 0.01, term_s - 1.0) == 0


def test_repeated_grant_does_not_reopen_a_returned_loan() -> None:
    """Guard against use of a duplicated grant after its units were returned."""
    world = world_with_one_lender()
    borrower, loan_request, grant = borrow_two(world)
    borrower.lending.handle(grant, 0.1)
    (loan_return,) = borrower.lending.handle(LoanRecall(loan_request.loan_id), 0.2)
    assert isinstance(loan_return.message, LoanReturn) and loan_return.message.remaining == ()
    (second_return,) = borrower.lending.handle(grant, 0.3)
    assert second_return.message.remaining == ()  # type: ignore[union-attr]
    assert borrower.ledger.free_units("s", 1.0, 0.3) == 0


def test_recall_of_a_pending_renewal_keeps_units_in_use() -> None:
    """Guard against returning a pending renewal while requests use its units under the old loan."""
    world = world_with_one_lender()
    borrower, loan_request, grant = borrow_two(world)
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
    host = World(SHARES, one_way_ms).hosts["a"]
    long_loan = LoanRequest("b-h.1.1", "b-h", 1, "b", (LoanOffer("s", 2),), 60_000)
    host.lending.handle(long_loan, 0.0)
    host.lending.handle(request("b-h.1.2", 2, "b-h.1.1"), 1.0)
    assert host.ledger.usage("s", 60.0).lent == 2


def test_repeated_grant_does_not_refill_a_partly_returned_loan() -> None:
    """Guard against a duplicated grant that adds returned units again to a loan still open."""
    world = World({"a": {"s": 2, "r": 2}, "c": {}}, one_way_ms)
    borrower = world.hosts["c"]
    borrower.offset_s = 0.0
    both = [ResourceUnits("s", 2), ResourceUnits("r", 2)]
    borrower.ledger.record_demand(both, 2.0, 0.0)
    (loan_request,) = borrower.lending.tick(0.0)
    lender = world.hosts["a"]
    (grant,) = lender.lending.handle(loan_request.message, lender.local_s(0.0))
    borrower.lending.handle(grant.message, 0.1)
    assert borrower.ledger.try_acquire([ResourceUnits("r", 2)], 2.0, 0.1) is not None
    assert isinstance(loan_request.message, LoanRequest)
    borrower.lending.handle(LoanRecall(loan_request.message.loan_id), 0.2)
    borrower.lending.handle(grant.message, 0.3)
    assert borrower.ledger.free_units("s", 1.0, 0.3) == 0
