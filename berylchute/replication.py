"""Replicate store objects between members by digests, pulls and pushes, without I/O or clock."""

from collections.abc import Callable, Mapping

import attrs

from berylchute.membership import Membership
from berylchute.messages import (
    Heartbeat,
    Message,
    ObjectDigest,
    ObjectPull,
    ObjectPush,
    Outgoing,
)
from berylchute.objects import ObjectReplica
from berylchute.storecontact import StoreContact
from berylchute.types import MemberState, StoredObject

__all__ = ["Replication"]

# The same digest is sent to the same peer as a reply at most once in this time. A peer of another
# build may lack keys that this member has, and the other way round: each would reply to the other.
REPLY_INTERVAL_S = 0.5
# Peers whose last reply is remembered; above this number those of the past interval are kept.
REPLIES_MAX = 256


@attrs.frozen
class _Reply:
    digest: Mapping[str, int]
    sent_s: float


class Replication:
    """Synchronize one process's replica and membership with its peers.

    `on_change` is called for each object that was newer than the one in the replica. Reports of the
    store's answers to other members are recorded in `store_contact`, if there is one.
    """

    def __init__(
        self,
        membership: Membership,
        objects: ObjectReplica,
        on_change: Callable[[StoredObject], None],
        store_contact: StoreContact | None = None,
    ) -> None:
        self.membership = membership
        self.objects = objects
        self._on_change = on_change
        self._store_contact = store_contact
        self._replies: dict[str, _Reply] = {}

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due at `now_s`."""
        return self.membership.tick(now_s)

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Apply a message from a peer and return the replies."""
        if isinstance(message, Heartbeat):
            out = self.membership.handle(message, now_s)
            return out + self._reply_to_digest(message.digest, message.record.peer_address, now_s)
        if isinstance(message, ObjectDigest):
            if message.store_age_ms is not None and self._store_contact is not None:
                self._store_contact.record_report(message.store_age_ms / 1000.0)
            return self._reply_to_digest(message.versions, message.sender_address, now_s)
        if isinstance(message, ObjectPull):
            pushes = self.objects.pushes_for(message.keys)
            return [Outgoing(message.sender_address, push) for push in pushes]
        if isinstance(message, ObjectPush):
            return self.apply_object(StoredObject(message.key, message.version, message.value))
        return self.membership.handle(message, now_s)

    def apply_object(self, stored: StoredObject) -> list[Outgoing]:
        """Apply an object if it is newer, and return the digests that announce it to peers."""
        if not self.objects.apply(stored.key, stored.version, stored.value):
            return []
        self.membership.set_digest(self.objects.digest())
        if stored.key == "config":
            record = attrs.evolve(self.membership.record, config_version=stored.version)
            self.membership.update_own_record(record)
        self._on_change(stored)
        digest = self._digest_message()
        return [Outgoing(address, digest) for address in self.membership.digest_addresses()]

    def report_store_answer(self, age_s: float) -> list[Outgoing]:
        """Return digests that tell all members that the store answered `age_s` ago."""
        digest = self._digest_message(store_age_ms=int(age_s * 1000.0))
        own = self.membership.record.host_id
        return [
            Outgoing(status.record.peer_address, digest)
            for status in self.membership.list_members()
            if status.state is not MemberState.GONE and status.record.host_id != own
        ]

    def _digest_message(self, store_age_ms: int | None = None) -> ObjectDigest:
        return ObjectDigest(
            sender_address=self.membership.record.peer_address,
            versions=self.objects.digest(),
            store_age_ms=store_age_ms,
        )

    def _reply_to_digest(
        self, versions: Mapping[str, int], address: str, now_s: float
    ) -> list[Outgoing]:
        """Return a pull of the peer's newer objects, or a digest if the peer lacks some."""
        if self.objects.is_behind(versions):
            keys = self.objects.start_pull(versions, now_s)
            if not keys:
                return []
            pull = ObjectPull(sender_address=self.membership.record.peer_address, keys=keys)
            return [Outgoing(address, pull)]
        # Replies only to a peer that lacks objects, or two peers would exchange digests forever.
        if not self.objects.is_ahead(versions) or not self._may_reply(address, now_s):
            return []
        return [Outgoing(address, self._digest_message())]

    def _may_reply(self, address: str, now_s: float) -> bool:
        """Return whether the digest may be sent to a peer as a reply, and record it."""
        reply = _Reply(self.objects.digest(), now_s)
        last = self._replies.get(address)
        if last and last.digest is reply.digest and now_s - last.sent_s < REPLY_INTERVAL_S:
            return False
        if len(self._replies) >= REPLIES_MAX:
            oldest_s = now_s - REPLY_INTERVAL_S
            self._replies = {a: r for a, r in self._replies.items() if r.sent_s > oldest_s}
        self._replies[address] = reply
        return True
