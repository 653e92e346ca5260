"""Rank entry hosts for client addresses and serve the locator over HTTP."""

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

__all__ = [
    "LOCATE_PATH",
    "BlockTable",
    "HostOffer",
    "HostRanking",
    "Locator",
    "LocatorAnswer",
    "LocatorApp",
]

LOCATE_PATH = "/berylchute/v1/locate"
TTL_S = 5
HOSTS_MAX = 8
# An answer names hosts in several zones, so that a caller can fail over when its own zone fails.
HOSTS_PER_ZONE_MAX = 3
# A host with fewer free slots than the lower bound ranks last in its region until it has as many
# as the upper bound; the gap prevents flapping.
FREE_SLOTS_LOW = 2
FREE_SLOTS_RECOVERED = 6

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


@attrs.frozen
class HostOffer:
    """An entry host that a caller may use; `owner` identifies its incarnation and owner epoch."""

    position: str
    url: str
    owner: str
    availability_zone: str
    region: str


@attrs.frozen
class LocatorAnswer:
    """Entry hosts, best first; callers may cache them for `ttl_s` seconds.

    `version` is that of the configuration document.
    """

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
    """Rank entry hosts for a client block by distance, then by rendezvous hashing."""

    def __init__(self) -> None:
        """Create a ranking without zones and hosts."""
        self._region_of: dict[str, str] = {}
        self._zones_by_distance: dict[str, tuple[str, ...]] = {}
        self._hosts: dict[str, list[HostOffer]] = {}
        self._short_of_slots: set[str] = set()

    def configure(self, configuration: Configuration) -> None:
        """Sort the availability zones by distance from each zone."""
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
        """Replace the members to choose from; call after each membership change."""
        hosts: dict[str, list[HostOffer]] = {}
        short_of_slots: set[str] = set()
        for status in statuses:
            if not _may_offer(status):
                continue
            record = status.record
            hosts.setdefault(record.availability_zone, []).append(_make_offer(status))
            # Links are left out: their units are not slots.
            slots = {k: units for k, units in record.free_units.items() if k[:5] != "link:"}
            free_slots = sum(slots.values())
            low_bound = (
                FREE_SLOTS_RECOVERED if record.position in self._short_of_slots else FREE_SLOTS_LOW
            )
            if record.free_units and free_slots < low_bound:
                short_of_slots.add(record.position)
        self._hosts = hosts
        self._short_of_slots = short_of_slots

    def rank(self, availability_zone: str, block: str) -> tuple[HostOffer, ...]:
        """Return up to HOSTS_MAX hosts for a client block near an availability zone, best first.

        A host with few free slots ranks after the other hosts of its region.
        """
        offers: list[HostOffer] = []
        low_offers: list[HostOffer] = []
        region = self._region_of.get(availability_zone, "")
        for zone in self._zones_by_distance.get(availability_zone) or self._order_zones_by_hash(
            block
        ):
            if self._region_of.get(zone, "") != region:
                region = self._region_of.get(zone, "")
                offers.extend(low_offers)
                low_offers = []
            if len(offers) >= HOSTS_MAX:
                break
            for offer in self._rank_zone(zone, block):
                (low_offers if offer.position in self._short_of_slots else offers).append(offer)
        return tuple((offers + low_offers)[:HOSTS_MAX])

    def _order_zones_by_hash(self, block: str) -> list[str]:
        """Order the zones for a client of unknown site, by rendezvous hashing of its block."""
        return sorted(self._hosts, key=lambda zone: _rendezvous_score(block, zone), reverse=True)

    def _rank_zone(self, zone: str, block: str) -> list[HostOffer]:
        hosts = self._hosts.get(zone, [])
        ordered = sorted(
            hosts, key=lambda offer: _rendezvous_score(block, offer.position), reverse=True
        )
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


def _make_offer(status: MemberStatus) -> HostOffer:
    record = status.record
    return HostOffer(
        position=record.position,
        url=record.http_url,
        owner=f"{record.position}.{record.incarnation}.{record.owner_epoch}",
        availability_zone=record.availability_zone,
        region=record.region,
    )


def _rendezvous_score(block: str, position: str) -> bytes:
    return blake2b(f"{block}/{position}".encode(), digest_size=8).digest()


class Locator:
    """Find the entry hosts that a caller should use."""

    def __init__(self) -> None:
        """Create a locator without configuration and hosts."""
        self._table = BlockTable(())
        self._site_zones: tuple[str, ...] = ()
        self._ranking = HostRanking()
        self._version = 0

    def configure(self, configuration: Configuration, version: int) -> None:
        """Build the block table and the zone distances; raise ConfigError for a bad document."""
        site_numbers = {site.name: number for number, site in enumerate(configuration.sites)}
        if len(site_numbers) > SITES_MAX:
            raise ConfigError(f"sites: {len(site_numbers)} sites; at most {SITES_MAX} are allowed")
        try:
            blocks = [
                (block.cidr, site_numbers[block.site]) for block in configuration.client_blocks
            ]
        except KeyError as error:
            raise ConfigError(f"client_blocks: site {error} does not exist") from error
        self._table = BlockTable(blocks)
        self._site_zones = tuple(site.availability_zone for site in configuration.sites)
        self._ranking.configure(configuration)
        self._version = version

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Replace the members to choose from; call after each membership change."""
        self._ranking.update(statuses)

    def locate(self, address: str, availability_zone: str = "") -> LocatorAnswer:
        """Return hosts near an availability zone, by default that of the address's site."""
        zone = availability_zone
        if not zone:
            site = self._table.find_site(address)
            zone = "" if site is None else self._site_zones[site]
        block = self._table.find_block(address) or address
        return LocatorAnswer(self._ranking.rank(zone, block), TTL_S, self._version)


class LocatorApp:
    """ASGI application for `GET /berylchute/v1/locate`."""

    def __init__(self, locator: Locator) -> None:
        """Serve the answers of `locator`."""
        self._locator = locator

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; errors are sent as `application/problem+json`."""
        if scope["type"] != "http":
            return
        if scope["path"] != LOCATE_PATH:
            await _send_problem(send, 404, "not_found", f"the only path is {LOCATE_PATH}")
            return
        if scope["method"] not in ("GET", "HEAD"):
            await _send_problem(send, 405, "method_not_allowed", "allowed: GET, HEAD")
            return
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        client = scope.get("client") or ("", 0)
        address = query.get("address", [client[0]])[0]
        answer = self._locator.locate(address, query.get("zone", [""])[0])
        if not answer.hosts:
            await _send_problem(send, 503, "no_entry_host", "no entry host is live and ready")
            return
        await _send_answer(send, 200, b"application/json", msgspec.json.encode(answer))


async def _send_problem(send: Send, status: int, code: str, reason: str) -> None:
    title = HTTPStatus(status).phrase
    problem = _Problem(f"urn:berylchute:{code}", title, status, code, reason)
    await _send_answer(send, status, b"application/problem+json", msgspec.json.encode(problem))


async def _send_answer(send: Send, status: int, content_type: bytes, body: bytes) -> None:
    headers = [
        (b"content-type", content_type),
        (b"cache-control", b"no-store"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
