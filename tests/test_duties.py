"""Guard that few members follow the store, that others take over, and cold servers have one."""

import pytest

from berylchute.duties import WATCHERS, ColdSenders, is_watcher
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


def settle(watching: set[str], unable: frozenset[str], lost: frozenset[str]) -> set[str]:
    """Let each member decide in turn until nothing changes."""
    for _ in range(len(NAMES)):
        for name in NAMES:
            wanted = is_watcher(name, fleet(watching, lost))
            able = name not in unable and name not in lost
            (watching.add if wanted and able else watching.discard)(name)
    return watching


def test_few_members_follow_the_store() -> None:
    assert len(settle(set(NAMES), frozenset(), frozenset())) == WATCHERS
    assert len(settle(set(), frozenset(), frozenset())) == WATCHERS


def test_others_take_over_for_members_that_lost_the_store_or_are_gone() -> None:
    first = settle(set(NAMES), frozenset(), frozenset())
    turned_away = settle(set(first), frozenset(first), frozenset())
    assert len(turned_away) == WATCHERS and not turned_away & first
    gone = settle(set(first), frozenset(), frozenset(first))
    assert len(gone) == WATCHERS and not gone & first


def test_cold_server_has_one_sender_that_moves_only_with_it() -> None:
    everyone = fleet(set())
    members = {name: ColdSenders(name) for name in NAMES}
    senders = [name for name in NAMES if members[name].is_own("i-1", everyone)]
    assert len(senders) == 1
    # The same objects decide anew once a member is gone.
    others = fleet(set(), lost=frozenset(senders))
    assert sum(members[n].is_own("i-1", others) for n in NAMES if n not in senders) == 1
    spread = {n for s in range(50) for n in NAMES if members[n].is_own(f"i-{s}", everyone)}
    assert len(spread) > len(NAMES) // 2


def test_choice_of_a_sender_is_kept_while_the_same_members_live(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sender = ColdSenders("m1")
    first = sender.is_own("i-1", fleet(set()))
    monkeypatch.setattr("berylchute.duties._weight", _fail)
    assert sender.is_own("i-1", fleet({"m2"})) is first  # another list of the same members


def _fail(_key: str, _host_id: str) -> bytes:
    raise AssertionError("chosen again")
