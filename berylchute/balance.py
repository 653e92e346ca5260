"""Observe backend servers and weigh them against their siblings."""

from collections.abc import Iterable
from typing import Literal

import attrs

from berylchute.config import Configuration

__all__ = ["LoadReport", "ServerObserver", "ServerSnapshot"]


@attrs.frozen
class LoadReport:
    """A server's own statement at its health endpoint; `load` is 0 to 1."""

    state: Literal["ready", "draining", "cold"]
    load: float
    free_slots: int


@attrs.frozen
class ServerSnapshot:
    """What this host has observed of one server, for `explain` and metrics."""

    server: str
    in_flight: int
    latency_s: float
    weight: float
    ejected: bool


class ServerObserver:
    """Track in-flight requests, latency, failures and reports of every backend server."""

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Follow the configured servers; those added after the first call start slowly."""
        raise NotImplementedError

    def record_sent(self, server: str, now_s: float) -> None:
        """Record that an attempt was sent."""
        raise NotImplementedError

    def record_answer(self, server: str, latency_s: float, now_s: float) -> None:
        """Record a complete answer and its latency in seconds; ends one attempt in flight."""
        raise NotImplementedError

    def record_failure(self, server: str, now_s: float, *, was_sent: bool) -> None:
        """Record a refused connection, broken exchange or shed request."""
        raise NotImplementedError

    def record_cancel(self, server: str, elapsed_s: float, now_s: float) -> None:
        """Record a cancelled or timed-out attempt without an answer after `elapsed_s`."""
        raise NotImplementedError

    def record_report(self, server: str, report: LoadReport, now_s: float) -> None:
        """Record a load report; it can only lower the server's rank."""
        raise NotImplementedError

    def restart_slowly(self, servers: Iterable[str], now_s: float) -> None:
        """Let the servers start again with a small, rising share (cold caches, shifts)."""
        raise NotImplementedError

    def score_s(self, server: str, now_s: float) -> float:
        """Return peak-EWMA latency x (in flight + 1) in seconds, raised by bad reports."""
        raise NotImplementedError

    def latency_s(self, server: str, now_s: float) -> float:
        """Return the peak-EWMA latency in seconds."""
        raise NotImplementedError

    def weight(self, server: str, now_s: float) -> float:
        """Return the share, 0 (ejected) to 1, of the load that the server should get."""
        raise NotImplementedError

    def in_flight(self, server: str) -> int:
        """Return the attempts of this host that the server has not ended."""
        raise NotImplementedError

    def snapshot(self, server: str, now_s: float) -> ServerSnapshot:
        """Return what has been observed of one server."""
        raise NotImplementedError
