"""Define the input of the router and its decisions."""

from enum import StrEnum

import attrs

from berylchute.admission import Size
from berylchute.regionindex import IndexedServer
from berylchute.spillover import RouteAction
from berylchute.types import ResourceId, ResourceUnits

__all__ = ["Candidate", "RankReason", "RouteRequest", "RoutingDecision"]


class RankReason(StrEnum):
    """The reason for a candidate's rank."""

    NEAREST_ZONE = "nearest_zone"
    PREFERRED_REGION = "preferred_region"
    SHIFTED_REGION = "shifted_region"
    NEXT_REGION = "next_region"
    LOW_WEIGHT = "low_weight"


@attrs.frozen
class RouteRequest:
    """The properties of a request that routing uses; times are on the host's monotonic clock.

    Units must be free until `deadline_s`. `request_bytes` and `answer_bytes` are expected sizes.
    `expected_wait_s` and `lower_plans_queued` come from the service's admission queue.
    `may_redirect` allows a displaced request to go to another region. `excluded_servers` are the
    names of the servers already tried.
    """

    plan: str
    service: str
    size: Size
    deadline_s: float
    request_bytes: int = 0
    answer_bytes: int = 0
    expected_wait_s: float = 0.0
    lower_plans_queued: int = 0
    may_redirect: bool = False
    excluded_servers: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A backend server that the request may use; a lower `score_s` is better.

    Constant properties are read from the index, because copying them for each candidate takes most
    of the time of a decision.
    """

    indexed_server: IndexedServer
    plan_units: ResourceUnits
    reason: RankReason
    score_s: float

    @property
    def server(self) -> str:
        """Return the name of the backend server."""
        return self.indexed_server.name

    @property
    def address(self) -> str:
        """Return the `ip:port` address of the server."""
        return self.indexed_server.address

    @property
    def availability_zone(self) -> str:
        """Return the name of the server's availability zone."""
        return self.indexed_server.availability_zone

    @property
    def region(self) -> str:
        """Return the name of the server's region."""
        return self.indexed_server.region

    @property
    def units(self) -> tuple[ResourceUnits, ...]:
        """Return the units to acquire: one each of the server, of the region and of the plan."""
        return (self.indexed_server.server_units, self.indexed_server.region_units, self.plan_units)

    @property
    def outbound_link(self) -> ResourceId:
        """Return the link from this host's region to the server's; empty within one region."""
        return self.indexed_server.outbound_link

    @property
    def return_link(self) -> ResourceId:
        """Return the link from the server's region to this host's; empty within one region."""
        return self.indexed_server.return_link


@attrs.frozen
class RoutingDecision:
    """Candidates with free units, best first, or none if the request must wait or be refused.

    `preferred_candidate` is the best one in the preferred region, with or without free units, or
    of another region if no server there is usable. Unmet demand is recorded only if it is set.
    """

    action: RouteAction
    candidates: tuple[Candidate, ...]
    preferred_candidate: Candidate | None
