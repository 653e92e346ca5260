"""Check which members callers are sent to."""

from berylchute.directory import Directory
from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus


def member(name: str, zone: str, region: str, **changes: object) -> MemberStatus:
    state = changes.pop("state", MemberState.LIVE)
    fields: dict[str, object] = {
        "host_id": name,
        "position": name,
        "availability_zone": zone,
        "region": region,
        "role": "edge",
        "incarnation": 1,
        "sequence": 1,
        "leaving": False,
        "ready": True,
        "http_url": f"http://10.0.0.1:{name[1:]}",
        "peer_address": "",
        "owner_epoch": 0,
        "settled_version": 0,
        "config_version": 0,
        "free_units": {},
        **changes,
    }
    return MemberStatus(MemberRecord(**fields), state)  # type: ignore[arg-type]


def select_addresses(
    *members: MemberStatus, home_regions: frozenset[str] = frozenset()
) -> list[str]:
    directory = Directory()
    directory.update(members)
    found = directory.select_addresses("za", "ra", home_regions)
    return [address.rpartition(":")[2] for address in found]


def test_own_zone_first() -> None:
    # Guard against callers that cross zones although their own zone has enough members.
    assert select_addresses(
        member("m1", "za", "ra"), member("m2", "za", "ra"), member("m3", "zb", "ra")
    ) == [
        "1",
        "2",
    ]


def test_single_member_of_a_zone_is_joined_by_its_region() -> None:
    # Guard against a caller with only one address, which may fail.
    found = select_addresses(
        member("m1", "za", "ra"), member("m2", "zb", "ra"), member("m3", "zc", "rc")
    )
    assert found == ["1", "2"]


def test_lost_region_is_served_by_the_others() -> None:
    # Guard against callers without an address when their region is lost. Bodies bound to home
    # regions stay there while these have members.
    assert select_addresses(member("m3", "zc", "rc"), member("m4", "zd", "rd")) == ["3", "4"]
    # With home regions, only their members are returned.
    found = select_addresses(
        member("m3", "zc", "rc"), member("m4", "zd", "rd"), home_regions=frozenset({"rd"})
    )
    assert found == ["4"]


def test_members_that_cannot_accept_callers_are_omitted() -> None:
    # Guard against callers that are sent to members that are not ready, leaving, suspect or gone.
    assert (
        select_addresses(
            member("m1", "za", "ra", ready=False),
            member("m2", "za", "ra", leaving=True),
            member("m3", "za", "ra", state=MemberState.SUSPECT),
            member("m4", "za", "ra", state=MemberState.GONE),
        )
        == []
    )


def test_weak_members_are_omitted_while_enough_strong_ones_are_available() -> None:
    # Guard against overload of members of low capacity, since callers spread evenly over the
    # addresses.
    strong = [member(f"m{number}", "za", "ra", capacity=0.7) for number in (1, 2)]
    weak = [member(f"m{number}", "za", "ra", capacity=0.1) for number in (3, 4)]
    assert select_addresses(*strong, *weak) == ["1", "2"]
    assert select_addresses(strong[0], *weak) == ["1", "3"]
    assert select_addresses(*weak) == ["3", "4"]
