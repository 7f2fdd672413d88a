"""The versioned route table, and longest-prefix lookup of a request's route."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from .access import WorkspaceAccess
from .services import ServiceParameters

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "WeightedService",
    "find_route",
    "index_routes",
]


class RequestKind(Enum):
    """Whether requests of a route may be repeated, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Answered with a stream of events; idempotent only if it can be resumed."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service, and its share of a route's requests relative to the others'."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """Maximum time that a caller may be kept waiting."""
    latency_goal_s: float
    """Desired time to the answer, or to the first event of a stream."""
    priority: int
    """0 is the most urgent."""
    attempts_max: int
    is_public: bool = False
    gap_s: float = 0.0
    """Desired maximum gap between events of a stream; 0: not known."""
    can_resume: bool = False
    """Whether another target can continue a broken stream after its last event."""
    regions: frozenset[str] | None = None
    """Regions whose targets may serve the requests; None: all."""

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> str:
        """Return the service for one request, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request, and on its sending and idle times."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes, services and workspaces of one version of the configuration."""

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    """Routes by host, the longest prefix first."""
    services: Mapping[str, ServiceParameters] = field(default_factory=dict)
    workspaces: Mapping[str, WorkspaceAccess] = field(default_factory=dict)
    """Workspaces by API key."""
    has_workspaces: bool = False
    limits: CallerLimits = CallerLimits()

    @property
    def origin(self) -> ServiceParameters | None:
        """Return the service that is the origin of weights, or None."""
        found = (item for item in self.services.values() if item.origin is not None)
        return next(found, None)

    def services_for_model(self, model: str) -> tuple[str, ...]:
        """Return the names of the services whose engines serve `model`."""
        return tuple(
            service.name
            for service in self.services.values()
            if service.engine is not None and model in service.engine.models
        )


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda route: len(route.prefix), reverse=True))
        for host, items in by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the host's route with the longest prefix of `path`, or None."""
    name = host.partition(":")[0].lower()
    path = path.partition("?")[0]
    for route in table.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None
