"""Child processes, free ports and single HTTP calls for the launcher and the scenarios."""

import os
import random
import socket
import subprocess
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import attrs
import httpcore
import msgspec

__all__ = ["Process", "call", "call_json", "free_ports", "wait_until"]


# Below the range from which the kernel takes ports of outgoing connections: a port chosen there
# was taken by a connection before its process listened on it.
LISTEN_PORTS = range(12_000, 32_000)
_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on and that were not returned before."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(LISTEN_PORTS)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        ports.append(port)
    return ports


def call(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> httpcore.Response:
    """Make one HTTP call on its own connection; raise httpcore errors."""
    limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    fields = [("Host", "lab"), ("Content-Length", str(len(body))), *(headers or {}).items()]
    return httpcore.request(
        method, url, headers=fields, content=body, extensions={"timeout": limits}
    )


def call_json(method: str, url: str, value: Any = None) -> Any:
    """Make one HTTP call with a JSON body and return the decoded JSON answer."""
    body = b"" if value is None else msgspec.json.encode(value)
    return msgspec.json.decode(call(method, url, body).content)


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Poll a condition; raise TimeoutError naming what was awaited."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"{what} after {timeout_s:.0f} s")
        time.sleep(0.05)


@attrs.define
class Process:
    """One child process and the file that receives its output."""

    name: str
    popen: subprocess.Popen[bytes]
    log_file: Path

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def log_tail(self, lines: int = 12) -> str:
        """Return the last lines of the output."""
        return "\n".join(self.log_file.read_text("utf-8", "replace").splitlines()[-lines:])

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text("ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Return the resident memory."""
        fields = Path(f"/proc/{self.popen.pid}/statm").read_text("ascii").split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")
