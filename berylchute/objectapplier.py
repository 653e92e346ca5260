"""Apply shared objects to the parts of the edge program that use them."""

from berylchute.allotments import Allotments
from berylchute.backends import Backends
from berylchute.callers import CallerServer
from berylchute.eventlog import EventLog
from berylchute.routeindex import RouteIndex
from berylchute.sharedobjects import RouteTable, ServerList, ZoneDrains, decode_object
from berylchute.types import Clock, StoredObject

__all__ = ["ObjectApplier"]


class ObjectApplier:
    """Decode shared objects and apply them.

    `updated_at_s` maps the key of each object to the time of its last change.
    """

    def __init__(
        self,
        routes: RouteIndex,
        backends: Backends,
        caller_server: CallerServer,
        allotments: Allotments,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._routes = routes
        self._backends = backends
        self._caller_server = caller_server
        self._allotments = allotments
        self._clock = clock
        self._log = log
        self.updated_at_s: dict[str, float] = {}

    def apply(self, stored: StoredObject) -> None:
        """Decode a shared object and apply it; raise ConfigError."""
        value = decode_object(stored.key, stored.value)
        self.updated_at_s[stored.key] = self._clock.now_s()
        if isinstance(value, RouteTable):
            newer = self._routes.replace(value)
            if newer:
                self._backends.configure(value)
                self._caller_server.limits = value.limits
                self._allotments.configure(value.organisations)
            self._log.event(
                "routes",
                number=value.number,
                version=stored.version,
                newer=newer,
                organisations=len(value.organisations),
            )
        elif isinstance(value, ServerList):
            self._backends.update_servers(value)
            self._log.event("servers", count=len(value.entries), version=stored.version)
        elif isinstance(value, ZoneDrains):
            returned = self._backends.drain_zones(value.availability_zones)
            self._log.event(
                "zone_drains",
                zones=value.availability_zones,
                returned=returned,
                version=stored.version,
            )
