"""Admission by rank while the servers of a service are short of room."""

from berylchute.priorities.admission import RankAdmission, RequestClass, ReserveChange
from berylchute.priorities.fairshares import excess_ratios, fair_level
from berylchute.priorities.parameters import AdmissionParameters
from berylchute.priorities.returnschedule import ReturnSchedule

__all__ = [
    "AdmissionParameters",
    "RankAdmission",
    "RequestClass",
    "ReserveChange",
    "ReturnSchedule",
    "excess_ratios",
    "fair_level",
]
