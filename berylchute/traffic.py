"""Apply drains, shifts, share claims and server health in the entry program."""

import logging
from collections.abc import Mapping
from random import Random

import anyio

from berylchute.balance import ServerObserver
from berylchute.claims import ClaimIdentity, ClaimTask
from berylchute.config import Configuration
from berylchute.drains import DRAINS_KEY, DrainSet
from berylchute.exceptions import ConfigError
from berylchute.health import HealthPoller
from berylchute.ledger import Ledger
from berylchute.node import Node
from berylchute.sharecontrol import ShareController
from berylchute.shares import link_resource, server_resource
from berylchute.shiftrunner import ShiftRunner, free_slots_key
from berylchute.shifts import SHIFTS_KEY, ShiftSet
from berylchute.types import StoredObject

__all__ = ["TrafficTasks", "count_free_units"]

logger = logging.getLogger(__name__)


def count_free_units(configuration: Configuration, ledger: Ledger, now_s: float) -> dict[str, int]:
    """Return this host's free units: slots by service and region, and units by link.

    Servers without free slots are left out; a full link is reported, since a link without reports
    counts as free.
    """
    region_of = {zone.name: zone.region for zone in configuration.availability_zones}
    free: dict[str, int] = {}
    for server in configuration.backend_servers:
        units = ledger.free_units(server_resource(server.name), now_s + 1.0, now_s)
        if units:
            key = free_slots_key(server.service, region_of[server.availability_zone])
            free[key] = free.get(key, 0) + units
    for link in configuration.links:
        resource = link_resource(link.from_region, link.to_region)
        free[resource] = ledger.free_units(resource, now_s + 1.0, now_s)
    return free


class TrafficTasks:
    """Keep the declared drains and shifts, and run the tasks that apply them."""

    def __init__(self, node: Node, ledger: Ledger, observer: ServerObserver) -> None:
        self.drains = DrainSet()
        self.shifts = ShiftSet()
        self._node = node
        self._observer = observer
        record = node.record
        self._health_poller = HealthPoller(
            node.clock, observer.record_report, self.drains.set_reported_servers
        )
        self._shift_runner = ShiftRunner(
            record.host_id,
            node.store,
            node.members,
            observer,
            self.shifts,
            node.clock,
            node.apply_object,
        )
        controller = ShareController(
            record.host_id, record.position, record.incarnation, node.clock.now_s(), ledger
        )
        self._claim_task = ClaimTask(
            ClaimIdentity(record.host_id, record.position, record.incarnation),
            controller,
            node.store,
            node.objects,
            node.members,
            node.clock,
            Random(),
            node.apply_object,
            node.set_settled_version,
            node.list_platform_hosts,
        )

    def configure(self, configuration: Configuration, own_shares: Mapping[str, int]) -> None:
        """Poll the health of the backend servers of which this host has a share."""
        self._health_poller.configure(
            {
                server.name: server
                for server in configuration.backend_servers
                if own_shares.get(server_resource(server.name), 0)
            }
        )

    def is_host_draining(self) -> bool:
        """Return whether this host, its availability zone or its region is draining."""
        record, is_draining = self._node.record, self.drains.is_draining
        return (
            is_draining("host", record.position)
            or is_draining("availability_zone", record.availability_zone)
            or is_draining("region", record.region)
        )

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._subscribe_objects)
            tasks.start_soon(self._health_poller.run)
            tasks.start_soon(self._claim_task.run)
            tasks.start_soon(self._shift_runner.run, self._current_configuration)

    def _current_configuration(self) -> Configuration | None:
        active = self._node.active_configuration
        return None if active is None else active.configuration

    async def _subscribe_objects(self) -> None:
        async for stored in self._node.subscribe_objects(DRAINS_KEY, SHIFTS_KEY):
            try:
                self._apply(stored)
            except ConfigError as error:
                logger.error(
                    "object %s is invalid, keeping the previous one: %s", stored.key, error
                )

    def _apply(self, stored: StoredObject) -> None:
        if stored.key == DRAINS_KEY:
            self.drains.update_from_object(stored.value)
            return
        previous = {shift.id: shift.current_percent for shift in self.shifts.shifts}
        self.shifts.update_from_object(stored.value)
        for shift in self.shifts.shifts:
            if shift.current_percent > 0 and shift.id not in previous:
                self._ramp_up_servers(shift.service, shift.to_region)

    def _ramp_up_servers(self, service: str, region: str) -> None:
        """Ramp up the servers of a region that a shift starts to use; their caches are cold."""
        configuration = self._current_configuration()
        if configuration is None:
            return
        region_of = {zone.name: zone.region for zone in configuration.availability_zones}
        self._observer.restart_slow_start(
            [
                server.name
                for server in configuration.backend_servers
                if server.service == service and region_of[server.availability_zone] == region
            ],
            self._node.clock.now_s(),
        )
