"""Type aliases, value classes and protocols that several modules share."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Protocol

import attrs

from berylchute.messages import MemberRecord, Message

__all__ = [
    "AttemptState",
    "CapacityLedger",
    "Clock",
    "MemberState",
    "MemberStatus",
    "MemberView",
    "ObjectStore",
    "PeerSender",
    "Position",
    "Reservation",
    "ResourceId",
    "ResourceUnits",
    "StoredObject",
    "WatchEvent",
]

Position = str
ResourceId = str


class Clock(Protocol):
    """A source of monotonic time."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary fixed point in time."""
        ...


class AttemptState(StrEnum):
    """State of one attempt to send a request to a backend server.

    `UNKNOWN`: the request was sent and may have run, but no answer arrived.
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class MemberState(StrEnum):
    """State that this process assigns to a member."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class MemberStatus:
    """The latest record of a member and the state that this process assigns to it."""

    record: MemberRecord
    state: MemberState


class MemberView(Protocol):
    """Read access to the known members."""

    def list_members(self) -> Sequence[MemberStatus]:
        """Return all known members, including this process, ordered by host id."""
        ...

    def find_by_position(self, position: Position) -> MemberStatus | None:
        """Return the most recent member at a host position, or None."""
        ...


@attrs.frozen
class StoredObject:
    """An object of the store; `value` is JSON text, `version` the store-wide revision."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class WatchEvent:
    """The objects that changed after the watched revision, up to `revision`."""

    revision: int
    objects: tuple[StoredObject, ...]


class ObjectStore(Protocol):
    """Client of the platform's object store; every call has a timeout and may raise StoreError."""

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        ...

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        """Write an object if its current version is `expected_version` (0: it must not exist).

        Raises StoreConflict, StoreUnavailable or StoreOutcomeUnknown.
        """
        ...

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        """Wait up to `wait_s` for objects that changed after `after_revision`."""
        ...

    async def list_hosts(self) -> Mapping[str, str]:
        """Return `live`, `leaving` or `gone` by host id; the platform updates the list late."""
        ...


class PeerSender(Protocol):
    """Sends messages to peers; messages may be lost, delayed or duplicated."""

    def send(self, address: str, message: Message) -> None:
        """Queue a message for the peer at `ip:port` without blocking."""
        ...


@attrs.frozen
class ResourceUnits:
    """A number of units of one limited resource."""

    resource: ResourceId
    units: int


@attrs.frozen
class Reservation:
    """Units acquired by one request until release, at most until `until_s` on this host's clock."""

    reservation_id: int
    units: tuple[ResourceUnits, ...]
    until_s: float


class CapacityLedger(Protocol):
    """Accounts for the units in use, lent and borrowed on this host."""

    def try_acquire(
        self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float
    ) -> Reservation | None:
        """Acquire all units or none (None); borrowed units need a loan that outlasts `until_s`."""
        ...

    def release(self, reservation: Reservation) -> None:
        """Release the units now: the server has answered or confirmed the cancellation."""
        ...

    def keep_until_deadline(self, reservation: Reservation) -> None:
        """Keep the units acquired until `reservation.until_s`; the request may still be running."""
        ...

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request that ends by `until_s` could acquire now."""
        ...

    def record_demand(self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float) -> None:
        """Record units that could not be acquired; the lending task requests them from peers."""
        ...
