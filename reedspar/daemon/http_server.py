"""An HTTP server for ASGI applications, based on hypercorn."""

import logging
import socket
from collections.abc import Callable, Mapping, Sequence

import anyio
from hypercorn.config import Config, Sockets
from hypercorn.typing import ASGIFramework
from starlette.types import ASGIApp, Receive, Scope, Send

from reedspar.routes import CallerLimits
from reedspar.serving import (
    SOCKET_BUFFER_BYTES,
    OpenConnections,
    create_http_server,
    create_server_limits,
)
from reedspar.settings import LimitSettings

__all__ = ["PortDispatcher", "create_connections", "serve_http"]

LISTEN_BACKLOG = 2048
DEFAULT_LIMITS = CallerLimits(idle_timeout_s=75.0)
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
    """Configuration with the limits on clients that are in force at each moment."""

    read_limits: Callable[[], CallerLimits]
    unread_margin_s: float | None = None

    @property
    def keep_alive_timeout(self) -> float:  # type: ignore[override]
        """Return for how long a connection without a request stays open."""
        return self.read_limits().idle_timeout_s

    @property
    def h11_max_incomplete_size(self) -> int:  # type: ignore[override]
        """Return the size up to which a request's head is read."""
        return self.read_limits().header_bytes

    def create_sockets(self) -> Sockets:
        """Create the listening sockets; connections inherit their options."""
        sockets = super().create_sockets()
        for item in sockets.insecure_sockets:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                item.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        return sockets

    def bound_unread(self, connected: socket.socket) -> None:
        """Let a connection end if its peer takes nothing for a while.

        Closing a connection waits for what is still to be sent on it, for as long as
        its peer confirms that it is there.
        """
        if self.unread_margin_s is None:
            return
        timeout_s = self.keep_alive_timeout + self.unread_margin_s
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(timeout_s * 1000))
        try:
            connected.setsockopt(*option)
        except OSError as error:
            extra = {"error": repr(error)}
            _logger.warning("unread timeout is not available", extra=extra)


def _use_defaults() -> CallerLimits:
    return DEFAULT_LIMITS


async def serve_http(
    application: ASGIFramework,
    host: str,
    ports: int | Sequence[int],
    stop: anyio.Event,
    grace_s: float = SHUTDOWN_TIMEOUT_S,
    read_limits: Callable[[], CallerLimits] = _use_defaults,
    unread_margin_s: float | None = None,
    connections: OpenConnections | None = None,
) -> None:
    """Serve on `host` and one or more ports until `stop` is set.

    A connection ends if its peer takes nothing for the idle time-out and
    `unread_margin_s`; None: never.
    """
    config = _ServerConfig()
    config.read_limits = read_limits
    config.unread_margin_s = unread_margin_s
    all_ports = [ports] if isinstance(ports, int) else ports
    config.bind = [f"{host}:{port}" for port in all_ports]
    config.backlog = LISTEN_BACKLOG
    config.graceful_timeout = grace_s
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    # Connections need not be closed after a number of requests for load balancing:
    # callers choose an entry again whenever their addresses expire.
    config.keep_alive_max_requests = 1_000_000
    server = create_http_server(
        application, config, connections or OpenConnections(), config.bound_unread
    )
    await server.run(stop)
