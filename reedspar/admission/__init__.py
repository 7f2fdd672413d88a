"""Decides which requests are admitted while targets can't bear all of them.

Work is shared out, not a count of requests: the more urgent rank goes first, within a
rank each workspace keeps its share, and a floor keeps every rank served.  Decisions
need neither network nor clock; both request paths can use them.
"""

from .control import (
    AdmissionControl,
    AdmissionRules,
    CapacitySource,
    RequestFacts,
    create_admission_control,
)
from .demand import DemandMeter, create_extrapolating_board
from .interfaces import (
    Admitted,
    Demand,
    DemandBoard,
    DemandKey,
    DemandSource,
    PoolCapacity,
    PoolDemand,
    Refused,
)
from .ranks import rank_from_priority
from .work import request_work_s

__all__ = [
    "AdmissionControl",
    "AdmissionRules",
    "Admitted",
    "CapacitySource",
    "Demand",
    "DemandBoard",
    "DemandKey",
    "DemandMeter",
    "DemandSource",
    "PoolCapacity",
    "PoolDemand",
    "Refused",
    "RequestFacts",
    "create_admission_control",
    "create_extrapolating_board",
    "rank_from_priority",
    "request_work_s",
]
