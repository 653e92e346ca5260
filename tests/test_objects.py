"""Check which objects the replica stores and which it pulls."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylchute.membership import Membership
from berylchute.messages import Message, ObjectDigest
from berylchute.objects import OBJECT_KEYS, PULL_RETRY_S, STORE_VALUE_BYTES_MAX, ObjectReplica
from berylchute.replication import Replication
from lab.fleet import make_member_record

DELIVERIES = st.lists(st.tuples(st.sampled_from(OBJECT_KEYS), st.integers(1, 30)), max_size=60)


@given(DELIVERIES)
def test_no_delivery_order_lowers_a_version(deliveries: list[tuple[str, int]]) -> None:
    """Guard against a late or duplicate delivery that restores an old object."""
    replica = ObjectReplica()
    highest: dict[str, int] = {}
    for key, version in deliveries:
        is_newer = version > highest.get(key, 0)
        assert replica.apply(key, version, b"%d" % version) is is_newer
        highest[key] = max(version, highest.get(key, 0))
        stored = replica.get(key)
        assert stored is not None and (stored.version, stored.value) == (
            highest[key],
            b"%d" % highest[key],
        )
    assert replica.digest() == highest


def test_pull_asks_one_peer_until_the_retry_time() -> None:
    """Guard against pulling the same value from every peer, and against never retrying a pull."""
    replica = ObjectReplica()
    assert replica.start_pull({"config": 4}, now_s=0.0) == ("config",)
    assert replica.start_pull({"config": 4}, now_s=0.1) == ()
    assert replica.start_pull({"config": 5}, now_s=0.1) == ("config",)
    assert replica.start_pull({"config": 5}, now_s=0.1 + PULL_RETRY_S) == ("config",)
    replica.apply("config", 5, b"{}")
    assert replica.start_pull({"config": 5}, now_s=9.0) == ()


def test_unknown_keys_and_oversized_values_are_rejected() -> None:
    """Guard against a peer whose objects exhaust the memory of all members."""
    replica = ObjectReplica()
    assert not replica.apply("other", 1, b"{}")
    assert not replica.apply("config", 1, b"0" * (STORE_VALUE_BYTES_MAX + 1))
    assert replica.start_pull({"other": 1}, now_s=0.0) == ()
    assert replica.pushes_for(["config", "other"]) == ()


def test_rejected_value_is_logged_once_and_not_pulled(caplog: pytest.LogCaptureFixture) -> None:
    # Guard against a configuration that doesn't come into force without a word, and against members
    # that ask each other for it forever.
    replica = ObjectReplica(value_bytes_max=10)
    assert replica.apply("config", 3, bytes(10))
    for _ in range(3):
        assert not replica.apply("config", 4, bytes(11))
    assert replica.start_pull({"config": 4}, now_s=0.0) == ()
    assert replica.start_pull({"config": 5}, now_s=0.0) == ("config",)
    assert [record.getMessage() for record in caplog.records] == [
        "object config version 4 has 11 bytes, more than 10: keeping version 3"
    ]
    assert replica.version("config") == 3


def test_peers_with_different_keys_do_not_exchange_digests_forever() -> None:
    """Guard against a loop of digests between members of two builds that hold different keys."""
    replies = []
    for keys in (("config", "routes"), ("config", "claims")):
        record = make_member_record(keys[1], "z", "r", 1)
        replica = ObjectReplica(keys)
        replica.apply(keys[1], 3, b"{}")
        replies.append(Replication(Membership(record, (), Random(1), 0.0), replica, lambda _: None))
    first, second = replies
    message: Message = ObjectDigest("routes", first.objects.digest())
    for receiver in (second, first, second):
        answers = receiver.handle(message, 1.0)
        if not answers:
            return
        message = answers[0].message
    pytest.fail(f"still exchanging after three messages: {message}")
