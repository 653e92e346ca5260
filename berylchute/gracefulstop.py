"""Stop the edge program without losing requests."""

import anyio

from berylchute.callers import CallerServer
from berylchute.eventlog import EventLog
from berylchute.node import Node
from berylchute.requesthandler import RequestHandler
from berylchute.stoptimes import StopTimes
from berylchute.types import Clock

__all__ = ["stop_gracefully"]

STOP_POLL_S = 0.05


async def stop_gracefully(
    node: Node,
    handler: RequestHandler,
    caller_server: CallerServer,
    clock: Clock,
    log: EventLog,
    grace_s: float,
    directory_ttl_s: float,
) -> None:
    """Leave the directory, finish requests in flight, and close connections step by step."""
    times = StopTimes.plan(clock.now_s(), grace_s, directory_ttl_s)
    log.event("stopping", in_flight=handler.in_flight, grace_s=grace_s)
    handler.stop_times = times
    node.set_ready(False)
    node.announce_leaving()
    await _sleep_until(times.close_from_s, clock)
    caller_server.is_closing = True
    await _close_connections(caller_server, clock, times.listen_until_s)
    caller_server.stop_listening()
    await _close_connections(caller_server, clock, times.end_s, is_listening=False)
    if caller_server.connections:
        log.event(
            "stop_unfinished",
            in_flight=handler.in_flight,
            connections=len(caller_server.connections),
        )
        handler.end_unfinished()
        caller_server.end_requests()
        await _close_connections(caller_server, clock, times.exit_s, is_listening=False)


async def _sleep_until(until_s: float, clock: Clock) -> None:
    await anyio.sleep(max(0.0, until_s - clock.now_s()))


async def _close_connections(
    caller_server: CallerServer, clock: Clock, until_s: float, *, is_listening: bool = True
) -> None:
    """Close idle connections until a time, or until none is left and none can come."""
    while clock.now_s() < until_s:
        caller_server.close_idle()
        if not is_listening and not caller_server.connections:
            return
        await anyio.sleep(min(STOP_POLL_S, max(0.0, until_s - clock.now_s())))
