"""Check the edge program as a whole, in one process: start, serve, reload, stop."""

import asyncio
import logging
import os
import signal
from collections.abc import Awaitable, Callable, Iterator, Mapping

import attrs
import pytest

from berylchute.collection import Collection, CollectionChanges, CollectionListing
from berylchute.edge import REPORT_INTERVAL_S, Edge, EdgeSettings
from berylchute.exceptions import SettingsError, StoreUnavailable
from berylchute.processsignals import ProcessSignals
from berylchute.retrybudget import RetryBounds
from berylchute.settings import (
    HostSettings,
    ListenSettings,
    PeersSettings,
    Settings,
    StoreSettings,
)
from berylchute.sharedobjects import (
    ROUTES_KEY,
    SERVERS_KEY,
    ZONE_DRAINS_KEY,
    CallerLimits,
    RouteTable,
    ServerEntry,
    ServerList,
    ServicePolicy,
    ZoneDrains,
)
from lab.processes import free_ports
from tests.test_routeindex import route

GRACE_S = 2.0
WAIT_S = 5.0


class _Store:
    """A store with one entry in each collection, which may be unavailable."""

    def __init__(self, values: Mapping[str, object]) -> None:
        self.values = values
        self.is_unavailable = False

    async def read(self, collection: str) -> CollectionListing:
        if self.is_unavailable:
            raise StoreUnavailable("away")
        return CollectionListing({"only": self.values[collection]}, 5)

    async def watch(self, collection: str, after_revision: int, wait_s: float) -> CollectionChanges:
        await asyncio.sleep(wait_s)
        return CollectionChanges({}, after_revision)

    async def probe(self, timeout_s: float) -> None:
        if self.is_unavailable:
            raise StoreUnavailable("away")


class _Harness:
    """An edge program, one backend server and a store."""

    def __init__(self, timeout_s: float = 1.0, *, admission_by_rank: bool = False) -> None:
        self.callers, peers, server, self.metrics = (f"127.0.0.1:{port}" for port in free_ports(4))
        self.server = server
        self._is_stopping = False
        entry = ServerEntry("i-1", "s", server, "za", 4, False)
        policy = ServicePolicy("s", 100, 0.0, 10.0)
        self.store = _Store(
            {
                "routes": RouteTable(
                    7, (route("/a/", timeout_s=timeout_s),), (policy,), CallerLimits()
                ),
                "servers": ServerList((entry,)),
                "drains": ZoneDrains(()),
            }
        )
        node = Settings(
            host=HostSettings("edge-1", "za", "ra"),
            listen=ListenSettings(self.callers, peers),
            store=StoreSettings(url=""),
            peers=PeersSettings(),
        )
        self.settings = EdgeSettings(
            node,
            {"za": "ra"},
            RetryBounds(),
            GRACE_S,
            self.metrics,
            admission_by_rank=admission_by_rank,
        )
        self.read_settings: Callable[[], EdgeSettings] = lambda: self.settings
        collections = [
            Collection(name, key, lambda entries: entries["only"])  # type: ignore[arg-type, return-value]
            for name, key in (
                ("routes", ROUTES_KEY),
                ("servers", SERVERS_KEY),
                ("drains", ZONE_DRAINS_KEY),
            )
        ]
        self.edge = Edge(self.settings, self.store, collections, lambda: self.read_settings())

    async def run(self, act: Callable[["_Harness"], Awaitable[None]]) -> None:
        """Serve while `act` runs, then stop; fail if the program does not end in time."""
        host, _, port = self.server.rpartition(":")
        server = await asyncio.start_server(_serve, host, int(port))
        signals = ProcessSignals()
        serving = asyncio.create_task(self.edge.serve(signals))
        try:
            await act(self)
            self.stop()
            await asyncio.wait_for(serving, GRACE_S + 1.0)
        finally:
            serving.cancel()
            server.close()
            signals.restore()

    def stop(self) -> None:
        """Send the stop signal once; a second one could reach the test run itself."""
        if not self._is_stopping:
            self._is_stopping = True
            os.kill(os.getpid(), signal.SIGTERM)

    async def until_ready(self) -> None:
        async with asyncio.timeout(WAIT_S):
            while not self.edge.is_ready:
                await asyncio.sleep(0.01)

    async def get(self, path: str, address: str = "") -> bytes:
        """Send one request on a new connection and return the answer with its headers."""
        host, _, port = (address or self.callers).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"GET {path} HTTP/1.1\r\nHost: a\r\nBerylchute-Request-Id: q1\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode())
        async with asyncio.timeout(WAIT_S):
            answer = await reader.read()
        writer.close()
        return answer


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            request = await reader.readuntil(b"\r\n\r\n")
            if b"/slow" in request:
                await asyncio.sleep(3.0 * GRACE_S)
            head = b"HTTP/1.1 200 OK\r\nBerylchute-Request-Id: q1\r\nContent-Length: 4\r\n\r\n"
            writer.write(head + b"mine")
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


@pytest.fixture(autouse=True)
def _keep_log_handlers() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_requests_are_forwarded_and_counted() -> None:
    # Guard against parts of the program that are not connected: store, routes, servers, callers or
    # metrics.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        answer = await harness.get("/a/x")
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"mine")
        assert (await harness.get("/elsewhere")).startswith(b"HTTP/1.1 404")
        metrics = (await harness.get("/metrics", harness.metrics)).decode()
        assert 'berylchute_edge_requests_total{outcome="answered",service="s"} 1.0' in metrics
        assert "berylchute_edge_routes_number 7.0" in metrics

    asyncio.run(_Harness().run(act))


@pytest.mark.parametrize("admission_by_rank", [False, True])
def test_ranks_count_only_if_the_settings_enable_them(admission_by_rank: bool) -> None:
    # Guard against a setting that the composition ignores, or reserves where it is not set.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        assert (await harness.get("/a/x")).startswith(b"HTTP/1.1 200")
        metrics = (await harness.get("/metrics", harness.metrics)).decode()
        ratio = 'berylchute_edge_full_load_ratio{rank="1",service="s"} 1.25'
        assert (ratio in metrics) is admission_by_rank

    asyncio.run(_Harness(admission_by_rank=admission_by_rank).run(act))


def test_ready_is_published_at_once() -> None:
    # Guard against a delay of a whole report interval before callers are sent to a ready member.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        # Less than the report interval.
        await asyncio.sleep(REPORT_INTERVAL_S / 5.0)
        assert harness.edge.is_published_ready

    asyncio.run(_Harness().run(act))


def test_requests_are_refused_until_the_store_has_answered() -> None:
    # Guard against a wrong 404 or a ready member while the store is unavailable at the start.
    async def act(harness: _Harness) -> None:
        async with asyncio.timeout(WAIT_S):
            while not (answer := await _try_get(harness, "/a/x")):
                await asyncio.sleep(0.01)
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
        assert not harness.edge.is_ready
        harness.store.is_unavailable = False
        await harness.until_ready()
        assert (await harness.get("/a/x")).startswith(b"HTTP/1.1 200")

    harness = _Harness()
    harness.store.is_unavailable = True
    asyncio.run(harness.run(act))


async def _try_get(harness: _Harness, path: str) -> bytes:
    try:
        return await harness.get(path)
    except ConnectionRefusedError:
        return b""


def test_reload_applies_new_bounds_and_survives_invalid_settings() -> None:
    # Guard against an end of the program, or a loss of its settings, when invalid ones are
    # reloaded.
    def fail() -> EdgeSettings:
        raise SettingsError("seeds: wrong")

    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        harness.read_settings = fail
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.1)
        assert harness.edge.retry_bounds == RetryBounds()
        newer = RetryBounds(ratio=0.1)
        harness.read_settings = lambda: attrs.evolve(harness.settings, retry_bounds=newer)
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(WAIT_S):
            while harness.edge.retry_bounds != newer:
                await asyncio.sleep(0.01)
        assert (await harness.get("/a/x")).startswith(b"HTTP/1.1 200")

    asyncio.run(_Harness().run(act))


def test_stop_is_published_before_callers_are_refused() -> None:
    # Guard against refused callers during a stop: those that have not refreshed the directory are
    # still served.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        os.kill(os.getpid(), signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            while harness.edge.is_ready:
                await asyncio.sleep(0.01)
        assert (await harness.get("/a/x")).startswith(b"HTTP/1.1 200")

    asyncio.run(_Harness().run(act))


@pytest.mark.parametrize("deadline_ms", [None, 5000])
def test_request_that_comes_late_in_a_stop_is_refused_at_once(deadline_ms: int | None) -> None:
    # Guard against requests that a stopping process passes on and cuts at the end of the grace.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        host, _, port = harness.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /a/slow HTTP/1.1\r\nHost: a\r\nBerylchute-Request-Id: q1\r\n")
        await asyncio.sleep(0.05)
        harness.stop()
        await asyncio.sleep(GRACE_S / 2.0 + 0.2)
        deadline = f"Berylchute-Deadline-Ms: {deadline_ms}\r\n" if deadline_ms else ""
        writer.write(f"{deadline}\r\n".encode())
        async with asyncio.timeout(0.2):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer

    asyncio.run(_Harness().run(act))


def test_request_that_a_stop_leaves_enough_time_for_is_served() -> None:
    # Guard against refusals in a stop of requests that can be answered before the process ends.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        host, _, port = harness.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /a/x HTTP/1.1\r\nHost: a\r\nBerylchute-Request-Id: q1\r\n")
        await asyncio.sleep(0.05)
        harness.stop()
        await asyncio.sleep(GRACE_S / 2.0 + 0.2)
        writer.write(b"Berylchute-Deadline-Ms: 200\r\n\r\n")
        async with asyncio.timeout(0.2):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"mine")

    asyncio.run(_Harness().run(act))


def test_request_in_flight_at_the_end_of_a_stop_is_answered() -> None:
    # Guard against a closed connection in place of an answer when a server is slower than the stop.
    async def act(harness: _Harness) -> None:
        await harness.until_ready()
        request = asyncio.create_task(harness.get("/a/slow"))
        await asyncio.sleep(0.05)
        harness.stop()
        assert (await request).startswith(b"HTTP/1.1 504")

    asyncio.run(_Harness(timeout_s=30.0).run(act))
