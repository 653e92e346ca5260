"""Bound the memory, connections and event-loop work of untrusted callers."""

from berylchute.callerlimits.allocator import fix_mapping_threshold
from berylchute.callerlimits.callermetrics import CallerState, caller_metrics
from berylchute.callerlimits.causes import CallerEventLog, Cause
from berylchute.callerlimits.connections import (
    ClosableConnection,
    ClosingRank,
    ConnectionBounds,
    ConnectionLimit,
    bound_connections,
    choose_to_close,
)
from berylchute.callerlimits.costs import (
    CONNECTION_BYTES,
    WAITING_ANSWER_BYTES,
    cost_incomplete_head,
    cost_request,
)
from berylchute.callerlimits.dropping import SMALL_BYTES, AccountBounds, BodyStage, choose_dropped
from berylchute.callerlimits.guard import MAX_FDS_DEFAULT, CallerGuard
from berylchute.callerlimits.heads import UNPACKED_LINES_MAX, HeaderLines
from berylchute.callerlimits.limits import RequestLimits
from berylchute.callerlimits.pace import PART_BYTES, REQUEST_EVENTS, ReadPace

__all__ = [
    "CONNECTION_BYTES",
    "MAX_FDS_DEFAULT",
    "PART_BYTES",
    "REQUEST_EVENTS",
    "SMALL_BYTES",
    "UNPACKED_LINES_MAX",
    "WAITING_ANSWER_BYTES",
    "AccountBounds",
    "BodyStage",
    "CallerEventLog",
    "CallerGuard",
    "CallerState",
    "Cause",
    "ClosableConnection",
    "ClosingRank",
    "ConnectionBounds",
    "ConnectionLimit",
    "HeaderLines",
    "ReadPace",
    "RequestLimits",
    "bound_connections",
    "caller_metrics",
    "choose_dropped",
    "choose_to_close",
    "cost_incomplete_head",
    "cost_request",
    "fix_mapping_threshold",
]
