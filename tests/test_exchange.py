"""Check that a caller only receives the complete answer to its own request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute.exceptions import ExchangeError
from berylchute.exchange import (
    AnswerForeign,
    AnswerMatcher,
    AnswerShort,
    AnswerUnframed,
    MatchState,
)

ids = st.sampled_from([b"a-1.1", b"a-1.2", b"b-1.1"])
events = st.lists(
    st.one_of(
        st.tuples(st.just("head"), ids, st.integers(0, 6)),
        st.tuples(st.just("data"), st.integers(0, 6)),
        st.tuples(st.just("end")),
    ),
    max_size=8,
)


def _feed(matcher: AnswerMatcher, event: tuple[object, ...]) -> None:
    if event[0] == "head":
        length = b"%d" % event[2]  # type: ignore[str-format]
        matcher.receive_head(
            200, [(b"Berylchute-Request-Id", event[1]), (b"Content-Length", length)]  # type: ignore[list-item]
        )
    elif event[0] == "data":
        matcher.receive_body(event[1])  # type: ignore[arg-type]
    else:
        matcher.receive_end()


@given(events)
def test_only_the_complete_answer_to_the_attempt_matches(
    sequence: list[tuple[object, ...]],
) -> None:
    """Guard against reordered, late, truncated or foreign answers that pass as complete."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    accepted: list[tuple[object, ...]] = []
    try:
        for event in sequence:
            _feed(matcher, event)
            accepted.append(event)
            if matcher.state is MatchState.COMPLETE:
                break
    except ExchangeError:
        assert matcher.state is MatchState.FAILED
    if matcher.state is MatchState.COMPLETE:
        assert accepted[0][:2] == ("head", b"a-1.1")
        assert [event[0] for event in accepted[1:-1]] == ["data"] * (len(accepted) - 2)
        assert sum(event[1] for event in accepted[1:-1]) == accepted[0][2]  # type: ignore[misc]


@given(events, events)
def test_a_failed_match_never_recovers(
    first: list[tuple[object, ...]], later: list[tuple[object, ...]]
) -> None:
    """Guard against bytes after a mismatch that pass as the answer."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    try:
        for event in first:
            _feed(matcher, event)
    except ExchangeError:
        for event in later:
            with pytest.raises(ExchangeError):
                _feed(matcher, event)
            assert matcher.state is MatchState.FAILED


def test_a_duplicate_request_id_is_foreign() -> None:
    """Guard against a smuggled second id header that decides the match."""
    own = (b"Berylchute-Request-Id", b"a-1.1")
    with pytest.raises(AnswerForeign):
        AnswerMatcher(b"a-1.1", b"GET").receive_head(200, [own, own, (b"Content-Length", b"0")])


def test_an_answer_without_framing_is_rejected() -> None:
    """Guard against an early close that passes as the end of a body."""
    with pytest.raises(AnswerUnframed):
        AnswerMatcher(b"a-1.1", b"GET").receive_head(200, [(b"Berylchute-Request-Id", b"a-1.1")])


def test_a_truncated_body_is_rejected() -> None:
    """Guard against a truncated body that passes as complete."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    matcher.receive_head(200, [(b"Berylchute-Request-Id", b"a-1.1"), (b"Content-Length", b"5")])
    matcher.receive_body(4)
    with pytest.raises(AnswerShort):
        matcher.receive_end()
