"""Check declared drains."""

import pytest

from berylchute import drains
from berylchute.drains import Drain, DrainSet, DrainState, DrainTarget
from berylchute.exceptions import ConfigError

SALDO = Drain("d1", DrainTarget.SERVER, "saldo-01")


def test_declaration_is_idempotent() -> None:
    """Guards against a drain declared twice after a lost answer."""
    once = drains.declare((), SALDO)
    assert drains.declare(once, SALDO) == once


def test_stopped_drain_no_longer_drains() -> None:
    """Guards against a server that stays out of use after its drain was stopped."""
    view, declared = DrainSet(), drains.declare((), SALDO)
    view.replace(drains.encode(declared))
    assert view.is_draining("server", "saldo-01")
    assert not view.is_draining("region", "saldo-01")
    view.replace(drains.encode(drains.stop(declared, "d1")))
    assert not view.is_draining("server", "saldo-01")


def test_broken_object_keeps_the_drains_in_force() -> None:
    """Guards against a broken object that puts drained servers back in use."""
    view = DrainSet()
    view.replace(drains.encode((SALDO,)))
    with pytest.raises(ConfigError):
        view.replace(b'[{"id": 3}]')
    assert view.is_draining("server", "saldo-01")


def test_old_stopped_drains_are_dropped_but_none_in_force() -> None:
    """Guards against an object that outgrows the store or loses a drain in force."""
    many = tuple(
        Drain(f"s{i}", DrainTarget.SERVER, "x", DrainState.STOPPED)
        for i in range(drains.STOPPED_KEPT_MAX + 5)
    )
    kept = drains.decode(drains.encode((SALDO, *many)))
    assert len(kept) == drains.STOPPED_KEPT_MAX + 1
    assert SALDO in kept
    with pytest.raises(ConfigError):
        drains.stop(kept, "s0")
