"""Check what the state of a server becomes after an answer or a failure."""

import json
import math
import os

import pytest

from berylchute.eventlog import EventLog
from berylchute.headernames import HeaderNames
from berylchute.servers import PAUSE_MAX_S, parse_rate_limit
from berylchute.servertracker import ServerTracker
from berylchute.sharedobjects import ServerList
from berylchute.upstream import ServerAnswer
from tests.httpfakes import ManualClock
from tests.test_backends import entry, make_backends

LEAVING = b"Berylchute-Leaving"


def _answer(limit: bytes | None) -> ServerAnswer:
    headers = () if limit is None else ((b"Berylchute-Limit", limit),)
    return ServerAnswer(200, headers, b"", 0.0)


def test_limit_of_a_server_is_logged_when_it_begins_changes_and_ends() -> None:
    # Guard against an overloaded server whose limit no log line or metric shows.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    read, write = os.pipe()
    log = EventLog(write, "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    for limit in (None, b"13.8", b"13.8", b"9", None, None):
        clock.now += 0.2
        tracker.record_answer(server, _answer(limit), 0.1)
    log.flush()
    events = [json.loads(line) for line in os.read(read, 65_536).splitlines()]
    os.close(read)
    os.close(write)
    assert [event["limit_per_s"] for event in events] == [13.8, 9.0, None]
    assert {event["event"] for event in events} == {"server_limit"}
    assert backends.limited_count() == 0
    assert server.limit_ended_at_s == pytest.approx(clock.now - 0.2)


def test_slow_answer_from_before_a_limit_does_not_end_it() -> None:
    # Guard against a burst after an answer that a server wrote before it stated a limit.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    tracker.record_answer(server, _answer(b"9"), 0.1)
    clock.now += 0.5
    tracker.record_answer(server, _answer(None), 1.0)
    assert server.rate_limit_per_s == 9.0
    tracker.record_answer(server, _answer(None), 0.1)
    assert server.rate_limit_per_s is None


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"nan", b"inf", b"1,2"])
def test_unreadable_limit_does_not_end_one(value: bytes) -> None:
    # Guard against a burst to a server in need after an answer with a damaged header.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    for limit in (b"9", value):
        clock.now += 0.5
        tracker.record_answer(server, _answer(limit), 0.1)
    assert server.rate_limit_per_s == 9.0


@pytest.mark.parametrize("value", [None, b"", b"x", b"-1", b"nan", b"inf", b"1,2"])
def test_unreadable_limit_is_no_limit(value: bytes | None) -> None:
    # Guard against an error or an endless limit from a malformed header.
    assert parse_rate_limit(value) is None


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503, 504])
def test_server_that_says_it_leaves_gets_nothing_more(status: int) -> None:
    # Guard against requests to a leaving server whose notice the store holds late or never.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1", started_ms=5))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    tracker.record_answer(server, ServerAnswer(status, ((LEAVING, b"1"),), b"", 0.0), 0.1)
    assert not backends.may_receive(server)
    # Neither its entry nor a later answer without the header takes it back.
    backends.update_servers(ServerList((entry("i-1", started_ms=5, cold_s=1.0),)))
    tracker.record_answer(server, ServerAnswer(200, (), b"", 0.0), 0.1)
    assert not backends.may_receive(server)
    # Another start does, and so does a server of another id at the address.
    backends.update_servers(ServerList((entry("i-1", started_ms=6), entry("i-2"))))
    assert all(map(backends.may_receive, backends.of_service("s")))


@pytest.mark.parametrize("value", [b"0", b"", b"no", b"11"])
def test_other_values_of_the_notice_are_none(value: bytes) -> None:
    # Guard against a server that is lost because of a malformed header.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    tracker.record_answer(server, ServerAnswer(200, ((LEAVING, value),), b"", 0.0), 0.1)
    assert backends.may_receive(server)


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        (b"2", 2.0),
        (b"0.25", 0.25),
        (b"1e9", PAUSE_MAX_S),
        (b"0", 0.0),
        (b"-1", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"x", 0.0),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
    ],
)
def test_server_that_asks_for_a_pause_gets_nothing_meanwhile(value: bytes, pause_s: float) -> None:
    # Guard against requests to a server that asked for none, and against one that is lost because
    # of a malformed time.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    tracker.record_answer(server, ServerAnswer(503, ((b"Retry-After", value),), b"", 0.0), 0.1)
    assert server.paused_until_s == (clock.now + pause_s if pause_s else -math.inf)


def test_later_answer_does_not_shorten_a_pause() -> None:
    # Guard against requests within a pause after a shorter one, or after an answer that the server
    # wrote before.
    clock = ManualClock()
    backends = make_backends(clock, entry("i-1"))
    (server,) = backends.of_service("s")
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "h")
    tracker = ServerTracker(backends, HeaderNames(), clock, log)
    for status, value in ((503, b"5"), (503, b"1"), (200, b"1"), (429, b"9")):
        tracker.record_answer(
            server, ServerAnswer(status, ((b"Retry-After", value),), b"", 0.0), 0.1
        )
        assert server.paused_until_s == clock.now + 5.0
