"""Define the settings of the edge program."""

from collections.abc import Mapping

import attrs

from berylchute.callerlimits import MAX_FDS_DEFAULT, RequestLimits
from berylchute.directory import DIRECTORY_TTL_DEFAULT_S
from berylchute.headernames import HeaderNames
from berylchute.objects import STORE_VALUE_BYTES_MAX
from berylchute.retrybudget import RetryBounds
from berylchute.settings import Settings
from berylchute.storecontact import CHANGE_APPLY_DEFAULT_S
from berylchute.storeoutages import PING_PERIOD_DEFAULT_S

__all__ = ["EdgeSettings"]


@attrs.frozen
class EdgeSettings:
    """All settings of the edge program.

    `zone_regions` maps availability zones to regions. `grace_s` is the time from the stop signal
    to the kill, `directory_ttl_s` the time for which callers hold an answer of the directory,
    `change_apply_s` the time from the store's acknowledgement of a change until all
    members must follow it, `ping_period_s` the time between two writes of a server's entry.
    `is_first_start` is set while all hosts start for the first time, before
    there are callers. `admission_by_rank` lets the rank of requests decide which are served
    while servers are short of room. `metrics_address` is `ip:port`; metrics are not served if it is
    empty. `max_fds` is the number of descriptors that the process may have open, with files,
    `store_value_bytes_max` the size of the largest object that the store accepts.
    `keeps_fleet_record` lets the members keep a record of all hosts in the store, so that bounds
    that hosts share hold while they can't reach each other.
    """

    node: Settings
    zone_regions: Mapping[str, str]
    retry_bounds: RetryBounds
    grace_s: float
    metrics_address: str = ""
    header_names: HeaderNames = HeaderNames()
    change_apply_s: float = CHANGE_APPLY_DEFAULT_S
    ping_period_s: float = PING_PERIOD_DEFAULT_S
    is_first_start: bool = False
    admission_by_rank: bool = False
    request_limits: RequestLimits = RequestLimits()
    max_fds: int = MAX_FDS_DEFAULT
    directory_ttl_s: float = DIRECTORY_TTL_DEFAULT_S
    store_value_bytes_max: int = STORE_VALUE_BYTES_MAX
    keeps_fleet_record: bool = False
