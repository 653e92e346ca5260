"""Define the messages between hosts and their msgpack codec."""

from collections.abc import Mapping
from typing import TypeAlias

import attrs
import msgspec

from berylchute.exceptions import PeerError

__all__ = [
    "Heartbeat",
    "LoanGrant",
    "LoanOffer",
    "LoanRecall",
    "LoanRequest",
    "LoanReturn",
    "MemberPull",
    "MemberRecord",
    "MemberUpdate",
    "Message",
    "ObjectDigest",
    "ObjectPull",
    "ObjectPush",
    "decode",
    "encode",
]


@attrs.frozen
class MemberRecord:
    """What a member says of itself; a higher (incarnation, sequence) replaces a lower."""

    host_id: str
    position: str
    availability_zone: str
    region: str
    role: str
    incarnation: int
    sequence: int
    leaving: bool
    ready: bool
    http_url: str
    peer_address: str
    owner_epoch: int
    settled_version: int
    config_version: int
    free_units: Mapping[str, int]


@attrs.frozen
class Heartbeat:
    """A member's own record with the digest of its objects."""

    record: MemberRecord
    digest: Mapping[str, int]


@attrs.frozen
class MemberUpdate:
    """Records relayed on behalf of other members; `ages_ms` is the silence so far of each.

    `zone_beats` counts the rounds of each zone's relays, `zone_ages_ms` is the time since then.
    """

    sender: str
    records: tuple[MemberRecord, ...]
    ages_ms: tuple[int, ...]
    zone_beats: Mapping[str, int] = attrs.field(factory=dict)
    zone_ages_ms: Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class MemberPull:
    """Ask for all records of one availability zone, or of the fleet when it is empty."""

    sender_address: str
    availability_zone: str = ""


@attrs.frozen
class ObjectDigest:
    """Versions of the objects that the sender holds."""

    sender_address: str
    versions: Mapping[str, int]


@attrs.frozen
class ObjectPull:
    """Ask for objects by key."""

    sender_address: str
    keys: tuple[str, ...]


@attrs.frozen
class ObjectPush:
    """One object with its store version."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class LoanOffer:
    """One resource and its units inside a request or grant."""

    resource: str
    units: int


@attrs.frozen
class LoanRequest:
    """Ask a lender for units; the borrower counts `term_ms` from when it asked.

    `renews` names an earlier loan of this borrower whose units move to the new loan.
    """

    loan_id: str
    borrower: str
    borrower_incarnation: int
    borrower_address: str
    wanted: tuple[LoanOffer, ...]
    term_ms: int
    renews: str = ""


@attrs.frozen
class LoanGrant:
    """Grant units that the lender already deducted; an empty grant is a refusal."""

    loan_id: str
    lender: str
    lender_incarnation: int
    lender_address: str
    granted: tuple[LoanOffer, ...]
    term_ms: int


@attrs.frozen
class LoanReturn:
    """Return units of a loan that the borrower no longer uses."""

    loan_id: str
    borrower: str
    borrower_incarnation: int
    sequence: int
    remaining: tuple[LoanOffer, ...]


@attrs.frozen
class LoanRecall:
    """Ask a borrower to return the unused units of a loan early."""

    loan_id: str


Message: TypeAlias = (
    Heartbeat
    | MemberUpdate
    | MemberPull
    | ObjectDigest
    | ObjectPull
    | ObjectPush
    | LoanRequest
    | LoanGrant
    | LoanReturn
    | LoanRecall
)

_TYPES: Mapping[bytes, type[Message]] = {
    kind.__name__.encode(): kind
    for kind in (
        Heartbeat,
        MemberUpdate,
        MemberPull,
        ObjectDigest,
        ObjectPull,
        ObjectPush,
        LoanRequest,
        LoanGrant,
        LoanReturn,
        LoanRecall,
    )
}
_DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in _TYPES.items()}


def encode(message: Message) -> list[bytes]:
    """Return the frames of a message: its type name and its msgpack body."""
    return [type(message).__name__.encode(), msgspec.msgpack.encode(message)]


def decode(frames: list[bytes]) -> Message:
    """Return the message in `frames`; raise PeerError for unknown types or bodies."""
    if len(frames) != 2 or frames[0] not in _DECODERS:
        raise PeerError(f"message of {len(frames)} frames has no known type")
    try:
        return _DECODERS[frames[0]].decode(frames[1])
    except msgspec.MsgspecError as error:
        raise PeerError(f"{frames[0].decode()}: {error}") from error
