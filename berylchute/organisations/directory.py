"""Find the organisation that a key belongs to.

Load: some 1,000 look-ups a second of the keys of 80 organisations, a few keys each; a new
directory with each configuration.
"""

from collections.abc import Sequence

from berylchute.bearertokens import DigestIndex
from berylchute.sharedobjects import Organisation

__all__ = ["OrganisationDirectory"]

# Six times as many as 80 organisations with two keys use. Only values with a known key are kept, so
# that callers without one can't displace others.
CACHED_VALUES_MAX = 1024
# Keys may be as long as a request head. Longer values are hashed at each look-up, which takes
# microseconds, instead of being kept in memory.
CACHED_VALUE_BYTES_MAX = 512


class OrganisationDirectory:
    """The organisations of one configuration by the digests of their keys."""

    def __init__(self, organisations: Sequence[Organisation]) -> None:
        self._by_digest = DigestIndex(
            (digest_hex, organisation)
            for organisation in organisations
            for digest_hex in organisation.key_sha256
        )
        # Keyed by Authorization values; it ends with the configuration and is never logged.
        self._cache: dict[bytes, Organisation] = {}

    def find(self, authorization: bytes) -> Organisation | None:
        """Return the organisation of an Authorization value; None if its key is unknown."""
        organisation = self._cache.get(authorization)
        if organisation is None:
            organisation = self._by_digest.find(authorization)
            is_short = len(authorization) <= CACHED_VALUE_BYTES_MAX
            if organisation is not None and is_short and len(self._cache) < CACHED_VALUES_MAX:
                self._cache[authorization] = organisation
        return organisation

    def __repr__(self) -> str:
        """Return a text without keys."""
        return f"OrganisationDirectory({len(self._cache)} cached)"
