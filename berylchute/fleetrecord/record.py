"""Define the record of the fleet's hosts, and decide how it changes.

Load handled: hosts that restart all at once while seeds are down or links between them are cut,
hosts that are lost for good, and writers that see a part of the fleet only. Times are passed in.
"""

from collections.abc import Mapping, Sequence

import attrs
import msgspec

from berylchute.exceptions import ConfigError
from berylchute.types import MemberState, MemberStatus

__all__ = ["FleetRecord", "RecordedHost", "decode_record", "encode_record", "update_record"]

# A host that announced that it leaves is removed after this time; restarts take a few seconds.
LEFT_KEPT_MS = 60_000
# Any other host may only be cut off. Membership forgets it after the same time.
ABSENT_KEPT_MS = 7_200_000
HOSTS_MAX = 10_000


@attrs.frozen
class RecordedHost:
    """A host of the fleet; `absent_since_ms` is Unix time, 0 while it is live."""

    region: str
    capacity: float
    absent_since_ms: int = 0


@attrs.frozen
class FleetRecord:
    """The hosts of the fleet by host id, live or not, unless they have left."""

    hosts: Mapping[str, RecordedHost] = attrs.field(factory=dict)


def encode_record(record: FleetRecord) -> object:
    """Return a record as a JSON value."""
    return msgspec.to_builtins(record)


def decode_record(value: object) -> FleetRecord:
    """Return the record in a JSON value; raise ConfigError if it holds none."""
    try:
        record = msgspec.convert(value, FleetRecord)
    except msgspec.ValidationError as error:
        raise ConfigError(f"the record of hosts can't be read: {error}") from error
    if not record.hosts or len(record.hosts) > HOSTS_MAX:
        raise ConfigError(f"the record of hosts names {len(record.hosts)} of them")
    if not all(0.0 < host.capacity < float("inf") for host in record.hosts.values()):
        raise ConfigError("the record of hosts has a capacity that is not above 0")
    return record


def update_record(record: FleetRecord, members: Sequence[MemberStatus], now_ms: int) -> FleetRecord:
    """Return the record as one member sees the fleet; it keeps the hosts that it doesn't see.

    A record that names too many hosts leaves a part of shared bounds unused. With one that names
    too few, hosts that are cut off from each other exceed them together.
    """
    hosts: dict[str, RecordedHost] = {}
    departed: set[str] = set()
    for status in members:
        member = status.record
        if member.leaving:
            departed.add(member.host_id)
        elif status.state in (MemberState.LIVE, MemberState.SUSPECT):
            hosts[member.host_id] = RecordedHost(member.region, member.capacity)
    for host_id, host in record.hosts.items():
        if host_id in hosts:
            continue
        since_ms = host.absent_since_ms or now_ms
        kept_ms = LEFT_KEPT_MS if host_id in departed else ABSENT_KEPT_MS
        if now_ms - since_ms <= kept_ms:
            hosts[host_id] = attrs.evolve(host, absent_since_ms=since_ms)
    return FleetRecord(dict(sorted(hosts.items())))
