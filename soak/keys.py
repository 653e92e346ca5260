"""API keys of the simulated organisations, which change while callers send requests."""

import time
from collections.abc import Mapping
from random import Random

from soak.records import CONFIG_DELAY_MAX_S, KeyPeriod, Records

__all__ = ["KEY_LEAD_S", "KeyRing"]

ORGANISATIONS = ("org-0", "org-1", "org-2")
# Part of the requests that are sent with a removed key.
REMOVED_KEY_RATIO = 0.1
# A new key is used once every edge must know it.
KEY_LEAD_S = CONFIG_DELAY_MAX_S + 1.0


class KeyRing:
    """Two keys of each organisation, of which callers use the older one; changes are recorded."""

    def __init__(self, records: Records, rng: Random) -> None:
        self._records = records
        self._rng = rng
        self._count = 0
        for organisation in ORGANISATIONS * 2:
            self._add(organisation, 0.0)

    def valid(self) -> Mapping[str, list[str]]:
        """Return the valid keys of each organisation."""
        keys: dict[str, list[str]] = {organisation: [] for organisation in ORGANISATIONS}
        for period in self._records.keys:
            if period.end_s is None:
                keys[period.organisation].append(period.key)
        return keys

    def choose(self, rng: Random) -> str:
        """Return a key for a request: the oldest valid one of an organisation, or a removed one."""
        removed = [period.key for period in self._records.keys if period.end_s is not None]
        if removed and rng.random() < REMOVED_KEY_RATIO:
            return rng.choice(removed)
        return rng.choice([keys[0] for keys in self.valid().values()])

    def replace_key(self) -> None:
        """Remove the oldest key of an organisation whose next one is known, and add another one."""
        now_s = time.monotonic()
        periods = [period for period in self._records.keys if period.end_s is None]
        organisation = self._rng.choice(ORGANISATIONS)
        oldest, following = [p for p in periods if p.organisation == organisation]
        if following.start_s == 0.0 or now_s - following.start_s > KEY_LEAD_S:
            oldest.end_s = now_s
            self._add(organisation, now_s)

    def _add(self, organisation: str, start_s: float) -> None:
        self._count += 1
        key = f"key{self._count}of{organisation}"
        self._records.keys.append(KeyPeriod(key, organisation, start_s))
