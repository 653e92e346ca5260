"""Check the membership protocol on a virtual clock and a simulated network."""

from random import Random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylchute.membership import Membership
from berylchute.messages import MemberUpdate
from berylchute.types import MemberState
from lab.fleet import NetworkFaults, VirtualFleet, make_member_record

ZONES = ("xela-a", "xela-b", "coban-a", "coban-b")
NAMES = tuple(f"{zone}-{number}" for zone in ZONES for number in (1, 2, 3))
SEEDS = NAMES[:2]


def _zone_of(name: str) -> str:
    return name.rsplit("-", 1)[0]


def _region_of(name: str) -> str:
    return name.split("-", 1)[0]


def _fleet(seed: int = 1) -> VirtualFleet:
    fleet = VirtualFleet(seed)
    for name in NAMES:
        fleet.start(name, _zone_of(name), _region_of(name), SEEDS)
    fleet.run(5.0)
    return fleet


def _states(fleet: VirtualFleet, name: str) -> set[MemberState | None]:
    return {host.state_of(name) for host in fleet.running_hosts() if host.name != name}


class FleetMachine(RuleBasedStateMachine):
    """Apply faults in any order; all members agree on the true states after the faults end."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _fleet()
        self.version = 0
        self.left: set[str] = set()

    @rule(duration_s=st.floats(0.05, 3.0))
    def run(self, duration_s: float) -> None:
        """Advance the virtual clock."""
        self.fleet.run(duration_s)

    @precondition(lambda self: len(self.fleet.running_hosts()) > 4)
    @rule(name=st.sampled_from(NAMES[2:]))
    def stop(self, name: str) -> None:
        """Kill a process."""
        self.fleet.stop(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Start a process again without its former state."""
        self.left.discard(name)
        self.fleet.start(name, _zone_of(name), _region_of(name), SEEDS)

    @rule(name=st.sampled_from(NAMES), duration_s=st.floats(0.1, 6.0))
    def pause(self, name: str, duration_s: float) -> None:
        """Pause a process."""
        self.fleet.pause(name, duration_s)

    @rule(name=st.sampled_from(NAMES[2:]))
    def leave(self, name: str) -> None:
        """Announce that a process leaves."""
        if self.fleet.hosts[name].is_up:
            self.left.add(name)
            self.fleet.leave(name)

    @rule(loss=st.floats(0.0, 0.3), duplication=st.floats(0.0, 0.5), delay_s=st.floats(0.0, 1.5))
    def disturb(self, loss: float, duplication: float, delay_s: float) -> None:
        """Lose, duplicate and delay messages; delays vary, so that messages are reordered."""
        self.fleet.faults = NetworkFaults(loss, duplication, 0.001, 0.001 + delay_s)

    @rule(zone=st.sampled_from(ZONES))
    def partition(self, zone: str) -> None:
        """Partition a zone from all others."""
        others = [other for other in ZONES if other != zone]
        self.fleet.blocked |= {(zone, other) for other in others}
        self.fleet.blocked |= {(other, zone) for other in others}

    @rule()
    def heal(self) -> None:
        """End partitions and all other network faults."""
        self.fleet.blocked.clear()
        self.fleet.faults = NetworkFaults()

    @rule(name=st.sampled_from(NAMES))
    def accept(self, name: str) -> None:
        """Give a new configuration version to one host."""
        if self.fleet.hosts[name].is_up:
            self.version += 1
            self.fleet.deliver_config(name, self.version)

    @rule(name=st.sampled_from(NAMES), back=st.integers(0, 3))
    def read_stale(self, name: str, back: int) -> None:
        """Give an old configuration version to one host, as a stale read or a late watch does."""
        if self.fleet.hosts[name].is_up and self.version > back:
            self.fleet.deliver_config(name, self.version - back)

    @invariant()
    def never_reverts(self) -> None:
        """Guard against a host that applies a version after a higher one."""
        for host in self.fleet.hosts.values():
            assert host.history == sorted(set(host.history))

    def teardown(self) -> None:
        """Check convergence after the faults end."""
        self.heal()
        self.fleet.run(25.0)
        running_names = {host.name for host in self.fleet.running_hosts()}
        versions = {
            host.replication.objects.version("config") for host in self.fleet.running_hosts()
        }
        assert len(versions) == 1
        for name in NAMES:
            expected = MemberState.LIVE if name in running_names else MemberState.GONE
            if name in running_names & self.left:
                expected = MemberState.LEAVING
            # A host that started after another process stopped may not know that process.
            unknown = set() if name in running_names else {None}
            assert _states(self.fleet, name) - unknown <= {expected}


FleetMachine.TestCase.settings = settings(
    max_examples=15, stateful_step_count=20, deadline=None, derandomize=True
)
TestFleet = FleetMachine.TestCase


def test_silent_member_is_suspect_then_gone() -> None:
    """Guard against sending callers to a stopped host for longer than some seconds."""
    fleet = _fleet()
    fleet.stop("coban-a-2")
    fleet.run(2.5)
    assert _states(fleet, "coban-a-2") == {MemberState.SUSPECT}
    fleet.run(1.5)
    assert _states(fleet, "coban-a-2") == {MemberState.GONE}


def test_whole_zone_is_gone_without_anyone_left_to_report_it() -> None:
    """Guard against a zone that stays live after all its hosts, relays included, have stopped."""
    fleet = _fleet()
    for number in (1, 2, 3):
        fleet.stop(f"coban-b-{number}")
    fleet.run(5.5)
    assert _states(fleet, "coban-b-1") == {MemberState.GONE}


def test_loss_of_both_relays_leaves_the_rest_of_the_zone_live() -> None:
    """Guard against suspecting live members of a zone while it has no relay to report them."""
    fleet = _fleet()
    relays = fleet.hosts["xela-b-1"].replication.membership.relays("xela-b")
    survivor = next(f"xela-b-{n}" for n in (1, 2, 3) if f"xela-b-{n}" not in relays)
    for name in relays:
        fleet.stop(name)
    for _ in range(60):
        fleet.run(0.1)
        assert _states(fleet, survivor) == {MemberState.LIVE}
    assert all(_states(fleet, name) == {MemberState.GONE} for name in relays)


def test_leaving_reaches_all_members_in_one_hop() -> None:
    """Guard against new requests to a leaving host whose relays leave at the same time."""
    fleet = _fleet()
    for name in ("xela-a-1", "xela-a-2", "xela-a-3"):
        fleet.leave(name)
    fleet.run(0.05)
    for name in ("xela-a-1", "xela-a-2", "xela-a-3"):
        assert _states(fleet, name) == {MemberState.LEAVING}


def test_pause_of_one_process_does_not_make_the_others_suspect() -> None:
    """Guard against a paused relay that reports all members as silent when it resumes."""
    fleet = _fleet()
    fleet.pause("xela-a-1", 8.0)
    fleet.run(7.9)
    for _ in range(40):
        fleet.run(0.05)
        for name in NAMES[1:]:
            assert _states(fleet, name) == {MemberState.LIVE}
    assert _states(fleet, "xela-a-1") == {MemberState.LIVE}


def test_partition_heals_after_all_members_were_gone() -> None:
    """Guard against a partition that outlasts its cause, and against stopped hosts shown as live.

    Both sides mark each other as gone, so that neither sends to the other without a retry.
    """
    fleet = _fleet()
    cut = [(a, b) for a in ZONES for b in ZONES if a.split("-")[0] != b.split("-")[0]]
    fleet.blocked = set(cut)
    fleet.run(60.0)
    assert MemberState.GONE in _states(fleet, "coban-a-1")
    fleet.stop("coban-a-3")
    fleet.run(10.0)
    fleet.blocked.clear()
    fleet.run(15.0)
    for name in NAMES:
        expected = MemberState.GONE if name == "coban-a-3" else MemberState.LIVE
        assert _states(fleet, name) == {expected}


def test_restarted_process_replaces_its_former_record() -> None:
    """Guard against a late record of a former process that replaces that of its successor."""
    fleet = _fleet()
    old = fleet.hosts["xela-b-2"].replication.membership.record
    fleet.start("xela-b-2", "xela-b", "xela", SEEDS)
    fleet.run(3.0)
    late = MemberUpdate(sender="xela-b-1", records=(old,), ages_ms=(0,))
    for host in fleet.running_hosts():
        host.replication.handle(late, fleet.now_s)
        status = host.replication.membership.find_by_position("xela-b-2")
        assert status is not None and status.record.incarnation > old.incarnation


def test_process_whose_clock_was_set_back_replaces_its_former_record() -> None:
    """Guard against ignoring a restarted process whose incarnation is below the former one."""
    fleet = _fleet()
    old = fleet.hosts["xela-b-2"].replication.membership.record
    former = attrs.evolve(old, incarnation=old.incarnation + 2_000, sequence=9)
    for host in fleet.running_hosts():
        if host.replication.membership.record.host_id != "xela-b-2":
            late = MemberUpdate(sender="xela-b-1", records=(former,), ages_ms=(0,))
            host.replication.handle(late, fleet.now_s)
    fleet.run(5.0)
    own = fleet.hosts["xela-b-2"].replication.membership.record
    assert own.incarnation > former.incarnation
    for host in fleet.running_hosts():
        status = host.replication.membership.find_by_position("xela-b-2")
        assert status is not None and status.record.incarnation == own.incarnation
        assert status.state is MemberState.LIVE


def test_suspected_member_refutes_with_a_higher_sequence() -> None:
    """Guard against a live member that stays suspect after a wrong report of silence."""
    fleet = _fleet()
    host = fleet.hosts["xela-a-1"]
    before = host.replication.membership.record
    silence_report = MemberUpdate(sender="coban-a-1", records=(before,), ages_ms=(1500,))
    out = host.replication.membership.handle(silence_report, fleet.now_s)
    assert any(outgoing.address == "coban-a-1" for outgoing in out)
    assert host.replication.membership.record.sequence > before.sequence
    fleet.hosts["xela-a-2"].replication.handle(silence_report, fleet.now_s)
    fleet.run(2.0)
    assert _states(fleet, "xela-a-1") == {MemberState.LIVE}


@pytest.mark.parametrize("age_ms", [0, 1500])
def test_older_sequence_never_replaces_a_newer_one(age_ms: int) -> None:
    """Guard against a late message that restores an older state of a member."""
    membership = Membership(make_member_record("a", "z", "r", 1), (), Random(1), 0.0)
    newer = attrs.evolve(make_member_record("b", "z", "r", 1), sequence=5, leaving=True)
    older = attrs.evolve(newer, sequence=4, leaving=False)
    membership.handle(MemberUpdate("b", (newer,), (0,)), 0.1)
    membership.handle(MemberUpdate("b", (older,), (age_ms,)), 0.2)
    found = membership.find_by_position("b")
    assert found is not None
    assert found.record == newer
    assert found.state is MemberState.LEAVING


def test_member_that_returns_is_listed_once_in_the_rotation() -> None:
    """Guard against updates that repeat one member instead of reporting others."""
    own = make_member_record("xela-a-1", "xela-a", "xela", 1)
    membership = Membership(own, (), Random(1), 0.0)
    returning = make_member_record("xela-a-2", "xela-a", "xela", 1)
    for sequence in (1, 2, 3):
        record = attrs.evolve(
            returning,
            sequence=sequence,
            availability_zone="xela-a" if sequence % 2 else "xela-b",
        )
        update = MemberUpdate("xela-a-3", (record,), (0,))
        membership.handle(update, float(sequence))
    queue = membership._queue
    names = [name for _ in range(3) for name in queue.pop_next("xela-a-1")[1:]]
    assert queue._rotation.count("xela-a-2") == 1 and "xela-a-2" in names
