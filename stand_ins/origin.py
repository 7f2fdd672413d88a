"""Simulated weight origin: objects by name, range reads, a limited rate."""

import argparse
import re
from collections import Counter
from collections.abc import AsyncIterator

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .faults import FaultControl, refuse
from .rate_limit import RateLimit
from .serving import add_port_argument, serve_ports

__all__ = ["Origin", "create_app"]

SEND_PIECE_BYTES = 64 * 1024
_RANGE = re.compile(r"bytes=(\d+)-(\d*)")


class Origin:
    """In-memory objects whose reads share one rate limit."""

    def __init__(self, bytes_per_s: float, seed: int) -> None:
        self._objects: dict[str, bytes] = {}
        self._served: Counter[str] = Counter()
        self._reads = 0
        self._limit = RateLimit(bytes_per_s)
        self._control = FaultControl(seed)

    def make_routes(self) -> list[Route]:
        """Return the routes of the origin and its control interface."""
        return [
            Route("/objects/{name:path}", self._read, methods=["GET", "HEAD"]),
            Route("/objects/{name:path}", self._publish, methods=["PUT"]),
            Route("/control/counts", self._counts, methods=["GET"]),
            Route("/control/ready", self._counts, methods=["GET"]),
            Route("/control/rate/{bytes_per_s:int}", self._set_rate, methods=["PUT"]),
            self._control.make_route(),
        ]

    async def _read(self, request: Request) -> Response:
        faults = self._control.faults
        if faults.outage:
            return refuse()
        if faults.slow_s:
            await anyio.sleep(faults.slow_s)
        name = request.path_params["name"]
        data = self._objects.get(name)
        if data is None:
            return JSONResponse({"error": f"no object {name}"}, status_code=404)
        if request.method == "HEAD":
            return Response(headers={"content-length": str(len(data))})
        bounds = parse_range(request.headers.get("range", ""), len(data))
        if bounds is None:
            headers = {"content-range": f"bytes */{len(data)}"}
            return Response(status_code=416, headers=headers)
        start, end = bounds
        body = data[start:end]
        if self._control.should_inject(faults.corrupt_share):
            body = self._control.flip_byte(body)
        self._reads += 1
        headers = {"content-length": str(len(body))}
        status = 200
        if "range" in request.headers:
            headers["content-range"] = f"bytes {start}-{end - 1}/{len(data)}"
            status = 206
        return StreamingResponse(
            self._send_at_limited_rate(name, body),
            status,
            headers,
            "application/octet-stream",
        )

    async def _send_at_limited_rate(
        self, name: str, body: bytes
    ) -> AsyncIterator[bytes]:
        for start in range(0, len(body), SEND_PIECE_BYTES):
            piece = body[start : start + SEND_PIECE_BYTES]
            await self._limit.acquire(len(piece))
            self._served[name] += len(piece)
            yield piece

    async def _publish(self, request: Request) -> Response:
        if self._control.faults.outage:
            return refuse()
        self._objects[request.path_params["name"]] = await request.body()
        return Response(status_code=204)

    async def _set_rate(self, request: Request) -> Response:
        self._limit.rate_per_s = float(request.path_params["bytes_per_s"])
        return Response(status_code=204)

    async def _counts(self, request: Request) -> Response:
        return JSONResponse(
            {
                "bytes_served": self._served.total(),
                "bytes_by_object": dict(self._served),
                "reads": self._reads,
                "objects": len(self._objects),
            }
        )


def parse_range(text: str, size: int) -> tuple[int, int] | None:
    """Return start and end of a range, or None if it is not satisfiable."""
    if not text:
        return 0, size
    match = _RANGE.fullmatch(text)
    if match is None:
        return None
    start = int(match.group(1))
    end = min(int(match.group(2)) + 1, size) if match.group(2) else size
    return (start, end) if start < end else None


def create_app(bytes_per_s: float = 0.0, seed: int = 0) -> Starlette:
    """Create the ASGI app; a rate of 0 sets no limit."""
    return Starlette(routes=Origin(bytes_per_s, seed).make_routes())


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    parser.add_argument("--bytes-per-s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    serve_ports(
        lambda port: create_app(arguments.bytes_per_s, arguments.seed), arguments.port
    )


if __name__ == "__main__":
    main()
