"""Filters that find a request's route and workspace and set its deadline."""

import random
from collections.abc import Callable

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.requests.filters import fingerprint_request
from reedspar.requests.outcome_encoding import make_not_run
from reedspar.requests.request import Answer, Proceed, Request
from reedspar.routes import (
    PoolRanks,
    RequestKind,
    Route,
    RouteTable,
    WorkspaceAccess,
    find_route,
    find_workspace,
)

__all__ = ["DeadlineFilter", "RouteIdentificationFilter"]

AUTHORIZATION_HEADER = "authorization"
NOT_READY_RETRY_S = 0.5
SLOW_STORE_RETRY_S = 1.0
"""Retry delay while the store is slow: by then the next lease renewal has measured
whether it still is."""


class RouteIdentificationFilter:
    """Finds the route, the workspace and the service of a request."""

    def __init__(
        self, view: FleetView, is_store_slow: Callable[[], bool], rng: random.Random
    ) -> None:
        self._view = view
        self._is_store_slow = is_store_slow
        self._rng = rng
        self._ranks_of: tuple[RouteTable, PoolRanks] | None = None

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Refuse a request without a route, or with a key that no workspace has."""
        table = self._view.routes
        if table is None:
            return _refuse(
                Reason.NOT_READY, "the routes are not known yet", NOT_READY_RETRY_S
            )
        route = find_route(table, request.host, request.path)
        if route is None:
            return self._refuse_or_defer(Reason.NOT_FOUND, "no route")
        workspace: WorkspaceAccess | None = None
        if table.has_workspaces and not route.is_public:
            authorization = request.header_map.get(AUTHORIZATION_HEADER, "")
            workspace = find_workspace(table.workspaces, authorization)
            if workspace is None:
                return self._refuse_or_defer(
                    Reason.UNAUTHENTICATED, "no workspace holds this key"
                )
        self._apply_route(request, route, workspace)
        workspace_priority = workspace.priority if workspace is not None else None
        request.priority = self._find_ranks(table).rank(
            request.pool, workspace_priority, route.priority
        )
        return await proceed(request)

    def _find_ranks(self, table: RouteTable) -> PoolRanks:
        if self._ranks_of is None or self._ranks_of[0] is not table:
            self._ranks_of = (table, PoolRanks(table))
        return self._ranks_of[1]

    def _refuse_or_defer(self, reason: Reason, detail: str) -> Answer:
        """Refuse permanently, or temporarily while the store's updates may be late."""
        if not self._is_store_slow():
            return _refuse(reason, detail)
        return _refuse(
            Reason.STALE, f"{detail}, but the store is slow", SLOW_STORE_RETRY_S
        )

    def _apply_route(
        self, request: Request, route: Route, workspace: WorkspaceAccess | None
    ) -> None:
        request.route = route.name
        request.pool = route.choose_service(self._rng)
        request.route_timeout_s = route.timeout_s
        request.is_idempotent = route.is_idempotent
        request.is_stream = route.kind is RequestKind.STREAM
        request.can_resume = request.is_stream and route.can_resume
        request.attempts_max = route.attempts_max
        request.latency_goal_s = route.latency_goal_s
        request.gap_s = route.gap_s
        request.regions = route.regions
        if workspace is not None:
            request.workspace = workspace.name
            request.regions = _intersect_regions(route.regions, workspace.regions)
        request.fingerprint = fingerprint_request(request)


class DeadlineFilter:
    """Limits a request to the caller's timeout and the route's."""

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Set the deadline; refuse a request without time left."""
        allowed_s = request.route_timeout_s
        if request.allowed_s is not None:
            allowed_s = min(allowed_s, request.allowed_s)
        request.deadline_s = request.arrived_s + allowed_s
        if allowed_s <= 0:
            failure = Failure(Reason.EXPIRED, Step.BOUND, detail="no time is left")
            return make_not_run(failure)
        return await proceed(request)


def _intersect_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that both sets allow; None allows all."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def _refuse(reason: Reason, detail: str, retry_after_s: float | None = None) -> Answer:
    return make_not_run(
        Failure(reason, Step.IDENTIFY, detail=detail, retry_after_s=retry_after_s)
    )
