"""Name the aliases and Protocols that modules share."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Protocol

import attrs

from berylchute.messages import MemberRecord, Message

__all__ = [
    "AttemptState",
    "CapacityLedger",
    "Clock",
    "Hold",
    "MemberState",
    "MemberStatus",
    "MemberView",
    "ObjectStore",
    "PeerSender",
    "Position",
    "ResourceId",
    "ResourceUnits",
    "StoredObject",
    "WatchEvent",
]

Position = str
ResourceId = str


class Clock(Protocol):
    """Tell monotonic time."""

    def now_s(self) -> float:
        """Return monotonic seconds."""
        ...


class AttemptState(StrEnum):
    """State of one attempt at a backend server."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class MemberState(StrEnum):
    """State of a member as seen by one process."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class MemberStatus:
    """A member's last record with the state that this process assigns to it."""

    record: MemberRecord
    state: MemberState


class MemberView(Protocol):
    """Answer queries on membership."""

    def statuses(self) -> Sequence[MemberStatus]:
        """Return every known member, itself included, ordered by host id."""
        ...

    def find_position(self, position: Position) -> MemberStatus | None:
        """Return the newest member at a host position."""
        ...


@attrs.frozen
class StoredObject:
    """A store object; `value` is JSON text, `version` is the store-wide revision."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class WatchEvent:
    """Objects that changed up to `revision`."""

    revision: int
    objects: tuple[StoredObject, ...]


class ObjectStore(Protocol):
    """Reach the platform's object store; every call has a timeout and raises StoreError."""

    async def get(self, key: str) -> StoredObject | None:
        """Read one object; None when it does not exist."""
        ...

    async def put(self, key: str, value: bytes, expected_version: int) -> StoredObject:
        """Write if the current version is `expected_version` (0: must not exist).

        Raises StoreConflict, StoreUnavailable or StoreOutcomeUnknown.
        """
        ...

    async def watch(self, after_revision: int, wait_s: float) -> WatchEvent:
        """Wait up to `wait_s` for objects newer than `after_revision`."""
        ...

    async def list_hosts(self) -> Mapping[str, str]:
        """Return the platform's late list: host id to `live`, `leaving` or `gone`."""
        ...


class PeerSender(Protocol):
    """Send messages to peers; messages may be lost, late or doubled."""

    def send(self, address: str, message: Message) -> None:
        """Queue one message for the peer at `ip:port`; never blocks."""
        ...


@attrs.frozen
class ResourceUnits:
    """A count of units of one capped resource."""

    resource: ResourceId
    units: int


@attrs.frozen
class Hold:
    """Units taken by one request until released or until `until_s` on the own clock."""

    hold_id: int
    units: tuple[ResourceUnits, ...]
    until_s: float


class CapacityLedger(Protocol):
    """Account for the units in use, lent and borrowed on this host."""

    def try_acquire(
        self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float
    ) -> Hold | None:
        """Take all units or none; a borrowed unit is used only if its loan outlasts `until_s`."""
        ...

    def release(self, hold: Hold) -> None:
        """Give the units back now; the server answered or confirmed the cancellation."""
        ...

    def abandon(self, hold: Hold) -> None:
        """Keep the units taken until `hold.until_s`; the work may still be running."""
        ...

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request ending by `until_s` could take now."""
        ...

    def note_demand(self, wanted: Sequence[ResourceUnits], until_s: float, now_s: float) -> None:
        """Record unmet demand; lending asks peers for it."""
        ...
