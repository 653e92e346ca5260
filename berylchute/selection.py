"""Select the backend server for a request by affinity, bounded by load."""

import math
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum

import attrs

from berylchute.backends import Backends, Preference
from berylchute.candidates import Candidates, SkipReason
from berylchute.serverlimits import ServerLimits
from berylchute.servers import Server
from berylchute.spillshare import SpillLimiter, SpillMode

__all__ = ["NoServerReason", "Selection", "Selector", "SkipReason"]

# Servers that hold a key's objects; the second one is used when the first is full. A third one
# would spread the objects over too many servers (docs/MEASUREMENTS.md).
PREFERRED_SERVERS = 2
# Ratio of requests to slots from which a server is full. A short queue keeps the slots busy: 1.0
# serves fewer requests, and 1.6 serves no more (docs/MEASUREMENTS.md).
FULL_LOAD_RATIO = 1.25
# The same for callers that return after a refusal: they find room where new callers are refused,
# at the price of a short wait.
RETURN_FULL_LOAD_RATIO = 1.6
# Ratio of requests to slots below which a server substitutes for a slow one: servers slow down when
# nearly all of their slots are taken.
SUBSTITUTE_LOAD_RATIO = 0.8
# Ratio of requests to slots below which a further server substitutes for one that its stated limit
# keeps out. It is low, because the further server holds no objects of the key, and would meet more
# objects than it can keep.
LIMIT_SUBSTITUTE_LOAD_RATIO = 0.15


class NoServerReason(StrEnum):
    """Why no server was selected; the values appear in events and metrics."""

    NO_SERVER = "no_server"
    ALL_FULL = "all_full"
    RATE_LIMITED = "rate_limited"
    SPILL_LIMITED = "spill_limited"
    PAUSED = "paused"
    NO_COMMON_REGION = "no_common_region"


@attrs.frozen
class Selection:
    """The selected server or the reason why there is none.

    `load` is that of the selected server, or the least load of the full ones. `rank` is the number
    of servers that were examined before. `report_age_s` is infinite if the
    server has not reported its load. `skip_reason` is None if the server is the first of the key.
    `retry_after_s` is the time until the first of the servers accepts requests, if all pause.
    `has_free_slot` means that a server was full only by a ratio below 1.
    """

    server: Server | None
    no_server_reason: NoServerReason | None = None
    load: float = 0.0
    report_age_s: float = 0.0
    rank: int = 0
    skip_reason: SkipReason | None = None
    retry_after_s: float = 0.0
    has_free_slot: bool = False


class Selector:
    """Select among the servers of a service.

    `is_cold_sender` returns whether this member may send to a cold server.
    """

    def __init__(
        self,
        backends: Backends,
        is_cold_sender: Callable[[Server], bool],
        limits: ServerLimits,
        spill: SpillLimiter,
    ) -> None:
        self._backends = backends
        self._spill = spill
        self._is_cold_sender = is_cold_sender
        self._limits = limits

    def select(
        self,
        service: str,
        key: str,
        goal_s: float,
        is_upload: bool,
        is_allowed_zone: Callable[[str], bool],
        tried_ids: Collection[str],
        now_s: float,
        *,
        is_return: bool = False,
        full_ratio: float | None = None,
    ) -> Selection:
        """Return the first of a key's preferred servers that is not full.

        Servers in `tried_ids`, in zones for which `is_allowed_zone` is false, and those that accept
        no further request of this member for now are skipped. A server that is likely to exceed the
        latency objective `goal_s` is selected only if the other preferred one is too loaded to
        substitute for it. A caller that returns after a refusal (`is_return`) may be sent to a
        server with a longer queue. `full_ratio` replaces the ratio of requests to slots from which
        a server is full.
        """
        preference = self._backends.preference(service, key, is_upload=is_upload)
        if full_ratio is None:
            full_ratio = RETURN_FULL_LOAD_RATIO if is_return else FULL_LOAD_RATIO
        candidates = Candidates(
            preference,
            lambda server: self._unusable_reason(server, is_allowed_zone, tried_ids, now_s),
        )

        def select_in(mode: SpillMode) -> Selection:
            examined = candidates.examine(mode)
            return self._select_examined(examined, goal_s, full_ratio, now_s, is_return=is_return)

        if not preference.near or not is_allowed_zone(preference.near[0].entry.availability_zone):
            return select_in(SpillMode.USUAL)
        is_disrupted = self._backends.is_disrupted(service, now_s)
        mode = self._spill.mode(service, key, now_s, is_disrupted=is_disrupted)
        selection = select_in(mode)
        is_spilled = self._is_spilled(preference, selection.server)
        is_wanted = bool(is_spilled)
        if mode is not SpillMode.USUAL:
            is_wanted = candidates.need_spill(full_ratio, now_s)
        is_prevented = selection.server is None and mode is SpillMode.NEVER and is_wanted
        if selection.server is not None or is_prevented:
            self._spill.record(
                service,
                now_s,
                is_spilled=is_spilled,
                is_wanted=is_wanted,
                is_disrupted=is_disrupted,
            )
        if is_prevented:
            return Selection(
                None,
                NoServerReason.SPILL_LIMITED,
                selection.load,
                has_free_slot=selection.has_free_slot,
            )
        return selection

    def _select_examined(
        self,
        examined: Iterable[tuple[Server, SkipReason | None]],
        goal_s: float,
        full_ratio: float,
        now_s: float,
        *,
        is_return: bool,
    ) -> Selection:
        """Return the first of the examined servers that is not full."""
        considered = limited_count = 0
        pause_s = math.inf
        least_load = math.inf
        has_free_slot = False
        late_selection: Selection | None = None
        skip_reason: SkipReason | None = None
        for rank, (server, unusable_reason) in enumerate(examined):
            if considered == PREFERRED_SERVERS:
                break
            if unusable_reason is not None:
                skip_reason = skip_reason or unusable_reason
                if unusable_reason is SkipReason.PAUSED:
                    pause_s = min(pause_s, server.paused_until_s - now_s)
                continue
            if not self._limits.may_send(server, now_s, is_return=is_return):
                limited_count += 1
                skip_reason = skip_reason or SkipReason.RATE_LIMITED
                continue
            if considered + limited_count >= PREFERRED_SERVERS:
                if server.bucket is not None:
                    continue  # its limit is for the keys that it holds
                full_ratio = LIMIT_SUBSTITUTE_LOAD_RATIO
            if server.is_cold(now_s) and not self._backends.acquire_cold_send(server, now_s):
                skip_reason = skip_reason or SkipReason.COLD
                continue
            considered += 1
            load = server.load(now_s)
            if load < full_ratio * server.entry.slots:
                report_age_s = now_s - server.reported_at_s
                selection = Selection(server, None, load, report_age_s, rank, skip_reason)
                if late_selection is None and server.is_likely_late(goal_s, now_s):
                    # Another server may answer in time, even if it holds no objects of the key.
                    late_selection = selection
                    skip_reason = skip_reason or SkipReason.LATE
                    continue
                if late_selection is None or load < SUBSTITUTE_LOAD_RATIO * server.entry.slots:
                    return selection
            least_load = min(least_load, load)
            has_free_slot = has_free_slot or load < server.entry.slots
            skip_reason = skip_reason or SkipReason.FULL
        if late_selection is not None:
            return late_selection
        if limited_count:
            return Selection(None, NoServerReason.RATE_LIMITED)
        if considered == 0 and pause_s < math.inf:
            return Selection(None, NoServerReason.PAUSED, retry_after_s=pause_s)
        if considered == 0:
            return Selection(None, NoServerReason.NO_SERVER)
        return Selection(None, NoServerReason.ALL_FULL, least_load, has_free_slot=has_free_slot)

    def _is_spilled(self, preference: Preference, server: Server | None) -> bool | None:
        return None if server is None else self._backends.region_of(server) != preference.region

    def record_send(self, server: Server, now_s: float) -> None:
        """Count a request that is sent to a selected server."""
        server.sends += 1
        self._limits.record_send(server, now_s)

    def _unusable_reason(
        self,
        server: Server,
        is_allowed_zone: Callable[[str], bool],
        tried_ids: Collection[str],
        now_s: float,
    ) -> SkipReason | None:
        """Return why a server can't be used for a request, whatever its load; None if it can."""
        if not self._backends.may_receive(server) or now_s < server.backoff_until_s:
            return SkipReason.UNUSABLE
        if server.failures and server.in_flight:
            return SkipReason.UNUSABLE  # one request in flight probes a server that failed
        if now_s < server.paused_until_s:
            return SkipReason.PAUSED
        if server.is_cold(now_s) and not self._is_cold_sender(server):
            return SkipReason.COLD
        if server.entry.server_id in tried_ids:
            return SkipReason.TRIED
        return None if is_allowed_zone(server.entry.availability_zone) else SkipReason.OTHER_ZONE
