"""Check which members watch the store and which one sends to a cold server."""

from collections.abc import Callable, Collection, Mapping, Sequence

import pytest

from berylchute.assignments import WATCHER_COUNT, ColdSenderSelector, should_watch_store
from berylchute.backends import COLD_RATE_RATIO
from berylchute.discovery import MEMBER_DISCOVERY_S, MemberDiscovery
from berylchute.types import MemberState, MemberStatus
from tests.httpfakes import ManualClock
from tests.test_directory import member

NAMES = [f"m{number}" for number in range(1, 12)]


def fleet(watching: set[str], lost: frozenset[str] = frozenset()) -> list[MemberStatus]:
    return [
        member(
            name,
            "za",
            "ra",
            watching=name in watching,
            state=MemberState.GONE if name in lost else MemberState.LIVE,
        )
        for name in NAMES
    ]


def find_watchers(watching: set[str], unable: frozenset[str], lost: frozenset[str]) -> set[str]:
    """Let each member decide in turn, often enough to converge; return the watchers."""
    for _ in range(len(NAMES)):
        for name in NAMES:
            wanted = should_watch_store(name, fleet(watching, lost))
            able = name not in unable and name not in lost
            (watching.add if wanted and able else watching.discard)(name)
    return watching


def test_few_members_watch_the_store() -> None:
    # Guard against store overload by watches of all members, and members that all wait for others
    # to watch.
    assert len(find_watchers(set(NAMES), frozenset(), frozenset())) == WATCHER_COUNT
    assert len(find_watchers(set(), frozenset(), frozenset())) == WATCHER_COUNT


def test_others_take_over_for_members_that_lost_the_store_or_are_gone() -> None:
    # Guard against members that miss changes after the watchers have lost the store or have
    # stopped.
    first = find_watchers(set(NAMES), frozenset(), frozenset())
    replacements = find_watchers(set(first), frozenset(first), frozenset())
    assert len(replacements) == WATCHER_COUNT and not replacements & first
    gone = find_watchers(set(first), frozenset(), frozenset(first))
    assert len(gone) == WATCHER_COUNT and not gone & first


class _ColdSenders:
    """The members of three regions and what each decides about cold servers of region ra."""

    def __init__(self, further_zones: Mapping[str, str] | None = None) -> None:
        self.clock = ManualClock()
        self.zone_regions = {"za": "ra", "zb": "rb", "zc": "rc", **(further_zones or {})}
        self.regions = {name: "rarbrc"[2 * (n % 3) :][:2] for n, name in enumerate(NAMES)}
        self.restart()
        self.join()
        self.clock.now += MEMBER_DISCOVERY_S + 0.1

    def restart(self) -> None:
        self.discovery = MemberDiscovery(self.clock, self.zone_regions)
        self.selectors = {name: ColdSenderSelector(name, self.discovery) for name in NAMES}

    def join(self) -> None:
        self.discovery.update(is_joined=True)

    def statuses(
        self, *names: str, lost: Collection[str] = (), state: MemberState = MemberState.GONE
    ) -> list[MemberStatus]:
        return [
            member(
                n,
                f"z{self.regions[n][1]}",
                self.regions[n],
                state=state if n in lost else MemberState.LIVE,
            )
            for n in names or NAMES
        ]

    def senders(
        self, server_id: str, view: Callable[[str], Sequence[MemberStatus]], region: str = "ra"
    ) -> list[str]:
        return [
            name
            for name, selector in self.selectors.items()
            if selector.is_cold_sender(server_id, region, view(name))
        ]


def test_cold_server_has_one_sender_that_moves_only_with_it() -> None:
    # Guard against several senders to a cold server or none after the sender has stopped, and one
    # member that sends to all cold servers.
    fleet = _ColdSenders()
    everyone = fleet.statuses()
    (sender,) = fleet.senders("i-1", lambda _: everyone)
    assert fleet.regions[sender] == "ra"
    # The same selectors select another sender when the first one is gone.
    others = fleet.statuses(lost=[sender])
    assert len(set(fleet.senders("i-1", lambda _: others)) - {sender}) == 1
    spread = {n for s in range(50) for n in fleet.senders(f"i-{s}", lambda _: everyone)}
    assert spread == {name for name, region in fleet.regions.items() if region == "ra"}


def test_region_without_members_has_a_sender() -> None:
    # Guard against a cold server that never gets a request where no member runs.
    fleet = _ColdSenders()
    everyone = fleet.statuses()
    assert len(fleet.senders("i-1", lambda _: everyone, region="rd")) == 1


def test_fresh_processes_send_nothing_to_cold_servers() -> None:
    # Guard against restarted processes that each regard themselves as the only member.
    fleet = _ColdSenders()
    fleet.restart()
    fleet.join()
    alone = {name: fleet.statuses(name) for name in NAMES}
    assert not fleet.senders("i-1", alone.__getitem__)
    fleet.clock.now += MEMBER_DISCOVERY_S + 0.1
    everyone = fleet.statuses()
    assert len(fleet.senders("i-1", lambda _: everyone)) == 1


def test_processes_that_start_cut_off_send_nothing_to_cold_servers() -> None:
    # Guard against a restarted process that takes over for all others, as it never hears of them.
    fleet = _ColdSenders()
    fleet.restart()
    fleet.clock.now += 10.0 * MEMBER_DISCOVERY_S
    alone = {name: fleet.statuses(name) for name in NAMES}
    assert not fleet.senders("i-1", alone.__getitem__)


def test_regions_cut_off_from_each_other_have_one_sender_together() -> None:
    # Guard against a sender in each region when members of the others seem to be gone.
    fleet = _ColdSenders()
    views = {
        name: fleet.statuses(lost=[n for n in NAMES if fleet.regions[n] != fleet.regions[name]])
        for name in NAMES
    }
    for number in range(20):
        assert len(fleet.senders(f"i-{number}", views.__getitem__)) == 1


def test_region_that_starts_cut_off_sends_nothing_to_cold_servers_of_others() -> None:
    # Guard against a second sender among fresh processes that never heard of the server's region.
    fleet = _ColdSenders()
    of_region = {r: [n for n in NAMES if fleet.regions[n] == r] for r in ("ra", "rb", "rc")}
    known = {n: fleet.statuses(*of_region[fleet.regions[n]]) for n in NAMES}
    for number in range(20):
        assert len(fleet.senders(f"i-{number}", known.__getitem__)) == 1


def test_configured_region_without_members_has_a_sender() -> None:
    # Guard against a cold server without requests where the settings name a region without hosts.
    fleet = _ColdSenders({"zd": "rd"})
    everyone = fleet.statuses()
    assert len(fleet.senders("i-1", lambda _: everyone, region="rd")) == 1


def test_region_that_the_record_says_has_no_hosts_has_a_sender() -> None:
    # Guard against a cold server without requests where the settings name a region without hosts,
    # though the record in the store tells which regions have some.
    fleet = _ColdSenders({"zd": "rd"})
    everyone = fleet.statuses()
    fleet.discovery.set_recorded({s.record.host_id: s.record.region for s in everyone}, {})
    assert len(fleet.senders("i-1", lambda _: everyone, region="rd")) == 1


def test_members_of_a_region_cut_off_singly_exceed_no_cold_rate() -> None:
    # Guard against a sender on each side when members of a region seem to be gone to one another.
    fleet = _ColdSenders()
    views = {name: fleet.statuses(lost=[n for n in NAMES if n != name]) for name in NAMES}
    assert len(fleet.senders("i-1", views.__getitem__)) * COLD_RATE_RATIO <= 1.5


def test_members_that_suspect_each_other_have_one_sender_together() -> None:
    # Guard against several senders while members miss heartbeats of one another.
    fleet = _ColdSenders()
    views = {
        name: fleet.statuses(lost=[n for n in NAMES if n != name], state=MemberState.SUSPECT)
        for name in NAMES
    }
    for number in range(20):
        assert len(fleet.senders(f"i-{number}", views.__getitem__)) == 1


def test_sender_is_cached_while_the_same_members_live(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guard against hashing for each request whenever a new list with the same members arrives.
    clock = ManualClock()
    discovery = MemberDiscovery(clock)
    discovery.update(is_joined=True)
    selector = ColdSenderSelector("m1", discovery)
    clock.now += MEMBER_DISCOVERY_S + 0.1
    first = selector.is_cold_sender("i-1", "ra", fleet(set()))
    monkeypatch.setattr("berylchute.assignments._rendezvous_weight", _fail)
    assert (
        selector.is_cold_sender("i-1", "ra", fleet({"m2"})) is first
    )  # a new list, the same members


def _fail(_key: str, _host_id: str) -> bytes:
    raise AssertionError("the sender was selected again")
