"""Order the servers of a key for one request."""

from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum

import attrs

from berylchute.backends import Preference
from berylchute.servers import Server
from berylchute.spillshare import SpillMode

__all__ = ["Candidates", "SkipReason"]


class SkipReason(StrEnum):
    """Why the first server of a key was not selected; the values appear in events and metrics."""

    UNUSABLE = "unusable"
    COLD = "cold"
    PAUSED = "paused"
    TRIED = "tried"
    OTHER_ZONE = "other_zone"
    RATE_LIMITED = "rate_limited"
    FULL = "full"
    LATE = "late"


@attrs.frozen
class Candidates:
    """The servers of a key; `unusable_reason` returns why one can't be used, whatever its load."""

    preference: Preference
    unusable_reason: Callable[[Server], SkipReason | None]

    def examine(self, mode: SpillMode) -> Iterator[tuple[Server, SkipReason | None]]:
        """Yield the servers in the order of selection, with the reason not to use each.

        The first usable server of the key's region comes first, then those of other regions: with
        two of its region before them, a crowded region refuses requests for which others have room.
        """
        near, far = iter(self.preference.near), iter(self.preference.far)
        firsts = (far, near) if mode is SpillMode.FIRST else (near,)
        for servers in firsts:
            for server in servers:
                reason = self.unusable_reason(server)
                yield server, reason
                if reason is None:
                    break
        if mode is not SpillMode.NEVER:
            yield from ((server, self.unusable_reason(server)) for server in far)
        yield from ((server, self.unusable_reason(server)) for server in near)

    def need_spill(self, full_ratio: float, now_s: float) -> bool:
        """Return whether the key's region has no room for a request and another one has."""
        return not self._has_room(self.preference.near, full_ratio, now_s) and self._has_room(
            self.preference.far, full_ratio, now_s
        )

    def _has_room(self, servers: Iterable[Server], full_ratio: float, now_s: float) -> bool:
        usable = (server for server in servers if self.unusable_reason(server) is None)
        first = next(usable, None)
        return first is not None and first.load(now_s) < full_ratio * first.entry.slots
