"""Guard against handing a caller bytes that are not the whole answer to its request."""

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
        matcher.take_head(
            200, [(b"Berylchute-Request-Id", event[1]), (b"Content-Length", length)]  # type: ignore[list-item]
        )
    elif event[0] == "data":
        matcher.take_data(event[1])  # type: ignore[arg-type]
    else:
        matcher.take_end()


@given(events)
def test_only_the_own_whole_answer_completes(sequence: list[tuple[object, ...]]) -> None:
    """Guard against reordered, late, short or foreign answers passing as complete."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    taken: list[tuple[object, ...]] = []
    try:
        for event in sequence:
            _feed(matcher, event)
            taken.append(event)
            if matcher.state is MatchState.COMPLETE:
                break
    except ExchangeError:
        assert matcher.state is MatchState.FAILED
    if matcher.state is MatchState.COMPLETE:
        assert taken[0][:2] == ("head", b"a-1.1")
        assert [event[0] for event in taken[1:-1]] == ["data"] * (len(taken) - 2)
        assert sum(event[1] for event in taken[1:-1]) == taken[0][2]  # type: ignore[misc]


@given(events, events)
def test_a_failed_match_never_recovers(
    first: list[tuple[object, ...]], later: list[tuple[object, ...]]
) -> None:
    """Guard against bytes that follow a mismatch being taken for the answer."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    try:
        for event in first:
            _feed(matcher, event)
    except ExchangeError:
        for event in later:
            with pytest.raises(ExchangeError):
                _feed(matcher, event)
            assert matcher.state is MatchState.FAILED


def test_a_doubled_echo_is_foreign() -> None:
    """Guard against a smuggled second id header deciding the match."""
    own = (b"Berylchute-Request-Id", b"a-1.1")
    with pytest.raises(AnswerForeign):
        AnswerMatcher(b"a-1.1", b"GET").take_head(200, [own, own, (b"Content-Length", b"0")])


def test_an_answer_without_framing_is_refused() -> None:
    """Guard against an early close passing for the end of a body."""
    with pytest.raises(AnswerUnframed):
        AnswerMatcher(b"a-1.1", b"GET").take_head(200, [(b"Berylchute-Request-Id", b"a-1.1")])


def test_a_short_body_is_refused() -> None:
    """Guard against a truncated body passing for a whole one."""
    matcher = AnswerMatcher(b"a-1.1", b"GET")
    matcher.take_head(200, [(b"Berylchute-Request-Id", b"a-1.1"), (b"Content-Length", b"5")])
    matcher.take_data(4)
    with pytest.raises(AnswerShort):
        matcher.take_end()
