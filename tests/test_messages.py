"""Check the message codec."""

from random import Random

import pytest

from berylchute import messages
from berylchute.exceptions import PeerError
from berylchute.limitreports import NO_LIMIT
from berylchute.sharedobjects import encoded_bytes_max
from tests.test_directory import member


def test_message_survives_round_trip() -> None:
    """Guard against a message type that can be encoded but not decoded."""
    message = messages.ObjectPush(key="config", version=7, value=b"{}")
    assert messages.decode(messages.encode(message)) == message


def test_invalid_body_is_a_peer_error() -> None:
    """Guard against a malformed message that stops the receiving task."""
    with pytest.raises(PeerError):
        messages.decode([b"ObjectPush", b"\xc1"])


def test_repeated_values_are_deflated() -> None:
    """Guard against messages that are sent without compression of their repeated content."""
    message = messages.ObjectPush(key="config", version=7, value=b'{"name":"saldo"}' * 500)
    frames = messages.encode(message)
    assert len(frames[1]) < 500
    assert messages.decode(frames) == message


def test_object_of_the_largest_size_passes_between_members() -> None:
    # Guard against a configuration that the store accepts and members can't send to each other.
    object_bytes = encoded_bytes_max(1_048_576)
    for value in (bytes(object_bytes), Random(1).randbytes(object_bytes)):
        push = messages.ObjectPush(key="routes", version=1, value=value)
        frames = messages.encode(push)
        body_bytes_max = object_bytes + messages.MESSAGE_ROOM_BYTES
        assert messages.decode(frames, body_bytes_max) == push
        assert sum(map(len, frames)) <= body_bytes_max


def test_inflation_is_bounded() -> None:
    """Guard against a small message that exhausts the receiver's memory when inflated."""
    frames = messages.encode(messages.ObjectPush(key="config", version=7, value=bytes(3_000_000)))
    with pytest.raises(PeerError):
        messages.decode(frames)


def test_truncated_deflated_body_is_a_peer_error() -> None:
    """Guard against accepting a truncated message as a complete one."""
    name, body = messages.encode(messages.ObjectPush(key="config", version=7, value=bytes(900)))
    with pytest.raises(PeerError):
        messages.decode([name, body[:-4]])
    with pytest.raises(PeerError):
        messages.decode([])


def test_limits_of_servers_and_their_ends_are_sent_unchanged() -> None:
    """Guard against a reported end of a limit that the encoding can't express."""
    status = member("m1", "za", "ra", server_limits={"i-1": 13.8, "i-2": NO_LIMIT})
    message = messages.Heartbeat(status.record, {})
    assert messages.decode(messages.encode(message)) == message
