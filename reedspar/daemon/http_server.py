"""An HTTP server for ASGI applications, based on hypercorn."""

import logging
from collections.abc import Mapping, Sequence

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework
from starlette.applications import Starlette
from starlette.types import ASGIApp, Receive, Scope, Send

__all__ = ["PortDispatcher", "serve_http"]

LISTEN_BACKLOG = 2048
KEEP_ALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 2.0
"""Time to send the last bytes of answers, after the drain has waited for requests."""


class PortDispatcher:
    """An ASGI application that serves each port with a different application."""

    def __init__(self, by_port: Mapping[int, ASGIApp]) -> None:
        self._by_port = dict(by_port)
        self._lifespan = Starlette()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass the connection to the application of its port."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
            return
        _, port = scope["server"]
        await self._by_port[port](scope, receive, send)


async def serve_http(
    application: ASGIFramework,
    host: str,
    ports: int | Sequence[int],
    stop: anyio.Event,
    keep_alive_s: float = KEEP_ALIVE_S,
    grace_s: float = SHUTDOWN_TIMEOUT_S,
) -> None:
    """Serve on `host` and one or more ports until `stop` is set."""
    config = Config()
    all_ports = [ports] if isinstance(ports, int) else ports
    config.bind = [f"{host}:{port}" for port in all_ports]
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = grace_s
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    # Connections need not be closed after a number of requests for load balancing:
    # callers choose an entry again whenever their addresses expire.
    config.keep_alive_max_requests = 1_000_000
    await serve(application, config, shutdown_trigger=stop.wait, mode="asgi")
