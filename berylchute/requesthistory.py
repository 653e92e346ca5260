"""Show the history of one request from the event logs of several edge programs."""

import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec

from berylchute.exceptions import CommandError
from berylchute.rendering import Renderer

__all__ = ["HistoryLine", "find_history", "print_request_history", "read_events"]

# Events that change the state of a whole process; the last of each before a request is shown.
_STATE_EVENTS = ("start", "routes", "servers", "zone_drains", "store_watch", "ready", "stopping")
# Events about one server; the last of each is shown for every server that was tried.
_SERVER_EVENTS = ("server_failed", "server_back", "server_replaced")
STANDARD_INPUT = "-"


@attrs.frozen
class HistoryLine:
    """One event; `before_s` is the time from it to the request's end on the same host."""

    host: str
    time_s: float
    before_s: float
    event: str
    details: str


def read_events(lines: Iterable[str]) -> Iterator[Mapping[str, Any]]:
    """Return the events in log lines; text before the JSON object of a line is skipped."""
    for line in lines:
        start = line.find('{"time_s"')
        if start < 0:
            continue
        try:
            event = msgspec.json.decode(line[start:].strip())
        except msgspec.DecodeError:
            continue  # the last line of a killed process may be truncated
        if isinstance(event, dict):
            yield event


def find_history(events: Sequence[Mapping[str, Any]], request_id: str) -> list[HistoryLine]:
    """Return a request's events by time, with the last state and server events of its hosts."""
    found: list[HistoryLine] = []
    for request in events:
        if request.get("event") != "request" or request.get("request_id") != request_id:
            continue
        host, end_s = request["host"], request["time_s"]
        earlier = [e for e in events if e.get("host") == host and e["time_s"] <= end_s]
        earlier.sort(key=lambda event: float(event["time_s"]))
        tried_servers = {attempt["server"] for attempt in request.get("attempts", ())}
        last_events: dict[str, Mapping[str, Any]] = {}
        for event in earlier:
            if event["event"] in _STATE_EVENTS:
                last_events[event["event"]] = event
            elif event["event"] in _SERVER_EVENTS and event.get("server") in tried_servers:
                last_events[f"{event['event']}/{event['server']}"] = event
        found += [_history_line(event, end_s) for event in last_events.values()]
        found.append(_history_line(request, end_s))
    return sorted(found, key=lambda line: line.time_s)


def _history_line(event: Mapping[str, Any], end_s: float) -> HistoryLine:
    own_columns = ("time_s", "host", "event", "request_id")
    details = {name: value for name, value in event.items() if name not in own_columns}
    return HistoryLine(
        host=event["host"],
        time_s=event["time_s"],
        before_s=round(end_s - event["time_s"], 3),
        event=event["event"],
        details=" ".join(f"{name}={value}" for name, value in details.items()),
    )


def print_request_history(renderer: Renderer, request_id: str, files: Sequence[Path]) -> None:
    """Print a request's history from log files; raise CommandError if they do not mention it."""
    events: list[Mapping[str, Any]] = []
    for file in files:
        if str(file) == STANDARD_INPUT:
            events += read_events(sys.stdin)
            continue
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                events += read_events(lines)
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from error
    history = find_history(events, request_id)
    if not history:
        raise CommandError(f"no log line mentions request {request_id}")
    title = f"request {request_id}; times are from the clock of each host"
    renderer.write_rows(title, history)
