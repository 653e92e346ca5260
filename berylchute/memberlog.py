"""Log changes of the member list."""

from collections.abc import Sequence

from berylchute.eventlog import EventLog
from berylchute.types import MemberStatus

__all__ = ["MemberLog"]


class MemberLog:
    """Log an event for each member that is new or whose state has changed."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._logged: Sequence[MemberStatus] = ()

    def log_changes(self, members: Sequence[MemberStatus]) -> None:
        """Log the differences from the last list."""
        if members is self._logged:
            return
        before = {status.record.host_id: status.state for status in self._logged}
        self._logged = members
        for status in members:
            if before.get(status.record.host_id) is not status.state:
                self._log.event("member", member=status.record.host_id, state=status.state)
