"""Check the computed effect of changes on slots."""

from test_validation import load_example

from berylchute import impact


def test_drained_zone_removes_only_its_slots() -> None:
    """Guard against a dry run of a zone drain that reports wrong regions or numbers of slots."""
    before = load_example()
    after = impact.without_drained_servers(before, "availability_zone", "xela-a")
    rows = impact.slot_changes(before, after, {"saldo-01": 9, "saldo-02": 5})
    saldo = next(row for row in rows if row.service == "saldo")
    assert {row.region for row in rows} == {"occidente"}
    assert saldo.slots_before - saldo.slots_after == 4 * 9
    assert saldo.free_after == saldo.slots_after - 14
