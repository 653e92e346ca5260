"""Check that the event log is bounded, reports dropped lines and does not block."""

import fcntl
import json
import os

import pytest

from berylchute.eventlog import PENDING_LINES_MAX, REQUEST_LINES_PER_S, EventLog


def _read_all(read_fd: int) -> bytes:
    os.set_blocking(read_fd, False)
    data = b""
    while True:
        try:
            chunk = os.read(read_fd, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return data


def _read_lines(read_fd: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in _read_all(read_fd).splitlines()]


def test_events_are_json_lines() -> None:
    """Guard against an event that is not one JSON line or lacks its name, host or fields."""
    read_fd, write_fd = os.pipe()
    log = EventLog(write_fd, "h1")
    log.event("ready", ready=True)
    log.flush()
    (line,) = _read_lines(read_fd)
    assert (line["event"], line["host"], line["ready"]) == ("ready", "h1", True)


def test_full_pipe_drops_and_reports_once_it_is_read() -> None:
    """Guard against blocking or unreported drops when the reader of the pipe is too slow."""
    read_fd, write_fd = os.pipe()
    fcntl.fcntl(write_fd, fcntl.F_SETPIPE_SZ, 4096)
    log = EventLog(write_fd, "h1")
    for number in range(PENDING_LINES_MAX + 500):
        log.event("e", number=number)
        if number % 100 == 0:
            log.flush()
    assert log.lines_dropped_buffer_full > 0
    data = b""
    for _ in range(2000):
        log.flush()
        data += _read_all(read_fd)
    lines = [json.loads(line) for line in data.splitlines()]
    reported = [line for line in lines if line["event"] == "log_lines_dropped"]
    assert reported and reported[-1]["buffer_full"] == log.lines_dropped_buffer_full


def test_routine_requests_leave_room_for_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a failure that is not logged because routine requests use up the rate."""
    monkeypatch.setattr("berylchute.eventlog.time.time", lambda: 1000.0)
    read_fd, write_fd = os.pipe()
    log = EventLog(write_fd, "h1")
    for _ in range(REQUEST_LINES_PER_S * 3):
        log.request_event("request", failed=False)
    log.request_event("request", failed=True, request_id="bad")
    log.flush()
    lines = _read_lines(read_fd)
    assert len([line for line in lines if line["event"] == "request"]) == REQUEST_LINES_PER_S + 1
    assert any(line.get("request_id") == "bad" for line in lines)
    assert log.lines_dropped_over_rate == REQUEST_LINES_PER_S * 2


def test_lines_without_reader_are_counted() -> None:
    """Guard against lost lines that are not counted when the reader has closed the pipe."""
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    log = EventLog(write_fd, "h1")
    for _ in range(3):
        log.event("e")
    log.flush()
    assert log.lines_dropped_unwritable == 3
    log.event("e")
    log.flush()
    assert log.lines_dropped_unwritable == 5  # includes the line that reports the drops


def test_failed_write_is_reported_once_writes_succeed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against lost lines that are not reported after a write error, such as EIO."""
    read_fd, write_fd = os.pipe()
    log = EventLog(write_fd, "h1")
    with monkeypatch.context() as patch:
        patch.setattr("berylchute.eventlog.os.write", _fail_write)
        log.event("e")
        log.flush()
    log.flush()
    (reported,) = _read_lines(read_fd)
    assert (reported["event"], reported["unwritable"]) == ("log_lines_dropped", 1)


def _fail_write(_descriptor: int, _data: bytes) -> int:
    raise OSError(5, "input/output error")


def test_lines_written_in_part_of_a_chunk_are_not_counted_as_dropped() -> None:
    """Guard against a count of dropped lines that includes lines which were written."""
    read_fd, write_fd = os.pipe()
    fcntl.fcntl(write_fd, fcntl.F_SETPIPE_SZ, 4096)
    log = EventLog(write_fd, "h1")
    for number in range(200):
        log.event("e", number=number)
    log.flush()
    written_lines = _read_all(read_fd).count(b"\n")
    os.close(read_fd)
    log.flush()
    assert written_lines > 0
    assert log.lines_dropped_unwritable == 200 - written_lines
