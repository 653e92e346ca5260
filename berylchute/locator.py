"""Map client blocks to sites, rank entry hosts and answer locator questions."""

from collections.abc import Awaitable, Callable, Iterable, MutableMapping, Sequence
from typing import Any

import attrs

from berylchute.config import Configuration
from berylchute.types import MemberStatus

__all__ = ["BlockTable", "HostOffer", "HostRanking", "Locator", "LocatorAnswer", "LocatorApp"]

TTL_S = 5

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


class BlockTable:
    """Map client addresses to site numbers with sorted arrays."""

    def __init__(self, blocks: Iterable[tuple[str, int]]) -> None:
        """Build from (CIDR, site number) pairs; the longest prefix wins."""

    def find_site(self, address: str) -> int | None:
        """Return the site number of the block that holds the address."""
        raise NotImplementedError


class HostRanking:
    """Order entry hosts for a client block."""

    def configure(self, configuration: Configuration) -> None:
        """Compile the distances between availability zones."""
        raise NotImplementedError

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Take the current members; call after each membership change."""
        raise NotImplementedError

    def rank(self, availability_zone: str, block: str) -> tuple[HostOffer, ...]:
        """Return the hosts offered to a block near an availability zone, best first."""
        raise NotImplementedError


class Locator:
    """Answer which entry hosts a caller should use."""

    def configure(self, configuration: Configuration, version: int) -> None:
        """Compile the block table and distances of a configuration version."""
        raise NotImplementedError

    def update(self, statuses: Sequence[MemberStatus]) -> None:
        """Take the current members; call after each membership change."""
        raise NotImplementedError

    def locate(self, address: str, availability_zone: str = "") -> LocatorAnswer:
        """Return hosts for a caller's address, or near a named availability zone."""
        raise NotImplementedError


class LocatorApp:
    """Serve `GET /berylchute/v1/locate` as an ASGI application."""

    def __init__(self, locator: Locator) -> None:
        """Answer from `locator`."""
        self._locator = locator

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        raise NotImplementedError
