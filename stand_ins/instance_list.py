"""The platform's instance list, which lags."""

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
    """Changes come by control and show after the lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._shown: dict[str, InstanceRecord] = {}
        self._pending: deque[tuple[float, str, InstanceRecord | None]] = deque()
        self._control = FaultControl(0)
        self._fetches = 0

    def make_routes(self) -> list[Route]:
        """Return the routes of the list and of its control."""
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
        self._show_due()
        body = _RECORDS.dump_json(tuple(self._shown.values()))
        return Response(body, media_type="application/json")

    async def _put(self, request: Request) -> Response:
        record = await read_control(request, _RECORD.validate_json)
        if isinstance(record, Response):
            return record
        self._change(request.path_params["name"], record)
        return Response(status_code=204)

    async def _delete(self, request: Request) -> Response:
        self._change(request.path_params["name"], None)
        return Response(status_code=204)

    async def _set_lag(self, request: Request) -> Response:
        self._lag_s = request.path_params["lag_s"]
        return Response(status_code=204)

    async def _counts(self, request: Request) -> Response:
        return JSONResponse({"fetches": self._fetches, "shown": len(self._shown)})

    def _change(self, name: str, record: InstanceRecord | None) -> None:
        self._pending.append((time.monotonic(), name, record))
        self._show_due()

    def _show_due(self) -> None:
        due_s = time.monotonic() - self._lag_s
        while self._pending and self._pending[0][0] <= due_s:
            _, name, record = self._pending.popleft()
            if record is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = record


def create_app(lag_s: float = 0.0) -> Starlette:
    """Make the app."""
    return Starlette(routes=InstanceListService(lag_s).make_routes())


def main() -> None:
    """Serve the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = parser.parse_args()
    serve_ports(lambda port: create_app(arguments.lag_s), arguments.port)


if __name__ == "__main__":
    main()
