"""Bound the memory, connections and event-loop work of untrusted callers."""

from berylchute.callerlimits.causes import CallerEventLog, Cause
from berylchute.callerlimits.costs import (
    CONNECTION_BYTES,
    WAITING_ANSWER_BYTES,
    cost_incomplete_head,
    cost_request,
)
from berylchute.callerlimits.dropping import SMALL_BYTES, AccountBounds, BodyStage, choose_dropped
from berylchute.callerlimits.heads import UNPACKED_LINES_MAX, HeaderLines
from berylchute.callerlimits.limits import RequestLimits
from berylchute.callerlimits.pace import PART_BYTES, ReadPace

__all__ = [
    "CONNECTION_BYTES",
    "PART_BYTES",
    "SMALL_BYTES",
    "UNPACKED_LINES_MAX",
    "WAITING_ANSWER_BYTES",
    "AccountBounds",
    "BodyStage",
    "CallerEventLog",
    "Cause",
    "HeaderLines",
    "ReadPace",
    "RequestLimits",
    "choose_dropped",
    "cost_incomplete_head",
    "cost_request",
]
