"""Check which limit of a server is in force, and which members report it."""

import attrs

from berylchute.limitreports import (
    END_CONFIRM_S,
    END_REPORTED_S,
    NO_LIMIT,
    OWN_ANSWER_AGE_MAX_S,
    PROBE_AFTER_S,
    REPORT_GAP_S,
    REPORTER_COUNT,
    LimitReports,
)
from berylchute.servers import Server
from berylchute.types import MemberState, MemberStatus
from tests.httpfakes import ManualClock
from tests.test_backends import entry, make_backends
from tests.test_directory import member


class _Harness:
    """The reports of member m5 about one server; members rank by their numbers."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.server: Server = make_backends(self.clock, entry("i-1")).of_service("s")[0]
        self.reports = LimitReports("m5", self.clock, lambda _, host_id: float(host_id[1:]))

    def answer(self, limit_per_s: float | None) -> None:
        self.server.rate_limit_per_s = limit_per_s
        self.server.rate_limit_at_s = self.clock.now

    def hear(self, *reporters: str, state: MemberState = MemberState.LIVE) -> None:
        self.reports.update_members([_reporter(name, state) for name in reporters], [self.server])

    def hear_end(self, *reporters: str) -> None:
        """Receive the end of the limit from m7, while `reporters` still report the limit."""
        statuses = [_reporter(name, MemberState.LIVE) for name in reporters]
        statuses.append(_reporter("m7", MemberState.LIVE, NO_LIMIT))
        self.reports.update_members(statuses, [self.server])

    def limit(self) -> float | None:
        return self.reports.limit_per_s(self.server, self.clock.now)

    def is_reporting(self) -> bool:
        return bool(self.reports.limits_to_report([self.server]))


def _reporter(name: str, state: MemberState, limit_per_s: float = 9.0) -> MemberStatus:
    status = member(name, "za", "ra", state=state)
    record = attrs.evolve(status.record, server_limits={"i-1": limit_per_s})
    return attrs.evolve(status, record=record)


def test_limit_is_known_from_others_before_the_first_answer() -> None:
    # Guard against requests above a limit by members that have not sent to the server yet.
    harness = _Harness()
    assert harness.limit() is None
    harness.hear("m1")
    assert harness.limit() == 9.0
    assert not harness.is_reporting()  # it has no answer of its own


def test_own_answer_overrides_reports_while_it_is_new() -> None:
    # Guard against a limit that goes on after the server has lifted it.
    harness = _Harness()
    harness.hear("m1")
    harness.clock.now += 0.1
    harness.answer(None)
    assert harness.limit() is None
    harness.clock.now += 1.5
    assert harness.limit() == 9.0  # until the reporter has an answer without a limit, too


def test_first_report_of_a_limit_overrides_an_older_answer() -> None:
    # Guard against requests above a new limit by members that have an answer from just before it.
    harness = _Harness()
    harness.answer(None)
    harness.clock.now += 0.1
    harness.hear("m1")
    assert harness.limit() == 9.0


def test_first_members_that_know_a_limit_report_it() -> None:
    # Guard against a limit that nobody reports since the members in front don't send to the server,
    # and against reports of all members.
    harness = _Harness()
    harness.answer(9.0)
    assert harness.is_reporting()
    harness.hear("m7", "m8")
    assert harness.is_reporting()
    harness.hear(*[f"m{number}" for number in range(1, REPORTER_COUNT + 1)])
    assert not harness.is_reporting()
    harness.hear("m1", "m2", state=MemberState.GONE)
    assert harness.is_reporting()


def test_reported_limit_outlasts_a_change_of_its_reporter() -> None:
    # Guard against a burst of all members while one reporter takes over from another.
    harness = _Harness()
    harness.hear("m1")
    harness.clock.now += REPORT_GAP_S / 2.0
    harness.hear()
    assert harness.limit() == 9.0
    harness.clock.now += REPORT_GAP_S
    harness.hear()
    assert harness.limit() is None


def test_reporter_probes_a_server_that_it_has_not_heard_from() -> None:
    # Guard against a limit that lasts for ever when its senders have no requests for the server.
    harness = _Harness()
    harness.answer(9.0)
    assert not harness.reports.may_probe(harness.server, harness.clock.now)
    harness.clock.now += PROBE_AFTER_S + 0.1
    assert harness.reports.may_probe(harness.server, harness.clock.now)
    harness.server.sent_at_s = harness.clock.now
    assert not harness.reports.may_probe(harness.server, harness.clock.now)
    harness.hear("m1", "m2")
    harness.clock.now += PROBE_AFTER_S + 0.1
    assert not harness.reports.may_probe(harness.server, harness.clock.now)


def test_limit_outlasts_a_silence_and_its_last_holder_probes() -> None:
    # Guard against a limit that is forgotten while its server gets no request, and against a server
    # that gets nothing for ever after its last answer with a limit.
    harness = _Harness()
    harness.answer(9.0)
    harness.clock.now += 600.0
    assert harness.limit() == 9.0
    assert harness.is_reporting()
    assert harness.reports.may_probe(harness.server, harness.clock.now)


def test_member_that_still_gets_answers_without_a_limit_reports_its_end() -> None:
    # Guard against a limit that a member reports for ever since it missed the end.
    harness = _Harness()
    harness.hear("m1")
    harness.answer(None)
    assert not harness.is_reporting()  # the answer may be older than the limit
    harness.clock.now += OWN_ANSWER_AGE_MAX_S + 0.1
    harness.hear("m1")
    harness.answer(None)
    assert harness.reports.limits_to_report([harness.server]) == {"i-1": NO_LIMIT}


def test_end_of_a_limit_is_reported_and_stops_older_reports() -> None:
    # Guard against members that keep a limit alive by reporting it in turn after its end.
    harness = _Harness()
    harness.answer(9.0)
    harness.clock.now += 1.5
    harness.hear_end("m1")
    assert not harness.is_reporting()
    harness.clock.now += END_CONFIRM_S
    harness.hear_end("m1")
    assert harness.limit() is None
    assert not harness.is_reporting()


def test_end_of_a_limit_takes_no_effect_before_a_return_of_the_limit_would_be_known() -> None:
    # Guard against a burst of all members when a server states no limit for a moment.
    harness = _Harness()
    harness.hear("m1")
    harness.clock.now += 1.5
    harness.hear_end("m1")
    assert harness.limit() == 9.0
    harness.clock.now += END_CONFIRM_S / 2.0
    harness.hear_end("m1", "m2")  # m2 has a newer answer with a limit
    harness.clock.now += END_CONFIRM_S
    harness.hear_end("m1", "m2")
    assert harness.limit() == 9.0


def test_member_in_front_with_an_old_limit_does_not_silence_newer_reports() -> None:
    # Guard against a limit that is stated again and that nobody reports.
    harness = _Harness()
    harness.hear_end(*[f"m{number}" for number in range(1, REPORTER_COUNT + 1)])
    harness.clock.now += 0.5
    harness.answer(9.0)
    harness.hear_end(*[f"m{number}" for number in range(1, REPORTER_COUNT + 1)])
    assert harness.is_reporting()


def test_end_of_a_limit_that_returned_for_a_moment_is_noticed() -> None:
    # Guard against a limit that lasts for ever after its holder has got no answer since.
    harness = _Harness()
    harness.hear_end()
    harness.clock.now += 0.5
    harness.answer(9.0)
    for _ in range(16):
        harness.clock.now += 0.25
        harness.hear_end()
    assert harness.limit() is None


def test_member_that_sees_the_end_of_a_limit_reports_it_for_a_while() -> None:
    # Guard against an end that is reported for ever and hides the next limit.
    harness = _Harness()
    harness.server.limit_ended_at_s = harness.clock.now
    assert harness.reports.limits_to_report([harness.server]) == {"i-1": NO_LIMIT}
    harness.clock.now += END_REPORTED_S
    assert not harness.is_reporting()


def test_new_answer_with_a_limit_outlasts_a_reported_end() -> None:
    # Guard against a server that states a limit again and is sent more than that.
    harness = _Harness()
    harness.answer(9.0)
    harness.hear_end()
    assert harness.limit() == 9.0
