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
