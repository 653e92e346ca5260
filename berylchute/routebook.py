"""Find the route of a request and the service that carries it."""

from collections.abc import Sequence

import attrs

from berylchute.services import Route, RouteShare, RouteTable

__all__ = ["RouteBook"]


@attrs.define
class _Split:
    """Smooth weighted round robin over the shares of one route."""

    shares: Sequence[RouteShare]
    credits: list[float]

    def next_service(self) -> str:
        total = 0.0
        best = 0
        for index, share in enumerate(self.shares):
            self.credits[index] += share.weight
            total += share.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= total
        return self.shares[best].service


class RouteBook:
    """Hold the route table in force."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._by_host: dict[str, list[Route]] = {}
        self._splits: dict[str, _Split] = {}

    def replace(self, table: RouteTable) -> bool:
        """Put a newer table in force; tell whether it was newer."""
        if self.table is not None and table.number < self.table.number:
            return False
        self.table = table
        self._by_host = {}
        for route in table.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._splits = {}
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path on a host."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def homes(self, host: str) -> frozenset[str]:
        """Return the regions to which any route of a host is bound."""
        routes = self._by_host.get(host, ())
        return frozenset(region for route in routes for region in route.home_regions)

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route, by the weights of its shares."""
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = _Split(route.shares, [0.0] * len(route.shares))
        return split.next_service()
