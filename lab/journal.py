"""Print the days of bench runs as a table: `python -m lab.journal journal/ENTRY.json...`."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import attrs
import cyclopts
import msgspec

__all__ = ["DayRow", "read_days"]

PRICES_SHOWN = 3


@attrs.frozen
class DayRow:
    """One played day; `worst_zone_ratio` is the worst zone's part of the zones' mean."""

    name: str
    worth: float
    served: float
    worst_zone_ratio: float
    worst_windows: float
    prices: tuple[str, ...]
    problems: tuple[str, ...]

    def markdown(self) -> str:
        """Return the row of a table."""
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
    """Return the days of one journal entry."""
    return [_row(day) for day in msgspec.json.decode(entry)["days"]]


def _row(day: dict[str, Any]) -> DayRow:
    zones = [zone for zone in day["by_zone"] if zone is not None]
    windows = [value for name, _, value in day["parts"] if name == "worst windows"]
    prices = sorted(day["prices"], key=lambda price: price[2], reverse=True)[:PRICES_SHOWN]
    problems = [f"{rule} {count}" for rule, count in (day["rules"] or {}).items()]
    if day["fault"]:
        problems.append(str(day["fault"]))
    return DayRow(
        name=day["name"],
        worth=day["G"],
        served=day["served"],
        worst_zone_ratio=min(zones) / (sum(zones) / len(zones)) if any(zones) else 0.0,
        worst_windows=windows[0] if windows else 0.0,
        prices=tuple(f"{name} {cost:.3f}" for name, _, cost in prices),
        problems=tuple(problems),
    )


def main(entries: Annotated[list[Path], cyclopts.Parameter(help="journal entries")]) -> None:
    """Print one table for all entries."""
    print("| day | worth | served | worst zone / mean | worst windows | prices | broken |")
    print("|---|---|---|---|---|---|---|")
    for path in entries:
        for day in read_days(path.read_bytes()):
            print(day.markdown())


if __name__ == "__main__":
    cyclopts.run(main)
