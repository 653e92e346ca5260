"""Hold the state of requests that wait for a backend server or were placed on one."""

import anyio
import attrs

from berylchute.admission import QueueRefusalReason
from berylchute.forwardedrequest import ForwardedRequest, Placement
from berylchute.refusals import RefusedError
from berylchute.routes import Candidate
from berylchute.types import Reservation

__all__ = ["CapacityPlacement", "Waiter"]


@attrs.define(eq=False)
class CapacityPlacement(Placement):
    """A placement and the reservation of its units."""

    candidate: Candidate
    reservation: Reservation
    service: str
    kind: str
    is_released: bool = False


@attrs.define(eq=False)
class Waiter:
    """A queued request until it has a placement, a refusal or an error."""

    request: ForwardedRequest
    excluded_servers: frozenset[str]
    ready: anyio.Event
    placement: CapacityPlacement | None = None
    refusal: QueueRefusalReason | None = None
    error: RefusedError | None = None
