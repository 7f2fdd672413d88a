"""HTTP server that knows what arrives on its connections, and owes answers."""

from .connection import REQUESTS_AHEAD_KEY
from .limits import SOCKET_BUFFER_BYTES, ServerLimits, create_server_limits
from .open_connections import OpenConnections
from .server import HttpServer, create_http_server

__all__ = [
    "REQUESTS_AHEAD_KEY",
    "SOCKET_BUFFER_BYTES",
    "HttpServer",
    "OpenConnections",
    "ServerLimits",
    "create_http_server",
    "create_server_limits",
]
