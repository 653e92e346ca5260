"""Guard that logging is bounded, says what it dropped, and never waits for a reader."""

import fcntl
import json
import os

import pytest

from berylchute.eventlog import PENDING_LINES_MAX, REQUEST_LINES_PER_S, EventLog


def _read(read: int) -> bytes:
    os.set_blocking(read, False)
    data = b""
    while True:
        try:
            chunk = os.read(read, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return data


def _lines(read: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in _read(read).splitlines()]


def test_events_are_json_lines() -> None:
    read, write = os.pipe()
    log = EventLog(write, "h1")
    log.event("ready", ready=True)
    log.flush()
    (line,) = _lines(read)
    assert (line["event"], line["host"], line["ready"]) == ("ready", "h1", True)


def test_full_pipe_drops_and_tells_once_it_is_read() -> None:
    read, write = os.pipe()
    fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, 4096)
    log = EventLog(write, "h1")
    for number in range(PENDING_LINES_MAX + 500):
        log.event("e", number=number)
        if number % 100 == 0:
            log.flush()
    assert log.dropped_full > 0
    data = b""
    for _ in range(2000):
        log.flush()
        data += _read(read)
    lines = [json.loads(line) for line in data.splitlines()]
    told = [line for line in lines if line["event"] == "log_lines_dropped"]
    assert told and told[-1]["buffer_full"] == log.dropped_full


def test_routine_requests_leave_room_for_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylchute.eventlog.time.time", lambda: 1000.0)
    read, write = os.pipe()
    log = EventLog(write, "h1")
    for _ in range(REQUEST_LINES_PER_S * 3):
        log.request_event("request", failed=False)
    log.request_event("request", failed=True, request_id="bad")
    log.flush()
    lines = _lines(read)
    assert len([line for line in lines if line["event"] == "request"]) == REQUEST_LINES_PER_S + 1
    assert any(line.get("request_id") == "bad" for line in lines)
    assert log.dropped_rate == REQUEST_LINES_PER_S * 2


def test_lines_that_nobody_reads_are_counted() -> None:
    read, write = os.pipe()
    os.close(read)
    log = EventLog(write, "h1")
    for _ in range(3):
        log.event("e")
    log.flush()
    assert log.dropped_unwritable == 3
    log.event("e")
    log.flush()
    assert log.dropped_unwritable == 5  # the line that tells of the drops is one of them


def test_failed_write_is_told_once_the_descriptor_works_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read, write = os.pipe()
    log = EventLog(write, "h1")
    with monkeypatch.context() as patch:
        patch.setattr("berylchute.eventlog.os.write", _fail)
        log.event("e")
        log.flush()
    log.flush()
    (told,) = _lines(read)
    assert (told["event"], told["unwritable"]) == ("log_lines_dropped", 1)


def _fail(_descriptor: int, _data: bytes) -> int:
    raise OSError(5, "input/output error")
