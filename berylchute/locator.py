"""Map client blocks to sites, rank entry hosts and answer locator questions."""

from collections.abc import (
    Awaitable,
    Callable,
    Mapping,
    MutableMapping,
    Sequence,
)
from hashlib import blake2b
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import msgspec

from berylchute.blocks import SITES_MAX, BlockTable
from berylchute.config import Configuration
from berylchute.exceptions import ConfigError
from berylchute.types import MemberState, MemberStatus

__all__ = ["BlockTable", "HostOffer", "HostRanking", "Locator", "LocatorAnswer", "LocatorApp"]

PATH = "/berylchute/v1/locate"
TTL_S = 5
HOSTS_MAX = 8
# Several zones in each answer let a caller go on when its own zone is lost.
HOSTS_PER_ZONE_MAX = 3
# Free units below which a host ranks after its region, and above which it returns.
HEADROOM_LOW = 2
HEADROOM_ENOUGH = 6

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


@attrs.frozen
class HostOffer:
    """An entry host that a caller may use."""

    position: str
    url: str
    owner: str
    availability_zone: str
    region: str


@attrs.frozen
class LocatorAnswer:
    """Entry hosts, best first; a caller keeps them for `ttl_s` seconds."""

    hosts: tuple[HostOffer, ...]
    ttl_s: int
    version: int


@attrs.frozen
class _Problem:
    type: str
    title: str
    status: int
    code: str
    reason: str


class HostRanking:
    """Order entry hosts for a client block."""

    def __init__(self) -> None:
        """Start without zones and hosts."""
        self._region_of: dict[str, str] = {}
        self._zones_by_distance: dict[str, tuple[str, ...]] = {}
        self._hosts: dict[str, list[HostOffer]] = {}
        self._low: set[str] = set()

    def configure(self, configuration: Configuration) -> None:
        """Compile the distances between availability zones."""
        self._region_of = {zone.name: zone.region for zone in configuration.availability_zones}
        delays_ms: dict[tuple[str, str], float] = {}
        for distance in configuration.distances:
            delays_ms[distance.from_region, distance.to_region] = distance.one_way_ms
            delays_ms[distance.to_region, distance.from_region] = distance.one_way_ms
        near_ms = configuration.availability_zone_one_way_ms
        self._zones_by_distance = {
            zone: tuple(sorted(self._region_of, key=self._distance_key(zone, delays_ms, near_ms)))
            for zone in self._region_of
        }

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Take the current members; call after each membership change."""
        hosts: dict[str, list[HostOffer]] = {}
        low: set[str] = set()
        for status in statuses:
            if not _may_offer(status):
                continue
            record = status.record
            hosts.setdefault(record.availability_zone, []).append(_offer(status))
            # Links are counted in other units than slots.
            slots = {k: units for k, units in record.free_units.items() if k[:5] != "link:"}
            free = sum(slots.values())
            bound = HEADROOM_ENOUGH if record.position in self._low else HEADROOM_LOW
            if record.free_units and free < bound:
                low.add(record.position)
        self._hosts = hosts
        self._low = low

    def rank(self, availability_zone: str, block: str) -> tuple[HostOffer, ...]:
        """Return the hosts offered to a block near an availability zone, best first.

        A host short of headroom ranks after the other hosts of its region.
        """
        offers: list[HostOffer] = []
        short: list[HostOffer] = []
        region = self._region_of.get(availability_zone, "")
        for zone in self._zones_by_distance.get(availability_zone) or self._spread(block):
            if self._region_of.get(zone, "") != region:
                region = self._region_of.get(zone, "")
                offers.extend(short)
                short = []
            if len(offers) >= HOSTS_MAX:
                break
            for offer in self._rank_zone(zone, block):
                (short if offer.position in self._low else offers).append(offer)
        return tuple((offers + short)[:HOSTS_MAX])

    def _spread(self, block: str) -> list[str]:
        """Order the zones for a caller of unknown place, differently for each block."""
        return sorted(self._hosts, key=lambda zone: _rendezvous(block, zone), reverse=True)

    def _rank_zone(self, zone: str, block: str) -> list[HostOffer]:
        hosts = self._hosts.get(zone, [])
        ordered = sorted(hosts, key=lambda offer: _rendezvous(block, offer.position), reverse=True)
        return ordered[:HOSTS_PER_ZONE_MAX]

    def _distance_key(
        self, zone: str, delays_ms: Mapping[tuple[str, str], float], near_ms: float
    ) -> Callable[[str], tuple[float, str, str]]:
        region = self._region_of[zone]

        def key(other: str) -> tuple[float, str, str]:
            other_region = self._region_of[other]
            if other == zone:
                return 0.0, "", other
            if other_region == region:
                return near_ms, "", other
            return near_ms + delays_ms.get((region, other_region), 1e6), other_region, other

        return key


def _may_offer(status: MemberStatus) -> bool:
    record = status.record
    return (
        status.state is MemberState.LIVE
        and record.ready
        and not record.leaving
        and record.position != ""
        and record.http_url != ""
    )


def _offer(status: MemberStatus) -> HostOffer:
    record = status.record
    return HostOffer(
        position=record.position,
        url=record.http_url,
        owner=f"{record.position}.{record.incarnation}.{record.owner_epoch}",
        availability_zone=record.availability_zone,
        region=record.region,
    )


def _rendezvous(block: str, position: str) -> bytes:
    return blake2b(f"{block}/{position}".encode(), digest_size=8).digest()


class Locator:
    """Answer which entry hosts a caller should use."""

    def __init__(self) -> None:
        """Start without configuration and hosts."""
        self._table = BlockTable(())
        self._site_zones: tuple[str, ...] = ()
        self._ranking = HostRanking()
        self._version = 0

    def configure(self, configuration: Configuration, version: int) -> None:
        """Compile the block table and distances of a configuration version."""
        numbers = {site.name: number for number, site in enumerate(configuration.sites)}
        if len(numbers) > SITES_MAX:
            raise ConfigError(f"sites: {len(numbers)} sites; allowed: {SITES_MAX}")
        try:
            blocks = [(block.cidr, numbers[block.site]) for block in configuration.client_blocks]
        except KeyError as error:
            raise ConfigError(f"client_blocks: site {error} does not exist") from error
        self._table = BlockTable(blocks)
        self._site_zones = tuple(site.availability_zone for site in configuration.sites)
        self._ranking.configure(configuration)
        self._version = version

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Take the current members; call after each membership change."""
        self._ranking.update(statuses)

    def locate(self, address: str, availability_zone: str = "") -> LocatorAnswer:
        """Return hosts for a caller's address, or near a named availability zone."""
        zone = availability_zone
        if not zone:
            site = self._table.find_site(address)
            zone = "" if site is None else self._site_zones[site]
        block = self._table.find_block(address) or address
        return LocatorAnswer(self._ranking.rank(zone, block), TTL_S, self._version)


class LocatorApp:
    """Serve `GET /berylchute/v1/locate` as an ASGI application."""

    def __init__(self, locator: Locator) -> None:
        """Answer from `locator`."""
        self._locator = locator

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        if scope["path"] != PATH:
            await _refuse(send, 404, "not_found", f"the only path is {PATH}")
            return
        if scope["method"] not in ("GET", "HEAD"):
            await _refuse(send, 405, "method_not_allowed", "allowed: GET, HEAD")
            return
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        peer = scope.get("client") or ("", 0)
        address = query.get("address", [peer[0]])[0]
        found = self._locator.locate(address, query.get("zone", [""])[0])
        if not found.hosts:
            await _refuse(send, 503, "no_entry_host", "no entry host is live and ready")
            return
        await _answer(send, 200, b"application/json", msgspec.json.encode(found))


async def _refuse(send: Send, status: int, code: str, reason: str) -> None:
    title = HTTPStatus(status).phrase
    problem = _Problem(f"urn:berylchute:{code}", title, status, code, reason)
    await _answer(send, status, b"application/problem+json", msgspec.json.encode(problem))


async def _answer(send: Send, status: int, content_type: bytes, body: bytes) -> None:
    headers = [
        (b"content-type", content_type),
        (b"cache-control", b"no-store"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
