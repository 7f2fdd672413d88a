"""The first filters: identify the workspace, apply limits, classify the request."""

import hashlib
import math

from reedspar.configuration import WorkspaceConfiguration
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .outcome_encoding import make_not_run
from .request import Answer, Filter, Proceed, Request
from .views import ConfigurationView

__all__ = [
    "ClassificationFilter",
    "IdentificationFilter",
    "RequestLimitsFilter",
    "chain_filters",
]

WORKSPACE_HEADER = "x-workspace"
DEADLINE_HEADER = "x-deadline-s"
KEY_HEADER = "idempotency-key"
WEIGHTS_HEADER = "x-weights-digest"
KEY_MAX_CHARACTERS = 200
DEFAULT_WORKSPACE = WorkspaceConfiguration()
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""RFC 9110, section 9.2.2."""


class IdentificationFilter:
    """Finds the pool and the workspace of a request."""

    def __init__(self, configuration: ConfigurationView) -> None:
        self._configuration = configuration

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Refuse unknown pools and missing workspaces."""
        document = self._configuration.document
        if document is None:
            detail = "the configuration is not known yet"
            return make_not_run(Failure(Reason.NOT_READY, Step.IDENTIFY, detail=detail))
        pool = document.pools.get(request.pool)
        if pool is None:
            detail = f"no pool {request.pool!r}"
            return make_not_run(Failure(Reason.NOT_FOUND, Step.IDENTIFY, detail=detail))
        workspace = request.header_map.get(WORKSPACE_HEADER, "")
        if not workspace:
            detail = f"header {WORKSPACE_HEADER} is missing"
            return make_not_run(Failure(Reason.INVALID, Step.IDENTIFY, detail=detail))
        settings = document.workspaces.get(workspace, DEFAULT_WORKSPACE)
        request.workspace = workspace
        request.priority = settings.priority
        request.pool_kind = pool.kind
        return await proceed(request)


class RequestLimitsFilter:
    """Limits the time of a request; the application limits its size."""

    def __init__(self, timers: TimerService, deadline_s: float) -> None:
        self._timers = timers
        self._deadline_s = deadline_s

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Set the deadline; refuse bad deadlines."""
        allowed_s = self._read_deadline_s(request)
        if allowed_s is None:
            detail = f"header {DEADLINE_HEADER} is no positive number of seconds"
            return make_not_run(Failure(Reason.INVALID, Step.BOUND, detail=detail))
        request.deadline_s = request.arrived_s + allowed_s
        return await proceed(request)

    def _read_deadline_s(self, request: Request) -> float | None:
        text = request.header_map.get(DEADLINE_HEADER)
        if text is None:
            return self._deadline_s
        try:
            allowed_s = float(text)
        except ValueError:
            return None
        if not math.isfinite(allowed_s) or allowed_s <= 0:
            return None
        return min(allowed_s, self._deadline_s)


class ClassificationFilter:
    """Determines whether a request is idempotent, and its key and fingerprint."""

    def __init__(self, configuration: ConfigurationView) -> None:
        self._configuration = configuration

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Set idempotency, key, fingerprint and the requested weights."""
        key = request.header_map.get(KEY_HEADER, "")
        if len(key) > KEY_MAX_CHARACTERS:
            detail = (
                f"header {KEY_HEADER} has more than {KEY_MAX_CHARACTERS} characters"
            )
            return make_not_run(Failure(Reason.INVALID, Step.CLASSIFY, detail=detail))
        request.is_idempotent = self._is_idempotent(request)
        request.idempotency_key = "" if request.is_idempotent else key
        request.weights_digest = request.header_map.get(WEIGHTS_HEADER, "")
        request.fingerprint = fingerprint_request(request)
        return await proceed(request)

    def _is_idempotent(self, request: Request) -> bool:
        if request.method in IDEMPOTENT_METHODS:
            return True
        document = self._configuration.document
        pool = document.pools.get(request.pool) if document is not None else None
        if pool is None or request.method != "POST":
            return False
        return any(_is_below(request.path, prefix) for prefix in pool.idempotent_paths)


def _is_below(path: str, prefix: str) -> bool:
    """Return whether `path` is `prefix` or below it, by whole path segments."""
    path = path.partition("?")[0]
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def fingerprint_request(request: Request) -> str:
    """Return a digest that is the same for repeats of a request by its caller."""
    hashed = hashlib.blake2b(digest_size=16)
    # Callers may name each entry by another host, and routes that are found by host may
    # lead to another pool at each repeat.
    scope = "" if request.host else request.pool
    for part in (scope, request.workspace, request.method, request.path):
        hashed.update(part.encode() + b"\0")
    hashed.update(request.body)
    return hashed.hexdigest()


def chain_filters(filters: list[Filter]) -> Proceed:
    """Return a function that runs `filters` in order; the last one must answer."""

    async def run_past_end(request: Request) -> Answer:
        failure = Failure(Reason.UNAVAILABLE, Step.RELAY, detail="no filter answered")
        return make_not_run(failure)

    proceed: Proceed = run_past_end
    for item in reversed(filters):
        proceed = _bind(item, proceed)
    return proceed


def _bind(item: Filter, rest: Proceed) -> Proceed:
    async def run(request: Request) -> Answer:
        return await item.apply(request, rest)

    return run
