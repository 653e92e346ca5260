"""Keep the requests of each organisation within its allotment over all hosts together."""

from berylchute.allotments.holder import AllotmentCounts, AllotmentHolder, Ask, Verdict, Waiter
from berylchute.allotments.limits import AllotmentLimit
from berylchute.allotments.messaging import AllotmentMessages
from berylchute.allotments.metrics import AllotmentMetrics
from berylchute.allotments.owner import AllotmentOwner, Grant
from berylchute.allotments.permits import AllotmentPermits
from berylchute.allotments.service import Allotments, LimitedOrganisation
from berylchute.allotments.shares import MemberShares

__all__ = [
    "AllotmentCounts",
    "AllotmentHolder",
    "AllotmentLimit",
    "AllotmentMessages",
    "AllotmentMetrics",
    "AllotmentOwner",
    "AllotmentPermits",
    "Allotments",
    "Ask",
    "Grant",
    "LimitedOrganisation",
    "MemberShares",
    "Verdict",
    "Waiter",
]
