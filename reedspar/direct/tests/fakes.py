"""Fake targets with scripted answers, and an entry that sends directly to them."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.types import Scope

from reedspar.direct import (
    DirectResponse,
    DirectService,
    LoadReport,
    NoticeListener,
    TargetNotice,
    create_direct_service,
)
from reedspar.direct.retry_shares import REGISTRATION_S
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView, RoutesChange, TargetChange, TargetRecord
from reedspar.platform import TargetRequest
from reedspar.requests.caller_adapter import PoolAdapter, read_headers
from reedspar.requests.request import Request, Responder
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.routes import (
    EngineParameters,
    RequestKind,
    Route,
    RouteTable,
    ServiceParameters,
    WeightedService,
    WorkspaceAccess,
    index_routes,
)
from reedspar.settings import SiteSettings
from reedspar.timers import Clock, TimerService

__all__ = [
    "ENGINE",
    "SETTINGS",
    "FakeDialer",
    "FakeResponse",
    "HostAdapter",
    "Script",
    "broken",
    "make_direct_service",
    "make_engine_target",
    "make_table",
    "not_run",
    "unreachable",
]

ENGINE = EngineParameters(
    models=("m",),
    slots=16,
    step_s=0.00927,
    step_per_request_s=0.0000232,
    prefill_tokens_per_s=20_700.0,
    attention_s_per_pair=1.18e-9,
    steps_per_pass=5,
    prefill_tokens_per_pass=2048,
    typical_prompt_tokens=979,
    typical_answer_tokens=92,
    layers=16,
    warm_s=0.3,
)
"""Parameters of an engine as in current deployments."""
SETTINGS = SiteSettings.model_validate(
    {
        "name": "entry-1",
        "role": "entry",
        "host": "10.0.0.1",
        "zone": "a",
        "region": "ra",
        "zones": {"a": "ra", "b": "rb"},
        "store": "10.0.0.9:80",
        "listen": {"callers": "10.0.0.1:80", "peers_port": 1, "metrics_port": 2},
    }
)


def unreachable(target_id: str) -> Failure:
    """Return the failure of a connection that was not made."""
    return Failure(Reason.UNAVAILABLE, Step.LINK, target_id, "refused")


def not_run(target_id: str) -> Failure:
    """Return the failure reported by a target that did not run a request."""
    return Failure(Reason.OVERLOADED, Step.TARGET_CALL, target_id, "full")


def broken(target_id: str) -> Failure:
    """Return the failure of a target that may have run a request."""
    return Failure(Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, target_id, "reset")


class FakeResponse:
    """Answer in pieces; a failure as the last piece breaks it off."""

    def __init__(
        self,
        pieces: list[Any],
        status: int = 200,
        content_type: str = "text/plain",
        weights: str = "1",
        load: LoadReport | None = None,
        is_delimited: bool = True,
    ) -> None:
        self.status = status
        self.is_delimited = is_delimited
        self.headers = (("content-type", content_type),)
        self.weights_digest = weights
        self.load = load
        self._pieces = pieces

    async def iterate(self) -> AsyncIterator[bytes | Failure]:
        """Yield the pieces; a number among them is a pause in seconds."""
        for piece in self._pieces:
            if isinstance(piece, int | float):
                await anyio.sleep(piece)
            else:
                yield piece


Script = Callable[[str, TargetRequest], Any]


class FakeDialer:
    """Dialer that lets a script answer and records the requests."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self.sent: list[tuple[str, TargetRequest]] = []
        self.closed: list[str] = []
        self.begun: list[tuple[str, float]] = []
        """Targets that began to answer, with the event loop's time."""
        self.connect_s = 0.0
        self.rate_limits: dict[str, float] = {}
        """Requests a second that targets name as their limits."""
        self.leaving: set[str] = set()
        """Targets that announce their shutdown in their answers."""
        self.pauses_s: dict[str, float] = {}
        """Pauses for which targets ask when they refuse a request."""
        self.crashed: set[str] = set()
        """Targets whose processes are gone while their registrations last."""
        self.probed: list[str] = []
        self._notice_listeners: list[NoticeListener] = []
        self.script: Script = lambda target_id, request: FakeResponse([b"ok"])

    def has_address(self, target_id: str) -> bool:
        return self._view.target(target_id) is not None

    async def refuses_connections(self, target_id: str) -> bool:
        self.probed.append(target_id)
        return target_id in self.crashed

    def on_notice(self, listener: NoticeListener) -> None:
        self._notice_listeners.append(listener)

    def _make_notice(
        self, target_id: str, boot_id: str, request_id: str, answer: object
    ) -> TargetNotice:
        is_refusal = isinstance(answer, Failure)
        return TargetNotice(
            target_id,
            boot_id,
            request_id,
            target_id in self.leaving,
            self.pauses_s.get(target_id) if is_refusal else None,
            self.rate_limits.get(target_id),
        )

    @asynccontextmanager
    async def send(
        self,
        target_id: str,
        request: TargetRequest,
        check_before_write: Callable[[], Failure | None],
    ) -> AsyncIterator[DirectResponse | Failure]:
        if self.connect_s:
            await anyio.sleep(self.connect_s)
        failure = check_before_write()
        if failure is not None:
            yield failure
            return
        if target_id in self.crashed:
            yield unreachable(target_id)
            return
        known = self._view.target(target_id)
        boot_id = known.record.boot_id if known is not None else ""
        self.sent.append((target_id, request))
        answer = self.script(target_id, request)
        try:
            if isinstance(answer, float):
                await anyio.sleep(answer)
                answer = FakeResponse([b"late"])
            if isinstance(answer, tuple):
                delay_s, answer = answer
                await anyio.sleep(delay_s)
            notice = self._make_notice(target_id, boot_id, request.request_id, answer)
            for listener in self._notice_listeners:
                listener(notice)
            if not isinstance(answer, Failure):
                self.begun.append((target_id, anyio.current_time()))
            yield answer
        finally:
            self.closed.append(target_id)


class HostAdapter(PoolAdapter):
    """Reads requests by host and path, with model and limits from headers."""

    def accepts(self, scope: Scope) -> bool:
        return True

    def read(
        self, scope: Scope, body: bytes, arrived_s: float, responder: Responder
    ) -> Request:
        headers = read_headers(scope, frozenset())
        path = scope["path"]
        request = Request(
            "", "", scope["method"], "", path, headers, body, responder, arrived_s
        )
        request.host = request.header_map.get("host", "")
        request.model = request.header_map.get("x-model", "")
        parts = request.header_map.get("x-parts", "")
        request.prompt_parts = tuple(part for part in parts.split(",") if part)
        request.prompt_tokens = int(request.header_map.get("x-tokens", "0"))
        request.last_event_id = request.header_map.get("last-event-id", "")
        allowed = request.header_map.get("x-allowed-s")
        request.allowed_s = float(allowed) if allowed else None
        return request


def make_table(version: int = 1, **changes: Any) -> RouteTable:
    """Return a table with routes to streams, orders and their status."""

    def make_route(prefix: str, kind: RequestKind, pool: str, **more: Any) -> Route:
        values: dict[str, Any] = {
            "name": prefix,
            "host": "shop.example",
            "prefix": prefix,
            "kind": kind,
            "services": (WeightedService(pool),),
            "timeout_s": 2.0,
            "latency_goal_s": 0.5,
            "priority": 1,
            "attempts_max": 2,
        }
        return Route(**{**values, **more})

    values: dict[str, Any] = {
        "version": version,
        "routes": index_routes(
            [
                make_route("/q/", RequestKind.STREAM, "quotes", can_resume=True),
                make_route("/once/", RequestKind.STREAM, "quotes"),
                make_route("/o/", RequestKind.NON_IDEMPOTENT, "orders"),
                make_route("/s/", RequestKind.IDEMPOTENT, "orders"),
                make_route("/p/", RequestKind.IDEMPOTENT, "orders", is_public=True),
            ]
        ),
        "services": {
            "quotes": ServiceParameters("quotes", 100, 3.0, 36.0, ENGINE),
            "orders": ServiceParameters("orders", 100, 0.0, 0.0),
        },
        "workspaces": {"key": WorkspaceAccess("shop")},
        "has_workspaces": True,
    }
    return RouteTable(**{**values, **changes})


def make_engine_target(target_id: str, **changes: Any) -> TargetRecord:
    """Return the record of an engine with the model's first version."""
    values: dict[str, Any] = {
        "id": target_id,
        "pool": "quotes",
        "host": "10.0.1.1",
        "port": 80,
        "zone": "a",
        "slots": 16,
        "weights": {"m": 1},
    }
    return TargetRecord(**{**values, **changes})


def make_direct_service(
    timers: TimerService,
    tasks: Any,
    targets: list[TargetRecord],
    name: str = SETTINGS.name,
    network: FakeNetwork | None = None,
    seed: int | str = 1,
    settings: SiteSettings = SETTINGS,
    create_dialer: Callable[[FleetView], Any] = FakeDialer,
    **more: Any,
) -> tuple[DirectService, Any, FleetView]:
    """Return an entry's service that knows the targets, with its dialer and view.

    The entry has been running for a window of the bound on retries.
    """
    view = FleetView(timers)
    view.apply(RoutesChange(make_table()))
    for record in targets:
        view.apply(TargetChange(record.id, record))
    dialer = create_dialer(view)
    service = create_direct_service(
        settings=settings.model_copy(update={"name": name}),
        incarnation=7,
        view=view,
        timers=timers,
        tasks=tasks,
        network=network or FakeNetwork(),  # type: ignore[arg-type]
        dialer=dialer,
        adapter=HostAdapter(),
        fallback=Starlette(),
        is_store_slow=lambda: False,
        rng=random.Random(seed),
        **more,
    )
    service.retry_shares.record_listing(age_s=REGISTRATION_S)
    service.retry_shares.budgets.refill_unused(timers.now_s(), window_s=0.0)
    return service, dialer, view


class LoopClock(Clock):
    """Clock of the event loop."""

    def now_s(self) -> float:
        return anyio.current_time()
