"""One backend server of the stand-in: slots, service times, faults and records of its runs."""

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

__all__ = ["Behaviour", "Profile", "ServerSpec", "StandInServer", "World"]


@attrs.frozen
class Profile:
    """Service time of one method: log-normal around the median, plus time per megabyte."""

    median_ms: float
    sigma: float = 0.3
    ms_per_mb: float = 0.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    answer_bytes: int = 256


@attrs.frozen
class ServerSpec:
    """Identity and size of one server."""

    name: str
    service: str
    availability_zone: str
    region: str
    port: int
    slots: int


@attrs.frozen
class World:
    """Where hosts and zones are, and the service times; profiles are keyed `service METHOD`."""

    zone_of_position: Mapping[str, str]
    region_of_zone: Mapping[str, str]
    zone_one_way_ms: float
    region_one_way_ms: Mapping[str, float]
    profiles: Mapping[str, Profile]
    seed: int = 0

    def one_way_s(self, position: str, availability_zone: str) -> float:
        """Return the delay from an entry host to a zone; 0 for an unknown host."""
        origin = self.zone_of_position.get(position)
        if origin is None or origin == availability_zone:
            return 0.0
        pair = sorted((self.region_of_zone[origin], self.region_of_zone[availability_zone]))
        if pair[0] == pair[1]:
            return self.zone_one_way_ms / 1000
        return self.region_one_way_ms.get("|".join(pair), 0.0) / 1000


@attrs.define
class Behaviour:
    """Behaviour that is switched while running; shares are probabilities per request."""

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
    """Counts since the last reset; `peak` counts running and waiting requests."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    peak: int = 0
    peak_running: int = 0
    last_arrival_s: float = 0.0


class StandInServer:
    """Serve one backend server over ASGI."""

    def __init__(self, spec: ServerSpec, world: World) -> None:
        self.spec = spec
        self.behaviour = Behaviour()
        self.totals = Totals()
        self.runs: Counter[str] = Counter()
        self.link_bytes: Counter[tuple[int, str, str]] = Counter()
        self.offered = 0
        self._running = 0
        self._world = world
        self._random = random.Random(f"{world.seed} {spec.name}")
        self._slots = asyncio.Semaphore(spec.slots)
        self._cancels: dict[str, list[asyncio.Event]] = {}
        self._samples: deque[tuple[float, int]] = deque(maxlen=1200)
        self._warm_from_s = 0.0
        self._last_body = b"{}"

    def set_behaviour(self, changes: Mapping[str, Any]) -> None:
        """Change fields of the behaviour; `cold_s` starts a cold period now."""
        self.behaviour = attrs.evolve(self.behaviour, **changes)
        if "cold_s" in changes:
            self._warm_from_s = time.monotonic() + self.behaviour.cold_s

    def reset(self) -> None:
        """Forget counts, runs and link bytes."""
        self.totals = Totals()
        self.runs.clear()
        self.link_bytes.clear()

    def sample(self, now_s: float) -> None:
        """Record the load for late load reports."""
        self._samples.append((now_s, self.offered))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["path"] == "/health":
            await self._health(send)
        elif scope["method"] == "DELETE" and scope["path"].startswith("/requests/"):
            await self._cancel(scope, send)
        else:
            await self._work(scope, receive, send)

    async def _health(self, send: Send) -> None:
        offered = self.offered
        delay_s = self.behaviour.report_delay_s
        if delay_s:
            wanted_s = time.monotonic() - delay_s
            offered = next((n for at, n in reversed(self._samples) if at <= wanted_s), 0)
        load = min(1.0, offered / self.spec.slots)
        if self.behaviour.report_fixed_load >= 0:
            load = self.behaviour.report_fixed_load
        state = "draining" if self.behaviour.draining else "ready"
        if state == "ready" and time.monotonic() < self._warm_from_s:
            state = "cold"
        free = round((1 - load) * self.spec.slots)
        await respond_json(send, {"state": state, "load": load, "free_slots": free})

    async def _cancel(self, scope: Scope, send: Send) -> None:
        request_id = scope["path"].removeprefix("/requests/")
        await self._travel(scope)
        for event in self._cancels.get(request_id, ()):
            event.set()
        await asyncio.sleep(0)
        await self._travel(scope)
        await respond(send, 204)

    async def _travel(self, scope: Scope) -> None:
        position = header(scope, b"berylchute-host")
        delay_s = self._world.one_way_s(position, self.spec.availability_zone)
        if delay_s:
            await asyncio.sleep(delay_s)

    async def _work(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self._travel(scope)
        request_id = header(scope, b"berylchute-request-id")
        self.totals.last_arrival_s = time.monotonic()
        full = self.offered >= self.spec.slots + self.behaviour.queue_max
        if self.behaviour.draining or self.behaviour.shed or full:
            self.totals.shed += 1
            await self._travel(scope)
            await respond(send, 503, b"", self._identity(request_id, not_run=True))
            return
        self.offered += 1
        self.totals.peak = max(self.totals.peak, self.offered)
        cancel = asyncio.Event()
        self._cancels.setdefault(request_id, []).append(cancel)
        try:
            outcome, size = await self._run(scope, receive, cancel)
        except ConnectionError:
            return
        finally:
            self.offered -= 1
            self._forget(request_id, cancel)
        await self._travel(scope)
        await self._answer(scope, send, outcome, size, request_id)

    def _forget(self, request_id: str, cancel: asyncio.Event) -> None:
        events = self._cancels[request_id]
        events.remove(cancel)
        if not events:
            del self._cancels[request_id]

    async def _run(self, scope: Scope, receive: Receive, cancel: asyncio.Event) -> tuple[str, int]:
        deadline_text = header(scope, b"berylchute-deadline-ms")
        deadline_s = time.monotonic() + (float(deadline_text) / 1000 if deadline_text else 3600.0)
        async with self._slots:
            if cancel.is_set():
                return "cancelled", 0
            if time.monotonic() >= deadline_s:
                self.totals.expired += 1
                return "expired", 0
            self._running += 1
            self.totals.peak_running = max(self.totals.peak_running, self._running)
            self.totals.started += 1
            self.runs[scope["path"].rpartition("/")[2]] += 1
            try:
                return await self._serve(scope, receive, cancel, deadline_s)
            finally:
                self._running -= 1

    async def _serve(
        self, scope: Scope, receive: Receive, cancel: asyncio.Event, deadline_s: float
    ) -> tuple[str, int]:
        size = 0
        async for chunk in read_chunks(receive):
            size += len(chunk)
            self._count_link(scope, len(chunk), inbound=True)
        service_s = self._service_s(scope["method"], size)
        left_s = deadline_s - time.monotonic()
        try:
            await asyncio.wait_for(cancel.wait(), min(service_s, left_s))
        except TimeoutError:
            outcome = "finished" if service_s <= left_s else "expired"
        else:
            outcome = "cancelled"
        setattr(self.totals, outcome, getattr(self.totals, outcome) + 1)
        return outcome, size

    def _profile(self, method: str) -> Profile:
        return self._world.profiles.get(f"{self.spec.service} {method}", Profile(median_ms=5.0))

    def _service_s(self, method: str, size: int) -> float:
        profile = self._profile(method)
        value_ms = profile.median_ms * self._random.lognormvariate(0.0, profile.sigma)
        value_ms += profile.ms_per_mb * size / 1e6
        if self._random.random() < profile.straggler_share:
            value_ms *= profile.straggler_factor
        remaining_s = self._warm_from_s - time.monotonic()
        if remaining_s > 0:
            share = remaining_s / self.behaviour.cold_s
            value_ms *= 1 + (self.behaviour.cold_factor - 1) * share
        return value_ms * self.behaviour.slow_factor / 1000

    def _count_link(self, scope: Scope, size: int, inbound: bool) -> None:
        zone = self._world.zone_of_position.get(header(scope, b"berylchute-host"))
        if zone is None:
            return
        caller = self._world.region_of_zone[zone]
        if caller != self.spec.region:
            ends = (caller, self.spec.region) if inbound else (self.spec.region, caller)
            self.link_bytes[int(time.monotonic()), *ends] += size

    def _identity(self, request_id: str, not_run: bool = False) -> list[tuple[bytes, bytes]]:
        fields = [
            (b"berylchute-request-id", request_id.encode()),
            (b"content-type", b"application/json"),
        ]
        if not_run:
            fields.append((b"berylchute-not-run", b"1"))
        return fields

    async def _answer(
        self, scope: Scope, send: Send, outcome: str, size: int, request_id: str
    ) -> None:
        if outcome != "finished":
            await respond(send, 504, b"", self._identity(request_id))
            return
        body = self._body(scope, size, request_id)
        self._count_link(scope, len(body), inbound=False)
        draw = self._random.random
        if self.behaviour.lost_answer and draw() < self.behaviour.lost_answer:
            abort_connection(scope)
        elif self.behaviour.foreign_answer and draw() < self.behaviour.foreign_answer:
            await respond(send, 200, self._last_body, self._identity("another-request"))
        elif self.behaviour.cut_body and draw() < self.behaviour.cut_body:
            fields = [(b"content-length", str(len(body)).encode()), *self._identity(request_id)]
            await send({"type": "http.response.start", "status": 200, "headers": fields})
            half = body[: len(body) // 2]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            close_connection(scope)
        else:
            self._last_body = body
            await respond(send, 200, body, self._identity(request_id))

    def _body(self, scope: Scope, size: int, request_id: str) -> bytes:
        call = scope["path"].rpartition("/")[2]
        value = {
            "call": call,
            "received_bytes": size,
            "server": self.spec.name,
            "request_id": request_id,
            "filler": "x" * self._profile(scope["method"]).answer_bytes,
            "end": call,
        }
        return msgspec.json.encode(value)
