"""Spread store objects over the members: digests, pulls and pushes, without sockets or clock."""

from collections.abc import Callable, Mapping

import attrs

from berylchute.membership import Membership, Outgoing
from berylchute.messages import Heartbeat, Message, ObjectDigest, ObjectPull, ObjectPush
from berylchute.objects import ObjectReplica
from berylchute.types import StoredObject

__all__ = ["Replication"]


class Replication:
    """Keep one process's replica and membership in step with its peers."""

    def __init__(
        self,
        membership: Membership,
        objects: ObjectReplica,
        on_change: Callable[[StoredObject], None],
    ) -> None:
        self.membership = membership
        self.objects = objects
        self._on_change = on_change

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages due at `now_s`."""
        return self.membership.tick(now_s)

    def handle(self, message: Message, now_s: float) -> list[Outgoing]:
        """Take a message from a peer and return the answers to it."""
        if isinstance(message, Heartbeat):
            out = self.membership.handle(message, now_s)
            return out + self._compare(message.digest, message.record.peer_address, now_s)
        if isinstance(message, ObjectDigest):
            return self._compare(message.versions, message.sender_address, now_s)
        if isinstance(message, ObjectPull):
            pushes = self.objects.select(message.keys)
            return [Outgoing(message.sender_address, push) for push in pushes]
        if isinstance(message, ObjectPush):
            return self.take(StoredObject(message.key, message.version, message.value))
        return self.membership.handle(message, now_s)

    def take(self, stored: StoredObject) -> list[Outgoing]:
        """Take an object if it is newer, and return what tells the peers of it."""
        if not self.objects.apply(stored.key, stored.version, stored.value):
            return []
        self.membership.set_digest(self.objects.digest())
        if stored.key == "config":
            record = attrs.evolve(self.membership.record, config_version=stored.version)
            self.membership.change_record(record)
        self._on_change(stored)
        digest = self._digest()
        return [Outgoing(address, digest) for address in self.membership.digest_targets()]

    def _digest(self) -> ObjectDigest:
        return ObjectDigest(
            sender_address=self.membership.record.peer_address, versions=self.objects.digest()
        )

    def _compare(self, versions: Mapping[str, int], address: str, now_s: float) -> list[Outgoing]:
        """Pull what a peer has newer, or tell it what it lacks."""
        if self.objects.is_behind(versions):
            keys = self.objects.start_pull(versions, now_s)
            if not keys:
                return []
            pull = ObjectPull(sender_address=self.membership.record.peer_address, keys=keys)
            return [Outgoing(address, pull)]
        # An answer only to a peer that lacks something keeps two peers from answering forever.
        return [] if versions == self.objects.digest() else [Outgoing(address, self._digest())]
