"""Decide what a stopping process still accepts, sends and answers, and until when.

Load handled: callers that hold the address of a host for some time after it has begun to stop.
"""

import math

import attrs

__all__ = ["StopTimes"]

# Callers may hold an answer of the directory for this many times its TTL.
ADDRESS_HELD_TTLS = 3.0
# Ratio of the grace time after which no connection is accepted, so that requests on the last ones
# have the other half.
LISTEN_RATIO = 0.5
# Ratio of the grace time within which connections begin to close with their next answer, so that
# several answers pass on a busy connection before the end.
CLOSE_RATIO = 0.25
# Time reserved for the exit, with a margin for a busy host. What is broken off before the last
# sixth of a short grace time would have had time to end.
EXIT_MARGIN_S = 0.4
EXIT_MARGIN_RATIO = 1.0 / 6.0


@attrs.frozen
class StopTimes:
    """The times of a stop; all are infinite while the process is not stopping.

    From `close_from_s` connections are closed after their next answer, from `listen_until_s` none
    is accepted. At `end_s` what is unanswered gets its last answer, and at `exit_s` the process
    ends, whether callers have read their answers or not.
    """

    close_from_s: float = math.inf
    listen_until_s: float = math.inf
    end_s: float = math.inf
    exit_s: float = math.inf

    @classmethod
    def plan(cls, started_s: float, grace_s: float, directory_ttl_s: float) -> "StopTimes":
        """Return the times of a stop that began at `started_s`, with the kill after `grace_s`."""
        margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_RATIO * grace_s)
        return cls(
            # By half of the TTL, half of the callers hold an answer without this host.
            close_from_s=started_s + min(directory_ttl_s / 2.0, CLOSE_RATIO * grace_s),
            listen_until_s=started_s
            + min(ADDRESS_HELD_TTLS * directory_ttl_s, LISTEN_RATIO * grace_s),
            end_s=started_s + grace_s - margin_s,
            exit_s=started_s + grace_s - margin_s / 2.0,
        )

    def leave_time_for(self, deadline_s: float) -> bool:
        """Return whether a request with this deadline ends before the process does."""
        return deadline_s <= self.end_s
