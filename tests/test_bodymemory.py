"""Check which bodies are given up when those in flight take too much memory."""

import pytest

from berylchute.bodymemory import SMALL_BYTES, BodyMemory, BodyStage

RECEIVING, IN_FLIGHT = BodyStage.RECEIVING_REQUEST, BodyStage.IN_FLIGHT_REQUEST
ANSWER, SENDING = BodyStage.RECEIVING_ANSWER, BodyStage.SENDING_ANSWER
PART_BYTES = 100_000


class _Holder:
    def __init__(self) -> None:
        self.reason = ""

    def drop_body(self, reason: str) -> None:
        self.reason = reason


def _fill(memory: BodyMemory, stage: BodyStage, size_bytes: int) -> _Holder:
    holder = _Holder()
    for _ in range(size_bytes // PART_BYTES):
        if not holder.reason:
            memory.hold(holder, stage, PART_BYTES)
    return holder


def test_largest_answer_is_dropped_first() -> None:
    # Guard against short answers that are lost because one server sends without end.
    memory = BodyMemory(100.0)
    short = _Holder()
    memory.hold(short, ANSWER, 30_000)
    endless = _fill(memory, ANSWER, 2 * memory.bytes_max)
    assert not short.reason and endless.reason
    assert memory.held_bytes == 30_000


def test_largest_upload_is_dropped_first() -> None:
    # Guard against uploads that all fail since one takes the memory of the others.
    memory = BodyMemory(100.0)
    small = _fill(memory, RECEIVING, 5_000_000)
    large = _fill(memory, RECEIVING, 2 * memory.bytes_max)
    assert not small.reason and large.reason


def test_request_in_flight_is_never_dropped() -> None:
    # Guard against a request that is refused as not run although a server has it.
    memory = BodyMemory(100.0)
    uploads = [_fill(memory, RECEIVING, 8_000_000) for _ in range(3)]
    for upload in uploads:
        memory.hold(upload, IN_FLIGHT, memory.release(upload, RECEIVING))
    _fill(memory, RECEIVING, 2 * memory.bytes_max)
    _fill(memory, ANSWER, 2 * memory.bytes_max)
    assert not any(upload.reason for upload in uploads)
    assert memory.held_bytes == memory.request_bytes == 24_000_000


def test_small_requests_and_answers_fit_beside_uploads_that_take_all() -> None:
    # Guard against small requests that fail while large uploads wait for slow servers.
    memory = BodyMemory(100.0)
    size = memory.request_bytes_max
    upload = _Holder()
    memory.hold(upload, IN_FLIGHT, size)
    small = [_Holder() for _ in range(50)]
    for holder in small:
        memory.hold(holder, RECEIVING, SMALL_BYTES)
        memory.hold(holder, ANSWER, SMALL_BYTES)
    assert not any(holder.reason for holder in small)
    # They are bounded, too.
    many = [_Holder() for _ in range(1000)]
    for holder in many:
        memory.hold(holder, RECEIVING, SMALL_BYTES)
    assert any(holder.reason for holder in many)
    assert memory.held_bytes <= memory.bytes_max


def test_answers_that_wait_for_callers_are_dropped_last() -> None:
    # Guard against answers that servers have made and that are lost without need.
    memory = BodyMemory(100.0)
    waiting = _fill(memory, SENDING, memory.bytes_max - PART_BYTES)
    receiving = _fill(memory, ANSWER, 2 * memory.bytes_max)
    assert receiving.reason and not waiting.reason
    slow = [_fill(memory, SENDING, 10_000_000) for _ in range(20)]
    assert waiting.reason or any(holder.reason for holder in slow)
    assert memory.held_bytes <= memory.bytes_max


@pytest.mark.parametrize("in_flight_part", [0.0, 0.5, 1.0])
def test_declared_length_is_refused_when_it_cannot_fit(in_flight_part: float) -> None:
    # Guard against an upload that is received in part although it can't be held.
    memory = BodyMemory(100.0)
    in_flight = int(memory.request_bytes_max * in_flight_part)
    memory.hold(_Holder(), IN_FLIGHT, in_flight)
    assert memory.may_receive(SMALL_BYTES)
    free = memory.request_bytes_max - in_flight
    assert memory.may_receive(max(SMALL_BYTES, free))
    assert not memory.may_receive(max(SMALL_BYTES, free) + 1)
