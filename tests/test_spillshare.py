"""Check the limit on how fast requests leave their region and return."""

from berylchute.spillshare import FALL_PER_S, RISE_PER_S, TOLERANCE, SpillLimiter, SpillMode

REQUESTS_PER_S = 200


class _Traffic:
    """Requests of one service on a virtual clock; `needs_spill` returns whether one must leave."""

    def __init__(self, requests_per_s: float = REQUESTS_PER_S) -> None:
        self.limiter = SpillLimiter()
        self.now_s = 0.0
        self._step_s = 1.0 / requests_per_s
        self._count = 0

    def run(self, seconds: float, needed_percent: int, *, is_disrupted: bool = False) -> float:
        """Return the share of sent requests that left their region."""
        spilled = sent = 0
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += self._step_s
            self._count += 1
            is_needed = self._count * 37 % 100 < needed_percent
            key = str(self._count % 100)
            mode = self.limiter.mode("s", key, self.now_s, is_disrupted=is_disrupted)
            is_prevented = is_needed and mode is SpillMode.NEVER
            is_spilled = (is_needed and not is_prevented) or mode is SpillMode.FIRST
            self.limiter.record(
                "s",
                self.now_s,
                is_spilled=None if is_prevented else is_spilled,
                is_wanted=is_needed,
                is_disrupted=is_disrupted,
            )
            sent += not is_prevented
            spilled += is_spilled
        return spilled / max(1, sent)


def test_crowd_leaves_its_region_slowly() -> None:
    # Guard against a crowd that moves at once to servers that hold other objects.
    traffic = _Traffic()
    shares = [traffic.run(4.0, 0)] + [traffic.run(2.0, 40) for _ in range(6)]
    steps = [after - before for before, after in zip(shares, shares[1:], strict=False)]
    assert max(steps) <= 2.0 * RISE_PER_S + 2.0 * TOLERANCE
    assert shares[-1] > 0.3  # those that have no room get there in the end


def test_requests_return_slowly_after_an_overload() -> None:
    # Guard against requests that all return to their region as soon as it has room again.
    traffic = _Traffic()
    shares = [traffic.run(4.0, 50, is_disrupted=True)] + [traffic.run(2.0, 0) for _ in range(11)]
    steps = [before - after for before, after in zip(shares, shares[1:], strict=False)]
    assert shares[0] > 0.4
    assert max(steps) <= 2.0 * FALL_PER_S + 2.0 * TOLERANCE
    assert shares[-1] < 0.05  # and no request stays away for good


def test_requests_leave_at_once_while_servers_come_and_go() -> None:
    # Guard against requests that are refused although another region has room, when their own one
    # has just lost its servers.
    traffic = _Traffic()
    traffic.run(2.0, 0)
    assert traffic.run(1.0, 60, is_disrupted=True) > 0.55


def test_member_with_few_requests_does_not_react_to_single_ones() -> None:
    # Guard against averages of three requests: a member of a large fleet has few a second.
    traffic = _Traffic(requests_per_s=6.0)
    traffic.run(30.0, 0)
    traffic.limiter.record("s", traffic.now_s, is_spilled=True, is_wanted=True, is_disrupted=False)
    assert traffic.limiter.mode("s", "k", traffic.now_s, is_disrupted=False) is not SpillMode.FIRST
    assert abs(traffic.run(60.0, 10) - 0.1) < 0.05
