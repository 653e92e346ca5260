"""Identify a request by its headers, and select the headers that servers receive.

Load: one call for each request of a configuration with organisations, and another one for those in
flight when the configuration changes.
"""

from collections.abc import Sequence
from enum import StrEnum

import attrs

from berylchute.callermessages import Header
from berylchute.organisations.directory import OrganisationDirectory
from berylchute.sharedobjects import Organisation

__all__ = ["Identity", "UnauthorizedReason", "identify_request"]

_AUTHORIZATION = b"authorization"


class UnauthorizedReason(StrEnum):
    """Why a request is not authorized; the values appear in events and metrics."""

    NO_KEY = "no_key"
    SEVERAL_KEYS = "several_keys"
    UNKNOWN_KEY = "unknown_key"
    KEY_REMOVED = "key_removed"


@attrs.frozen(eq=False)
class Identity:
    """Who sent a request, as of one configuration.

    `organisation` is None for a request of a public route without a valid key. `headers` are those
    for servers. `directory` is that of the configuration.
    """

    organisation: Organisation | None
    headers: Sequence[Header] = attrs.field(repr=False)
    directory: OrganisationDirectory


def identify_request(
    directory: OrganisationDirectory,
    headers: Sequence[Header],
    organisation_header: bytes,
    *,
    is_public: bool,
) -> Identity | UnauthorizedReason:
    """Return the identity of a request with these headers, or why it is not authorized.

    The headers for servers have no Authorization, and name the organisation in
    `organisation_header`, given in lower case, whatever the caller sent in it.
    """
    kept: list[Header] = []
    authorizations: list[bytes] = []
    for header in headers:
        name = header[0].lower()
        if name == _AUTHORIZATION:
            authorizations.append(header[1])
        elif name != organisation_header:
            kept.append(header)
    organisation = directory.find(authorizations[0]) if len(authorizations) == 1 else None
    if organisation is not None:
        kept.append((organisation_header.title(), organisation.name.encode()))
    elif not is_public:
        if not authorizations:
            return UnauthorizedReason.NO_KEY
        if len(authorizations) > 1:
            return UnauthorizedReason.SEVERAL_KEYS
        return UnauthorizedReason.UNKNOWN_KEY
    return Identity(organisation, kept, directory)
