"""Count the requests sent to backend servers by service, region and the first server's state."""

from collections import Counter
from collections.abc import Mapping

from berylchute.types import Clock

__all__ = ["RegionSends"]

# Interval of the reports: a move of traffic between regions shows between two of them.
REPORT_PERIOD_S = 1.0


class RegionSends:
    """Requests by the region of their server and by why a key's first server was not selected.

    The event log drops lines about single requests when there are many; these counts are complete.
    `counts` holds those of the process's life by service, region and reason.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.counts: Counter[tuple[str, str, str]] = Counter()
        self._reported: Counter[tuple[str, str, str]] = Counter()
        self._reported_at_s = clock.now_s()

    def record(self, service: str, region: str, skip_reason: str) -> None:
        """Count a request; `skip_reason` is empty if it went to the first server of its key."""
        self.counts[service, region, skip_reason] += 1

    def take_report(self) -> Mapping[str, Mapping[str, int]] | None:
        """Return the counts since the last report by service; None before the next one is due."""
        now_s = self._clock.now_s()
        if now_s - self._reported_at_s < REPORT_PERIOD_S or self.counts == self._reported:
            return None
        report: dict[str, dict[str, int]] = {}
        for (service, region, skip_reason), count in sorted((self.counts - self._reported).items()):
            name = f"{region}/{skip_reason}" if skip_reason else region
            report.setdefault(service, {})[name] = count
        self._reported = self.counts.copy()
        self._reported_at_s = now_s
        return report
