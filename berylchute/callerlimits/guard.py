"""Compose what bounds the callers of one process, at all of its addresses together."""

import logging
import resource
from collections.abc import Callable, Mapping
from typing import Protocol

from berylchute.callerlimits.callermetrics import CallerState
from berylchute.callerlimits.causes import CallerEventLog
from berylchute.callerlimits.connections import ConnectionLimit, bound_connections
from berylchute.callerlimits.dropping import BodyStage
from berylchute.callerlimits.limits import RequestLimits

__all__ = ["CallerGuard"]

logger = logging.getLogger(__name__)

MAX_FDS_DEFAULT = 1_024
MEMORY_DEFAULT_MB = 256.0


class Account(Protocol):
    """A memory account as far as metrics need it."""

    dropped: int

    def held_by_stage(self) -> Mapping[BodyStage, int]:
        """Return the bytes that are held in each stage."""
        ...


class CallerGuard:
    """The limits of callers, the number of their connections, and counts of what was refused."""

    def __init__(
        self,
        now_s: Callable[[], float],
        *,
        limits: RequestLimits | None = None,
        max_fds: int = MAX_FDS_DEFAULT,
        memory_mb: float = MEMORY_DEFAULT_MB,
    ) -> None:
        self.limits = limits or RequestLimits()
        # The settings may allow more than the process was started with.
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit != resource.RLIM_INFINITY:
            max_fds = min(max_fds, soft_limit)
        self.bounds = bound_connections(max_fds, memory_mb)
        self.events = CallerEventLog(logger, now_s)
        self.connections = ConnectionLimit(self.bounds.callers_max, now_s)

    def read_state(self, account: Account) -> CallerState:
        """Return the state for the metrics collector."""
        return CallerState(
            refusals=self.events.counts,
            held_bytes=account.held_by_stage(),
            holders_dropped=account.dropped,
            connections=len(self.connections),
            connections_max=self.bounds.callers_max,
        )
