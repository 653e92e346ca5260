"""Check the block table, the ranking of entry hosts and the HTTP answers of the locator."""

import ipaddress
import json
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

import anyio
import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute.blocks import BlockTable
from berylchute.config import decode_toml
from berylchute.exceptions import ConfigError
from berylchute.locator import Locator, LocatorApp
from berylchute.messages import MemberRecord
from berylchute.types import MemberState, MemberStatus

LISTS = Path(__file__).parent.parent / "examples" / "cooperativa" / "lists.toml"
CONFIG = decode_toml(LISTS.read_text(encoding="utf-8"))
POSITIONS = {p.name: p.availability_zone for p in CONFIG.host_positions}


def make_status(position: str, state: MemberState = MemberState.LIVE) -> MemberStatus:
    zone = POSITIONS[position]
    record = MemberRecord(
        host_id=f"i-{position}",
        position=position,
        availability_zone=zone,
        region=CONFIG.region_of(zone),
        role="entry",
        incarnation=7,
        sequence=1,
        leaving=False,
        ready=True,
        http_url=f"http://127.0.0.1/{position}",
        peer_address="127.0.0.1:1",
        owner_epoch=3,
        settled_version=1,
        config_version=1,
        free_units={"saldo": 20},
    )
    return MemberStatus(record, state)


def make_locator(statuses: list[MemberStatus]) -> Locator:
    locator = Locator()
    locator.configure(CONFIG, 5)
    locator.update(statuses)
    return locator


networks = st.integers(6, 16).flatmap(
    lambda prefix: st.integers(0, 2**prefix - 1).map(
        lambda number: ipaddress.IPv4Network((number << (32 - prefix), prefix))
    )
)


@given(st.dictionaries(networks, st.integers(0, 1999), max_size=20), st.data())
def test_longest_prefix_wins(blocks: dict[ipaddress.IPv4Network, int], data: st.DataObject) -> None:
    """Guard against wrong sites for addresses in nested blocks, in gaps and at block edges."""
    table = BlockTable((str(network), site) for network, site in blocks.items())
    edges = [int(n[edge]) + step for n in blocks for edge in (0, -1) for step in (-1, 0, 1)]
    random_numbers = data.draw(st.lists(st.integers(0, 2**32 - 1), max_size=5))
    for number in edges + random_numbers:
        address = ipaddress.IPv4Address(number % 2**32)
        inside = [network for network in blocks if address in network]
        expected = blocks[max(inside, key=lambda n: n.prefixlen)] if inside else None
        assert table.find_site(str(address)) == expected


def test_ipv6_and_mapped_addresses_are_found() -> None:
    """Guard against unknown sites for IPv4 callers on a dual-stack socket (::ffff:a.b.c.d)."""
    table = BlockTable([("2001:db8::/32", 4), ("10.0.0.0/8", 2)])
    assert table.find_site("2001:db8:1::1") == 4
    assert table.find_site("2001:db9::1") is None
    assert table.find_site("::ffff:10.1.2.3") == 2
    assert table.find_site("not an address") is None


@pytest.mark.parametrize("cidr", ["10.0.0.1/8", "here", "2001:db8::/96"])
def test_invalid_block_is_a_config_error(cidr: str) -> None:
    """Guard against an invalid block that stops the task that applies configurations."""
    with pytest.raises(ConfigError, match="client_blocks"):
        BlockTable([(cidr, 1)])


@given(st.dictionaries(st.sampled_from(sorted(POSITIONS)), st.sampled_from(list(MemberState))))
def test_only_live_hosts_are_offered(states: dict[str, MemberState]) -> None:
    """Guard against offering hosts that are leaving, suspect or gone."""
    statuses = [make_status(position, state) for position, state in states.items()]
    locator = make_locator(statuses)
    live = {position for position, state in states.items() if state is MemberState.LIVE}
    for address in ("10.10.0.1", "10.15.0.1", "192.0.2.1"):
        offered = [host.position for host in locator.locate(address).hosts]
        assert set(offered) <= live
        assert len(set(offered)) == len(offered)
        assert bool(offered) == bool(live)


@given(st.sampled_from(["10.10.0.1", "10.12.9.9", "192.0.2.1"]), st.data())
def test_order_of_the_other_hosts_is_kept_when_one_is_gone(
    address: str, data: st.DataObject
) -> None:
    """Guard against callers that change hosts when an unrelated host goes."""
    statuses = [make_status(position) for position in POSITIONS]
    before = [h.position for h in make_locator(statuses).locate(address).hosts]
    shuffled = data.draw(st.permutations(statuses))
    lost = data.draw(st.sampled_from(sorted(POSITIONS)))
    kept = [s for s in shuffled if s.record.position != lost]
    after = [h.position for h in make_locator(kept).locate(address).hosts]
    expected = [position for position in before if position != lost]
    assert after[: len(expected)] == expected


def test_near_hosts_rank_first_and_hosts_with_few_free_slots_last_in_region() -> None:
    """Guard against distant hosts ranked before near ones, and against flapping ranks."""
    locator = make_locator([make_status(position) for position in POSITIONS])
    zones = [host.availability_zone for host in locator.locate("10.12.0.1").hosts]
    assert zones[:4] == ["coban-a", "coban-a", "coban-b", "coban-b"]
    first = locator.locate("10.12.0.1").hosts[0].position
    ranks = []
    for free in (3, 1, 3, 9):
        statuses = [make_status(position) for position in POSITIONS]
        changed = [
            (
                attrs.evolve(s, record=attrs.evolve(s.record, free_units={"saldo": free}))
                if s.record.position == first
                else s
            )
            for s in statuses
        ]
        locator.update(changed)
        ranks.append([h.position for h in locator.locate("10.12.0.1").hosts].index(first))
    assert ranks == [0, 3, 3, 0]


def send_request(
    app: LocatorApp, method: str, path: str, query: bytes
) -> tuple[int, dict[str, Any]]:
    sent: list[MutableMapping[str, Any]] = []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query,
        "client": ("10.10.0.1", 4000),
    }

    async def receive() -> MutableMapping[str, Any]:
        return {"type": "http.request"}

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(message)

    anyio.run(app, scope, receive, send)
    return sent[0]["status"], json.loads(sent[1]["body"])


def test_http_answers() -> None:
    """Guard against answers without an owner token and against wrong status codes."""
    app = LocatorApp(make_locator([make_status(position) for position in POSITIONS]))
    status, body = send_request(app, "GET", "/berylchute/v1/locate", b"")
    assert (status, body["ttl_s"], body["version"]) == (200, 5, 5)
    host = body["hosts"][0]
    assert host["availability_zone"] == "xela-a"
    assert host["owner"] == f"{host['position']}.7.3"
    by_zone = send_request(app, "GET", "/berylchute/v1/locate", b"zone=coban-b")[1]
    assert by_zone["hosts"][0]["availability_zone"] == "coban-b"
    by_address = send_request(app, "GET", "/berylchute/v1/locate", b"address=10.14.0.1")[1]
    assert by_address["hosts"][0]["availability_zone"] == "chiquimula-a"
    assert send_request(app, "POST", "/berylchute/v1/locate", b"")[0] == 405
    assert send_request(app, "GET", "/other", b"")[0] == 404
    assert send_request(LocatorApp(make_locator([])), "GET", "/berylchute/v1/locate", b"")[0] == 503
