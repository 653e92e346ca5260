"""Check allotments over all hosts together, with lost messages, failures and hot organisations."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.allotmentfleet import (
    CONFIG_APPLY_S,
    WINDOW_S,
    ZONE_REGIONS,
    AllotmentFleet,
    Organisation,
    most_used_ratio,
    served_in_one_place,
)
from tests.virtualtime import run_in_virtual_time

HOT_S = 6.0

Play = Callable[[AllotmentFleet], Awaitable[None]]


def play(
    organisations: list[Organisation], seed: int, main: Play, strong_per_zone: int = 2
) -> AllotmentFleet:
    """Run `main` with a fleet whose buckets are full, and return the fleet."""
    fleets = []

    async def run() -> None:
        fleet = AllotmentFleet(organisations, seed, 1, strong_per_zone)
        fleets.append(fleet)
        await fleet.start()
        await main(fleet)
        await fleet.stop()

    run_in_virtual_time(run())
    return fleets[0]


def zones_of_region(region: str) -> list[str]:
    return [zone for zone, name in ZONE_REGIONS.items() if name == region]


def other_region(fleet: AllotmentFleet, name: str) -> str:
    """Return a region without the owner of an organisation."""
    owner_region = ZONE_REGIONS[fleet.hosts[fleet.owner(name)].zone]
    return min(region for region in ZONE_REGIONS.values() if region != owner_region)


def cut_links_of_a_region(fleet: AllotmentFleet) -> None:
    region = other_region(fleet, "o")
    for name, host in fleet.hosts.items():
        if ZONE_REGIONS[host.zone] == region:
            fleet.cut_link(fleet.owner("o"), name)


def split_off_owner_for_a_while(fleet: AllotmentFleet) -> None:
    fleet.split(zones_of_region(ZONE_REGIONS[fleet.hosts[fleet.owner("o")].zone]))
    asyncio.get_running_loop().call_later(6.0, fleet.heal)


def lose_messages(fleet: AllotmentFleet) -> None:
    fleet.loss = fleet.duplicates = 0.2


def delay_messages(fleet: AllotmentFleet) -> None:
    fleet.delay_s = (0.001, 0.3)


def restart_strong_host(fleet: AllotmentFleet) -> None:
    fleet.restart(fleet.rng.choice(fleet.strong_names))


FAILURES: dict[str, Callable[[AllotmentFleet], None]] = {
    "owner killed": lambda fleet: fleet.kill(fleet.owner("o")),
    "owner restarted": lambda fleet: fleet.restart(fleet.owner("o")),
    "owner leaves": lambda fleet: fleet.leave(fleet.owner("o")),
    "owner frozen for a moment": lambda fleet: fleet.freeze(fleet.owner("o"), 0.9),
    "owner frozen": lambda fleet: fleet.freeze(fleet.owner("o"), 4.0),
    "host restarted": restart_strong_host,
    "region cut off": lambda fleet: fleet.split(zones_of_region(other_region(fleet, "o"))),
    "owner cut off for a while": split_off_owner_for_a_while,
    "links of a region to the owner cut": cut_links_of_a_region,
    "messages lost": lose_messages,
    "messages late": delay_messages,
}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("rate_per_s", [2.0, 24.0, 430.0])
def test_no_window_is_exceeded_when_a_burst_and_a_failure_coincide(
    failure: str, rate_per_s: float
) -> None:
    # Guard against each row of the table of failures: the burst is whole, demand begins at all
    # hosts with the failure and stays above the rate.
    organisation = Organisation("o", rate_per_s, rate_per_s)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("o", rate_per_s * (7.0 if rate_per_s < 100.0 else 2.0), 10.0)
        FAILURES[failure](fleet)
        await asyncio.sleep(10.0)

    fleet = play([organisation], 1, main)
    assert fleet.sends["o"]
    assert most_used_ratio(fleet.sends["o"], organisation) <= 1.0


FAULT_KINDS = (
    "kill",
    "restart",
    "leave",
    "freeze",
    "split",
    "heal",
    "cut_link",
    "lossy",
    "late",
    "calm",
)


def inject(fleet: AllotmentFleet, kind: str) -> None:
    """Inject one fault at a random place; half of the time at the owner."""
    rng = fleet.rng
    target = fleet.owner("o") if rng.random() < 0.5 else rng.choice(fleet.strong_names)
    if kind in ("kill", "restart", "leave"):
        getattr(fleet, kind)(target)
    elif kind == "freeze":
        fleet.freeze(target, rng.uniform(0.2, 6.0))
    elif kind == "split":
        fleet.split(rng.sample(list(ZONE_REGIONS), rng.randint(1, 3)))
    elif kind == "heal":
        fleet.heal()
    elif kind == "cut_link":
        for name in rng.sample(fleet.strong_names, 3):
            fleet.cut_link(target, name)
    elif kind == "lossy":
        fleet.loss, fleet.duplicates = 0.3, 0.3
    elif kind == "late":
        fleet.delay_s = (0.001, 0.4)
    else:
        fleet.loss = fleet.duplicates = 0.0
        fleet.delay_s = (0.001, 0.03)


@settings(max_examples=25)
@given(
    rate_per_s=st.sampled_from([2.0, 7.0, 20.0, 60.0, 150.0, 430.0]),
    burst_ratio=st.sampled_from([0.0, 1.0, 3.0]),
    demand_ratio=st.sampled_from([0.8, 1.5, 4.0]),
    is_at_few_hosts=st.booleans(),
    faults=st.lists(
        st.tuples(st.floats(0.0, 4.0), st.sampled_from(FAULT_KINDS)), min_size=0, max_size=5
    ),
    lower_ratio=st.sampled_from([None, None, 0.2]),
    seed=st.integers(0, 10_000),
)
def test_no_window_is_exceeded_whatever_fails(
    rate_per_s: float,
    burst_ratio: float,
    demand_ratio: float,
    is_at_few_hosts: bool,
    faults: list[tuple[float, str]],
    lower_ratio: float | None,
    seed: int,
) -> None:
    # Guard against combinations of failures, of messages and of a lower limit that exceed the
    # allotment; hosts that are gone, frozen or cut off count as the others do.
    organisation = Organisation("o", rate_per_s, rate_per_s * burst_ratio)
    lowered = Organisation("o", rate_per_s * (lower_ratio or 1.0), organisation.burst)
    lowered_at_s = []

    async def main(fleet: AllotmentFleet) -> None:
        demand_per_s = demand_ratio * (rate_per_s if rate_per_s < 100.0 else 0.6 * rate_per_s)
        hosts = fleet.strong_names[:3] if is_at_few_hosts else []
        fleet.demand("o", demand_per_s, 30.0, hosts)
        for delay_s, kind in faults:
            await asyncio.sleep(delay_s)
            inject(fleet, kind)
        if lower_ratio is not None:
            fleet.reconfigure([lowered])
            lowered_at_s.append(fleet.now_s())
        await asyncio.sleep(CONFIG_APPLY_S + 2.0 * WINDOW_S)

    fleet = play([organisation], seed, main)
    times_s = fleet.sends.get("o", [])
    assert most_used_ratio(times_s, organisation) <= 1.0
    if lowered_at_s:
        in_force_s = lowered_at_s[0] + CONFIG_APPLY_S + WINDOW_S
        assert most_used_ratio([t for t in times_s if t >= in_force_s], lowered) <= 1.0


@pytest.mark.parametrize("rate_per_s", [2.0, 10.0, 40.0, 150.0, 430.0])
@pytest.mark.parametrize("demand_ratio", [1.1, 1.5, 4.0])
def test_allotment_is_used_under_demand(rate_per_s: float, demand_ratio: float) -> None:
    # Guard against requests that are refused within the allotment: tokens lost, expired or kept at
    # hosts that don't need them.
    organisation = Organisation("o", rate_per_s, rate_per_s)
    seconds = 60.0 if rate_per_s < 20.0 else 12.0

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("o", demand_ratio * rate_per_s, seconds)
        await asyncio.sleep(seconds)

    fleet = play([organisation], 1, main)
    used = len(fleet.sends["o"])
    assert used >= 0.95 * served_in_one_place(fleet.arrivals_s["o"], organisation)


def test_allotment_is_used_by_a_single_host() -> None:
    # Guard against shares by host that leave the part of hosts without callers unused.
    organisation = Organisation("o", 40.0, 40.0)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("o", 80.0, 15.0, fleet.strong_names[:1])
        await asyncio.sleep(15.0)

    fleet = play([organisation], 1, main)
    assert len(fleet.sends["o"]) >= 0.95 * 40.0 * 15.0


def test_demand_below_the_rate_is_served() -> None:
    # Guard against refusals of an organisation that stays within its allotment.
    organisations = [Organisation("o", 40.0, 40.0), Organisation("p", 5.0, 5.0)]

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("o", 28.0, 20.0)
        fleet.demand("p", 2.0, 20.0)
        await asyncio.sleep(20.0)

    fleet = play(organisations, 1, main)
    for name in ("o", "p"):
        assert fleet.refused.get(name, 0) <= 0.01 * fleet.offered[name]


def test_hot_organisation_is_served_its_allotment_and_others_are_unharmed() -> None:
    # Guard against a hot organisation, at seven times its usual load, that is refused within its
    # allotment, costs others their requests or causes a message per request.
    rng = Random(7)
    rates_per_s = [424.0, 160.0, 90.0] + [rng.uniform(2.0, 20.0) for _ in range(77)]
    organisations = [Organisation(f"t{n}", rate, rate) for n, rate in enumerate(rates_per_s)]
    usual_per_s = 0.45 * 160.0

    async def main(fleet: AllotmentFleet) -> None:
        for organisation in organisations:
            if organisation.name != "t1":
                fleet.demand(organisation.name, 0.45 * organisation.rate_per_s, 10.0)
        fleet.demand("t1", usual_per_s, 2.0)
        await asyncio.sleep(2.0)
        fleet.sends["t1"].clear()
        fleet.messages = 0
        fleet.demand("t1", 7.0 * usual_per_s, HOT_S)
        await asyncio.sleep(HOT_S)

    fleet = play(organisations, 1, main)
    hot = organisations[1]
    assert len(fleet.sends["t1"]) >= 0.95 * hot.rate_per_s * HOT_S
    assert most_used_ratio(fleet.sends["t1"], hot) <= 1.0
    others = [item.name for item in organisations if item.name != "t1"]
    refused = sum(fleet.refused.get(name, 0) for name in others)
    offered = sum(fleet.offered.get(name, 0) for name in others)
    assert refused <= 0.01 * offered
    # Less than two messages for each request of a limited organisation, grants included.
    assert fleet.messages <= 2.0 * (offered * HOT_S / 8.0 + fleet.offered["t1"])


def test_no_messages_without_demand() -> None:
    # Guard against periodic messages of 80 organisations between all hosts.
    organisations = [Organisation(f"t{n}", 10.0, 10.0) for n in range(80)]

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("t1", 100.0, 2.0)
        await asyncio.sleep(3.0)
        assert fleet.messages
        fleet.messages = 0
        await asyncio.sleep(20.0)

    assert play(organisations, 1, main).messages == 0


@pytest.mark.parametrize("rate_per_s", [24.0, 430.0])
def test_no_window_is_exceeded_when_all_hosts_restart_in_a_partition_within_zones(
    rate_per_s: float,
) -> None:
    # Guard against hosts that restart cut off from others of their zone, take themselves for all
    # members of these zones and grant the whole rate on either side.
    organisation = Organisation("o", rate_per_s, rate_per_s)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.demand("o", rate_per_s * (5.0 if rate_per_s < 100.0 else 2.0), 18.0)
        await asyncio.sleep(2.0)
        fleet.split_hosts([name for name in fleet.strong_names if name.endswith("0")])
        for name in list(fleet.hosts):
            fleet.restart(name)
        await asyncio.sleep(16.0)

    fleet = play([organisation], 1, main)
    assert fleet.sends["o"]
    assert most_used_ratio(fleet.sends["o"], organisation) <= 1.0


@pytest.mark.parametrize("rate_per_s", [24.0, 430.0])
@pytest.mark.parametrize("has_record", [False, True])
@pytest.mark.parametrize("step", [1, 3])
def test_no_window_is_exceeded_when_hosts_restart_cut_off_singly(
    rate_per_s: float, has_record: bool, step: int
) -> None:
    # Guard against hosts that hear of nobody after a restart, as with all seeds down, and take
    # themselves for the owner of the whole rate, each of them.
    organisation = Organisation("o", rate_per_s, rate_per_s)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.has_record = has_record
        fleet.demand("o", rate_per_s * (5.0 if rate_per_s < 100.0 else 2.0), 18.0)
        await asyncio.sleep(2.0)
        names = sorted(fleet.hosts)
        fleet.cut_off_singly(names[::step])
        for name in list(fleet.hosts):
            fleet.restart(name)
        await asyncio.sleep(16.0)

    # Five hosts a zone: the parts of two were small enough, whoever they took themselves for.
    fleet = play([organisation], 1, main, strong_per_zone=5)
    assert fleet.sends["o"]
    assert most_used_ratio(fleet.sends["o"], organisation) <= 1.0


def test_hosts_that_know_of_nobody_use_their_parts_of_the_record() -> None:
    # Guard against organisations that get nothing while all seeds are down, though a record in the
    # store names the hosts that share their rates.
    organisation = Organisation("o", 430.0, 430.0)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.has_record = True
        fleet.demand("o", 860.0, 14.0)
        fleet.cut_off_singly(list(fleet.hosts))
        for name in list(fleet.hosts):
            fleet.restart(name)
        await asyncio.sleep(14.0)

    fleet = play([organisation], 1, main)
    # Half of the parts, since other hosts may be missing in the record.
    assert len(fleet.sends["o"]) >= 0.4 * 430.0 * 12.0


@pytest.mark.parametrize("rate_per_s", [24.0, 430.0])
def test_no_window_is_exceeded_in_a_partition_within_zones_with_a_record(
    rate_per_s: float,
) -> None:
    # Guard against sides of a partition that take themselves for all members of their zones,
    # though the store tells them of the others.
    organisation = Organisation("o", rate_per_s, rate_per_s)

    async def main(fleet: AllotmentFleet) -> None:
        fleet.has_record = True
        fleet.demand("o", rate_per_s * (5.0 if rate_per_s < 100.0 else 2.0), 18.0)
        await asyncio.sleep(2.0)
        fleet.split_hosts([name for name in fleet.strong_names if name.endswith("0")])
        for name in list(fleet.hosts):
            fleet.restart(name)
        await asyncio.sleep(16.0)

    fleet = play([organisation], 1, main)
    assert fleet.sends["o"]
    assert most_used_ratio(fleet.sends["o"], organisation) <= 1.0
