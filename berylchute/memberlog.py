"""Log the changes of the states of members."""

from collections.abc import Sequence

from berylchute.eventlog import EventLog
from berylchute.types import MemberStatus

__all__ = ["MemberLog"]


class MemberLog:
    """Write an event for each member whose state has changed."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._members: Sequence[MemberStatus] = ()

    def update(self, members: Sequence[MemberStatus]) -> None:
        """Log the changes since the last call."""
        if members is self._members:
            return
        before = {status.record.host_id: status.state for status in self._members}
        self._members = members
        for status in members:
            if before.get(status.record.host_id) is not status.state:
                self._log.event("member", member=status.record.host_id, state=status.state)
