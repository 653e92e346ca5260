"""Check the replica of store objects."""

from hypothesis import given
from hypothesis import strategies as st

from berylchute.objects import OBJECT_KEYS, PULL_RETRY_S, VALUE_BYTES_MAX, ObjectReplica

DELIVERIES = st.lists(st.tuples(st.sampled_from(OBJECT_KEYS), st.integers(1, 30)), max_size=60)


@given(DELIVERIES)
def test_no_delivery_order_lowers_a_version(deliveries: list[tuple[str, int]]) -> None:
    """Guards against a late or doubled delivery that brings back an old object."""
    replica = ObjectReplica()
    highest: dict[str, int] = {}
    for key, version in deliveries:
        newer = version > highest.get(key, 0)
        assert replica.apply(key, version, b"%d" % version) is newer
        highest[key] = max(version, highest.get(key, 0))
        held = replica.get(key)
        assert held is not None and (held.version, held.value) == (
            highest[key],
            b"%d" % highest[key],
        )
    assert replica.digest() == highest


def test_pull_asks_one_peer_until_the_retry_time() -> None:
    """Guards against fetching the same value from every peer, and against asking only once."""
    replica = ObjectReplica()
    assert replica.start_pull({"config": 4}, now_s=0.0) == ("config",)
    assert replica.start_pull({"config": 4}, now_s=0.1) == ()
    assert replica.start_pull({"config": 5}, now_s=0.1) == ("config",)
    assert replica.start_pull({"config": 5}, now_s=0.1 + PULL_RETRY_S) == ("config",)
    replica.apply("config", 5, b"{}")
    assert replica.start_pull({"config": 5}, now_s=9.0) == ()


def test_foreign_keys_and_oversized_values_are_refused() -> None:
    """Guards against a peer that fills the memory of the fleet."""
    replica = ObjectReplica()
    assert not replica.apply("other", 1, b"{}")
    assert not replica.apply("config", 1, b"0" * (VALUE_BYTES_MAX + 1))
    assert replica.start_pull({"other": 1}, now_s=0.0) == ()
    assert replica.select(["config", "other"]) == ()
