"""Admission by rank while the servers of a service are short of room."""

from berylchute.priorities.admission import RankAdmission, RequestClass, ReserveChange
from berylchute.priorities.fairshares import excess_ratios, fair_level
from berylchute.priorities.parameters import AdmissionParameters
from berylchute.priorities.requestranks import EqualRanks, Ranks, RequestRanks, make_ranks
from berylchute.priorities.returnschedule import ReturnSchedule

__all__ = [
    "AdmissionParameters",
    "EqualRanks",
    "RankAdmission",
    "Ranks",
    "RequestClass",
    "RequestRanks",
    "ReserveChange",
    "ReturnSchedule",
    "excess_ratios",
    "fair_level",
    "make_ranks",
]
