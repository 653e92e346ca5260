"""Check the planned store calls, and that no order of answers reverts an object."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from berylchute.objects import OBJECT_KEYS, ObjectReplica
from berylchute.storewatch import CALL_PAUSE_S, ReadCall, StoreCall, WatchCall, WatchPlan
from berylchute.types import StoredObject

WAIT_S = 20.0


class FakeStore:
    """Answer calls from lists of accepted versions, either current or stale ones."""

    def __init__(self) -> None:
        self.versions: dict[str, list[int]] = {}
        self.revision = 0

    def accept(self, key: str) -> None:
        """Store a new version of one object."""
        self.revision += 1
        self.versions.setdefault(key, []).append(self.revision)

    def answer(self, call: StoreCall, lag_edits: int = 0) -> list[StoredObject]:
        """Return the answer of a store replica that lags by `lag_edits` edits per key."""
        held = {
            key: versions[max(0, len(versions) - 1 - lag_edits)]
            for key, versions in self.versions.items()
        }
        if isinstance(call, ReadCall):
            held = {key: version for key, version in held.items() if key == call.key}
            after = 0
        else:
            after = call.after_revision if not lag_edits else 0
        return [
            StoredObject(key, version, b"{}") for key, version in held.items() if version > after
        ]


def _record_and_apply(
    plan: WatchPlan, objects: ObjectReplica, call: StoreCall, found: list[StoredObject]
) -> float:
    delay_s = plan.record_answer(call, found)
    for item in found:
        objects.apply(item.key, item.version, item.value)
    return delay_s


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("accept"), st.sampled_from(OBJECT_KEYS)),
        st.tuples(st.sampled_from(["call", "broken", "late", "fail"]), st.just("")),
        st.tuples(st.just("stale"), st.sampled_from(["1", "2", "3"])),
        st.tuples(st.just("restart"), st.just("")),
    ),
    max_size=60,
)


@given(STEPS, st.integers(0, 1000))
def test_stale_answers_never_revert_and_current_ones_catch_up(
    steps: list[tuple[str, str]], seed: int
) -> None:
    """Guard against reverted or missed objects after stale reads, faulty watches and restarts."""
    store, objects = FakeStore(), ObjectReplica()
    plan = WatchPlan(WAIT_S, objects, Random(seed))
    late: list[StoredObject] = []
    before: dict[str, int] = {}
    for step, argument in steps:
        call = plan.next_call(is_relay=True)
        assert call is not None
        if step == "accept":
            store.accept(argument)
        elif step == "restart":
            objects, before = ObjectReplica(), {}
            plan = WatchPlan(WAIT_S, objects, Random(seed))
        elif step == "fail":
            assert 0.0 < plan.record_failure() <= WAIT_S
        elif step == "late":
            late, found = store.answer(call), late
            _record_and_apply(plan, objects, call, found)
        else:
            found = [] if step == "broken" else store.answer(call, int(argument or 0))
            _record_and_apply(plan, objects, call, found)
        assert all(objects.version(key) >= version for key, version in before.items())
        before = dict(objects.digest())
    for _ in range(2 * len(OBJECT_KEYS) + 2):
        call = plan.next_call(is_relay=True)
        assert call is not None
        _record_and_apply(plan, objects, call, store.answer(call))
    assert objects.digest() == {key: versions[-1] for key, versions in store.versions.items()}


def test_broken_watch_is_detected_by_a_read() -> None:
    """Guard against missing all changes when a watch never returns objects."""
    store, objects = FakeStore(), ObjectReplica()
    plan = WatchPlan(WAIT_S, objects, Random(3))
    plan.record_answer(WatchCall(0, 0.0), [])
    for key in OBJECT_KEYS:
        store.accept(key)
    watches = 0
    while objects.digest() != {key: versions[-1] for key, versions in store.versions.items()}:
        call = plan.next_call(is_relay=True)
        assert call is not None
        watches += isinstance(call, WatchCall)
        _record_and_apply(
            plan, objects, call, [] if isinstance(call, WatchCall) else store.answer(call)
        )
    assert watches == 1


def test_only_relays_keep_calling_the_store() -> None:
    """Guard against a store call rate that grows with the fleet."""
    plan = WatchPlan(WAIT_S, ObjectReplica(), Random(1))
    assert plan.next_call(is_relay=False) == WatchCall(0, 0.0)
    plan.record_answer(WatchCall(0, 0.0), [])
    assert plan.next_call(is_relay=False) is None


def test_immediate_stale_answers_are_retried_with_backoff() -> None:
    """Guard against a busy loop on a store that answers every watch at once with old objects."""
    objects = ObjectReplica()
    objects.apply("config", 9, b"{}")
    plan = WatchPlan(WAIT_S, objects, Random(1))
    plan.record_answer(WatchCall(0, 0.0), [])
    old = [StoredObject("config", 8, b"{}")]
    delays = [plan.record_answer(WatchCall(9, WAIT_S), old) for _ in range(12)]
    assert delays[-1] >= WAIT_S / 2
    assert (
        plan.record_answer(WatchCall(9, WAIT_S), [StoredObject("config", 10, b"{}")])
        == CALL_PAUSE_S
    )


@given(st.integers(0, 10_000))
def test_recovery_of_the_store_causes_at_most_three_times_the_steady_calls(seed: int) -> None:
    """Guard against a burst of retries by 12 hosts when the store recovers after one hour."""
    rng = Random(seed)
    window_s, steady_calls = WAIT_S, 12 * 2  # one watch and one read per host and period
    calls = 0
    for _ in range(12):
        plan = WatchPlan(WAIT_S, ObjectReplica(), Random(rng.random()))
        plan.record_answer(WatchCall(0, 0.0), [])
        now_s = 0.0
        while now_s < 3600.0:
            now_s += plan.record_failure()
        while now_s < 3600.0 + window_s:
            call = plan.next_call(is_relay=True)
            assert call is not None
            calls += 1
            now_s += call.wait_s if isinstance(call, WatchCall) else 0.0
            now_s += plan.record_answer(call, [])
    assert calls <= 3 * steady_calls
