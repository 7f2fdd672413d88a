"""The table of routes under its version, and the search for a request's route."""

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
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Events as they are made; idempotent only where it may be resumed."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service, and its part of a route's requests relative to the others'."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """How long a caller may be kept waiting at most."""
    latency_goal_s: float
    """Time to the answer, or to a stream's first event, that callers wait gladly."""
    priority: int
    """0 is the most urgent."""
    attempts_max: int
    is_public: bool = False
    gap_s: float = 0.0
    """Pause between events of a stream that callers bear gladly; 0: not known."""
    can_resume: bool = False
    """A broken stream may go on at another target after its last event."""
    regions: frozenset[str] | None = None
    """Regions whose targets may serve it; None: all."""

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> str:
        """Return the service of one request, by the weights."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One numbered version of the operator's configuration."""

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
        """Return the service that is the origin of weights, if there is one."""
        found = (item for item in self.services.values() if item.origin is not None)
        return next(found, None)

    def services_for_model(self, model: str) -> tuple[str, ...]:
        """Return the services whose engines serve a model."""
        return tuple(
            terms.name
            for terms in self.services.values()
            if terms.engine is not None and model in terms.engine.models
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
    """Return the route of the host with the longest prefix that begins the path."""
    name = host.partition(":")[0].lower()
    path = path.partition("?")[0]
    for route in table.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None
