"""An HTTP server for ASGI applications, based on hypercorn."""

import logging
import socket
from collections.abc import Mapping, Sequence

import anyio
from hypercorn.config import Config, Sockets
from hypercorn.typing import ASGIFramework
from starlette.types import ASGIApp, Receive, Scope, Send

from reedspar.serving import (
    SOCKET_BUFFER_BYTES,
    OpenConnections,
    create_http_server,
    create_server_limits,
)
from reedspar.settings import LimitSettings

__all__ = ["PortDispatcher", "create_connections", "serve_http"]

LISTEN_BACKLOG = 2048
KEEP_ALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 2.0
"""Time to send the last bytes of answers, after the drain has waited for requests."""


_logger = logging.getLogger(__name__)


def create_connections(limits: LimitSettings) -> OpenConnections:
    """Create the register of connections of a daemon with these limits."""
    return OpenConnections(
        create_server_limits(limits.memory_mb, limits.descriptors, limits.connections)
    )


class PortDispatcher:
    """An ASGI application that serves each port with a different application."""

    def __init__(self, by_port: Mapping[int, ASGIApp]) -> None:
        self._by_port = dict(by_port)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass the connection to the application of its port."""
        _, port = scope["server"]
        await self._by_port[port](scope, receive, send)


class _ServerConfig(Config):
    """Configuration whose connections end if their peers take nothing for a while.

    Closing a connection waits for what is still to be sent on it, for as long as its
    peer confirms that it is there.
    """

    unread_timeout_s: float | None = None

    def create_sockets(self) -> Sockets:
        """Create the listening sockets; connections inherit their options."""
        sockets = super().create_sockets()
        for item in sockets.insecure_sockets:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                item.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        if self.unread_timeout_s is not None:
            timeout_ms = round(self.unread_timeout_s * 1000)
            for item in sockets.insecure_sockets:
                _set_user_timeout(item, timeout_ms)
        return sockets


def _set_user_timeout(listening: socket.socket, timeout_ms: int) -> None:
    try:
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    except OSError as error:
        _logger.warning("unread timeout is not available", extra={"error": repr(error)})


async def serve_http(
    application: ASGIFramework,
    host: str,
    ports: int | Sequence[int],
    stop: anyio.Event,
    keep_alive_s: float = KEEP_ALIVE_S,
    grace_s: float = SHUTDOWN_TIMEOUT_S,
    unread_timeout_s: float | None = None,
    connections: OpenConnections | None = None,
) -> None:
    """Serve on `host` and one or more ports until `stop` is set.

    A connection ends if its peer takes nothing for `unread_timeout_s`; None: never.
    """
    config = _ServerConfig()
    config.unread_timeout_s = unread_timeout_s
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
    server = create_http_server(application, config, connections or OpenConnections())
    await server.run(stop)
