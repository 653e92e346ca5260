"""Connect allotments to the messages between members, and to the record of the fleet's hosts."""

import time
from random import Random

import anyio

from berylchute.allotments.metrics import AllotmentMetrics
from berylchute.allotments.service import Allotments
from berylchute.allotments.shares import MemberShares
from berylchute.background import run_lasting
from berylchute.discovery import MemberDiscovery
from berylchute.eventlog import EventLog
from berylchute.fleetrecord import FleetRecordKeeper, RecordStore
from berylchute.messages import AllotmentGrant, AllotmentRequest
from berylchute.node import Node

__all__ = ["AllotmentMessages"]


class AllotmentMessages:
    """The allotments of one process, and the task that passes them the messages of a node.

    With a `record_store`, the task also keeps the record of hosts there.
    """

    def __init__(
        self,
        node: Node,
        discovery: MemberDiscovery,
        log: EventLog,
        metrics: AllotmentMetrics,
        record_store: RecordStore | None = None,
    ) -> None:
        record = node.record
        self._keeper: FleetRecordKeeper | None = None
        if record_store is not None:
            self._keeper = FleetRecordKeeper(
                record_store,
                discovery,
                node.members,
                record.host_id,
                node.clock,
                Random(),
                lambda: int(time.time() * 1000.0),
            )
        shares = MemberShares(record.host_id, discovery)
        self.allotments = Allotments(record, shares, node.peers, node.clock, log, metrics)
        self._messages = node.subscribe_messages(AllotmentRequest, AllotmentGrant)

    async def follow(self) -> None:
        """Handle messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            if self._keeper is not None:
                tasks.start_soon(run_lasting, self._keeper.run)
            while True:
                self.allotments.handle(await self._messages.receive())
