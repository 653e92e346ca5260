"""Check operators' edits under conflicts, lost answers and outages."""

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


def make(store: FakeStore, author: str = "ana") -> Operations:
    return Operations(store, FakeHosts(), author, lambda: "2026-12-04T09:00:00Z")


def load_document(priority: int = 3) -> Configuration:
    document = config.decode_toml((EXAMPLES / "cooperativa/lists.toml").read_text("utf-8"))
    first, *rest = document.plans
    return attrs.evolve(document, plans=(attrs.evolve(first, priority=priority), *rest))


def run(call: Callable[[], Awaitable[T]]) -> T:
    return anyio.run(call)


def test_apply_counts_generations_and_keeps_history(store: FakeStore) -> None:
    """Guards against an edit that is lost from the history or reuses a generation."""
    ops = make(store)
    for priority in (3, 4, 5):
        run(lambda p=priority: ops.apply(load_document(p)))
    assert [entry.generation for entry in run(ops.history)] == [3, 2, 1]
    assert run(ops.get)[0].plans[0].priority == 5


def test_same_document_changes_nothing(store: FakeStore) -> None:
    """Guards against a repeated apply that makes a new generation."""
    ops = make(store)
    first = run(lambda: ops.apply(load_document()))
    again = run(lambda: ops.apply(load_document()))
    assert (again.state, again.version) == (EditState.UNCHANGED, first.version)


def test_edit_of_an_old_generation_is_a_conflict(store: FakeStore) -> None:
    """Guards against an operator who overwrites another's edit without seeing it."""
    ops = make(store)
    run(lambda: ops.apply(load_document(3)))
    mine, _ = run(ops.get)
    run(lambda: make(store, "eva").apply(load_document(4)))
    with pytest.raises(operations.ConflictError) as caught:
        run(lambda: ops.apply(attrs.evolve(mine, availability_zone_one_way_ms=2.0)))
    assert "generation 1" in caught.value.based_on
    assert "generation 2" in caught.value.current


def test_lost_answer_is_resolved_by_reading_back(store: FakeStore) -> None:
    """Guards against an accepted edit that is reported as failed or written twice."""
    store.lose_answers = 1
    outcome = run(lambda: make(store).apply(load_document()))
    assert (outcome.state, outcome.generation) == (EditState.ACCEPTED, 1)
    assert run(make(store).get)[0].edit_id == outcome.edit_id


def test_lost_write_is_written_again(store: FakeStore) -> None:
    """Guards against an edit that is given up although a repeat is safe."""
    store.lose_writes = 2
    outcome = run(lambda: make(store).apply(load_document()))
    assert run(make(store).get)[0].edit_id == outcome.edit_id


def test_lost_answer_and_outage_is_unknown(store: FakeStore) -> None:
    """Guards against claiming success or failure that nobody can know."""
    store.lose_answers, store.down_after_lost_answer = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make(store).apply(load_document()))


def test_superseded_edit_is_found_in_the_history(store: FakeStore) -> None:
    """Guards against reporting a conflict for an edit that another edit replaced later."""
    ops = make(store)
    original_get = store.get
    raced = False

    async def get_after_race(key: str) -> object:
        nonlocal raced
        if store.revision == 1 and not raced:
            raced = True
            await make(store, "eva").apply(load_document(9))
        return await original_get(key)

    store.lose_answers = 1
    store.get = get_after_race  # type: ignore[method-assign, assignment]
    assert run(lambda: ops.apply(load_document(3))).state is EditState.SUPERSEDED


def test_outage_is_unreachable(store: FakeStore) -> None:
    """Guards against an outage that looks like any other failure."""
    store.down = True
    with pytest.raises(operations.UnreachableError):
        run(lambda: make(store).apply(load_document()))


def test_invalid_document_is_not_written(store: FakeStore) -> None:
    """Guards against a document that skips validation on its way to the store."""
    with pytest.raises(operations.InvalidDocument):
        run(lambda: make(store).apply(load_document(-1)))
    assert store.revision == 0


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes"])
def test_small_edit_happens_once_despite_lost_answers(store: FakeStore, fault: str) -> None:
    """Guards against a drain that is declared twice after a lost answer."""
    setattr(store, fault, 1)

    def add(value: bytes | None) -> bytes:
        return value if value and b"[drain]" in value else (value or b"") + b"[drain]"

    stored = run(lambda: make(store).edit("drains", add))
    assert stored.value == b"[drain]"


def test_small_edit_without_read_back_is_unknown(store: FakeStore) -> None:
    """Guards against a declared drain that is reported as not written."""
    store.lose_answers, store.down_after_lost_answer = 1, True
    with pytest.raises(operations.EditOutcomeUnknown):
        run(lambda: make(store).edit("drains", lambda value: b"[drain]"))
