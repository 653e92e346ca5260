"""Recognise callers that return after a refusal, so that they are not refused again."""

import attrs

__all__ = ["ReturnDetector"]

# A caller that was refused waits for at least a fifth of its remaining time; the rest is what
# connections and clocks take. Repeats at once, without the wait, don't count as returns.
RETURN_TIME_RATIO = 0.85
# Deadlines are compared with the longest one of this and the previous window.
WINDOW_S = 10.0


@attrs.define
class _LongestTime:
    started_s: float
    current_ms: float = 0.0
    previous_ms: float = 0.0

    def record(self, time_left_ms: float, now_s: float) -> float:
        if now_s - self.started_s >= WINDOW_S:
            self.previous_ms, self.current_ms = self.current_ms, 0.0
            self.started_s = now_s
        self.current_ms = max(self.current_ms, time_left_ms)
        return max(self.current_ms, self.previous_ms)


class ReturnDetector:
    """Tell returning callers from new ones by their remaining time.

    Answers load: more requests than the servers can run for longer than a caller waits. Each
    caller returns once or twice; if new callers took all room, it would be refused each time.
    """

    def __init__(self) -> None:
        self._longest: dict[str, _LongestTime] = {}

    def is_return(self, route: str, time_left_ms: float | None, now_s: float) -> bool:
        """Record a request's remaining time; return whether its caller was probably refused."""
        if time_left_ms is None:
            return False
        longest = self._longest.get(route)
        if longest is None:
            longest = self._longest[route] = _LongestTime(now_s)
        return time_left_ms < RETURN_TIME_RATIO * longest.record(time_left_ms, now_s)
