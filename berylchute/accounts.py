"""Count the own, lent and borrowed units of one resource."""

import attrs

__all__ = ["Account", "BorrowedLoan"]

# Units up to the peak use of the current and the previous window are not lent.
PEAK_WINDOW_S = 0.25


@attrs.define
class BorrowedLoan:
    """Units of one loan; `peak` is the highest use since the last call of `pop_idle_units`."""

    units: int
    expires_s: float
    used: int = 0
    peak: int = 0
    is_recalled: bool = False

    def free_units(self, until_s: float) -> int:
        if until_s > self.expires_s or self.is_recalled:
            return 0
        return self.units - self.used


@attrs.define
class Account:
    """Unit counts of one resource.

    `used` (own units in use) and `lent_units` together stay within `share`, except after `share`
    was reduced.
    """

    share: int = 0
    used: int = 0
    lent: dict[str, int] = attrs.Factory(dict)
    lent_units: int = 0
    borrowed: dict[str, BorrowedLoan] = attrs.Factory(dict)
    peak: int = 0
    previous_peak: int = 0
    window_start_s: float = float("-inf")
    last_shortage_s: float = float("-inf")

    def own_free_units(self) -> int:
        free = self.share - self.lent_units - self.used
        return free if free > 0 else 0

    def excess(self) -> int:
        return self.used + self.lent_units - self.share

    def free_units(self, until_s: float) -> int:
        units = self.own_free_units()
        if not self.borrowed:
            return units
        for loan in self.borrowed.values():
            units += loan.free_units(until_s)
        return units

    def update_peak(self, now_s: float) -> None:
        if now_s - self.window_start_s >= PEAK_WINDOW_S:
            is_stale = now_s - self.window_start_s >= 2 * PEAK_WINDOW_S
            self.previous_peak = self.used if is_stale else self.peak
            self.peak, self.window_start_s = self.used, now_s
        self.peak = max(self.peak, self.used)
