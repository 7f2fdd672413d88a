"""Ranks of requests, from the priorities of their workspaces and routes."""

from collections.abc import Mapping

from .table import RouteTable

__all__ = ["RANK_MAX", "PoolRanks"]

RANK_MAX = 9
"""The least urgent rank; 0 is the most urgent."""
DEFAULT_PRIORITY = 5
"""Priority of a workspace without one, in the middle of the range."""


class PoolRanks:
    """Orders the requests to each pool by their workspaces, then by their routes.

    The priority of a workspace goes first; the route's decides within workspaces of
    the same priority, and alone if all have the same.  In a pool whose routes all have
    the same priority, the rank is the workspace's priority, or the route's if it has
    none.
    """

    def __init__(self, table: RouteTable) -> None:
        workspaces = {_or_default(item.priority) for item in table.workspaces.values()}
        self._are_workspaces_equal = len(workspaces) < 2
        workspaces.add(DEFAULT_PRIORITY)
        self._ranks: dict[str, Mapping[tuple[int, int], int]] = {}
        for pool, routes in _find_route_priorities(table).items():
            if len(routes) > 1:
                pairs = sorted((w, route) for w in workspaces for route in routes)
                self._ranks[pool] = _spread(pairs)

    def competes(self, pool: str) -> bool:
        """Return whether routes to a pool have different priorities."""
        return pool in self._ranks

    def rank(
        self, pool: str, workspace_priority: int | None, route_priority: int
    ) -> int:
        """Return the rank of a request, 0 for the most urgent ones."""
        ranks = self._ranks.get(pool)
        if ranks is None:
            if workspace_priority is None:
                return route_priority
            return workspace_priority
        if self._are_workspaces_equal:
            return min(route_priority, RANK_MAX)
        return ranks[_or_default(workspace_priority), route_priority]


def _or_default(priority: int | None) -> int:
    return DEFAULT_PRIORITY if priority is None else priority


def _find_route_priorities(table: RouteTable) -> dict[str, set[int]]:
    """Return the priorities of the routes to each pool."""
    found: dict[str, set[int]] = {}
    for routes in table.routes.values():
        for route in routes:
            for weighted in route.services:
                found.setdefault(weighted.service, set()).add(route.priority)
    return found


def _spread(pairs: list[tuple[int, int]]) -> dict[tuple[int, int], int]:
    """Return ranks in the order of the pairs, equal ones if there are too many."""
    divisor = max(1, -(-len(pairs) // (RANK_MAX + 1)))
    return {pair: index // divisor for index, pair in enumerate(pairs)}
