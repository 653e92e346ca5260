"""Combine the home regions of routes and organisations.

Load: one call for each request of a configuration with organisations.
"""

from collections.abc import Collection

from berylchute.sharedobjects import Organisation, Route

__all__ = ["combine_home_regions"]


def combine_home_regions(route: Route, organisation: Organisation | None) -> Collection[str] | None:
    """Return the regions that both allow, None for all; no server may be used if it is empty."""
    if organisation is None or not organisation.home_regions:
        return route.home_regions or None
    if not route.home_regions:
        return organisation.home_regions
    return frozenset(route.home_regions).intersection(organisation.home_regions)
