"""Define what routing is asked and what it answers."""

from enum import StrEnum

import attrs

from berylchute.admission import Size
from berylchute.spillover import RouteAction
from berylchute.topology import IndexedServer
from berylchute.types import ResourceId, ResourceUnits

__all__ = ["Candidate", "RankReason", "Route", "RouteRequest"]


class RankReason(StrEnum):
    """Why a candidate has its rank."""

    NEAREST_ZONE = "nearest_zone"
    PREFERRED_REGION = "preferred_region"
    SHIFTED_REGION = "shifted_region"
    NEXT_REGION = "next_region"
    LOW_WEIGHT = "low_weight"


@attrs.frozen
class RouteRequest:
    """What routing needs to know of a request; times are on the host's monotonic clock.

    `until_s` is the deadline; `request_bytes` and `answer_bytes` are expected sizes;
    `expected_wait_s` and `lower_plans_queued` come from the service's admission queue;
    `may_move` sends a displaced request on; `excluded` names servers already tried.
    """

    plan: str
    service: str
    size: Size
    until_s: float
    request_bytes: int = 0
    answer_bytes: int = 0
    expected_wait_s: float = 0.0
    lower_plans_queued: int = 0
    may_move: bool = False
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A backend server that the request may use; `score_s` is lower for a better one.

    Static facts stay in the index because building them anew takes most of a decision's time.
    """

    target: IndexedServer
    plan_units: ResourceUnits
    reason: RankReason
    score_s: float

    @property
    def server(self) -> str:
        """Return the server's name."""
        return self.target.name

    @property
    def address(self) -> str:
        """Return the server's `ip:port`."""
        return self.target.address

    @property
    def availability_zone(self) -> str:
        """Return the server's availability zone."""
        return self.target.availability_zone

    @property
    def region(self) -> str:
        """Return the server's region."""
        return self.target.region

    @property
    def units(self) -> tuple[ResourceUnits, ...]:
        """Return what the request takes: a slot of the server, a unit of region and plan."""
        return (self.target.units, self.target.region_units, self.plan_units)

    @property
    def link_out(self) -> ResourceId:
        """Return the link from this host's region to the server; empty within the region."""
        return self.target.link_out

    @property
    def link_back(self) -> ResourceId:
        """Return the link from the server to this host's region; empty within the region."""
        return self.target.link_back


@attrs.frozen
class Route:
    """Candidates with free units, best first, or what to wait for.

    `wanted` is the best candidate in the preferred region whatever its headroom; unmet
    demand is noted for its units.
    """

    action: RouteAction
    candidates: tuple[Candidate, ...]
    wanted: Candidate | None
