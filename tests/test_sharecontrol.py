"""Check that use stays within each cap after a change of split, a restart or a new host."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylchute.borrowing import LenderCandidate
from berylchute.claims import plan_claim
from berylchute.config import (
    AvailabilityZone,
    BackendServer,
    Configuration,
    HostPosition,
    Region,
    RequestKind,
    Service,
)
from berylchute.ledger import Ledger
from berylchute.messages import MemberRecord
from berylchute.sharecontrol import Claim, ClaimTable, ShareController, quarantine_s
from berylchute.types import MemberState, MemberStatus, ResourceUnits
from lab.lending_world import LendingSimulation, SimHost

SLOT = "server:s"
KIND = RequestKind("k", "svc", ("GET",), "/", True, "long", 30_000, 60_000)


def configuration(positions: str, slots: int = 6, generation: int = 1) -> Configuration:
    """Return a configuration with one position per letter."""
    return Configuration(
        plans=(),
        customers=(),
        allowances=(),
        regions=(Region("r", slots),),
        availability_zones=(AvailabilityZone("z", "r"),),
        services=(Service("svc"),),
        kinds=(KIND,),
        backend_servers=(BackendServer("s", "svc", "z", "127.0.0.1:1", slots),),
        host_positions=tuple(HostPosition(name, "z") for name in positions),
        generation=generation,
    )


def record(host_id: str, position: str, config: int, settled: int) -> MemberRecord:
    return MemberRecord(
        host_id, position, "z", "r", "entry", 1, 1, False, True, "", "", 0, settled, config, {}
    )


def status(
    host_id: str, config: int, settled: int, state: MemberState = MemberState.LIVE
) -> MemberStatus:
    return MemberStatus(record(host_id, host_id[0], config, settled), state)


@attrs.define(eq=False)
class Process:
    """A process with its own stale view of the store, its peers and the platform."""

    sim_host: SimHost
    controller: ShareController
    incarnation: int
    seen_claims: tuple[int, ClaimTable] = (0, ClaimTable())
    members: dict[str, tuple[MemberStatus, float]] = attrs.Factory(dict)
    is_alive: bool = True


class Fleet:
    """Processes that start, stop and are replaced while operators edit the positions."""

    def __init__(self, rng: random.Random, slots: tuple[int, ...] = (6, 6, 4)) -> None:
        self.rng = rng
        self.slots = slots
        self.simulation = LendingSimulation({}, lambda _a, _b: 1.5)
        self.simulation.caps = {SLOT: 6, "region:r": 6}
        self.revision = 1
        self.configs = [(1, configuration("abc"))]
        self.claims: list[tuple[int, ClaimTable]] = [(0, ClaimTable())]
        self.platform: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        for position in "abc":
            self.start(position, f"{position}1")

    def start(self, position: str, host_id: str) -> None:
        old = self.processes.get(host_id)
        incarnation = old.incarnation + 1 if old else 1
        clock_rate = self.rng.choice([0.98, 1.0, 1.02])
        sim_host = self.simulation.start_host(
            position, host_id, incarnation, clock_rate, {}, host_id
        )
        now_s = sim_host.to_local_s(self.simulation.now_s)
        controller = ShareController(host_id, position, incarnation, now_s, sim_host.ledger)
        self.processes[host_id] = Process(sim_host, controller, incarnation)
        self.platform[host_id] = "live"
        sim_host.lending.set_peers(
            [
                LenderCandidate(p, p, 1.5, {SLOT: 6, "region:r": 6})
                for p in self.processes
                if p != host_id
            ]
        )

    def step(self) -> None:
        process = self.rng.choice(list(self.processes.values()))
        events = [
            self.edit,
            self.crash,
            self.restart,
            self.replace,
            self.long_time,
            self.run_healthily,
        ]
        weights = [0.01, 0.002, 0.02, 0.02, 0.005, 0.02]
        actions = [self.sync, self.hear, self.write, self.tick, self.use, self.finish, self.deliver]
        if self.rng.random() < sum(weights):
            self.rng.choices(events, weights)[0](process)
        else:
            self.rng.choice(actions)(process)
            self.simulation.advance(0.005)

    def run_healthily(self, process: Process) -> None:
        """Deliver messages between all live processes for a few steps."""
        for _ in range(self.rng.randint(1, 6)):
            for action in (self.sync, self.sync, self.write, self.hear, self.tick, self.use):
                for other in self.processes.values():
                    action(other)
            self.simulation.advance(0.05)
            self.simulation.deliver_due_messages()

    def edit(self, process: Process) -> None:
        positions = self.rng.choice(["a", "b", "ab", "bc", "abc", "abcd"])
        slots = self.rng.choice(self.slots)
        generation = self.configs[-1][1].generation + 1
        self.revision += 1
        self.configs.append((self.revision, configuration(positions, slots, generation)))

    def crash(self, process: Process) -> None:
        process.is_alive = False
        process.sim_host.paused = True

    def restart(self, process: Process) -> None:
        if not process.is_alive and self.platform[process.sim_host.host_id] == "live":
            self.start(process.sim_host.position, process.sim_host.host_id)

    def replace(self, process: Process) -> None:
        """List a crashed host as gone, or start another host even while the first still runs."""
        host_id = process.sim_host.host_id
        position = process.sim_host.position
        if not process.is_alive and self.rng.random() < 0.5:
            self.platform[host_id] = "gone"
        elif len(self.processes) < 7:
            name = self.rng.choice([position, "d"])
            self.start(name, f"{name}{len(self.processes) + 1}")

    def long_time(self, process: Process) -> None:
        self.simulation.advance(self.rng.choice([5.0, 60.0, 160.0]))

    def sync(self, process: Process) -> None:
        """Give a process the newest object or, as a stale read does, an older one."""
        if not process.is_alive:
            return
        now_s = process.sim_host.to_local_s(self.simulation.now_s)
        versions_back = self.rng.choice([1, 1, 1, 2, 3])
        if self.rng.random() < 0.5:
            process.controller.observe_config(*self.configs[-min(versions_back, len(self.configs))])
        else:
            version, table = self.claims[-min(versions_back, len(self.claims))]
            process.controller.observe_claims(version, table, now_s)
            process.seen_claims = max(process.seen_claims, (version, table), key=lambda c: c[0])

    def hear(self, process: Process) -> None:
        """Deliver this process's heartbeat to all live processes, each with some probability."""
        if not process.is_alive:
            return
        heard = record(
            process.sim_host.host_id,
            process.sim_host.position,
            process.controller.config_version,
            process.controller.settled_version,
        )
        for other in self.processes.values():
            if other.is_alive and self.rng.random() < 0.8:
                entry = (MemberStatus(heard, MemberState.LIVE), self.simulation.now_s)
                other.members[process.sim_host.host_id] = entry

    def write(self, process: Process) -> None:
        """Claim the position or rewrite the claims; a stale view makes the write fail."""
        if not process.is_alive or process.controller.config_version == 0:
            return
        now_s = process.sim_host.to_local_s(self.simulation.now_s)
        process.controller.observe_platform(self.platform, now_s)
        version, table = process.seen_claims
        sim_host = process.sim_host
        wanted = plan_claim(
            table, sim_host.position, sim_host.host_id, process.incarnation, self.platform
        )
        if wanted is None and process.controller.needs_claims_rewrite:
            wanted = table
        if wanted is not None and version == self.claims[-1][0]:
            self.revision += 1
            self.claims.append((self.revision, wanted))

    def tick(self, process: Process) -> None:
        if not process.is_alive:
            return
        members = [
            attrs.evolve(
                status,
                state=(
                    MemberState.LIVE if self.simulation.now_s - at_s < 1.0 else MemberState.SUSPECT
                ),
            )
            for status, at_s in process.members.values()
        ]
        process.controller.tick(members, process.sim_host.to_local_s(self.simulation.now_s))
        self.simulation.tick(process.sim_host)

    def use(self, process: Process) -> None:
        """Acquire as many units as the ledger allows, up to a random number."""
        if not process.is_alive:
            return
        units = [ResourceUnits(SLOT, 1), ResourceUnits("region:r", 1)]
        request_s = self.rng.choice([1.0, 60.0])
        for _ in range(self.rng.randint(1, 8)):
            self.simulation.acquire(process.sim_host, units, request_s)

    def finish(self, process: Process) -> None:
        for request in [
            running
            for running in self.simulation.running_requests
            if running.host is process.sim_host and process.is_alive
        ]:
            if self.rng.random() < 0.7:
                self.simulation.finish_request(request)

    def deliver(self, process: Process) -> None:
        self.simulation.deliver_due_messages()

    def check(self) -> None:
        """Check the caps, and the cap of the newest split once all processes report it settled."""
        assert self.simulation.find_over_cap() == {}
        version, newest = self.configs[-1]
        controllers = [process.controller for process in self.processes.values()]
        if all(p.is_alive for p in self.processes.values()) and all(
            controller.config_version == version == controller.settled_version
            for controller in controllers
        ):
            assert self.simulation.count_units_in_use(SLOT) <= newest.backend_servers[0].slots


class FleetMachine(RuleBasedStateMachine):
    """Let Hypothesis choose the order of events in a fleet."""

    ACTIONS = (
        *("edit", "crash", "restart", "replace", "long_time"),
        *("run_healthily", "sync", "hear", "write", "tick", "use", "finish", "deliver"),
    )

    @initialize(seed=st.integers(0, 1_000_000))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(random.Random(seed))
        for _ in range(4):
            self.fleet.run_healthily(self.fleet.processes["a1"])

    @rule(action=st.sampled_from(ACTIONS), index=st.integers(0, 6))
    def act(self, action: str, index: int) -> None:
        processes = list(self.fleet.processes.values())
        getattr(self.fleet, action)(processes[index % len(processes)])

    @rule(by_s=st.sampled_from([0.02, 0.5, 2.0]))
    def pass_time(self, by_s: float) -> None:
        self.fleet.simulation.advance(by_s)

    @invariant()
    def caps_hold(self) -> None:
        """Guard against units in use above a cap in any order of events."""
        if hasattr(self, "fleet"):
            self.fleet.check()


FleetMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=50, deadline=None)
TestFleet = FleetMachine.TestCase


@pytest.mark.parametrize("seed", range(12))
def test_caps_hold_through_edits_restarts_and_replacements(seed: int) -> None:
    """Guard against units in use above a cap after edits, restarts and replacements.

    It happens if a host uses a larger share before the others reduced theirs, or while requests of
    its predecessor still run.
    """
    fleet = Fleet(random.Random(seed))
    for _ in range(2000):
        fleet.step()
        fleet.check()


def test_simulated_fleet_uses_all_units() -> None:
    """Guard against a simulation whose checks pass only because few units are in use."""
    peaks = []
    for seed in range(5):
        fleet = Fleet(random.Random(seed), slots=(6,))
        peak = 0
        for _ in range(1500):
            fleet.step()
            peak = max(peak, fleet.simulation.count_units_in_use(SLOT))
        peaks.append(peak)
    # With some seeds a host crashes early, and an increase then waits for the platform's list.
    assert sorted(peaks)[2] == 6


def controller_of(host: str, incarnation: int = 1) -> ShareController:
    return ShareController(host, host[0], incarnation, 0.0, Ledger())


def claims_of(*hosts: str) -> ClaimTable:
    return ClaimTable(tuple(Claim(host[0], host, 1, True) for host in hosts))


def active_controller(host: str = "a1") -> ShareController:
    """Return a controller that uses its whole share of configuration 1, beside host b1."""
    controller = controller_of(host)
    controller.observe_config(1, configuration("ab"))
    controller.observe_claims(2, claims_of("a1", "b1"), 0.0)
    controller.tick([status("b1", 1, 1)], 0.1)
    return controller


def test_first_holder_of_a_position_uses_its_share_at_once() -> None:
    """Guard against a new deployment that waits for a predecessor although there was none."""
    controller = active_controller()
    assert controller.is_active and not controller.is_increase_pending
    assert controller.ledger_share(SLOT) == 3


def test_restarted_process_waits_and_reports_nothing_settled() -> None:
    """Guard against use above a cap while requests and loans from before a restart still run."""
    controller = controller_of("a1", incarnation=2)
    controller.observe_config(1, configuration("ab"))
    controller.observe_claims(2, claims_of("a1", "b1"), 0.0)
    wait_s = quarantine_s(configuration("ab"))
    controller.tick([status("b1", 1, 1)], wait_s - 0.1)
    assert (controller.is_active, controller.settled_version) == (False, 0)
    controller.tick([status("b1", 1, 1)], wait_s)
    assert (controller.is_active, controller.settled_version) == (True, 1)


def test_takeover_waits_from_the_claim_not_from_the_start() -> None:
    """Guard against use above a cap when the predecessor ran until just before the claim."""
    controller = controller_of("a2")
    controller.observe_config(1, configuration("ab"))
    table = ClaimTable((Claim("a", "a2", 1, False), Claim("b", "b1", 1, True)))
    controller.observe_claims(9, table, 1000.0)
    controller.tick([status("b1", 1, 1)], 1001.0)
    assert not controller.is_active


def test_share_decreases_at_once_and_increases_after_all_others_settled() -> None:
    """Guard against an increase while another host still uses the earlier split."""
    controller = active_controller()
    controller.observe_config(5, configuration("a", generation=2))
    controller.tick([status("b1", 1, 1)], 0.2)
    assert controller.ledger_share(SLOT) == 3
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.tick([status("b1", 5, 1)], 0.3)
    assert controller.ledger_share(SLOT) == 3
    controller.tick([status("b1", 5, 5)], 0.4)
    assert controller.ledger_share(SLOT) == 6
    controller.observe_config(7, configuration("b", generation=3))
    controller.tick([status("b1", 5, 5)], 0.5)
    assert controller.ledger_share(SLOT) == 0


def test_host_at_a_later_version_blocks_an_increase() -> None:
    """Guard against an increase to a split that another host skipped, as it uses a later one."""
    controller = active_controller()
    controller.observe_config(5, configuration("a", generation=2))
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.tick([status("b1", 8, 8)], 0.3)
    assert controller.ledger_share(SLOT) == 3


def test_equal_split_without_a_gap_needs_no_settling() -> None:
    """Guard against shares delayed by an edit, as of customers, that does not change the split."""
    controller = active_controller()
    controller.observe_config(5, configuration("ab", generation=2))
    assert not controller.is_increase_pending
    controller.observe_config(9, configuration("ab", generation=4))
    assert controller.is_increase_pending


def test_vacant_position_needs_claims_written_after_the_configuration() -> None:
    """Guard against an increase while another host uses a position by a claim not known here."""
    controller = active_controller()
    controller.observe_config(5, configuration("abc", generation=2))
    controller.tick([status("b1", 5, 5)], 0.2)
    assert controller.needs_claims_rewrite and controller.is_increase_pending
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.tick([status("b1", 5, 5)], 0.3)
    assert not controller.is_increase_pending


def test_gone_host_counts_as_settled_only_after_its_requests_ended() -> None:
    """Guard against an increase while requests of a host that is gone still run."""
    controller = active_controller()
    controller.observe_config(5, configuration("a", generation=2))
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.observe_platform({"b1": "gone"}, 1.0)
    controller.tick([], 2.0)
    assert controller.is_increase_pending
    controller.tick([], 1.0 + quarantine_s(None))
    assert not controller.is_increase_pending


def test_suspect_host_blocks_an_increase() -> None:
    """Guard against an increase based on an outdated report of a host that may have restarted."""
    controller = active_controller()
    controller.observe_config(5, configuration("a", generation=2))
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.tick([status("b1", 5, 5, MemberState.SUSPECT)], 0.3)
    assert controller.is_increase_pending


def test_member_missing_from_the_known_claims_blocks_an_increase() -> None:
    """Guard against an increase while a live member has a claim that this host has not seen."""
    controller = active_controller()
    controller.observe_config(5, configuration("a", generation=2))
    controller.observe_claims(6, claims_of("a1", "b1"), 0.2)
    controller.tick([status("b1", 5, 5), status("c1", 1, 1)], 0.3)
    assert controller.unsettled_hosts == ("c1",) and controller.is_increase_pending


def test_settled_version_waits_until_use_fits_the_smaller_share() -> None:
    """Guard against reporting a split as settled while units above the new share are in use."""
    ledger = Ledger()
    controller = ShareController("a1", "a", 1, 0.0, ledger)
    controller.observe_config(1, configuration("a"))
    controller.observe_claims(2, claims_of("a1"), 0.0)
    controller.tick([], 0.1)
    reservation = ledger.try_acquire([ResourceUnits(SLOT, 6)], 60.0, 0.2)
    assert reservation is not None
    controller.observe_config(5, configuration("a", slots=4, generation=2))
    controller.tick([], 0.3)
    assert controller.settled_version == 1
    ledger.release(reservation)
    controller.tick([], 0.4)
    assert controller.settled_version == 5
