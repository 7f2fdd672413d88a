"""Simulated plain service that counts every run of an order."""

import argparse
import hashlib
import time
import uuid
from dataclasses import asdict, dataclass, field

import anyio
from pydantic import BaseModel, ConfigDict, Field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from reedspar.platform import EngineState

from .faults import ResponseGate, read_control, refuse
from .lagged_value import LaggedValue
from .serving import TruncatedResponse, add_port_argument, serve_ports

__all__ = ["PlainService", "PlainServiceControl", "create_app"]

METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]


class PlainServiceControl(BaseModel):
    """Run-time behaviour; each update replaces all of it."""

    model_config = ConfigDict(extra="forbid")

    latency_s: float = Field(0.005, ge=0)
    crash_next: int = Field(
        0, ge=0, description="Crash at the end of each of the next N runs."
    )
    restart_s: float = Field(0.3, ge=0, description="Downtime after a crash.")
    silent: bool = Field(False, description="Accept requests and answer none.")


@dataclass
class OrderRuns:
    """The runs of one order key."""

    count: int = 0
    answered: int = 0
    method: str = ""
    path: str = ""
    started_at: list[float] = field(default_factory=list)


class PlainService:
    """Runs orders, records each run, and answers with a confirmation number."""

    def __init__(self, load_lag_s: float = 0.2) -> None:
        self._control = PlainServiceControl.model_validate({})
        self._runs: dict[str, OrderRuns] = {}
        self._boot_id = uuid.uuid4().hex
        self._down_until_s = 0.0
        self._in_flight = 0
        self._load = LaggedValue(0, load_lag_s)
        self._response_gate = ResponseGate()

    def make_routes(self) -> list[Route]:
        """Return the routes of the service and its control interface."""
        return [
            Route("/state", self._state, methods=["GET"]),
            Route("/control/runs", self._list_runs, methods=["GET"]),
            Route("/control/ready", self._ready, methods=["GET"]),
            Route("/control/settings", self._set_control, methods=["PUT"]),
            Route("/control/crash", self._crash_now, methods=["POST"]),
            Route("/{path:path}", self._run, methods=METHODS),
        ]

    @property
    def _is_down(self) -> bool:
        return time.monotonic() < self._down_until_s

    async def _run(self, request: Request) -> Response:
        body = await request.body()
        await self._response_gate.wait()
        if self._is_down:
            return refuse("restarting")
        key = find_order_key(request)
        boot_id = self._boot_id
        runs = self._record(key, request)
        self._adjust_load(1)
        try:
            await anyio.sleep(self._control.latency_s)
            await self._response_gate.wait()
        finally:
            self._adjust_load(-1)
        if self._control.crash_next:
            self._control.crash_next -= 1
            self._crash()
        if boot_id != self._boot_id:
            return TruncatedResponse()
        runs.answered += 1
        return JSONResponse(make_answer(key, request, body, runs.count))

    def _record(self, key: str, request: Request) -> OrderRuns:
        runs = self._runs.setdefault(key, OrderRuns())
        runs.count += 1
        runs.method = request.method
        runs.path = request.url.path
        runs.started_at.append(time.time())
        return runs

    def _adjust_load(self, delta: int) -> None:
        self._in_flight += delta
        self._load.set(self._in_flight)

    def _crash(self) -> None:
        self._boot_id = uuid.uuid4().hex
        self._down_until_s = time.monotonic() + self._control.restart_s

    async def _state(self, request: Request) -> Response:
        await self._response_gate.wait()
        if self._is_down:
            return refuse("restarting")
        state = EngineState(self._boot_id, in_flight=self._load.get())
        return JSONResponse(asdict(state))

    async def _list_runs(self, request: Request) -> Response:
        return JSONResponse({key: asdict(runs) for key, runs in self._runs.items()})

    async def _ready(self, request: Request) -> Response:
        return JSONResponse({"boot_id": self._boot_id})

    async def _set_control(self, request: Request) -> Response:
        control = await read_control(request, PlainServiceControl.model_validate_json)
        if isinstance(control, Response):
            return control
        self._control = control
        self._response_gate.set(is_blocked=control.silent)
        return Response(status_code=204)

    async def _crash_now(self, request: Request) -> Response:
        self._crash()
        return Response(status_code=204)


def find_order_key(request: Request) -> str:
    """Return the order's key: the caller's key or order id, or the request id."""
    for name in ("idempotency-key", "x-order-id", "x-request-id"):
        if name in request.headers:
            return request.headers[name]
    return f"anonymous-{uuid.uuid4().hex}"


def make_answer(
    key: str, request: Request, body: bytes, run_number: int
) -> dict[str, object]:
    """Return the confirmation, which identifies its request."""
    return {
        "confirmation": f"C-{hashlib.sha256(key.encode()).hexdigest()[:12]}",
        "order_key": key,
        "path": request.url.path,
        "body_digest": hashlib.sha256(body).hexdigest(),
        "run": run_number,
    }


def create_app(load_lag_s: float = 0.2) -> Starlette:
    """Create the ASGI app."""
    return Starlette(routes=PlainService(load_lag_s).make_routes())


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    parser.add_argument("--load-lag-s", type=float, default=0.2)
    arguments = parser.parse_args()
    serve_ports(lambda port: create_app(arguments.load_lag_s), arguments.port)


if __name__ == "__main__":
    main()
