"""Find the route of a request, and select its service by weight."""

from collections.abc import Sequence

import attrs

from berylchute.organisations import OrganisationDirectory
from berylchute.sharedobjects import Route, RouteShare, RouteTable

__all__ = ["RouteIndex"]


@attrs.define
class _WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route."""

    shares: Sequence[RouteShare]
    credits: list[float]

    def select_service(self) -> str:
        total = 0.0
        best = 0
        for index, share in enumerate(self.shares):
            self.credits[index] += share.weight
            total += share.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= total
        return self.shares[best].service


class _HostRoutes:
    """The routes of one host by path prefix; the first of two with the same prefix counts.

    Load handled: thousands of routes of one host. A look-up depends on the number of different
    lengths of prefixes only.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self._by_prefix: dict[str, Route] = {}
        for route in routes:
            self._by_prefix.setdefault(route.path_prefix, route)
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix}, reverse=True)
        self.home_regions = frozenset(region for route in routes for region in route.home_regions)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix of `path`, or None."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteIndex:
    """The current route table, indexed by host and path prefix.

    `organisations` is None if callers need no keys, and another object after each change.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.organisations: OrganisationDirectory | None = None
        self._by_host: dict[str, _HostRoutes] = {}
        self._round_robins: dict[str, _WeightedRoundRobin] = {}

    def replace(self, table: RouteTable) -> bool:
        """Replace the route table unless `table` is older; return whether it was replaced."""
        if self.table is not None and table.number < self.table.number:
            return False
        self.table = table
        self.organisations = (
            OrganisationDirectory(table.organisations) if table.organisations else None
        )
        by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            by_host.setdefault(route.host, []).append(route)
        self._by_host = {host: _HostRoutes(routes) for host, routes in by_host.items()}
        self._round_robins = {}
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix of `path`, or None."""
        routes = self._by_host.get(host)
        return routes.find(path) if routes is not None else None

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the home regions of a host's routes; empty if none is bound to regions."""
        routes = self._by_host.get(host)
        return routes.home_regions if routes is not None else frozenset()

    def select_service(self, route: Route) -> str:
        """Return the service for the next request of a route, in proportion to the weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = _WeightedRoundRobin(
                route.shares, [0.0] * len(route.shares)
            )
        return round_robin.select_service()
