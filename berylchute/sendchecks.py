"""Check who sends a request, and whether it may be sent now, before each send."""

from typing import Protocol

from berylchute.attempts import ActiveRequest
from berylchute.callers import CallerRequest
from berylchute.organisations import Identity, UnauthorizedReason, identify_request
from berylchute.requestends import RequestEnds
from berylchute.routeindex import RouteIndex
from berylchute.sharedobjects import Route

__all__ = ["SendChecks", "SendPermits"]


class SendPermits(Protocol):
    """Permits to send the requests of organisations, one for each request."""

    async def acquire(self, active: ActiveRequest) -> float | None:
        """Acquire a permit of `active.organisation`, which is set, before the first send.

        Returns None if the request may be sent, else the time in seconds after which the refused
        caller may return. May wait for a short time, and is cancelled at the request's deadline.
        """
        ...

    def release(self, active: ActiveRequest) -> None:
        """Return the permit of a request that was not sent to any server.

        `active.permit_of` is the organisation that it was acquired for.
        """
        ...


class SendChecks:
    """Identify requests by the configuration in force, and acquire permits for them."""

    def __init__(
        self,
        routes: RouteIndex,
        organisation_header: bytes,
        ends: RequestEnds,
        permits: SendPermits | None,
    ) -> None:
        self._routes = routes
        self._organisation_header = organisation_header
        self._ends = ends
        self._permits = permits

    def identify(
        self, request: CallerRequest, route: Route
    ) -> Identity | UnauthorizedReason | None:
        """Return who sent a request, None if the configuration has no organisations."""
        directory = self._routes.organisations
        if directory is None:
            return None
        return identify_request(
            directory, request.headers, self._organisation_header, is_public=route.is_public
        )

    def is_identity_current(self, active: ActiveRequest) -> bool:
        """Return whether the request was identified by the configuration in force.

        Requests in flight keep their identity when a configuration has no organisations.
        """
        directory = self._routes.organisations
        return directory is None or (
            active.identity is not None and active.identity.directory is directory
        )

    async def may_send(self, active: ActiveRequest) -> bool:
        """Return whether a request may be sent now; if not, end it."""
        while True:
            if not self.is_identity_current(active) and not self._renew_identity(active):
                return False
            organisation = active.organisation
            if self._permits is None or organisation is None or not active.was_never_sent:
                return True
            if active.permit_of is not None:
                if active.permit_of.name == organisation.name:
                    return True
                # The key belongs to another organisation since the permit was acquired.
                self.release_unused(active)
            retry_after_s = await self._permits.acquire(active)
            if retry_after_s is not None:
                self._ends.refuse_over_allotment(active, retry_after_s)
                return False
            # The configuration may have changed meanwhile, so the identity is checked again.
            active.permit_of = organisation

    def release_unused(self, active: ActiveRequest) -> None:
        """Return the permit of a request that was never sent, if it has one."""
        if self._permits is None or active.permit_of is None or not active.was_never_sent:
            return
        self._permits.release(active)
        active.permit_of = None

    def _renew_identity(self, active: ActiveRequest) -> bool:
        """Identify a request by a new configuration; if it is not authorized by it, end it."""
        request = active.request
        route = self._routes.find(request.host, request.path) or active.route
        identity = self.identify(request, route)
        if isinstance(identity, UnauthorizedReason):
            was_valid = active.organisation is not None
            active.reason = UnauthorizedReason.KEY_REMOVED if was_valid else identity
            if active.was_never_sent:
                self._ends.refuse_unauthorized(active.pending, active, active.reason)
            else:
                self._ends.end_unanswered(active)
            return False
        if identity is not None:
            active.apply_identity(identity)
        return True
