"""Define the messages between hosts and encode and decode them as msgpack."""

import zlib
from collections.abc import Mapping
from typing import TypeAlias

import attrs
import msgspec

from berylchute.exceptions import PeerError

__all__ = [
    "AllotmentGrant",
    "AllotmentRequest",
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
    "Outgoing",
    "decode",
    "encode",
]


@attrs.frozen
class MemberRecord:
    """Describe a member, as published by itself; a higher (incarnation, sequence) replaces a lower.

    `watching` is set while the member watches the store and the store answers. `capacity` is a
    weight relative to other members for the traffic that the member can carry. `server_limits` are
    the limits that servers stated to the member, in requests per second by server id.
    """

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
    watching: bool = False
    capacity: float = 1.0
    server_limits: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Heartbeat:
    """Publish a member's own record with the versions of its objects by key."""

    record: MemberRecord
    digest: Mapping[str, int]


@attrs.frozen
class MemberUpdate:
    """Relay records of other members; `ages_ms` is the time that each has been silent, else 0.

    `zone_beats` is the number of update rounds of each zone's relays, `zone_ages_ms` the time since
    the last known one. A `snapshot` answers a MemberPull; its records are not gossiped further.
    """

    sender: str
    records: tuple[MemberRecord, ...]
    ages_ms: tuple[int, ...]
    zone_beats: Mapping[str, int] = attrs.field(factory=dict)
    zone_ages_ms: Mapping[str, int] = attrs.field(factory=dict)
    snapshot: bool = False


@attrs.frozen
class MemberPull:
    """Request the records of one availability zone, or of the whole fleet if it is empty."""

    sender_address: str
    availability_zone: str = ""


@attrs.frozen
class ObjectDigest:
    """Publish the versions, by key, of the objects that the sender holds.

    `store_age_ms` is the time since the store answered the sender, None if it doesn't watch it.
    """

    sender_address: str
    versions: Mapping[str, int]
    store_age_ms: int | None = None


@attrs.frozen
class ObjectPull:
    """Request objects by key; each is sent as an ObjectPush."""

    sender_address: str
    keys: tuple[str, ...]


@attrs.frozen
class ObjectPush:
    """Send one object; `version` is its version in the store."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class LoanOffer:
    """Hold a resource and a number of its units, as part of another message."""

    resource: str
    units: int


@attrs.frozen
class LoanRequest:
    """Request units from a lender for `term_ms`, which the borrower counts from its request.

    `renews` is the id of an earlier loan to this borrower whose units move to the new loan.
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
    """Grant units, already deducted by the lender; an empty grant refuses the request."""

    loan_id: str
    lender: str
    lender_incarnation: int
    lender_address: str
    granted: tuple[LoanOffer, ...]
    term_ms: int


@attrs.frozen
class LoanReturn:
    """Return units of a loan to its lender; `remaining` are those that the borrower keeps."""

    loan_id: str
    borrower: str
    borrower_incarnation: int
    sequence: int
    remaining: tuple[LoanOffer, ...]


@attrs.frozen
class LoanRecall:
    """Request the early return of the unused units of a loan."""

    loan_id: str


@attrs.frozen
class AllotmentRequest:
    """Request tokens of an organisation from the owner of its bucket.

    The ids of a sender's requests increase; `incarnation` is the sender's.
    """

    organisation: str
    count: int
    request_id: int
    sender: str
    sender_address: str
    incarnation: int


@attrs.frozen
class AllotmentGrant:
    """Grant tokens for a request; with fewer than requested, `wait_ms` until the next one."""

    organisation: str
    request_id: int
    granted: int
    wait_ms: int


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
    | AllotmentRequest
    | AllotmentGrant
)


@attrs.frozen
class Outgoing:
    """A message to send to the peer at `address` (`ip:port`)."""

    address: str
    message: Message


_MESSAGE_TYPES: Mapping[bytes, type[Message]] = {
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
        AllotmentRequest,
        AllotmentGrant,
    )
}
_DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in _MESSAGE_TYPES.items()}


# Most bytes of a message are field names; deflate with this dictionary leaves about a third.
# Sender and receiver need the same dictionary. A changed one needs a new suffix, and the old one
# must still be decoded until every host is upgraded.
_DEFLATE_DICTIONARY = (
    b"\x85\xa7loan_id\xa8borrower\xb4borrower_incarnation\xb0borrower_address\xa6lender"
    b"\xb2lender_incarnation\xaelender_address\xa6wanted\xa7granted\xa9remaining\x91"
    b"\x82\xa8resource\xa7server:\xa5units\xa7term_ms\x83\xa3key\xa7version\xa5value\xc4"
    b"\x82\xaesender_address\xa8versions\x85\xa6config\xa7history\xa6drains\xa6shifts\xa6claims"
    b"\x85\xa6sender\xa7records\x94\xa7ages_ms\x94\x00\x00\x00\x00\xaazone_beats"
    b"\xaczone_ages_ms\x82\xa6record\x8f\xa7host_id\xa8position\xb1availability_zone"
    b"\xa6region\xa4role\xa5entry\xabincarnation\xcf\x00\x00\x01\xa8sequence\xcd"
    b"\xa7leaving\xc2\xa5ready\xc3\xa8http_url\xb5http://127.0.0.1:\xacpeer_address"
    b"\xaf127.0.0.1:\xabowner_epoch\xafsettled_version\xcd\xaeconfig_version\xcd"
    b"\xaafree_units\x83\xa6digest\x85"
)
_DEFLATED_SUFFIX = b"/1"
# What a message of one object takes beside its value, with a wide margin.
MESSAGE_ROOM_BYTES = 1_000_000
MESSAGE_BYTES_DEFAULT = 1_000_000 + MESSAGE_ROOM_BYTES
_DEFLATE_LEVEL = 1  # higher levels take more CPU time than the saved bytes are worth
# Messages of some 100 bytes, sent while requests wait: deflate costs more time than it saves.
_SMALL_TYPES = (AllotmentRequest, AllotmentGrant)


def encode(message: Message) -> list[bytes]:
    """Return the frames of a message: its type name and its msgpack body.

    The body is deflated, and the name marked with a suffix, if that makes it shorter; bodies of
    small types are not.
    """
    name = type(message).__name__.encode()
    body = msgspec.msgpack.encode(message)
    if isinstance(message, _SMALL_TYPES):
        return [name, body]
    compressor = zlib.compressobj(
        level=_DEFLATE_LEVEL, wbits=-zlib.MAX_WBITS, zdict=_DEFLATE_DICTIONARY
    )
    deflated = compressor.compress(body) + compressor.flush()
    return [name + _DEFLATED_SUFFIX, deflated] if len(deflated) < len(body) else [name, body]


def decode(frames: list[bytes], body_bytes_max: int = MESSAGE_BYTES_DEFAULT) -> Message:
    """Return the message in `frames`; raise PeerError for an unknown type or an invalid body.

    A body of more than `body_bytes_max` when inflated is invalid.
    """
    name = frames[0].removesuffix(_DEFLATED_SUFFIX) if frames else b""
    if len(frames) != 2 or name not in _DECODERS:
        raise PeerError(f"message of {len(frames)} frames: unknown type or wrong number of frames")
    try:
        body = frames[1] if name == frames[0] else _inflate(frames[1], body_bytes_max)
        return _DECODERS[name].decode(body)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise PeerError(f"{name.decode()}: {error}") from error


def _inflate(body: bytes, bytes_max: int) -> bytes:
    decompressor = zlib.decompressobj(wbits=-zlib.MAX_WBITS, zdict=_DEFLATE_DICTIONARY)
    inflated = decompressor.decompress(body, bytes_max)
    if not decompressor.eof:
        raise PeerError(f"body is truncated or has more than {bytes_max} bytes when inflated")
    return inflated
