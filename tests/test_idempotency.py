"""Check that no non-idempotent request runs twice, or is reported as not run when it ran."""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylchute.idempotency import (
    EPOCH_S,
    BeginAction,
    IdempotencyTable,
    OwnerToken,
    RecordKey,
    RecordState,
    StoredAnswer,
    parse_idempotency_key,
)

ANSWER = StoredAnswer(200, (), b"done")
OTHER = StoredAnswer(201, (), b"other")


def _key(table: IdempotencyTable, text: str, now_s: float, customer: str = "a") -> RecordKey:
    return table.record_key(customer, table.current_token(now_s), text)


class AtMostOnce(RuleBasedStateMachine):
    """Test one owner under repeats, lost answers, pauses, failed runs and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.incarnation = 1
        self.table = IdempotencyTable("p", 1, self.now_s, records_max=6)
        self.runs: dict[tuple[int, RecordKey], int] = {}
        self.open: list[tuple[int, RecordKey]] = []
        self.tokens: list[OwnerToken] = []

    @rule()
    def take_token(self) -> None:
        """Give a caller a token, which it may use at any later time."""
        self.tokens.append(self.table.current_token(self.now_s))

    @precondition(lambda self: self.tokens)
    @rule(data=st.data(), text=st.sampled_from("xy"), customer=st.sampled_from("ab"))
    def request(self, data: st.DataObject, text: str, customer: str) -> None:
        """Send or repeat a request with any token ever issued."""
        token = data.draw(st.sampled_from(self.tokens))
        if not self.table.is_owner_of(token):
            return
        key = self.table.record_key(customer, token, text)
        result = self.table.begin(key, b"digest", self.now_s)
        ran = self.runs.get((self.incarnation, key), 0)
        if result.action is BeginAction.RUN:
            assert ran == 0
            assert (self.incarnation, key) not in self.open
            self.open.append((self.incarnation, key))
        elif result.action in (BeginAction.TABLE_FULL, BeginAction.OWNER_REQUIRED):
            # The response states that the request did not run.
            assert ran == 0

    @precondition(lambda self: self.open)
    @rule(data=st.data(), fate=st.sampled_from(["answer", "lost", "not_sent", "shed_then_ran"]))
    def finish(self, data: st.DataObject, fate: str) -> None:
        """Dispatch a request, whose record may have expired meanwhile, and end it."""
        run = data.draw(st.sampled_from(self.open))
        self.open.remove(run)
        incarnation, key = run
        if incarnation != self.incarnation or not self.table.mark_dispatched(key):
            return
        if fate in ("not_sent", "shed_then_ran"):
            self.table.mark_not_run(key)
            if fate == "not_sent" or not self.table.mark_dispatched(key):
                self.table.mark_unknown(key)
                self.table.mark_refused(key)
                return
        self.runs[run] = self.runs.get(run, 0) + 1
        if fate == "lost":
            self.table.mark_unknown(key)
        else:
            self.table.mark_answered(key, ANSWER)
        self.table.mark_refused(key)

    @rule(seconds=st.sampled_from([1.0, 0.4 * EPOCH_S, EPOCH_S, 2.5 * EPOCH_S]))
    def pause(self, seconds: float) -> None:
        """Advance the clock in one step, as after a pause of the process."""
        self.now_s += seconds

    @rule()
    def restart(self) -> None:
        """Restart the process; its records are lost and it no longer owns the earlier tokens."""
        self.incarnation += 1
        self.table = IdempotencyTable("p", self.incarnation, self.now_s, records_max=6)

    @invariant()
    def runs_once(self) -> None:
        """Guard against a second run of a key in any incarnation."""
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def stays_bounded(self) -> None:
        """Guard against a table that exceeds its limit."""
        assert len(self.table) <= 6


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(max_examples=60, stateful_step_count=30)


def _answered(table: IdempotencyTable, key: RecordKey) -> None:
    table.mark_dispatched(key)
    table.mark_answered(key, ANSWER)


def _unknown(table: IdempotencyTable, key: RecordKey) -> None:
    table.mark_dispatched(key)
    table.mark_unknown(key)


def _not_run(table: IdempotencyTable, key: RecordKey) -> None:
    table.mark_dispatched(key)
    table.mark_not_run(key)
    table.mark_refused(key)


@pytest.mark.parametrize(
    ("end", "expected"),
    [
        (lambda table, key: None, BeginAction.WAIT),
        (lambda table, key: table.mark_dispatched(key), BeginAction.WAIT),
        (_answered, BeginAction.REPLAY),
        (_unknown, BeginAction.OUTCOME_UNKNOWN),
        (_not_run, BeginAction.RUN),
    ],
)
def test_the_action_for_a_repeat_depends_on_the_state(
    end: Callable[[IdempotencyTable, RecordKey], object], expected: BeginAction
) -> None:
    """Guard against a repeat that runs, waits or replays in the wrong state."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    assert table.begin(key, b"d", 0.0).action is BeginAction.RUN
    end(table, key)
    assert table.begin(key, b"d", 1.0).action is expected


@pytest.mark.parametrize("end", [lambda table, key: None, _answered, _unknown])
def test_a_record_is_dispatched_once(
    end: Callable[[IdempotencyTable, RecordKey], object],
) -> None:
    """Guard against a second dispatch of a record that was dispatched before or has ended."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    table.mark_dispatched(key)
    end(table, key)
    assert not table.mark_dispatched(key)


def test_an_answer_is_never_replaced() -> None:
    """Guard against a late second outcome that changes the answer to repeats."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    _answered(table, key)
    table.mark_answered(key, OTHER)
    table.mark_unknown(key)
    table.mark_refused(key)
    assert table.begin(key, b"d", 1.0).answer == ANSWER


def test_another_body_does_not_get_the_answer() -> None:
    """Guard against a reused key that gets the answer to another request."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    _answered(table, key)
    assert table.begin(key, b"e", 1.0).action is BeginAction.KEY_REUSED


def test_customers_do_not_share_keys() -> None:
    """Guard against a customer that gets another customer's answer by guessing its key."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0, "a")
    table.begin(key, b"d", 0.0)
    _answered(table, key)
    assert table.begin(_key(table, "x", 0.0, "b"), b"d", 0.0).action is BeginAction.RUN


def test_an_expired_key_does_not_run() -> None:
    """Guard against a second run after the record of the first run expired."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    table.mark_dispatched(key)
    later_s = 2 * EPOCH_S
    assert table.begin(key, b"d", later_s).action is BeginAction.KEY_EXPIRED
    assert len(table) == 0
    assert table.state(key) is None


def test_an_expired_record_is_not_dispatched() -> None:
    """Guard against a process that was paused and dispatches after its record expired."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    table.begin(_key(table, "y", 3 * EPOCH_S), b"d", 3 * EPOCH_S)
    assert not table.mark_dispatched(key)


def test_a_token_of_a_future_epoch_is_not_run() -> None:
    """Guard against a forged token that creates a record which expires later than all others."""
    table = IdempotencyTable("p", 1, 0.0)
    assert table.begin(("a", 7, "x"), b"d", 0.0).action is BeginAction.OWNER_REQUIRED


def test_a_full_table_refuses_new_keys_only() -> None:
    """Guard against a full table that drops the record of a key that ran."""
    table = IdempotencyTable("p", 1, 0.0, records_max=1)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    _answered(table, key)
    assert table.begin(_key(table, "y", 0.0), b"d", 0.0).action is BeginAction.TABLE_FULL
    assert table.begin(key, b"d", 0.0).action is BeginAction.REPLAY


def test_a_dispatched_record_is_not_refused() -> None:
    """Guard against a second run of a request that was dispatched and may have run."""
    table = IdempotencyTable("p", 1, 0.0)
    key = _key(table, "x", 0.0)
    table.begin(key, b"d", 0.0)
    table.mark_dispatched(key)
    table.mark_refused(key)
    assert table.state(key) is RecordState.DISPATCHED


@given(st.text(max_size=20), st.integers(0, 2**63), st.integers(0, 2**31), st.text(min_size=1))
def test_owner_tokens_are_equal_after_encoding_and_parsing(
    position: str, incarnation: int, epoch: int, text: str
) -> None:
    """Guard against a token that names another owner after it was parsed."""
    token = OwnerToken("p" + position.replace(":", ""), incarnation, epoch)
    parsed, caller_text = parse_idempotency_key(f"{token}:{text[:100]}")
    assert (parsed, caller_text) == (token, text[:100])


@pytest.mark.parametrize("key", ["", "abc", "p.1:x", "p.1.x:k", "p.01.0:k", "p.1.0:", ".1.0:k"])
def test_malformed_owners_are_rejected(key: str) -> None:
    """Guard against a request that runs under a key whose owner token is malformed."""
    assert parse_idempotency_key(key)[0] is None
