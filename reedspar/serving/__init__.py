"""HTTP server that knows what arrives on its connections, and owes answers."""

from .open_connections import OpenConnections
from .server import HttpServer, create_http_server

__all__ = ["HttpServer", "OpenConnections", "create_http_server"]
