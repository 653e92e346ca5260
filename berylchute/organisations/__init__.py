"""Identify the organisation of a request by its key, and what follows from it."""

from berylchute.organisations.directory import OrganisationDirectory
from berylchute.organisations.homeregions import combine_home_regions
from berylchute.organisations.identification import Identity, UnauthorizedReason, identify_request

__all__ = [
    "Identity",
    "OrganisationDirectory",
    "UnauthorizedReason",
    "combine_home_regions",
    "identify_request",
]
