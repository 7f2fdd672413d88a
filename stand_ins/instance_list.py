"""Simulated instance list of the platform, whose changes show after a lag."""

import argparse
import time
from collections import deque

import anyio
from pydantic import TypeAdapter
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from reedspar.platform import InstanceRecord

from .faults import FaultControl, read_control, refuse
from .serving import add_port_argument, serve_ports

__all__ = ["InstanceListService", "create_app"]

_RECORD = TypeAdapter(InstanceRecord)
_RECORDS = TypeAdapter(tuple[InstanceRecord, ...])


class InstanceListService:
    """Instance list that shows changes made by control calls after a lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._visible: dict[str, InstanceRecord] = {}
        self._pending: deque[tuple[float, str, InstanceRecord | None]] = deque()
        self._control = FaultControl(0)
        self._fetches = 0

    def make_routes(self) -> list[Route]:
        """Return the routes of the list and its control interface."""
        return [
            Route("/v1/instances", self._fetch, methods=["GET"]),
            Route("/control/instances/{name}", self._put, methods=["PUT"]),
            Route("/control/instances/{name}", self._delete, methods=["DELETE"]),
            Route("/control/lag/{lag_s:float}", self._set_lag, methods=["PUT"]),
            Route("/control/counts", self._counts, methods=["GET"]),
            Route("/control/ready", self._counts, methods=["GET"]),
            self._control.make_route(),
        ]

    async def _fetch(self, request: Request) -> Response:
        self._fetches += 1
        if self._control.faults.outage:
            return refuse()
        if self._control.faults.slow_s:
            await anyio.sleep(self._control.faults.slow_s)
        self._apply_due_changes()
        body = _RECORDS.dump_json(tuple(self._visible.values()))
        return Response(body, media_type="application/json")

    async def _put(self, request: Request) -> Response:
        record = await read_control(request, _RECORD.validate_json)
        if isinstance(record, Response):
            return record
        self._schedule_change(request.path_params["name"], record)
        return Response(status_code=204)

    async def _delete(self, request: Request) -> Response:
        self._schedule_change(request.path_params["name"], None)
        return Response(status_code=204)

    async def _set_lag(self, request: Request) -> Response:
        self._lag_s = request.path_params["lag_s"]
        return Response(status_code=204)

    async def _counts(self, request: Request) -> Response:
        return JSONResponse({"fetches": self._fetches, "shown": len(self._visible)})

    def _schedule_change(self, name: str, record: InstanceRecord | None) -> None:
        self._pending.append((time.monotonic(), name, record))
        self._apply_due_changes()

    def _apply_due_changes(self) -> None:
        latest_change_s = time.monotonic() - self._lag_s
        while self._pending and self._pending[0][0] <= latest_change_s:
            _, name, record = self._pending.popleft()
            if record is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = record


def create_app(lag_s: float = 0.0) -> Starlette:
    """Create the ASGI app."""
    return Starlette(routes=InstanceListService(lag_s).make_routes())


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = parser.parse_args()
    serve_ports(lambda port: create_app(arguments.lag_s), arguments.port)


if __name__ == "__main__":
    main()
