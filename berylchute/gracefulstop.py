"""Stop the edge program without losing requests."""

import anyio

from berylchute.callers import CallerServer
from berylchute.eventlog import EventLog
from berylchute.node import Node
from berylchute.requesthandler import RequestHandler
from berylchute.stoptimes import StopTimes
from berylchute.types import Clock

__all__ = ["stop_gracefully"]

# After the stop signal, connections are kept open for this long, until most callers have refreshed
# the directory: half of the time for which they cache its answer.
STOP_CLOSE_DELAY_S = 1.0
# Then each connection is closed after its next answer. New ones are accepted until this time after
# the signal, since some callers cache the directory three times as long as its TTL.
STOP_LISTEN_S = 3.5
STOP_POLL_S = 0.05
# Time reserved for the exit itself, with a margin for a busy host.
STOP_MARGIN_S = 0.4


async def stop_gracefully(
    node: Node,
    handler: RequestHandler,
    caller_server: CallerServer,
    clock: Clock,
    log: EventLog,
    grace_s: float,
) -> None:
    """Leave the directory, finish requests in flight, and close connections step by step."""
    started_s = clock.now_s()
    log.event("stopping", in_flight=handler.in_flight)
    deadline_s = started_s + grace_s - STOP_MARGIN_S
    handler.stop_times = StopTimes(started_s + grace_s / 2.0, deadline_s)
    node.set_ready(False)
    node.announce_leaving()
    await anyio.sleep(STOP_CLOSE_DELAY_S)
    caller_server.is_closing = True
    is_listening = True
    while clock.now_s() < deadline_s:
        caller_server.close_idle()
        elapsed_s = clock.now_s() - started_s
        if is_listening and elapsed_s >= min(STOP_LISTEN_S, grace_s / 2.0):
            is_listening = False
            caller_server.stop_listening()
        if not is_listening and not caller_server.connections:
            return
        await anyio.sleep(STOP_POLL_S)
    handler.end_unfinished()
    await anyio.sleep(STOP_POLL_S)
