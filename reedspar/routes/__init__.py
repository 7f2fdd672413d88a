"""Route table: which service runs a caller's request, and under which limits."""

from .access import WorkspaceAccess, find_workspace
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
    "CallerLimits",
    "EngineParameters",
    "OriginParameters",
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
