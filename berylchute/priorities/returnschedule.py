"""Schedule when refused callers return.

Handles load: a crowd that is refused at once and would return as a second wave.
"""

from random import Random

from berylchute.retryafter import DELAY_RATIO_RANGE

__all__ = ["ReturnSchedule"]

# Returns are counted by intervals of this length.
INTERVAL_S = 0.05
# Later returns than this from now are not counted, since callers choose their deadlines: distinct
# ones of years would fill the memory.
COUNTED_S = 30.0
# Times that are considered for one return, evenly in its range.
TIMES_CONSIDERED = 6
# Part of the range of delays that is closed to a rank at its end of the range: the latest times to
# the most urgent rank, the earliest ones to the least urgent rank.
CLOSED_PART = 0.3


class ReturnSchedule:
    """The scheduled returns of one service's refused callers to all hosts."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._current = 0

    def schedule(
        self,
        remaining_s: float,
        rate_per_s: float,
        position: float | None,
        now_s: float,
        rng: Random,
        *,
        earliest_s: float = 0.0,
    ) -> float:
        """Return the delay after which a refused caller should return, at least `earliest_s`.

        `rate_per_s` is the expected rate of room for returns. `position` is 0 for the most urgent
        rank, 1 for the least urgent one and None if there is only one. The first time with room is
        taken, else the one with the fewest returns.
        """
        self._discard_past(now_s)
        first, last = DELAY_RATIO_RANGE
        width_s = (last - first) * remaining_s
        start, end = 0.0, 1.0
        if position is not None:
            start, end = CLOSED_PART * position, 1.0 - CLOSED_PART * (1.0 - position)
        start_s = max(earliest_s, first * remaining_s + start * width_s)
        end_s = first * remaining_s + end * width_s
        if start_s >= end_s:
            # No time in the range is possible: the returns are spread as widely after it.
            end_s = start_s + (end - start) * width_s
        step_s = (end_s - start_s) / TIMES_CONSIDERED
        times_s = [
            now_s + start_s + step_s * (number + rng.random()) for number in range(TIMES_CONSIDERED)
        ]
        room = rate_per_s * INTERVAL_S
        counts = [self._counts.get(int(time_s / INTERVAL_S), 0) for time_s in times_s]
        chosen = next(
            (index for index, count in enumerate(counts) if count + 1 <= room),
            min(range(TIMES_CONSIDERED), key=lambda index: counts[index]),
        )
        due_s = times_s[chosen]
        if due_s < now_s + COUNTED_S:
            interval = int(due_s / INTERVAL_S)
            self._counts[interval] = self._counts.get(interval, 0) + 1
        return due_s - now_s

    def _discard_past(self, now_s: float) -> None:
        current = int(now_s / INTERVAL_S)
        if current != self._current:
            self._current = current
            self._counts = {
                interval: count for interval, count in self._counts.items() if interval >= current
            }
