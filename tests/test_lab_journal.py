"""Check the table of played days."""

import json

from lab.journal import read_days

DAY = {
    "name": "quiet-1",
    "G": 0.7516,
    "served": 0.8882,
    "by_zone": [0.8, None, 1.0],
    "parts": [["whole day", 0.2, 0.9], ["worst windows", 0.28, 0.71]],
    "prices": [["a", 1.0, 0.001], ["b", 2.0, 0.03], ["c", 3.0, 0.02], ["d", 4.0, 0.0]],
    "rules": {"DRAIN": 2},
    "fault": None,
}


def test_day_is_one_row_with_its_largest_prices_first() -> None:
    (row,) = read_days(json.dumps({"days": [DAY]}).encode())
    expected = "| quiet-1 | 0.752 | 0.888 | 0.89 | 0.71 | b 0.030, c 0.020, a 0.001 | DRAIN 2 |"
    assert row.markdown() == expected


def test_day_that_was_not_played_to_its_end_tells_why() -> None:
    fault = {**DAY, "rules": {}, "fault": "ended early", "by_zone": []}
    (row,) = read_days(json.dumps({"days": [fault]}).encode())
    assert row.markdown().endswith("| ended early |") and row.worst_zone_ratio == 0.0
