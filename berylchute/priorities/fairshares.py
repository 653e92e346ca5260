"""Share the room of a rank among organisations by max-min fairness.

Handles load: one organisation at several times its usual load while servers are short of room.
"""

from collections.abc import Iterable, Mapping

__all__ = ["excess_ratios", "fair_level"]


def fair_level(demands: Iterable[float], room: float) -> float:
    """Return the most that each demand gets if `room` is shared max-min fair."""
    remaining = sorted(demands)
    for index, demand in enumerate(remaining):
        level = room / (len(remaining) - index)
        if demand > level:
            return level
        room -= demand
    return remaining[-1] if remaining else 0.0


def excess_ratios(demands: Mapping[str, float], room: float, factor: float) -> dict[str, float]:
    """Return the ratio of its requests that each organisation sends beyond its fair share.

    Organisations up to `factor` times their fair share are left out, and so are requests without
    an organisation: their callers are unrelated. No fair share is below the smallest demand: if
    all organisations demand the same, none of them is in excess.
    """
    named = {name: demand for name, demand in demands.items() if name}
    if len(named) < 2:
        return {}
    level = fair_level(named.values(), max(0.0, room - demands.get("", 0.0)))
    level = max(level, min(named.values()))
    return {name: 1.0 - level / demand for name, demand in named.items() if demand > factor * level}
