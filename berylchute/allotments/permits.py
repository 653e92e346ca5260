"""Decide for each request whether its organisation's allotment lets it pass.

Load handled: requests that are refused for other reasons before they are sent.
"""

from weakref import WeakKeyDictionary

from berylchute.allotments.holder import Verdict
from berylchute.allotments.service import Allotments
from berylchute.attempts import ActiveRequest

__all__ = ["AllotmentPermits"]


class AllotmentPermits:
    """The tokens of requests in flight; implements SendPermits."""

    def __init__(self, allotments: Allotments) -> None:
        self._allotments = allotments
        self._verdicts: WeakKeyDictionary[ActiveRequest, Verdict] = WeakKeyDictionary()

    async def acquire(self, active: ActiveRequest) -> float | None:
        """Return None if the request may be sent, else when its caller may return."""
        organisation = active.organisation
        if organisation is None or organisation.rate_per_s <= 0.0:
            return None
        verdict = await self._allotments.acquire(organisation, active.deadline_s)
        if not verdict.is_allowed:
            return verdict.retry_after_s
        self._verdicts[active] = verdict
        return None

    def release(self, active: ActiveRequest) -> None:
        """Return the token of a request that was not sent to any server."""
        verdict = self._verdicts.pop(active, None)
        if verdict is not None and active.permit_of is not None:
            self._allotments.give_back(active.permit_of.name, verdict)
