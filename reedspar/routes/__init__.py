"""Route table: which service runs a caller's request, and under which limits."""

from .access import WorkspaceAccess, find_workspace
from .ranks import RANK_MAX, PoolRanks
from .services import EngineParameters, OriginParameters, ServiceParameters
from .table import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    WeightedService,
    find_route,
    index_routes,
)

__all__ = [
    "RANK_MAX",
    "CallerLimits",
    "EngineParameters",
    "OriginParameters",
    "PoolRanks",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceParameters",
    "WeightedService",
    "WorkspaceAccess",
    "find_route",
    "find_workspace",
    "index_routes",
]
