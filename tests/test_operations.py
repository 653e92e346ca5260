"""Check operators' edits with conflicts, lost responses and outages."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import anyio
import attrs
import pytest
from fakes import FakeHosts, FakeStore

from berylchute import config, operations
from berylchute.config import Configuration
from berylchute.operations import EditState, Operations

EXAMPLES = Path(__file__).parent.parent / "examples"
T = TypeVar("T")


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture(autouse=True)
def no_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operations, "READ_BACK_DELAY_S", 0.0)


def make_operations(store: FakeStore, author: str = "ana") -> Operations:
    return Operations(store, FakeHosts(), author, lambda: "2026-12-04T09:00:00Z")


def load_document(priority: int = 3) -> Configuration:
    document = config.decode_toml((EXAMPLES / "cooperativa/lists.toml").read_text("utf-8"))
    first, *rest = document.plans
    return attrs.evolve(document, plans=(attrs.evolve(first, priority=priority), *rest))


def run(call: Callable[[], Awaitable[T]]) -> T:
    return anyio.run(call)


def test_apply_counts_generations_and_keeps_history(store: FakeStore) -> None:
    """Guard against successive edits that reuse a generation or are missing from the history."""
    ops = make_operations(store)
    for priority in (3, 4, 5):
        run(lambda p=priority: ops.apply_configuration(load_document(p)))
    assert [entry.generation for entry in run(ops.history)] == [3, 2, 1]
    assert run(ops.get_configuration)[0].plans[0].priority == 5


def test_same_document_changes_nothing(store: FakeStore) -> None:
    """Guard against a repeated apply of the same document that creates a new version."""
    ops = make_operations(store)
    first = run(lambda: ops.apply_configuration(load_document()))
    again = run(lambda: ops.apply_configuration(load_document()))
    assert (again.state, again.version) == (EditState.UNCHANGED, first.version)


def test_edit_of_an_old_generation_is_a_conflict(store: FakeStore) -> None:
    """Guard against overwriting an edit that another operator made after the document was read."""
    ops = make_operations(store)
    run(lambda: ops.apply_configuration(load_document(3)))
    outdated, _ = run(ops.get_configuration)
    run(lambda: make_operations(store, "eva").apply_configuration(load_document(4)))
    with pytest.raises(operations.ConflictError) as caught:
        run(
            lambda: ops.apply_configuration(
                attrs.evolve(outdated, availability_zone_one_way_ms=2.0)
            )
        )
    assert "generation 1" in caught.value.based_on
    assert "generation 2" in caught.value.current


def test_lost_response_is_resolved_by_reading_back(store: FakeStore) -> None:
    """Guard against an accepted edit that is reported as failed or written twice because the
    response of the store was lost.
    """
    store.lose_answers = 1
    outcome = run(lambda: make_operations(store).apply_configuration(load_document()))
    assert (outcome.state, outcome.generation) == (EditState.ACCEPTED, 1)
    assert run(make_operations(store).get_configuration)[0].edit_id == outcome.edit_id


def test_lost_write_is_retried(store: FakeStore) -> None:
    """Guard against an edit that fails when its writes are lost, although a retry is safe."""
    store.lose_writes = 2
    outcome = run(lambda: make_operations(store).apply_configuration(load_document()))
    assert run(make_operations(store).get_configuration)[0].edit_id == outcome.edit_id


def test_lost_response_and_outage_is_unknown(store: FakeStore) -> None:
    """Guard against reporting success or failure when the response to a write is lost and an
    outage prevents reading back the outcome.
    """
    store.lose_answers, store.down_after_lost_answer = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make_operations(store).apply_configuration(load_document()))


def test_superseded_edit_is_found_in_the_history(store: FakeStore) -> None:
    """Guard against reporting a conflict for an accepted edit whose response was lost and that
    another operator's edit replaced before it was read back.
    """
    ops = make_operations(store)
    original_get = store.get
    has_raced = False

    async def get_after_race(key: str) -> object:
        nonlocal has_raced
        if store.revision == 1 and not has_raced:
            has_raced = True
            await make_operations(store, "eva").apply_configuration(load_document(9))
        return await original_get(key)

    store.lose_answers = 1
    store.get = get_after_race  # type: ignore[method-assign, assignment]
    assert run(lambda: ops.apply_configuration(load_document(3))).state is EditState.SUPERSEDED


def test_outage_is_unreachable(store: FakeStore) -> None:
    """Guard against an outage of the store that is not reported as unreachable."""
    store.down = True
    with pytest.raises(operations.UnreachableError):
        run(lambda: make_operations(store).apply_configuration(load_document()))


def test_invalid_document_is_not_written(store: FakeStore) -> None:
    """Guard against an invalid document that is written because apply skips validation."""
    with pytest.raises(operations.InvalidDocument):
        run(lambda: make_operations(store).apply_configuration(load_document(-1)))
    assert store.revision == 0


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes"])
def test_object_edit_is_applied_once_despite_lost_responses(store: FakeStore, fault: str) -> None:
    """Guard against a drain declared twice or not at all when a response or write is lost."""
    setattr(store, fault, 1)

    def add(value: bytes | None) -> bytes:
        return value if value and b"[drain]" in value else (value or b"") + b"[drain]"

    stored = run(lambda: make_operations(store).update_object("drains", add))
    assert stored.value == b"[drain]"


def test_object_edit_without_read_back_is_unknown(store: FakeStore) -> None:
    """Guard against a drain that is reported as not written when the response to its write is lost
    and an outage prevents reading it back.
    """
    store.lose_answers, store.down_after_lost_answer = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make_operations(store).update_object("drains", lambda value: b"[drain]"))


def test_unknown_write_and_then_an_outage_is_unknown(store: FakeStore) -> None:
    """Guard against "nothing was written" after a lost write, which may still take effect."""
    store.lose_writes, store.refuse_writes_after_loss = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make_operations(store).apply_configuration(load_document()))
    other = FakeStore()
    other.lose_writes, other.refuse_writes_after_loss = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make_operations(other).update_object("drains", lambda value: b"[drain]"))


def test_lost_writes_that_the_read_back_does_not_show_are_unknown(store: FakeStore) -> None:
    """Guard against reporting that nothing was written: the store may execute a write later."""
    store.lose_writes = operations.WRITE_ATTEMPTS_MAX
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make_operations(store).apply_configuration(load_document()))
