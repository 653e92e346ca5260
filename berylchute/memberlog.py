"""Log when the state of a member changes."""

from collections.abc import Sequence

from berylchute.eventlog import EventLog
from berylchute.types import MemberStatus

__all__ = ["MemberLog"]


class MemberLog:
    """Compare the members with those of the last call."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._logged: Sequence[MemberStatus] = ()

    def update(self, members: Sequence[MemberStatus]) -> None:
        """Log the members whose state differs from that of the last call."""
        if members is self._logged:
            return
        before = {status.record.host_id: status.state for status in self._logged}
        self._logged = members
        for status in members:
            if before.get(status.record.host_id) is not status.state:
                self._log.event("member", member=status.record.host_id, state=status.state)
