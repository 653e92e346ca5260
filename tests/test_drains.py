"""Check declaration, storage and look-up of drains."""

import pytest

from berylchute import drains
from berylchute.drains import Drain, DrainSet, DrainState, DrainTarget
from berylchute.exceptions import ConfigError

SERVER_DRAIN = Drain("d1", DrainTarget.SERVER, "saldo-01")


def test_declaration_is_idempotent() -> None:
    """Guard against a drain that is stored twice when a declaration is retried.

    The response to the first declaration is lost, so the operator sends it again.
    """
    declared_once = drains.declare((), SERVER_DRAIN)
    assert drains.declare(declared_once, SERVER_DRAIN) == declared_once


def test_stopped_drain_no_longer_drains() -> None:
    """Guard against a server that gets no requests after its drain was stopped."""
    drain_set, declared = DrainSet(), drains.declare((), SERVER_DRAIN)
    drain_set.update_from_object(drains.encode(declared))
    assert drain_set.is_draining("server", "saldo-01")
    assert not drain_set.is_draining("region", "saldo-01")
    drain_set.update_from_object(drains.encode(drains.stop(declared, "d1")))
    assert not drain_set.is_draining("server", "saldo-01")


def test_malformed_object_keeps_active_drains() -> None:
    """Guard against drained servers that get requests again after a malformed object."""
    drain_set = DrainSet()
    drain_set.update_from_object(drains.encode((SERVER_DRAIN,)))
    with pytest.raises(ConfigError):
        drain_set.update_from_object(b'[{"id": 3}]')
    assert drain_set.is_draining("server", "saldo-01")


def test_old_stopped_drains_are_dropped_but_no_active_one() -> None:
    """Guard against an object above the store's size limit, and the loss of an active drain.

    Stopped drains accumulate in the object; the oldest are dropped when it is encoded.
    """
    stopped_drains = tuple(
        Drain(f"s{i}", DrainTarget.SERVER, "x", DrainState.STOPPED)
        for i in range(drains.STOPPED_DRAINS_MAX + 5)
    )
    kept = drains.decode(drains.encode((SERVER_DRAIN, *stopped_drains)))
    assert len(kept) == drains.STOPPED_DRAINS_MAX + 1
    assert SERVER_DRAIN in kept
    with pytest.raises(ConfigError):
        drains.stop(kept, "s0")
