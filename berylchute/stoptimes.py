"""Decide which requests a stopping process may still send to backend servers."""

import math

import attrs

__all__ = ["StopTimes"]


@attrs.frozen
class StopTimes:
    """The times of a stop: any request may be sent until `accept_until_s`, and all end at `end_s`.

    Later requests may be sent only if their deadline is not after the end. Both times are infinite
    while the process is not stopping.
    """

    accept_until_s: float = math.inf
    end_s: float = math.inf

    def leave_time_for(self, deadline_s: float, now_s: float) -> bool:
        """Return whether a request may be sent now without being cut at the end of the stop."""
        return now_s <= self.accept_until_s or deadline_s <= self.end_s
