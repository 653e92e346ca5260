"""Check admission by rank: what callers get under load, guarantees, and scheduled returns."""

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from berylchute.priorities import (
    AdmissionParameters,
    RankAdmission,
    RequestClass,
    ReserveChange,
    ReturnSchedule,
    excess_ratios,
    fair_level,
)
from berylchute.retryafter import DELAY_RATIO_RANGE
from berylchute.selection import (
    FULL_LOAD_RATIO,
    RETURN_FULL_LOAD_RATIO,
    NoServerReason,
    Selection,
)
from tests.slotfleet import SLOTS, Kind, SlotFleet

SEEDS = (1, 2, 3)
# Callers of the most urgent kind are worth five others: nearly all must be answered.
URGENT_SERVED_MIN = 0.99
# A kind may not be refused more often than a less urgent one by more than this.
REFUSED_MORE_MAX = 0.05
# Each rank and organisation is served at least this ratio as often as all.
SERVED_MIN_RATIO = 0.25
# Reserves must not cost more than this part of all served requests.
TOTAL_MIN_RATIO = 0.94


def _rate(usual_per_s: float, other_per_s: float = 0.0) -> Callable[[float], float]:
    """Return a rate that is another one from 4 s to 10 s."""
    return lambda now_s: other_per_s if other_per_s and 4.0 <= now_s < 10.0 else usual_per_s


# The servers finish 450 requests a second.
USUAL = (
    Kind("urgent", 0, _rate(60)),
    Kind("middle", 1, _rate(130)),
    Kind("low", 2, _rate(130)),
)
SURGE = (*USUAL[:2], Kind("low", 2, _rate(130, 500)))


def _run(
    kinds: tuple[Kind, ...],
    seed: int,
    *,
    is_ranked: bool = True,
    is_halved: bool = False,
    hosts: int = 3,
) -> SlotFleet:
    fleet = SlotFleet(AdmissionParameters() if is_ranked else None, seed, hosts)
    if is_halved:
        fleet.call_at(4.0, lambda: fleet.set_slots(SLOTS // 2))
        fleet.call_at(9.0, lambda: fleet.set_slots(SLOTS))
    fleet.run(14.0, *kinds)
    return fleet


def _served_ratio_of_all(fleet: SlotFleet) -> float:
    return fleet.served() / sum(n for (_, result), n in fleet.counts.items() if result == "sent")


def _check_order(fleet: SlotFleet, kinds: tuple[Kind, ...]) -> None:
    for urgent, other in zip(kinds, kinds[1:], strict=False):
        for result in ("refused", "refused_twice"):
            refused_more = fleet.ratio(urgent.name, result) - fleet.ratio(other.name, result)
            assert refused_more <= REFUSED_MORE_MAX, (urgent, other, result)
    for kind in kinds:
        assert fleet.ratio(kind.name) >= SERVED_MIN_RATIO * _served_ratio_of_all(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_surge_of_the_least_urgent_kind_leaves_the_others_served(seed: int) -> None:
    # Guard against urgent callers that are refused as often as those of the surge.
    fleet = _run(SURGE, seed)
    assert fleet.ratio("urgent") >= URGENT_SERVED_MIN
    assert fleet.ratio("urgent", "refused") <= 0.05
    assert fleet.ratio("urgent", "refused_twice") <= 0.01
    _check_order(fleet, SURGE)
    base = _run(SURGE, seed, is_ranked=False)
    assert fleet.ratio("middle") > base.ratio("middle")
    assert _served_ratio_of_all(fleet) >= TOTAL_MIN_RATIO * _served_ratio_of_all(base)


@pytest.mark.parametrize("seed", SEEDS)
def test_surge_over_many_hosts_leaves_the_most_urgent_kind_served(seed: int) -> None:
    # Guard against a reserve that the other hosts fill before this one hears of it.
    fleet = _run(SURGE, seed, hosts=12)
    assert fleet.ratio("urgent") >= URGENT_SERVED_MIN
    _check_order(fleet, SURGE)
    base = _run(SURGE, seed, is_ranked=False, hosts=12)
    assert fleet.ratio("urgent", "refused") <= 0.5 * base.ratio("urgent", "refused")


@pytest.mark.parametrize("seed", SEEDS)
def test_room_that_falls_to_a_half_goes_to_urgent_callers_first(seed: int) -> None:
    # Guard against urgent callers that are refused while less urgent ones fill the remaining room.
    fleet = _run(USUAL, seed, is_halved=True)
    assert fleet.ratio("urgent") >= URGENT_SERVED_MIN
    assert fleet.ratio("urgent", "refused") <= 0.1
    _check_order(fleet, USUAL)
    base = _run(USUAL, seed, is_ranked=False, is_halved=True)
    assert _served_ratio_of_all(fleet) >= TOTAL_MIN_RATIO * _served_ratio_of_all(base)


@pytest.mark.parametrize("seed", SEEDS)
def test_fresh_hosts_learn_the_demand_within_a_surge(seed: int) -> None:
    # Guard against reserves that need a history, when all hosts start while the surge is on.
    kinds = (*USUAL[:2], Kind("low", 2, _rate(500)))
    fleet = _run(kinds, seed)
    assert fleet.ratio("urgent") >= URGENT_SERVED_MIN
    _check_order(fleet, kinds)


@pytest.mark.parametrize("seed", SEEDS)
def test_organisation_at_seven_times_its_usual_displaces_no_other(seed: int) -> None:
    # Guard against an organisation whose surge takes the room of others of its rank.
    others = tuple(
        Kind(f"o{rate}", 1, _rate(rate), f"o{rate}") for rate in (100, 60, 40, 20, 10, 5)
    )
    kinds = (Kind("hot", 1, _rate(60, 420), "hot"), *others)
    fleet = _run(kinds, seed)
    for kind in others:
        assert fleet.ratio(kind.name) >= 0.98, kind.name
    assert fleet.ratio("hot") >= SERVED_MIN_RATIO * _served_ratio_of_all(fleet)
    base = _run(kinds, seed, is_ranked=False)
    assert _served_ratio_of_all(fleet) >= TOTAL_MIN_RATIO * _served_ratio_of_all(base)


@pytest.mark.parametrize("seed", SEEDS)
def test_surge_of_an_organisation_displaces_neither_its_rank_nor_more_urgent_ones(
    seed: int,
) -> None:
    # Guard against fair shares that hold among organisations but not beside other ranks.
    urgent = Kind("urgent", 0, _rate(50), "urgent")
    others = tuple(Kind(f"o{rate}", 1, _rate(rate), f"o{rate}") for rate in (100, 60, 40, 5))
    kinds = (urgent, Kind("hot", 1, _rate(60, 420), "hot"), *others)
    fleet, base = _run(kinds, seed), _run(kinds, seed, is_ranked=False)
    assert fleet.ratio("urgent") >= URGENT_SERVED_MIN
    for kind in others:
        assert fleet.ratio(kind.name) >= max(0.94, base.ratio(kind.name)), kind.name
    assert fleet.ratio("hot") >= SERVED_MIN_RATIO * _served_ratio_of_all(fleet)
    assert _served_ratio_of_all(fleet) >= TOTAL_MIN_RATIO * _served_ratio_of_all(base)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rank_is_starved(seed: int) -> None:
    # Guard against a less urgent rank that gets nothing while urgent ones alone fill the servers.
    fleet = _run((Kind("urgent", 0, _rate(1500)), Kind("low", 2, _rate(100))), seed)
    assert fleet.ratio("low") >= SERVED_MIN_RATIO * _served_ratio_of_all(fleet)
    assert fleet.ratio("urgent") >= fleet.ratio("low")


@pytest.mark.parametrize("seed", SEEDS)
def test_one_rank_is_served_as_without_ranks(seed: int) -> None:
    # Guard against a reserve for ranks that send nothing.
    kinds = (Kind("only", 1, _rate(300, 700)),)
    fleet, base = _run(kinds, seed), _run(kinds, seed, is_ranked=False)
    assert all(host.admission.ratios() == {"s": {1: FULL_LOAD_RATIO}} for host in fleet.hosts)  # type: ignore[union-attr]
    assert fleet.ratio("only") == pytest.approx(base.ratio("only"), abs=0.03)


@pytest.mark.parametrize("seed", SEEDS)
def test_idle_room_is_not_withheld(seed: int) -> None:
    # Guard against refusals of less urgent callers while there is room: at usual load, and after a
    # surge.
    fleet = _run(USUAL, seed)
    assert all(fleet.ratio(kind.name, "refused") <= 0.01 for kind in USUAL)
    after_surge = SlotFleet(AdmissionParameters(), seed)
    # Callers of the surge return until 2 s after it.
    after_surge.call_at(13.0, after_surge.counts.clear)
    after_surge.run(18.0, *SURGE)
    assert after_surge.ratio("low", "refused") <= 0.05
    for host in after_surge.hosts:
        assert host.admission is not None
        assert set(host.admission.ratios()["s"].values()) == {FULL_LOAD_RATIO}


def _overload(
    admission: RankAdmission,
    seconds: float,
    *requests: RequestClass,
    start_s: float = 0.0,
    refused_rank: int = 2,
) -> float:
    """Let requests find high load 20 times a second; return the time after that.

    Every second request of `refused_rank` is refused.
    """
    for step in range(int(seconds * 20)):
        for request in requests:
            is_served = request.rank != refused_rank or step % 2 == 0
            admission.record(request, start_s + step / 20, is_served=is_served, is_short=True)
    return start_s + seconds


URGENT, LOW = RequestClass("s", 0), RequestClass("s", 2)


def test_ratio_depends_on_the_rank_only_in_a_shortage() -> None:
    # Guard against reserves without need, and against one that outlasts the shortage.
    admission, rng = RankAdmission(), Random(1)

    def ratio(request: RequestClass, now_s: float, *, is_return: bool = False) -> float:
        return admission.full_ratio(request, now_s, rng, is_return=is_return)

    assert ratio(LOW, 0.0) == FULL_LOAD_RATIO
    assert ratio(LOW, 0.0, is_return=True) == RETURN_FULL_LOAD_RATIO
    end_s = _overload(admission, 2.0, URGENT, LOW)
    assert ratio(URGENT, end_s) == FULL_LOAD_RATIO
    assert ratio(URGENT, end_s, is_return=True) == RETURN_FULL_LOAD_RATIO
    assert 1.0 <= ratio(LOW, end_s) < ratio(LOW, end_s, is_return=True) < FULL_LOAD_RATIO
    assert ratio(RequestClass("other", 2), end_s) == FULL_LOAD_RATIO
    for _ in range(40):
        end_s += 0.1
        admission.record(LOW, end_s, is_served=True, is_short=False)
    assert ratio(LOW, end_s) == FULL_LOAD_RATIO


def test_reserve_deepens_only_while_the_most_urgent_rank_is_refused() -> None:
    # Guard against slots that are left idle while urgent callers are served, and urgent callers
    # that are refused while the loads known to this host are too low.
    parameters, rng = AdmissionParameters(), Random(1)
    lowest = FULL_LOAD_RATIO - (1.0 + parameters.correction_max) * (
        FULL_LOAD_RATIO - parameters.floor_ratio
    )
    admission = RankAdmission(parameters)
    end_s = _overload(admission, 3.0, URGENT, LOW, refused_rank=0)
    assert admission.full_ratio(LOW, end_s, rng, is_return=False) == pytest.approx(lowest)
    assert admission.full_ratio(LOW, end_s, rng, is_return=True) < parameters.floor_ratio
    end_s = _overload(admission, 20.0, URGENT, LOW, start_s=end_s)
    assert admission.full_ratio(LOW, end_s, rng, is_return=False) == parameters.floor_ratio


@pytest.mark.parametrize(("per_s", "refused"), [(60, 120), (10, 1)])
def test_correction_ends_with_the_requests_of_the_most_urgent_rank(
    per_s: int, refused: int
) -> None:
    # Guard against slots that are left idle for seconds after the last urgent request, and after a
    # single refused one at a host with few requests.
    admission = RankAdmission()
    for step in range(6 * per_s):
        now_s = step / per_s
        if 3 * per_s - refused <= step < 3 * per_s:
            admission.record(URGENT, now_s, is_served=False, is_short=True)
        admission.record(LOW, now_s, is_served=True, is_short=True)
        if step == 3 * per_s + per_s // 2:
            assert admission.ratios()["s"][2] < AdmissionParameters().floor_ratio
    assert admission.ratios()["s"][2] >= AdmissionParameters().floor_ratio


def test_reserve_against_an_excess_has_the_same_limit() -> None:
    # Guard against ratios below the documented least one of 0.7.
    admission, rng = RankAdmission(), Random(1)
    hot, other = RequestClass("s", 2, "hot"), RequestClass("s", 2, "other")
    for step in range(600):
        now_s = step / 100
        admission.record(URGENT, now_s, is_served=False, is_short=True)
        for _ in range(4):
            admission.record(hot, now_s, is_served=step % 2 == 0, is_short=True)
        admission.record(other, now_s, is_served=True, is_short=True)
    ratios = [admission.full_ratio(hot, 6.0, rng, is_return=False) for _ in range(50)]
    assert min(ratios) == pytest.approx(0.7)


def test_refusals_beside_free_slots_do_not_prolong_a_shortage() -> None:
    # Guard against a deep reserve that outlasts the shortage, since its own refusals look like one.
    admission = RankAdmission()
    end_s = _overload(admission, 3.0, URGENT, LOW, refused_rank=0)
    refused = Selection(None, NoServerReason.ALL_FULL, 7.0, has_free_slot=True)
    for step in range(1, 201):
        admission.record_selection(LOW, refused, end_s + step / 100)
    assert admission.ratios()["s"][2] == FULL_LOAD_RATIO
    full = Selection(None, NoServerReason.ALL_FULL, 12.0)
    for step in range(1, 101):
        admission.record_selection(URGENT, full, end_s + 2.0 + step / 100)
        admission.record_selection(LOW, full, end_s + 2.0 + step / 100)
    assert admission.ratios()["s"][2] < FULL_LOAD_RATIO


def test_enter_and_end_of_a_shortage_are_reported_once() -> None:
    # Guard against a flood of events from a service at the border of a shortage.
    changes: list[ReserveChange] = []
    admission = RankAdmission(report=changes.append)
    end_s = _overload(admission, 3.0, URGENT, LOW)
    admission.update(end_s + 0.5)
    admission.update(end_s + 5.0)
    assert [change.is_short for change in changes] == [True, False]
    assert changes[0].ratios[2] < changes[0].ratios[0] == FULL_LOAD_RATIO
    changes.clear()
    for step in range(100):
        end_s = _overload(admission, 0.2, URGENT, LOW, start_s=10.0 + 0.3 * step)
        admission.update(end_s + 0.1)
    assert len(changes) <= 31


def test_forgotten_organisations_take_no_memory() -> None:
    # Guard against counts that grow with each organisation that ever sent a request.
    admission = RankAdmission()
    for number in range(2000):
        request = RequestClass("s", 1, f"o{number}")
        admission.record(request, 0.02 * number, is_served=True, is_short=False)
    assert len(admission._services["s"].organisations) < 400


def test_fair_level_is_max_min_fair() -> None:
    # Guard against a level that takes from those below their share or leaves room unused.
    assert fair_level([1.0, 2.0, 10.0, 20.0], 13.0) == 5.0
    assert fair_level([1.0, 2.0], 9.0) == 2.0
    assert fair_level([], 9.0) == 0.0


def test_organisations_with_equal_demand_are_not_in_excess() -> None:
    # Guard against deeper reserves without a difference between organisations, also while nothing
    # is served.
    assert excess_ratios({"a": 10.0, "b": 10.0, "": 50.0}, 4.0, 1.3) == {}
    assert excess_ratios({"a": 10.0, "b": 10.0}, 0.0, 1.3) == {}
    assert excess_ratios({"a": 40.0, "b": 10.0, "c": 8.0}, 28.0, 1.3) == {"a": 0.75}
    assert excess_ratios({"a": 40.0}, 1.0, 1.3) == {}


def _delays(position: float | None, count: int = 300, rate_per_s: float = 100.0) -> list[float]:
    schedule, rng = ReturnSchedule(), Random(1)
    return [schedule.schedule(2.0, rate_per_s, position, 0.0, rng) for _ in range(count)]


def test_returns_are_spread_over_their_range() -> None:
    # Guard against a crowd that returns as a second wave, or later than callers wait.
    first, last = DELAY_RATIO_RANGE
    for position in (None, 0.0, 1.0):
        delays_s = _delays(position)
        assert 2.0 * first <= min(delays_s) and max(delays_s) <= 2.0 * last
        by_interval = Counter(int(delay_s / 0.05) for delay_s in delays_s)
        assert max(by_interval.values()) <= 2.5 * len(delays_s) / len(by_interval)


def test_urgent_callers_return_before_others_and_as_soon_as_there_is_room() -> None:
    # Guard against urgent callers that return after the less urgent ones have taken the room.
    urgent, other = _delays(0.0), _delays(1.0)
    assert min(urgent) < min(other) and max(urgent) < max(other)
    assert max(_delays(0.0, count=3, rate_per_s=1000.0)) < min(other)


def test_returns_wait_for_servers_that_pause() -> None:
    # Guard against callers that return before any server accepts requests.
    delay_s = ReturnSchedule().schedule(2.0, 10.0, 0.0, 0.0, Random(1), earliest_s=1.5)
    assert delay_s >= 1.5


def test_returns_wait_no_longer_than_callers_do() -> None:
    # Guard against callers that don't return because servers pause for a part of their range.
    schedule, rng = ReturnSchedule(), Random(1)
    for _ in range(100):
        delay_s = schedule.schedule(2.0, 10.0, None, 0.0, rng, earliest_s=0.5)
        assert 0.5 <= delay_s <= 2.0 * DELAY_RATIO_RANGE[1]


def test_returns_in_the_far_future_take_no_memory() -> None:
    # Guard against counts that grow with deadlines of years, which untrusted callers can send.
    schedule, rng = ReturnSchedule(), Random(1)
    for number in range(5000):
        delay_s = schedule.schedule(3600.0 + number, 10.0, None, 0.0, rng)
        assert delay_s >= (3600.0 + number) * DELAY_RATIO_RANGE[0]
    assert len(schedule._counts) < 1000
