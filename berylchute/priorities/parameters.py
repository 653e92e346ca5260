"""Define the parameters of admission by rank.

Handles load: see `admission`.
"""

import attrs

__all__ = ["AdmissionParameters"]


@attrs.frozen
class AdmissionParameters:
    """Parameters of shortage detection, reserves, guarantees and fair shares.

    A service is short of room from the ratio `enter_ratio` of selections without room in the last
    `shortage_window_s`, and at least `enter_count` of them, until the ratio is `leave_ratio` or
    less. Counts of demand and served requests fall to 1/e within `demand_window_s`.

    `floor_ratio` is the ratio of load to slots from which a server is full at a reserve of depth 1.
    At 1.0 such a reserve leaves no slot idle: it consists of places in the servers' queues. The
    depth is at most 1, `reserve_min` plus `reserve_gain` times the share of the served requests
    that more urgent ranks demand, plus a correction of at most `correction_max`. The correction
    changes by `correction_per_s` times the difference of the most urgent rank's ratio of refusals
    from `urgent_refused_ratio`: where many hosts share the servers, the loads that one knows are
    too low (12.0 instead of 14.5 in a model of 12 hosts). Reserves end over `release_s`.

    Ranks and organisations that are served less than `guaranteed_ratio` as often as all are exempt
    from reserves; it is above the quarter that is required, since the counts lag. An organisation
    whose demand exceeds its fair share by the factor `excess_factor` is refused first.
    """

    shortage_window_s: float = 1.0
    demand_window_s: float = 2.0
    enter_ratio: float = 0.25
    enter_count: int = 2
    leave_ratio: float = 0.15
    floor_ratio: float = 1.0
    reserve_min: float = 0.3
    reserve_gain: float = 2.0
    correction_max: float = 1.2
    correction_per_s: float = 5.0
    urgent_refused_ratio: float = 0.03
    release_s: float = 0.5
    guaranteed_ratio: float = 0.35
    excess_factor: float = 1.6
    update_interval_s: float = 0.1
