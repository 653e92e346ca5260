"""What routing reads from other parts of the process."""

from collections.abc import Mapping
from typing import Protocol

from berylchute.types import ResourceId

__all__ = ["DrainView", "FreeUnitsView", "LinkView", "ShiftView"]


class DrainView(Protocol):
    """Report which servers, hosts, availability zones and regions are draining."""

    def is_draining(self, target: str, name: str) -> bool:
        """Return whether `name` is draining; `target` is its type.

        The type is server, host, availability_zone or region.
        """
        ...


class ShiftView(Protocol):
    """Report how active shifts split the requests of a service over regions."""

    def region_weights(self, service: str, region: str) -> Mapping[str, float]:
        """Return the fraction of requests preferring `region` that each region receives.

        The fractions sum to 1; the mapping is empty when no shift applies to the region.
        """
        ...


class FreeUnitsView(Protocol):
    """Report the free units of this host; every `CapacityLedger` implements it."""

    def free_units(self, resource: ResourceId, until_s: float, now_s: float) -> int:
        """Return the units that a request ending by `until_s` could acquire now."""
        ...


class LinkView(Protocol):
    """Report how long transfers wait for this host's budget on a link."""

    def wait_s(self, link: ResourceId, size_bytes: int, now_s: float) -> float:
        """Return the expected seconds until `size_bytes` may be sent."""
        ...
