"""Print the simulated days of bench runs as a Markdown table.

Usage: `python -m lab.journal journal/ENTRY.json...`
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import attrs
import cyclopts
import msgspec

__all__ = ["DayRow", "read_days"]

PRICES_SHOWN_MAX = 3


@attrs.frozen
class DayRow:
    """One simulated day.

    `worth` is the day's score `G`, `worst_zone_ratio` the lowest value of a zone over the mean of
    all zones that have one, and `prices` the largest costs by name.
    """

    name: str
    worth: float
    served: float
    worst_zone_ratio: float
    worst_windows: float
    prices: tuple[str, ...]
    problems: tuple[str, ...]

    def markdown(self) -> str:
        """Return the day as one row of a Markdown table."""
        cells = [
            self.name,
            f"{self.worth:.3f}",
            f"{self.served:.3f}",
            f"{self.worst_zone_ratio:.2f}",
            f"{self.worst_windows:.2f}",
            ", ".join(self.prices),
            ", ".join(self.problems) or "none",
        ]
        return f"| {' | '.join(cells)} |"


def read_days(entry: bytes) -> Sequence[DayRow]:
    """Decode a journal entry (JSON) and return one row per day."""
    return [_day_row(day) for day in msgspec.json.decode(entry)["days"]]


def _day_row(day: dict[str, Any]) -> DayRow:
    zone_values = [zone for zone in day["by_zone"] if zone is not None]
    worst_windows = [value for name, _, value in day["parts"] if name == "worst windows"]
    prices = sorted(day["prices"], key=lambda price: price[2], reverse=True)[:PRICES_SHOWN_MAX]
    problems = [f"{rule} {count}" for rule, count in (day["rules"] or {}).items()]
    if day["fault"]:
        problems.append(str(day["fault"]))
    return DayRow(
        name=day["name"],
        worth=day["G"],
        served=day["served"],
        worst_zone_ratio=(
            min(zone_values) / (sum(zone_values) / len(zone_values)) if any(zone_values) else 0.0
        ),
        worst_windows=worst_windows[0] if worst_windows else 0.0,
        prices=tuple(f"{name} {cost:.3f}" for name, _, cost in prices),
        problems=tuple(problems),
    )


def main(entries: Annotated[list[Path], cyclopts.Parameter(help="journal entries")]) -> None:
    """Print one Markdown table with the days of all entries."""
    print("| day | worth | served | worst zone / mean | worst windows | prices | broken |")
    print("|---|---|---|---|---|---|---|")
    for path in entries:
        for day in read_days(path.read_bytes()):
            print(day.markdown())


if __name__ == "__main__":
    cyclopts.run(main)
