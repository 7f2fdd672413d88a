"""Serve an ASGI application by hypercorn until told to stop."""

import logging

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

__all__ = ["serve_http"]

BACKLOG = 2048
KEEP_ALIVE_S = 75.0
GRACE_S = 2.0
"""For the last bytes of answers; the drain before it has waited for the rest."""


async def serve_http(
    application: ASGIFramework,
    host: str,
    port: int,
    stop: anyio.Event,
) -> None:
    """Serve on `host` and `port` until `stop` is set."""
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = GRACE_S
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    # A caller's connection is not closed for its size of use: the entry is
    # chosen anew by the caller when its addresses expire.
    config.keep_alive_max_requests = 1_000_000
    await serve(application, config, shutdown_trigger=stop.wait, mode="asgi")
