"""Stand-ins for the scripts of this review: store, servers, clients, and edge programs as processes.

They use only the standard library and follow PROTOCOL.md. All run in the script's own process, but
for the edge programs, which are started with the command of the deploy file.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
HOST = "review.example"


def now():
    """Return seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Write what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")

    def line(self, text):
        self._file.write(f"{now():8.3f} {text}\n")
        self._file.flush()


class CannotRun(Exception):
    """The case couldn't run: exit code 2."""


_given_ports = set()


def free_port():
    """Return a loopback port on which nothing listens, outside of the ephemeral range."""
    import random

    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def encode_answer(status, headers, body=b"", length=None):
    lines = [f"HTTP/1.1 {status} Status".encode()]
    lines += [f"{name}: {value}".encode() for name, value in headers]
    lines.append(b"Content-Length: %d" % (len(body) if length is None else length))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class HttpConnection(asyncio.Protocol):
    """Read requests with a length, one after the other, and pass each to `handle` as a task.

    `handle(method, target, headers, body, connection)` returns the bytes of the answer, or None to
    send nothing. It is cancelled when the connection closes.
    """

    def __init__(self, handle, connections):
        self._handle = handle
        self._connections = connections
        self._buffer = b""
        self._task = None
        self.transport = None
        self.is_open = False

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True
        self._connections.add(self)

    def connection_lost(self, error):
        self.is_open = False
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        self._buffer += data
        self._next()

    def _next(self):
        if self._task is not None or b"\r\n\r\n" not in self._buffer:
            return
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        self._task = asyncio.get_running_loop().create_task(
            self._run(method, target, headers, rest[:length])
        )

    async def _run(self, method, target, headers, body):
        try:
            answer = await self._handle(method, target, headers, body, self)
        except asyncio.CancelledError:
            return
        self._task = None
        if answer is not None and self.is_open:
            self.transport.write(answer)
        self._next()


class Listener:
    """Listen on a loopback port and serve each connection with `handle`."""

    def __init__(self, handle):
        self._handle = handle
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.connections = set()
        self._server = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self._handle, self.connections), "127.0.0.1", self.port
        )

    def stop(self):
        """Stop listening and close all connections, as a process that exits does."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Store:
    """The platform's store: lists in pages, and watches. It loses nothing and is always up.

    `way_s` is the time of one way between the store and the edges; `page` the most items of an
    answer to a list.
    """

    def __init__(self, record, way_s=0.0, page=500):
        self.way_s = way_s
        self.page = page
        self.revision = 10
        self.kinds = {}
        self._events = []
        self._changed = asyncio.Event()
        self._record = record
        self._listener = Listener(self._handle)
        self.address = self._listener.address
        self.lists = []

    async def start(self):
        await self._listener.start()

    def put(self, kind, name, spec, status=None):
        """Create or replace an object; return the time of the acknowledgement."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision, "created": 1, "deleting": False},
            "spec": spec,
            "status": status,
        }
        self.kinds.setdefault(kind, {})[name] = item
        self._notify(kind, item, False)
        return now()

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._notify(kind, item, True)
        return now()

    def _notify(self, kind, item, is_deleted):
        self._events.append((self.revision, kind, item, is_deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, method, target, headers, body, connection):
        if self.way_s:
            await asyncio.sleep(self.way_s)
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        options = urllib.parse.parse_qs(query)
        if method != "GET" or parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            answer = (400, {})
        elif len(parts) == 4:
            item = self.kinds.get(parts[2], {}).get(parts[3])
            answer = (200, item) if item else (404, {})
        elif "watch" in options:
            answer = await self._watch(parts[2], options)
        else:
            answer = self._list(parts[2], options)
        if self.way_s:
            await asyncio.sleep(self.way_s)
        status, value = answer
        return encode_answer(
            status, [("Content-Type", "application/json")], json.dumps(value).encode()
        )

    def _list(self, kind, options):
        after = options.get("after", [""])[0]
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        shown = names[: self.page]
        items = [self.kinds[kind][name] for name in shown]
        has_more = len(names) > len(shown)
        if kind == "servers":
            text = f"{len(items)} items after {after!r}, at revision {self.revision}"
            self._record.line(f"store: list of servers, {text}, more: {has_more}")
        return 200, {"items": items, "has-more": has_more, "at-rev": self.revision}

    async def _watch(self, kind, options):
        after = int(options["watch"][0])
        until = time.monotonic() + int(options.get("wait-ms", ["0"])[0]) / 1000.0
        while True:
            events = [
                {"object": item, "deleted": is_deleted}
                for revision, changed, item, is_deleted in self._events
                if changed == kind and revision > after
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "at-rev": max(after, self.revision)}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Server:
    """A sound server: it runs what names its id, up to its slots, and tells its load.

    `work_s` is a function of the target that returns how long a request works. A request ends when
    its connection closes, as at most servers.
    """

    def __init__(self, record, name, service, zone, *, slots=9, queue=27, work_s=None, body=None):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue = slots, queue
        self._record = record
        self._work_s = work_s or (lambda target: 0.02)
        self._body = body or (lambda target: b"body of " + target.encode())
        self._listener = Listener(self._handle)
        self.address = self._listener.address
        self._free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs = []
        self.is_draining = False
        self.born = int(time.time() * 1000)

    async def start(self):
        await self._listener.start()

    def stop(self):
        self._listener.stop()

    def register(self, store):
        """Write the server's entry; return the time of the acknowledgement."""
        state = "draining" if self.is_draining else "ready"
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        spec = {"address": self.address, "info": info, "born": self.born}
        status = {"state": state, "seq": 1, "cold-remaining-s": 0}
        return store.put("servers", self.name, spec, status)

    def _load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def _handle(self, method, target, headers, body, connection):
        if target == "/health":
            answer = [("Instance-Id", self.name), self._load()]
            return encode_answer(503 if self.is_draining else 200, answer)
        request_id = headers.get("request-id", "")
        echo = [("Request-Id", request_id), ("Instance-Id", self.name)]
        if headers.get("expect-instance", self.name) != self.name:
            return encode_answer(421, echo)
        if not request_id:
            return encode_answer(400, [*echo, ("Not-Run", "1")])
        if self._free.locked() and self.waiting >= self.queue:
            return encode_answer(503, [*echo, self._load(), ("Not-Run", "1")])
        run = {"id": request_id, "server": self.name, "at": now(), "body": body, "end": ""}
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append(run)
        self._record.line(f"server {self.name}: runs {request_id} ({method} {target}, body of {len(body)} bytes)")
        try:
            work_s = self._work_s(target)
            left_s = float(headers.get("deadline-ms", "1e9")) / 1000.0
            await asyncio.sleep(min(work_s, left_s))
            if work_s > left_s:
                run["end"] = "time budget"
                return encode_answer(504, [*echo, self._load()])
            run["end"] = "done"
            self._record.line(f"server {self.name}: has run {request_id}")
            stamp = ("Server-Stamp", f"{self.name}.{len(self.runs)}")
            return encode_answer(200, [*echo, self._load(), stamp], self._body(target))
        except asyncio.CancelledError:
            run["end"] = "broken off"
            self._record.line(f"server {self.name}: {request_id} broken off, connection closed")
            raise
        finally:
            self.running -= 1
            self._free.release()


class Edge:
    """One edge program as a process, started with the command of the deploy file."""

    def __init__(self, folder, record, name, zone, region, zones, store, bounds, **more):
        self.folder, self._record, self.name = Path(folder), record, name
        self.zone, self.region, self.zones = zone, region, zones
        self.store, self.bounds, self.more = store, bounds, more
        self.front, self.ready, self.control, self.directory = (
            f"127.0.0.1:{free_port()}" for _ in range(4)
        )
        self.internal = (free_port(), free_port())
        self.seeds = [self.control]
        self.process = None
        self.started_at = None
        self.starts = 0

    def settings(self, bootstrap):
        limits = {"cpu-share": 0.86, "cores": 1, "memory-mb": 300, "max-fds": 4100}
        limits |= {"link-mbps": 1000.0, "disk-mb": 0}
        fields = {
            "node-name": self.name,
            "role": "edge",
            "machine-class": "front",
            "serves": "front,directory,control",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": self.region,
            **{f"zones.{zone}": region for zone, region in self.zones.items()},
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "listen.directory": self.directory,
            "internal-ports": ",".join(map(str, self.internal)),
            "seeds": ",".join(self.seeds[:3]),
            "bootstrap": "true" if bootstrap else "false",
            "in-tolerance": "false",
            **{f"limits.{name}": value for name, value in limits.items()},
            "discovery": "platform",
            "entry": "directory",
            "heartbeat-s": 1.5,
            "contracts": "base,drain,config,cost,retry,recover,places,platform",
            "tolerate.machines": 1,
            "tolerate.zones": 1,
            "tolerate.regions": 1,
            "bounds": ",".join(f"{name}={value}" for name, value in self.bounds.items()),
            "platform.address": self.store.address,
            "platform.form": "objects",
            "platform.writes-per-s": 400,
            "platform.reads-per-s": 2000,
            "platform.history-s": 20,
            "platform.value-bytes": 1048576,
            "platform.ttl-min-s": 1,
            **self.more,
        }
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def start(self, bootstrap=False):
        """Start the process; its output goes to a file in the temporary folder."""
        path = self.folder / f"{self.name}.conf"
        path.write_text(self.settings(bootstrap))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"BERYLCHUTE_SETTINGS": str(path)}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = now()
        self.starts += 1
        self._record.line(f"edge {self.name}: started, process {self.process.pid}")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                request(self.ready, "GET", "/v1/ready", request_id=""), 1.0
            )
        except (TimeoutError, OSError):
            return False
        return answer.status == 200

    async def wait_ready(self, timeout_s=15.0):
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > until:
                log = (self.folder / f"{self.name}.log").read_text()[-2000:]
                raise CannotRun(f"edge {self.name} isn't ready: {log}")
            await asyncio.sleep(0.05)
        self._record.line(f"edge {self.name}: ready")

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self._record.line(f"edge {self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def wait_end(self, timeout_s):
        """Wait for the end of the process; kill it after `timeout_s`."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self._record.line(f"edge {self.name}: ended, code {self.process.returncode}")


class Answer:
    """What a client got: `status` 0 without a head; `is_whole` if the body has its full length."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = self.ended_at = None
        self.error = ""

    def text(self):
        kind = "whole" if self.is_whole else "not whole"
        stamp = self.headers.get("server-stamp", "none")
        return f"{self.status or 'no status'}, {len(self.body)} bytes, {kind}, stamp {stamp} {self.error}"


async def request(
    address,
    method,
    target,
    *,
    request_id,
    deadline_ms=None,
    body=b"",
    key=None,
    read_bytes_per_s=None,
    headers=(),
):
    """Send a request on a new connection and return its answer, also an incomplete one.

    With `read_bytes_per_s` the client reads the answer at that pace, with a small buffer.
    """
    answer = Answer(request_id)
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setblocking(False)
    if read_bytes_per_s:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(connection, (host, int(port)))
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        if key is not None:
            lines.append(f"Cookie: Affinity-Key={key}")
        if deadline_ms is not None:
            lines.append(f"Deadline-Ms: {deadline_ms}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        answer.sent_at = now()
        await loop.sock_sendall(connection, data)
        timeout_s = deadline_ms / 1000.0 if deadline_ms else 30.0
        try:
            async with asyncio.timeout(timeout_s):
                await _read_answer(loop, connection, answer, method, read_bytes_per_s)
        except TimeoutError:
            answer.error = "time budget of the client"
    except OSError as error:
        answer.error = repr(error)
    finally:
        connection.close()
    answer.ended_at = now()
    return answer


async def _read_answer(loop, connection, answer, method, read_bytes_per_s):
    data = b""
    length = None
    began = time.monotonic()
    read_bytes = 0
    while True:
        size = 65_536
        if read_bytes_per_s:
            size = 2_048
            wait_s = began + read_bytes / read_bytes_per_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
        part = await loop.sock_recv(connection, size)
        if read_bytes == 0:
            began = time.monotonic()
        read_bytes += len(part)
        data += part
        if length is None and b"\r\n\r\n" in data:
            head, _, data = data.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            answer.status = int(first.split(" ")[1])
            for line in lines:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
            length = int(answer.headers.get("content-length", "0"))
        if length is not None:
            answer.body = data[:length]
            if len(data) >= length:
                answer.is_whole = True
                return
        if not part:
            answer.error = "connection ended"
            return


def encode_request(method, target, request_id, deadline_ms, key):
    """Encode a request without a body, for clients that send several behind each other."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
    lines += [f"Cookie: Affinity-Key={key}", f"Deadline-Ms: {deadline_ms}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_paced(address, data, answers, bytes_per_s, timeout_s):
    """Send several requests at once, and read their answers in order at a pace."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    received = b""
    began = None
    read_bytes = 0
    current = 0
    try:
        await loop.sock_connect(connection, (host, int(port)))
        for answer in answers:
            answer.sent_at = now()
        await loop.sock_sendall(connection, data)
        async with asyncio.timeout(timeout_s):
            while current < len(answers):
                if began is not None:
                    wait_s = began + read_bytes / bytes_per_s - time.monotonic()
                    await asyncio.sleep(max(0.0, wait_s))
                part = await loop.sock_recv(connection, 2_048)
                began = began or time.monotonic()
                read_bytes += len(part)
                received += part
                while current < len(answers):
                    answer = answers[current]
                    if not answer.status and b"\r\n\r\n" in received:
                        head, _, received = received.partition(b"\r\n\r\n")
                        first, *lines = head.decode("latin-1").split("\r\n")
                        answer.status = int(first.split(" ")[1])
                        for line in lines:
                            name, _, value = line.partition(":")
                            answer.headers[name.strip().lower()] = value.strip()
                    length = int(answer.headers.get("content-length", "0"))
                    answer.body = received[:length]
                    if not answer.status or len(received) < length:
                        break
                    answer.is_whole, answer.ended_at = True, now()
                    received = received[length:]
                    current += 1
                if not part:
                    break
    except TimeoutError:
        answers[current].error = "time budget of the client"
    except OSError as error:
        answers[current].error = repr(error)
    finally:
        connection.close()
    for answer in answers[current:]:
        answer.ended_at = now()
        answer.error = answer.error or "connection ended"


def make_manifest(version, routes, services, **limits):
    """Return a manifest; `routes` and `services` are lists of their own fields."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
            **limits,
        },
    }


def make_route(name, prefix, kind, service, *, timeout_s, target_s, attempts=2, priority=1):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-s": timeout_s,
        "target-latency-s": target_s,
        "priority": priority,
        "service": service,
        "max-attempts": attempts,
        "sticky": True,
        "home-regions": [],
    }


def make_service(name, max_conns=390, warmup_s=3.0, cold_per_s=14.0):
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": max_conns,
        "protocol": "h1",
        "tls": False,
        "warmup-s": warmup_s,
        "cold-per-s": cold_per_s,
    }


def run_case(folder, main):
    """Run `main(folder, record)`, which returns a list of breaks, and exit as the issue says."""
    record = Record(folder)
    edges = []

    async def limited():
        # A stopped script ends its processes, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                async with asyncio.timeout(112.0):
                    return await main(temporary, record, edges)
            finally:
                for edge in edges:
                    if edge.process is not None and edge.process.returncode is None:
                        edge.process.kill()
                        await edge.process.wait()
                for edge in edges:
                    log = Path(temporary) / f"{edge.name}.log"
                    if os.environ.get("KEEP_LOGS") and log.exists():
                        Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())

    try:
        breaks = asyncio.run(limited())
    except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    for text in breaks:
        record.line(f"BROKEN: {text}")
    record.line(f"trouble {'on' if TROUBLE else 'off'}: {len(breaks)} breaks")
    print(f"trouble {'on' if TROUBLE else 'off'}: {len(breaks)} breaks")
    for text in breaks[:10]:
        print(" ", text)
    raise SystemExit(1 if breaks else 0)
