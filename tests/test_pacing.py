"""Check that no link carries more than its share in any window of one second."""

import random

import anyio
import pytest

from berylchute.ledger import Ledger
from berylchute.pacing import LinkBudgetQueue, LinkPacer

LINK = "link:x:y"
MB = 1_000_000


def peak_window(sent: list[tuple[float, int]]) -> int:
    """Return the most bytes sent in any window of one second."""
    peak, start, total = 0, 0, 0
    for at_s, size in sent:
        total += size
        while sent[start][0] <= at_s - 1.0:
            total -= sent[start][1]
            start += 1
        peak = max(peak, total)
    return peak


@pytest.mark.parametrize("seed", range(5))
def test_no_window_exceeds_the_share(seed: int) -> None:
    """Guard against bursts around the boundary of two windows, and a share left unused."""
    rng = random.Random(seed)
    pacer = LinkPacer(Ledger({LINK: 20}), {LINK: 20})
    sent = []
    now_s = 0.0
    while now_s < 10.0:
        now_s += rng.expovariate(500)
        size = rng.choice([500, 64_000, 256_000, 3 * MB])
        if pacer.try_acquire(LINK, size, False, now_s):
            sent.append((now_s, size))
    assert peak_window(sent) <= 20 * MB
    assert sum(size for _, size in sent) > 0.85 * 20 * MB * 10


@pytest.mark.parametrize("seed", range(5))
def test_lent_units_do_not_double_a_window(seed: int) -> None:
    """Guard against a lent unit that both hosts use within one window."""
    rng = random.Random(seed)
    lender, borrower = Ledger({LINK: 10}), Ledger({LINK: 2})
    pacers = [LinkPacer(lender, {LINK: 10}), LinkPacer(borrower, {LINK: 2})]
    sent = []
    now_s = 0.0
    for number in range(4000):
        now_s += rng.expovariate(400)
        size = rng.choice([1000, 256_000, MB])
        # The lender alternates between busy and idle, so that loans follow directly after bursts.
        busy = [now_s % 3.0 < 1.5, True]
        for pacer, is_busy in zip(pacers, busy, strict=True):
            if is_busy and pacer.try_acquire(LINK, size, False, now_s):
                sent.append((now_s, size))
        units = lender.lendable_units(LINK, now_s)
        if units:
            loan_id = f"b.1.{number}"
            lender.record_lent(loan_id, LINK, units, now_s + 2.4)
            borrower.add_borrowed(loan_id, LINK, units, now_s + 2.0)
    assert peak_window(sent) <= 12 * MB


def test_long_transfers_leave_a_reserve() -> None:
    """Guard against uploads that acquire the last budget, which short answers need."""
    pacer = LinkPacer(Ledger({LINK: 10}), {LINK: 10})
    while pacer.try_acquire(LINK, MB, True, 0.0):
        pass
    assert pacer.wait_s(LINK, 2 * MB, 0.0) == 0.0
    assert pacer.try_acquire(LINK, 2 * MB, False, 0.0)
    assert pacer.wait_s(LINK, MB, 0.0) > 0.0


class StepClock:
    """A clock that advances with each call, so that waiting takes no real time."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def now_s(self) -> float:
        self.time_s += 0.2
        return self.time_s


def test_waiters_send_in_order_and_leave_the_queue_when_cancelled() -> None:
    """Guard against a cancelled transfer that blocks all later ones."""
    waiter = LinkBudgetQueue(LinkPacer(Ledger({LINK: 1}), {LINK: 1}), StepClock())
    done = []

    async def send(number: int) -> None:
        await waiter.acquire(LINK, MB, False)
        done.append(number)

    async def run() -> None:
        await waiter.acquire(LINK, MB, False)
        with anyio.move_on_after(0):
            await waiter.acquire(LINK, MB, False)
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(send, number)

    anyio.run(run)
    assert done == [0, 1, 2]
