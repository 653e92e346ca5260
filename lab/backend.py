"""Stand in for one backend server: slots, service times, faults and counts of its runs."""

import asyncio
import random
import time
from collections import Counter, deque
from collections.abc import Mapping
from typing import Any

import attrs
import msgspec

from lab.asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    close_connection,
    header,
    read_chunks,
    respond,
    respond_json,
)

__all__ = ["Behaviour", "DelayModel", "Profile", "ServerSpec", "StandInServer"]


@attrs.frozen
class Profile:
    """Service time of one method: log-normal around the median, plus time per megabyte received.

    With probability `straggler_share` the time is multiplied by `straggler_factor`.
    """

    median_ms: float
    sigma: float = 0.3
    ms_per_mb: float = 0.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    answer_bytes: int = 256


@attrs.frozen
class ServerSpec:
    """Name, location, port and number of slots of one backend server."""

    name: str
    service: str
    availability_zone: str
    region: str
    port: int
    slots: int


@attrs.frozen
class DelayModel:
    """Locations of hosts and zones, network delays and service times.

    `profiles` is keyed `service METHOD`; `region_one_way_ms` is keyed by the two region names,
    sorted and joined by `|`.
    """

    zone_of_position: Mapping[str, str]
    region_of_zone: Mapping[str, str]
    zone_one_way_ms: float
    region_one_way_ms: Mapping[str, float]
    profiles: Mapping[str, Profile]
    seed: int = 0

    def one_way_s(self, position: str, availability_zone: str) -> float:
        """Return the delay from a host to a zone; 0 in the same zone or for an unknown host."""
        host_zone = self.zone_of_position.get(position)
        if host_zone is None or host_zone == availability_zone:
            return 0.0
        regions = sorted((self.region_of_zone[host_zone], self.region_of_zone[availability_zone]))
        if regions[0] == regions[1]:
            return self.zone_one_way_ms / 1000
        return self.region_one_way_ms.get("|".join(regions), 0.0) / 1000


@attrs.define
class Behaviour:
    """Behaviour that can change at run time.

    `lost_answer`, `cut_body` and `foreign_answer` are probabilities per request; a negative
    `report_fixed_load` reports the actual load.
    """

    slow_factor: float = 1.0
    cold_factor: float = 1.0
    cold_s: float = 0.0
    report_delay_s: float = 0.0
    report_fixed_load: float = -1.0
    draining: bool = False
    shed: bool = False
    queue_max: int = 1_000_000
    lost_answer: float = 0.0
    cut_body: float = 0.0
    foreign_answer: float = 0.0


@attrs.define
class Totals:
    """Counts since the last reset.

    `peak` counts running and waiting requests; `last_arrival_s` is on the monotonic clock.
    """

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    peak: int = 0
    peak_running: int = 0
    last_arrival_s: float = 0.0


class StandInServer:
    """Emulate one backend server as an ASGI application."""

    def __init__(self, spec: ServerSpec, delay_model: DelayModel) -> None:
        self.spec = spec
        self.behaviour = Behaviour()
        self.totals = Totals()
        self.runs: Counter[str] = Counter()
        self.link_bytes: Counter[tuple[int, str, str]] = Counter()
        self.in_flight = 0
        self._running_count = 0
        self._delay_model = delay_model
        self._random = random.Random(f"{delay_model.seed} {spec.name}")
        self._slots = asyncio.Semaphore(spec.slots)
        self._cancel_events: dict[str, list[asyncio.Event]] = {}
        self._load_samples: deque[tuple[float, int]] = deque(maxlen=1200)
        self._cold_until_s = 0.0
        self._previous_body = b"{}"

    def set_behaviour(self, changes: Mapping[str, Any]) -> None:
        """Replace fields of the behaviour; `cold_s` starts a cold period of that length now."""
        self.behaviour = attrs.evolve(self.behaviour, **changes)
        if "cold_s" in changes:
            self._cold_until_s = time.monotonic() + self.behaviour.cold_s

    def reset(self) -> None:
        """Clear counts, runs and link bytes."""
        self.totals = Totals()
        self.runs.clear()
        self.link_bytes.clear()

    def record_load(self, now_s: float) -> None:
        """Record the number of requests in flight, for delayed load reports."""
        self._load_samples.append((now_s, self.in_flight))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a health check, a cancellation or a call."""
        if scope["path"] == "/health":
            await self._health(send)
        elif scope["method"] == "DELETE" and scope["path"].startswith("/requests/"):
            await self._cancel(scope, send)
        else:
            await self._handle_call(scope, receive, send)

    async def _health(self, send: Send) -> None:
        in_flight = self.in_flight
        delay_s = self.behaviour.report_delay_s
        if delay_s:
            sampled_until_s = time.monotonic() - delay_s
            in_flight = next(
                (count for at_s, count in reversed(self._load_samples) if at_s <= sampled_until_s),
                0,
            )
        load = min(1.0, in_flight / self.spec.slots)
        if self.behaviour.report_fixed_load >= 0:
            load = self.behaviour.report_fixed_load
        state = "draining" if self.behaviour.draining else "ready"
        if state == "ready" and time.monotonic() < self._cold_until_s:
            state = "cold"
        free_slots = round((1 - load) * self.spec.slots)
        await respond_json(send, {"state": state, "load": load, "free_slots": free_slots})

    async def _cancel(self, scope: Scope, send: Send) -> None:
        request_id = scope["path"].removeprefix("/requests/")
        await self._wait_one_way_delay(scope)
        for cancel_event in self._cancel_events.get(request_id, ()):
            cancel_event.set()
        await asyncio.sleep(0)
        await self._wait_one_way_delay(scope)
        await respond(send, 204)

    async def _wait_one_way_delay(self, scope: Scope) -> None:
        position = header(scope, b"berylchute-host")
        delay_s = self._delay_model.one_way_s(position, self.spec.availability_zone)
        if delay_s:
            await asyncio.sleep(delay_s)

    async def _handle_call(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self._wait_one_way_delay(scope)
        request_id = header(scope, b"berylchute-request-id")
        self.totals.last_arrival_s = time.monotonic()
        is_full = self.in_flight >= self.spec.slots + self.behaviour.queue_max
        if self.behaviour.draining or self.behaviour.shed or is_full:
            self.totals.shed += 1
            await self._wait_one_way_delay(scope)
            await respond(send, 503, b"", self._response_headers(request_id, is_not_run=True))
            return
        self.in_flight += 1
        self.totals.peak = max(self.totals.peak, self.in_flight)
        cancel_event = asyncio.Event()
        self._cancel_events.setdefault(request_id, []).append(cancel_event)
        try:
            outcome, received_bytes = await self._run_in_slot(scope, receive, cancel_event)
        except ConnectionError:
            return
        finally:
            self.in_flight -= 1
            self._remove_cancel_event(request_id, cancel_event)
        await self._wait_one_way_delay(scope)
        await self._send_response(scope, send, outcome, received_bytes, request_id)

    def _remove_cancel_event(self, request_id: str, cancel_event: asyncio.Event) -> None:
        events = self._cancel_events[request_id]
        events.remove(cancel_event)
        if not events:
            del self._cancel_events[request_id]

    async def _run_in_slot(
        self, scope: Scope, receive: Receive, cancel_event: asyncio.Event
    ) -> tuple[str, int]:
        deadline_text = header(scope, b"berylchute-deadline-ms")
        deadline_s = time.monotonic() + (float(deadline_text) / 1000 if deadline_text else 3600.0)
        async with self._slots:
            if cancel_event.is_set():
                return "cancelled", 0
            if time.monotonic() >= deadline_s:
                self.totals.expired += 1
                return "expired", 0
            self._running_count += 1
            self.totals.peak_running = max(self.totals.peak_running, self._running_count)
            self.totals.started += 1
            self.runs[scope["path"].rpartition("/")[2]] += 1
            try:
                return await self._run_service(scope, receive, cancel_event, deadline_s)
            finally:
                self._running_count -= 1

    async def _run_service(
        self, scope: Scope, receive: Receive, cancel_event: asyncio.Event, deadline_s: float
    ) -> tuple[str, int]:
        received_bytes = 0
        async for chunk in read_chunks(receive):
            received_bytes += len(chunk)
            self._record_link_bytes(scope, len(chunk), is_inbound=True)
        service_s = self._service_s(scope["method"], received_bytes)
        time_left_s = deadline_s - time.monotonic()
        try:
            await asyncio.wait_for(cancel_event.wait(), min(service_s, time_left_s))
        except TimeoutError:
            outcome = "finished" if service_s <= time_left_s else "expired"
        else:
            outcome = "cancelled"
        setattr(self.totals, outcome, getattr(self.totals, outcome) + 1)
        return outcome, received_bytes

    def _profile(self, method: str) -> Profile:
        return self._delay_model.profiles.get(
            f"{self.spec.service} {method}", Profile(median_ms=5.0)
        )

    def _service_s(self, method: str, received_bytes: int) -> float:
        profile = self._profile(method)
        duration_ms = profile.median_ms * self._random.lognormvariate(0.0, profile.sigma)
        duration_ms += profile.ms_per_mb * received_bytes / 1e6
        if self._random.random() < profile.straggler_share:
            duration_ms *= profile.straggler_factor
        cold_left_s = self._cold_until_s - time.monotonic()
        if cold_left_s > 0:
            cold_ratio = cold_left_s / self.behaviour.cold_s
            duration_ms *= 1 + (self.behaviour.cold_factor - 1) * cold_ratio
        return duration_ms * self.behaviour.slow_factor / 1000

    def _record_link_bytes(self, scope: Scope, size_bytes: int, is_inbound: bool) -> None:
        zone = self._delay_model.zone_of_position.get(header(scope, b"berylchute-host"))
        if zone is None:
            return
        caller_region = self._delay_model.region_of_zone[zone]
        if caller_region != self.spec.region:
            link = (
                (caller_region, self.spec.region)
                if is_inbound
                else (self.spec.region, caller_region)
            )
            self.link_bytes[int(time.monotonic()), *link] += size_bytes

    def _response_headers(
        self, request_id: str, is_not_run: bool = False
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            (b"berylchute-request-id", request_id.encode()),
            (b"content-type", b"application/json"),
        ]
        if is_not_run:
            headers.append((b"berylchute-not-run", b"1"))
        return headers

    async def _send_response(
        self, scope: Scope, send: Send, outcome: str, received_bytes: int, request_id: str
    ) -> None:
        if outcome != "finished":
            await respond(send, 504, b"", self._response_headers(request_id))
            return
        body = self._response_body(scope, received_bytes, request_id)
        self._record_link_bytes(scope, len(body), is_inbound=False)
        draw = self._random.random
        if self.behaviour.lost_answer and draw() < self.behaviour.lost_answer:
            abort_connection(scope)
        elif self.behaviour.foreign_answer and draw() < self.behaviour.foreign_answer:
            await respond(send, 200, self._previous_body, self._response_headers("another-request"))
        elif self.behaviour.cut_body and draw() < self.behaviour.cut_body:
            headers = [
                (b"content-length", str(len(body)).encode()),
                *self._response_headers(request_id),
            ]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            first_half = body[: len(body) // 2]
            await send({"type": "http.response.body", "body": first_half, "more_body": True})
            close_connection(scope)
        else:
            self._previous_body = body
            await respond(send, 200, body, self._response_headers(request_id))

    def _response_body(self, scope: Scope, received_bytes: int, request_id: str) -> bytes:
        call_id = scope["path"].rpartition("/")[2]
        document = {
            "call": call_id,
            "received_bytes": received_bytes,
            "server": self.spec.name,
            "request_id": request_id,
            "filler": "x" * self._profile(scope["method"]).answer_bytes,
            "end": call_id,
        }
        return msgspec.json.encode(document)
