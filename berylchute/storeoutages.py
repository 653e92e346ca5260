"""Tell entries that expired in an outage of the store from those that were removed.

Load handled: watches that are cut at any age and in series, failed calls, and outages, while
servers leave and others can't write their entries. Times are passed in.
"""

import math

__all__ = ["EXPIRED_RETENTION_S", "PING_PERIOD_DEFAULT_S", "StoreOutages"]

# Servers whose entries expired during a store outage register again within about 2 s.
EXPIRED_RETENTION_S = 2.2
PING_PERIOD_DEFAULT_S = 1.5
# An entry expires after three ping periods without a write, and the last write may have been one
# period before the outage. Half a period is left for writes that are late.
EXPIRY_PERIODS_MIN = 1.5


class StoreOutages:
    """The last silence of the store in which entries of running servers may have expired.

    As long as the store answers any member, servers can write their entries. A failed call of this
    process has to show that a silence wasn't only a lack of reports.
    """

    def __init__(self, ping_period_s: float = PING_PERIOD_DEFAULT_S) -> None:
        """Create it for servers that write their entries every `ping_period_s`."""
        self._silence_min_s = EXPIRY_PERIODS_MIN * ping_period_s
        self._answered_at_s = -math.inf
        self._failed_at_s = -math.inf
        self._silent_since_s = self._silent_until_s = -math.inf

    def record_answer(self, answered_at_s: float) -> None:
        """Record that the store answered this process, or another member."""
        # Nothing is known of the time before the first call.
        is_known = max(self._answered_at_s, self._failed_at_s) > -math.inf
        if is_known and answered_at_s - self._answered_at_s >= self._silence_min_s:
            self._silent_since_s, self._silent_until_s = self._answered_at_s, answered_at_s
        self._answered_at_s = max(self._answered_at_s, answered_at_s)

    def record_failure(self, now_s: float) -> None:
        """Record that a call of this process failed."""
        self._failed_at_s = now_s

    @property
    def retain_until_s(self) -> float:
        """Return until when an entry that is missing may be one that expired."""
        if self._failed_at_s < self._silent_since_s:
            return -math.inf
        return self._silent_until_s + EXPIRED_RETENTION_S
