"""Check the admission queue and the units reserved for short kinds."""

import math

from hypothesis import given
from hypothesis import strategies as st

from berylchute import admission
from berylchute.admission import AdmissionQueue, QueuedRequest, QueueRefusalReason, ShortReserve

deadlines_s = st.floats(1.0, 100.0)
offers = st.lists(st.tuples(deadlines_s, st.integers(1, 3)), max_size=60)


def make_request(
    number: int, deadline_s: float, priority: int = 1, kind: str = "k"
) -> QueuedRequest:
    return QueuedRequest(f"{number}", f"p{priority}", priority, kind, "short", deadline_s, 0.0)


def fill(queue: AdmissionQueue, items: list[tuple[float, int]]) -> list[QueuedRequest]:
    """Enqueue requests at time 0 and return those refused."""
    refused: list[QueuedRequest] = []
    for number, (deadline_s, priority) in enumerate(items):
        request = make_request(number, deadline_s, priority)
        refused += [refusal.request for refusal in queue.enqueue(request, 0.0)]
    return refused


def take_all(queue: AdmissionQueue) -> list[QueuedRequest]:
    taken: list[QueuedRequest] = []
    while (request := queue.start_next(0.0, lambda request, may_redirect: True)) is not None:
        taken.append(request)
    return taken


@given(offers)
def test_starts_in_order_of_deadline(items: list[tuple[float, int]]) -> None:
    """Guard against a request that misses its deadline behind one with a later deadline."""
    queue = AdmissionQueue("s")
    fill(queue, items)
    started = [request.deadline_s for request in take_all(queue)]
    assert started == sorted(deadline_s for deadline_s, _ in items)


@given(offers, st.integers(1, 10))
def test_full_queue_refuses_lowest_plans(items: list[tuple[float, int]], limit: int) -> None:
    """Guard against an unbounded queue, a lost request and a refused higher plan."""
    queue = AdmissionQueue("s", length_max=limit)
    refused = fill(queue, items)
    kept = take_all(queue)
    assert len(kept) == min(limit, len(items))
    assert len(kept) + len(refused) == len(items)
    if refused and kept:
        lowest_kept = min(request.plan_priority for request in kept)
        assert max(request.plan_priority for request in refused) <= lowest_kept


@given(offers, st.floats(0.0, 120.0))
def test_expired_requests_never_start(items: list[tuple[float, int]], now_s: float) -> None:
    """Guard against starting a request whose caller has already timed out."""
    queue = AdmissionQueue("s")
    fill(queue, items)
    dropped = queue.refuse_expired(now_s)
    assert all(refusal.reason is QueueRefusalReason.EXPIRED for refusal in dropped)
    assert all(refusal.request.deadline_s <= now_s for refusal in dropped)
    assert all(request.deadline_s > now_s for request in take_all(queue))


@given(offers)
def test_displaced_request_keeps_waiting_and_may_move(items: list[tuple[float, int]]) -> None:
    """Guard against a displaced request that is lost or displaced twice."""
    queue = AdmissionQueue("s")
    fill(queue, items)
    queue.enqueue(make_request(1000, 50.0, priority=9), 0.0)
    waiting = len(queue)
    displaced: list[QueuedRequest] = []
    while (request := queue.displace("1000")) is not None:
        displaced.append(request)
    movable: list[str] = []

    def try_start(request: QueuedRequest, may_redirect: bool) -> bool:
        movable.extend([request.request_id] if may_redirect else [])
        return False

    assert queue.start_next(0.0, try_start) is None
    assert len(queue) == waiting
    assert len({request.request_id for request in displaced}) == len(displaced)
    assert set(movable) == {request.request_id for request in displaced}


def test_displaced_request_is_tried_again_in_the_same_pass() -> None:
    """Guard against a displaced request that waits although the next region is free."""
    queue = AdmissionQueue("s")
    queue.enqueue(make_request(1, 10.0, priority=1), 0.0)
    queue.enqueue(make_request(2, 20.0, priority=2), 0.0)

    def try_start(request: QueuedRequest, may_redirect: bool) -> bool:
        if request.request_id == "2":
            queue.displace("2")
        return may_redirect

    taken = queue.start_next(0.0, try_start)
    assert taken is not None
    assert taken.request_id == "1"


def test_blocked_kind_does_not_block_others() -> None:
    """Guard against head-of-line blocking, and a routing decision per queued request."""
    queue = AdmissionQueue("s")
    for number in range(50):
        queue.enqueue(make_request(number, 10.0, kind="long"), 0.0)
    queue.start_next(0.0, lambda request, may_redirect: False)
    queue.enqueue(make_request(99, 20.0, kind="short"), 0.0)
    tried: list[str] = []

    def try_start(request: QueuedRequest, may_redirect: bool) -> bool:
        tried.append(request.kind)
        return request.kind == "short"

    assert queue.start_next(0.0, try_start) is not None
    assert tried == ["long", "short"]


def test_overload_refuses_lowest_plan_early() -> None:
    """Guard against a queue so long that every request is answered too late."""
    queue = AdmissionQueue("s")
    refused: list[QueuedRequest] = []
    for number in range(400):
        now_s = number * 0.05
        request = make_request(number, now_s + 1.0, priority=2 if number % 4 == 0 else 1)
        refusals = queue.enqueue(request, now_s)
        refused += [refusal.request for refusal in refusals]
        if number % 2:
            queue.start_next(now_s, lambda request, may_redirect: True)
            queue.record_finish("k", 0.1, now_s)
    assert len(queue) < 25
    assert len(refused) > 100
    assert {request.plan_priority for request in refused} == {1}


def test_refusing_all_requests_ends_by_itself() -> None:
    """Guard against an estimate that refuses all requests and so never gets a new sample."""
    queue = AdmissionQueue("s")
    queue.record_finish("k", 60.0, 0.0)
    assert queue.enqueue(make_request(1, 1.0), 0.0)
    assert not queue.enqueue(make_request(2, 31.0), 30.0)


@given(st.integers(0, 200), st.lists(st.booleans(), max_size=300))
def test_long_kinds_leave_reserved_units(total: int, starts: list[bool]) -> None:
    """Guard against long uploads that acquire the last units, which short look-ups need."""
    reserve, used = ShortReserve(), 0
    for is_long in starts:
        free = total - used
        if reserve.allows("long" if is_long else "short", "region:r", free):
            reserve.record_start("region:r")
            used += 1
            if is_long and total > 1:
                left = math.ceil(total * admission.SHORT_RESERVE_RATIO)
                assert total - used >= left
        else:
            assert is_long or free == 0
