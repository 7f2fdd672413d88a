"""HTTP server that knows what arrives on its connections, and owes answers."""

from .connection import ConnectionEnd, ConnectionState, ServerConnection
from .open_connections import OpenConnections
from .server import HttpServer, create_http_server

__all__ = [
    "ConnectionEnd",
    "ConnectionState",
    "HttpServer",
    "OpenConnections",
    "ServerConnection",
    "create_http_server",
]
