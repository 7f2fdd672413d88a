"""Routes of callers' requests: which service runs them, how often, for whom."""

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
