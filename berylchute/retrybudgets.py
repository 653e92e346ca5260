"""Hold the retry budgets of all services."""

from berylchute.discovery import MemberDiscovery
from berylchute.retrybudget import RetryBounds, RetryBudget

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """The retry budget of each service; `bounds` may be replaced and holds for all."""

    def __init__(self, bounds: RetryBounds, discovery: MemberDiscovery) -> None:
        self.bounds = bounds
        self._discovery = discovery
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.bounds, self._discovery)
        budget.bounds = self.bounds
        return budget
