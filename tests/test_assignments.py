"""Check which members watch the store and which one sends to a cold server."""

import pytest

from berylchute.assignments import WATCHER_COUNT, ColdSenderSelector, should_watch_store
from berylchute.types import MemberState, MemberStatus
from tests.test_directory import member

NAMES = [f"m{number}" for number in range(1, 12)]


def fleet(watching: set[str], lost: frozenset[str] = frozenset()) -> list[MemberStatus]:
    return [
        member(
            name,
            "za",
            "ra",
            watching=name in watching,
            state=MemberState.GONE if name in lost else MemberState.LIVE,
        )
        for name in NAMES
    ]


def find_watchers(watching: set[str], unable: frozenset[str], lost: frozenset[str]) -> set[str]:
    """Let each member decide in turn, often enough to converge; return the watchers."""
    for _ in range(len(NAMES)):
        for name in NAMES:
            wanted = should_watch_store(name, fleet(watching, lost))
            able = name not in unable and name not in lost
            (watching.add if wanted and able else watching.discard)(name)
    return watching


def test_few_members_watch_the_store() -> None:
    # Guard against store overload by watches of all members, and members that all wait for others
    # to watch.
    assert len(find_watchers(set(NAMES), frozenset(), frozenset())) == WATCHER_COUNT
    assert len(find_watchers(set(), frozenset(), frozenset())) == WATCHER_COUNT


def test_others_take_over_for_members_that_lost_the_store_or_are_gone() -> None:
    # Guard against members that miss changes after the watchers have lost the store or have
    # stopped.
    first = find_watchers(set(NAMES), frozenset(), frozenset())
    replacements = find_watchers(set(first), frozenset(first), frozenset())
    assert len(replacements) == WATCHER_COUNT and not replacements & first
    gone = find_watchers(set(first), frozenset(), frozenset(first))
    assert len(gone) == WATCHER_COUNT and not gone & first


def test_cold_server_has_one_sender_that_moves_only_with_it() -> None:
    # Guard against several senders to a cold server or none after the sender has stopped, and one
    # member that sends to all cold servers.
    everyone = fleet(set())
    selectors = {name: ColdSenderSelector(name) for name in NAMES}
    senders = [name for name in NAMES if selectors[name].is_cold_sender("i-1", everyone)]
    assert len(senders) == 1
    # The same selectors select another sender when the first one is gone.
    others = fleet(set(), lost=frozenset(senders))
    assert sum(selectors[n].is_cold_sender("i-1", others) for n in NAMES if n not in senders) == 1
    spread = {
        n for s in range(50) for n in NAMES if selectors[n].is_cold_sender(f"i-{s}", everyone)
    }
    assert len(spread) > len(NAMES) // 2


def test_sender_is_cached_while_the_same_members_live(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guard against hashing for each request whenever a new list with the same members arrives.
    selector = ColdSenderSelector("m1")
    first = selector.is_cold_sender("i-1", fleet(set()))
    monkeypatch.setattr("berylchute.assignments._rendezvous_weight", _fail)
    assert selector.is_cold_sender("i-1", fleet({"m2"})) is first  # a new list, the same members


def _fail(_key: str, _host_id: str) -> bytes:
    raise AssertionError("the sender was selected again")
