"""Count the faults in force, so that one that ends leaves the others in force."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Generic, TypeVar

__all__ = ["OverlappingFaults"]

_Fault = TypeVar("_Fault")


class OverlappingFaults(Generic[_Fault]):
    """The faults in force of one proxy, store or server."""

    def __init__(self) -> None:
        self._counts: Counter[_Fault] = Counter()

    def __contains__(self, fault: _Fault) -> bool:
        """Return whether a fault is in force."""
        return self._counts[fault] > 0

    @contextmanager
    def inject(self, fault: _Fault) -> Iterator[None]:
        """Keep a fault in force until the end of the context."""
        self._counts[fault] += 1
        try:
            yield
        finally:
            self._counts[fault] -= 1
