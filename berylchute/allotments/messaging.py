"""Connect allotments to the messages between members."""

from berylchute.allotments.metrics import AllotmentMetrics
from berylchute.allotments.service import Allotments
from berylchute.allotments.shares import MemberShares
from berylchute.discovery import MemberDiscovery
from berylchute.eventlog import EventLog
from berylchute.messages import AllotmentGrant, AllotmentRequest
from berylchute.node import Node

__all__ = ["AllotmentMessages"]


class AllotmentMessages:
    """The allotments of one process, and the task that passes them the messages of a node."""

    def __init__(
        self, node: Node, discovery: MemberDiscovery, log: EventLog, metrics: AllotmentMetrics
    ) -> None:
        record = node.record
        shares = MemberShares(record.host_id, discovery)
        self.allotments = Allotments(record, shares, node.peers, node.clock, log, metrics)
        self._messages = node.subscribe_messages(AllotmentRequest, AllotmentGrant)

    async def follow(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.allotments.handle(await self._messages.receive())
