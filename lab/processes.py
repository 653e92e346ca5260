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

__all__ = ["Process", "free_ports", "send_json", "send_request", "wait_until"]


# Below the kernel's ephemeral port range: a port selected from that range was taken by an outgoing
# connection before its process listened on it.
LISTEN_PORTS = range(12_000, 32_000)
_returned_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on and that were not returned before."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(LISTEN_PORTS)
        if port in _returned_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _returned_ports.add(port)
        ports.append(port)
    return ports


def send_request(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> httpcore.Response:
    """Send one HTTP request on its own connection; raise httpcore errors."""
    timeouts_s = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    header_fields = [("Host", "lab"), ("Content-Length", str(len(body))), *(headers or {}).items()]
    return httpcore.request(
        method, url, headers=header_fields, content=body, extensions={"timeout": timeouts_s}
    )


def send_json(method: str, url: str, value: Any = None) -> Any:
    """Send one HTTP request with a JSON body and return the decoded JSON response body."""
    body = b"" if value is None else msgspec.json.encode(value)
    return msgspec.json.decode(send_request(method, url, body).content)


def wait_until(condition: Callable[[], bool], timeout_s: float, failure: str) -> None:
    """Poll a condition every 50 ms; on timeout raise TimeoutError with `failure` in its message."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"{failure} after {timeout_s:.0f} s")
        time.sleep(0.05)


@attrs.define
class Process:
    """One child process and the log file of its output."""

    name: str
    popen: subprocess.Popen[bytes]
    log_file: Path

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to this process only, unless it has exited."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, signal_number)

    def log_tail(self, lines: int = 12) -> str:
        """Return the last lines of the log file."""
        return "\n".join(self.log_file.read_text("utf-8", "replace").splitlines()[-lines:])

    def cpu_s(self) -> float:
        """Return the CPU time used so far in user and kernel mode."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text("ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Return the resident set size."""
        fields = Path(f"/proc/{self.popen.pid}/statm").read_text("ascii").split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")
