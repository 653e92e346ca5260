"""Check that no unit is counted twice, lost, or used after a deadline or an expiry."""

from berylchute.ledger import Ledger
from berylchute.types import CapacityLedger, ResourceUnits

SLOT = "server:a"


def wanted(units: int, resource: str = SLOT) -> list[ResourceUnits]:
    return [ResourceUnits(resource, units)]


def test_ledger_is_a_capacity_ledger() -> None:
    """Guard against method signatures that differ from the protocol; mypy checks the annotation."""
    ledger: CapacityLedger = Ledger({SLOT: 1})
    assert ledger.free_units(SLOT, 1.0, 0.0) == 1


def test_acquire_gets_all_units_or_none() -> None:
    """Guard against leaked units when only some of the requested resources have enough."""
    ledger = Ledger({SLOT: 2, "region:r": 1})
    both = [ResourceUnits(SLOT, 1), ResourceUnits("region:r", 2)]
    assert ledger.try_acquire(both, 1.0, 0.0) is None
    assert ledger.try_acquire([*wanted(1), *wanted(2)], 1.0, 0.0) is None
    assert ledger.free_units(SLOT, 1.0, 0.0) == 2


def test_abandoned_units_stay_acquired_until_the_deadline() -> None:
    """Guard against an overloaded server: a request that timed out here may still run there."""
    ledger = Ledger({SLOT: 1})
    reservation = ledger.try_acquire(wanted(1), 5.0, 0.0)
    assert reservation is not None
    ledger.keep_until_deadline(reservation)
    assert ledger.free_units(SLOT, 9.0, 4.9) == 0
    assert ledger.free_units(SLOT, 9.0, 5.0) == 1


def test_late_or_repeated_release_frees_units_once() -> None:
    """Guard against freeing the unit of another request by a release after the deadline."""
    ledger = Ledger({SLOT: 1})
    first = ledger.try_acquire(wanted(1), 1.0, 0.0)
    second = ledger.try_acquire(wanted(1), 3.0, 2.0)
    assert first is not None and second is not None
    ledger.release(first)
    assert ledger.free_units(SLOT, 9.0, 2.5) == 0
    ledger.release(second)
    ledger.release(second)
    assert ledger.free_units(SLOT, 9.0, 2.5) == 1


def test_borrowed_unit_needs_a_loan_that_outlasts_the_deadline() -> None:
    """Guard against a request that still uses a borrowed unit after the lender reclaimed it."""
    ledger = Ledger({})
    ledger.add_borrowed("b.1.1", SLOT, 1, expires_s=4.0)
    assert ledger.try_acquire(wanted(1), 4.1, 0.0) is None
    assert ledger.try_acquire(wanted(1), 4.0, 0.0) is not None


def test_lent_units_are_free_only_after_the_reclaim_time() -> None:
    """Guard against a lender that uses lent units before the borrower has stopped using them."""
    ledger = Ledger({SLOT: 3})
    ledger.record_lent("b.1.1", SLOT, 2, reclaim_s=10.0)
    assert ledger.free_units(SLOT, 99.0, 9.9) == 1
    assert ledger.free_units(SLOT, 99.0, 10.0) == 3


def test_recent_peak_use_is_not_lent() -> None:
    """Guard against a lender that lends units it needs again soon, or keeps units that are idle."""
    ledger = Ledger({SLOT: 4})
    reservation = ledger.try_acquire(wanted(3), 9.0, 0.0)
    assert reservation is not None
    ledger.release(reservation)
    assert ledger.lendable_units(SLOT, 0.1) == 1
    assert ledger.lendable_units(SLOT, 1.0) == 4


def test_host_that_lacks_units_does_not_lend() -> None:
    """Guard against two busy hosts that lend the same unit to each other in turn."""
    ledger = Ledger({SLOT: 2})
    ledger.record_demand(wanted(3), 2.0, 0.0)
    assert [d.units for d in ledger.pop_unmet_demand(0.0)] == [1]
    assert ledger.lendable_units(SLOT, 0.1) == 0
    assert ledger.lendable_units(SLOT, 0.6) == 2
