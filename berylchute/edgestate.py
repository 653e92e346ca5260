"""Read the state of the edge program for its metrics."""

from collections import Counter
from collections.abc import Sequence

from berylchute.backends import Backends
from berylchute.bodymemory import BodyMemory
from berylchute.callerlimits import CallerGuard
from berylchute.collection import CollectionFeed
from berylchute.edgemetrics import EdgeState
from berylchute.eventlog import EventLog
from berylchute.node import Node
from berylchute.objectapplier import ObjectApplier
from berylchute.regionsends import RegionSends
from berylchute.requesthandler import RequestHandler
from berylchute.routeindex import RouteIndex
from berylchute.storecontact import StoreProbe

__all__ = ["EdgeStateReader"]


class EdgeStateReader:
    """Read counts and gauges that the parts of the edge program keep."""

    def __init__(
        self,
        *,
        node: Node,
        routes: RouteIndex,
        backends: Backends,
        handler: RequestHandler,
        objects: ObjectApplier,
        feeds: Sequence[CollectionFeed],
        probe: StoreProbe,
        region_sends: RegionSends,
        log: EventLog,
        guard: CallerGuard,
        memory: BodyMemory,
    ) -> None:
        self._node = node
        self._routes = routes
        self._backends = backends
        self._handler = handler
        self._objects = objects
        self._feeds = feeds
        self._probe = probe
        self._region_sends = region_sends
        self._log = log
        self._guard = guard
        self._memory = memory

    def read(self) -> EdgeState:
        """Return the state for the metrics collector."""
        table = self._routes.table
        now_s = self._node.clock.now_s()
        readers: Sequence[CollectionFeed | StoreProbe] = [*self._feeds, self._probe]
        return EdgeState(
            requests_in_flight=self._handler.in_flight,
            routes_number=table.number if table else 0,
            servers=len(self._backends),
            limited_servers=self._backends.limited_count(),
            members=Counter(status.state.value for status in self._node.members.list_members()),
            store_silence_s=now_s - max(feed.last_success_s for feed in self._feeds),
            object_ages_s={
                key: now_s - updated_at_s
                for key, updated_at_s in self._objects.updated_at_s.items()
            },
            store_calls={reader.name: reader.calls for reader in readers},
            store_failures={reader.name: reader.failures for reader in readers},
            store_malformed={feed.name: feed.malformed for feed in self._feeds},
            region_sends=self._region_sends.counts,
            connections_opened=self._backends.connections_opened(),
            log_lines_dropped_full=self._log.lines_dropped_buffer_full,
            log_lines_dropped_rate=self._log.lines_dropped_over_rate,
            log_lines_dropped_unwritable=self._log.lines_dropped_unwritable,
            callers=self._guard.read_state(self._memory),
        )
