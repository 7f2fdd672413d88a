"""Simulated key-value service: compare-and-swap, leases, watches, call counts."""

import argparse
import time

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .counters import CallCounter
from .faults import FaultControl, refuse
from .key_value_state import Entry, KeyValueState
from .serving import TruncatedResponse, add_port_argument, serve_ports

__all__ = ["KeyValueService", "create_app"]

VALUE_MAX_BYTES = 1024 * 1024
WATCH_MAX_S = 300.0


class KeyValueService:
    """HTTP interface of the key-value stand-in."""

    def __init__(self, seed: int = 0, reads_per_s: int = 0, writes_per_s: int = 0):
        self._state = KeyValueState()
        self._control = FaultControl(seed)
        self._counter = CallCounter()
        self._reads_per_s = reads_per_s
        self._writes_per_s = writes_per_s
        self._change_events: dict[str, anyio.Event] = {}
        self._watches_waiting = 0

    def make_routes(self) -> list[Route]:
        """Return the routes of the service and its control interface."""
        return [
            Route("/v1/entry", self._get, methods=["GET"]),
            Route("/v1/entry", self._put, methods=["PUT"]),
            Route("/v1/watch", self._watch, methods=["GET"]),
            Route("/v1/leases", self._grant, methods=["POST"]),
            Route("/v1/leases/renew", self._renew, methods=["POST"]),
            Route("/control/counts", self._counts, methods=["GET"]),
            Route("/control/ready", self._counts, methods=["GET"]),
            self._control.make_route(),
        ]

    async def _admit_call(self, kind: str, limit_per_s: int) -> Response | None:
        """Count a call and inject faults; return an error response if it is refused."""
        self._counter.add(kind)
        if self._control.faults.outage:
            return refuse()
        if limit_per_s and self._counter.per_second(kind) > limit_per_s:
            self._counter.add(f"{kind}_over_limit")
            return refuse("too many calls")
        if self._control.faults.slow_s:
            await anyio.sleep(self._control.faults.slow_s)
        self._state.expire(time.monotonic())
        return None

    async def _get(self, request: Request) -> Response:
        refusal = await self._admit_call("gets", self._reads_per_s)
        if refusal is not None:
            return refusal
        key = request.query_params["key"]
        entry = self._state.get(key)
        if self._control.should_inject(self._control.faults.stale_read_share):
            entry = self._state.get_previous(key) or entry
        return make_entry_answer(entry) if entry else Response(status_code=404)

    async def _put(self, request: Request) -> Response:
        value = await request.body()
        refusal = await self._admit_call("writes", self._writes_per_s)
        if refusal is not None:
            return refusal
        if len(value) > VALUE_MAX_BYTES:
            return JSONResponse({"error": "value larger than 1 MiB"}, status_code=413)
        params = request.query_params
        lease_id = params.get("lease", "")
        if lease_id and not self._state.has_lease(lease_id):
            return JSONResponse({"error": "the lease has ended"}, status_code=404)
        key = params["key"]
        expected = int(params["expected"])
        revision = self._state.compare_and_swap(key, value, expected, lease_id)
        if revision is None:
            self._counter.add("conflicts")
            return JSONResponse({"error": "stale revision"}, status_code=409)
        self._change_events.pop(key, anyio.Event()).set()
        return self._answer_write({"revision": revision})

    async def _watch(self, request: Request) -> Response:
        refusal = await self._admit_call("watches", self._reads_per_s)
        if refusal is not None:
            return refusal
        params = request.query_params
        after = int(params["after"])
        timeout_s = min(float(params["timeout_s"]), WATCH_MAX_S)
        self._watches_waiting += 1
        try:
            entry = await self._wait_for_newer(params["key"], after, timeout_s)
        finally:
            self._watches_waiting -= 1
        if self._control.faults.outage:
            return refuse()
        return make_entry_answer(entry) if entry else Response(status_code=204)

    async def _wait_for_newer(
        self, key: str, after: int, timeout_s: float
    ) -> Entry | None:
        with anyio.move_on_after(timeout_s):
            while True:
                entry = self._state.get(key)
                if entry is not None and entry.revision > after:
                    return entry
                await self._change_events.setdefault(key, anyio.Event()).wait()
        return None

    async def _grant(self, request: Request) -> Response:
        refusal = await self._admit_call("writes", self._writes_per_s)
        if refusal is not None:
            return refusal
        ttl_s = float(request.query_params["ttl_s"])
        return self._answer_write({"lease": self._state.grant(ttl_s, time.monotonic())})

    async def _renew(self, request: Request) -> Response:
        refusal = await self._admit_call("writes", self._writes_per_s)
        if refusal is not None:
            return refusal
        lease_id = request.query_params["lease"]
        if not self._state.renew(lease_id, time.monotonic()):
            return JSONResponse({"error": "the lease has ended"}, status_code=404)
        return self._answer_write({"lease": lease_id})

    def _answer_write(self, answer: dict[str, object]) -> Response:
        if self._control.should_inject(self._control.faults.lost_answer_share):
            self._counter.add("lost_answers")
            return TruncatedResponse()
        return JSONResponse(answer)

    async def _counts(self, request: Request) -> Response:
        counts = self._counter.describe()
        return JSONResponse({**counts, "watches_waiting": self._watches_waiting})


def make_entry_answer(entry: Entry) -> Response:
    """Return the response with an entry's value and revision."""
    return Response(
        entry.value,
        headers={"x-revision": str(entry.revision)},
        media_type="application/octet-stream",
    )


def create_app(
    seed: int = 0, *, reads_per_s: int = 0, writes_per_s: int = 0
) -> Starlette:
    """Create the ASGI app; a rate of 0 sets no limit."""
    service = KeyValueService(seed, reads_per_s, writes_per_s)
    return Starlette(routes=service.make_routes())


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--reads-per-s", type=int, default=0)
    parser.add_argument("--writes-per-s", type=int, default=0)
    arguments = parser.parse_args()

    def create(port: int) -> Starlette:
        return create_app(
            arguments.seed,
            reads_per_s=arguments.reads_per_s,
            writes_per_s=arguments.writes_per_s,
        )

    serve_ports(create, arguments.port)


if __name__ == "__main__":
    main()
