"""Check the message codec."""

import pytest

from berylchute import messages
from berylchute.exceptions import PeerError


def test_message_survives_round_trip() -> None:
    """Guards against a message type that is missing from the codec."""
    message = messages.ObjectPush(key="config", version=7, value=b"{}")
    assert messages.decode(messages.encode(message)) == message


def test_garbage_is_a_peer_error() -> None:
    """Guards against a malformed message that ends the receiving task."""
    with pytest.raises(PeerError):
        messages.decode([b"ObjectPush", b"\xc1"])


def test_repeated_values_are_deflated() -> None:
    """Guards against control traffic that consists of field names."""
    message = messages.ObjectPush(key="config", version=7, value=b'{"name":"saldo"}' * 500)
    frames = messages.encode(message)
    assert len(frames[1]) < 500
    assert messages.decode(frames) == message


def test_inflation_is_bounded() -> None:
    """Guards against a small message that fills the memory of the receiver."""
    frames = messages.encode(messages.ObjectPush(key="config", version=7, value=bytes(3_000_000)))
    with pytest.raises(PeerError):
        messages.decode(frames)


def test_cut_deflated_body_is_a_peer_error() -> None:
    """Guards against half a message that is taken for a whole one."""
    name, body = messages.encode(messages.ObjectPush(key="config", version=7, value=bytes(900)))
    with pytest.raises(PeerError):
        messages.decode([name, body[:-4]])
    with pytest.raises(PeerError):
        messages.decode([])
