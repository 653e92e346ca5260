"""Choose when refused callers may return."""

from random import Random

from berylchute.callers import Header

__all__ = [
    "STARTING_RETRY_AFTER_S",
    "STOPPING_RETRY_AFTER_S",
    "choose_delay_s",
    "make_retry_after",
]

# Retry-After while no configuration is known: a few round trips to a store across a continent.
STARTING_RETRY_AFTER_S = 0.3
# Retry-After of a stopping host: the others have room for its callers at once.
STOPPING_RETRY_AFTER_S = 0.05
# Range of the delay as a ratio of the caller's remaining time. Callers wait at most a third of it,
# and shorter delays bring no gain (docs/MEASUREMENTS.md).
DELAY_RATIO_RANGE = (0.2, 0.33)


def choose_delay_s(remaining_s: float, rng: Random, *, earliest_s: float = 0.0) -> float:
    """Return the time after which a refused caller should return, at least `earliest_s`.

    Answers load: a crowd that is refused at once. The delay is random, so that the crowd does not
    return at once.
    """
    first_ratio, last_ratio = DELAY_RATIO_RANGE
    first_s = max(earliest_s, first_ratio * remaining_s)
    return first_s + rng.random() * (last_ratio - first_ratio) * remaining_s


def make_retry_after(delay_s: float) -> Header:
    """Return the header Retry-After, in seconds with fractions."""
    return (b"Retry-After", b"%.3f" % delay_s)
