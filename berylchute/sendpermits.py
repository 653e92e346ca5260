"""Define the interface that decides whether an organisation's request may be sent now."""

from typing import Protocol

from berylchute.attempts import ActiveRequest

__all__ = ["SendPermits"]


class SendPermits(Protocol):
    """Permits to send the requests of organisations, one for each request."""

    async def acquire(self, active: ActiveRequest) -> float | None:
        """Acquire a permit before the first send; called only if `active.organisation` is set.

        Returns None if the request may be sent, else the time in seconds after which the refused
        caller may return. May wait for a short time, and is cancelled at the request's deadline.
        """
        ...

    def release(self, active: ActiveRequest) -> None:
        """Return the permit of a request that ended without being sent to any server."""
        ...
