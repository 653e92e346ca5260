"""Check which missing entries count as expired ones after cuts and outages of the store."""

from random import Random

import pytest

from berylchute.storeoutages import EXPIRED_RETENTION_S, StoreOutages

PING_S = 1.5


def _play(seed: int, outage_s: float) -> tuple[StoreOutages, float, bool]:
    """Play watches and probes around an outage.

    Return the outages, the time of the return, and whether an entry expired in the outage.
    """
    rng = Random(seed)
    outages = StoreOutages(PING_S)
    down_s = 20.0 + rng.random()
    up_s = down_s + outage_s
    now_s = rng.random()
    while now_s < up_s:
        is_up = now_s < down_s
        # A watch that is cut is no answer, whatever its age, and at times counts as a failure.
        if is_up and rng.random() < 0.7:
            outages.record_answer(now_s)
        elif not is_up or rng.random() < 0.5:
            outages.record_failure(now_s)
        now_s += rng.uniform(0.05, 0.4)
    outages.record_answer(up_s)
    last_pings_s = [down_s - PING_S * rng.random() for _ in range(10)]
    has_expired = any(up_s - last_s > 3.0 * PING_S for last_s in last_pings_s)
    return outages, up_s, has_expired


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("outage_s", [0.0, 0.3, 0.8, 3.2, 4.4, 9.0])
def test_expired_entries_are_told_from_removed_ones(seed: int, outage_s: float) -> None:
    # Guard against requests to servers that left, after watches that were cut or calls that failed
    # for a moment, and against dropped servers whose entries expired in an outage.
    outages, up_s, has_expired = _play(seed, outage_s)
    if outage_s < 1.0:
        assert outages.retain_until_s < up_s
    if has_expired:
        assert outages.retain_until_s >= up_s + 2.0


def test_answers_to_other_members_show_that_servers_can_write() -> None:
    # Guard against a host that was cut off from the store alone and sends to servers that left.
    outages = StoreOutages(PING_S)
    outages.record_answer(0.0)
    for step in range(1, 40):
        outages.record_failure(step * 0.25)
        if step % 2:
            outages.record_answer(step * 0.25 - 0.1)
    outages.record_answer(10.0)
    assert outages.retain_until_s < 10.0


def test_reports_that_stop_are_no_outage() -> None:
    # Guard against the same at a host that hears nothing since the watching members ended.
    outages = StoreOutages(PING_S)
    outages.record_answer(0.0)
    outages.record_answer(4.0)
    assert outages.retain_until_s < 4.0


def test_answer_to_another_member_is_the_return_of_the_store() -> None:
    # Guard against expired entries that are dropped by a host which gets through to the store some
    # time after another one told of an answer, and against a time that starts anew.
    outages = StoreOutages(PING_S)
    outages.record_answer(0.0)
    outages.record_failure(1.0)
    outages.record_answer(6.0)
    outages.record_failure(6.1)
    outages.record_answer(6.9)
    assert outages.retain_until_s == 6.0 + EXPIRED_RETENTION_S


def test_call_that_fails_after_the_return_shows_the_outage() -> None:
    # Guard against expired entries that are dropped since the only call during the outage ended
    # after another member had told of an answer.
    outages = StoreOutages(PING_S)
    outages.record_answer(0.0)
    outages.record_answer(4.0)
    outages.record_failure(4.1)
    assert outages.retain_until_s == 4.0 + EXPIRED_RETENTION_S


def test_late_reports_change_nothing() -> None:
    # Guard against an old report that counts as the begin or the end of a silence.
    outages = StoreOutages(PING_S)
    outages.record_answer(10.0)
    outages.record_failure(10.1)
    outages.record_answer(3.0)
    outages.record_answer(10.5)
    assert outages.retain_until_s < 10.0
