"""Listens on ports, and serves the connections to them until it is told to stop."""

import asyncio
import logging
from dataclasses import dataclass, field

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from .connection import (
    ConnectionEnd,
    ConnectionOptions,
    ServerConnection,
)
from .open_connections import OpenConnections
from .received_bytes import ReceivedBytes

__all__ = ["HttpServer", "create_http_server"]

POLL_INTERVAL_S = 0.02

_logger = logging.getLogger(__name__)


@dataclass
class HttpServer:
    """Serves an ASGI application over HTTP."""

    connections: OpenConnections
    _config: Config
    _options: ConnectionOptions
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, and then until the answers due have been sent."""
        servers = await self._listen()
        try:
            await stop.wait()
        finally:
            await self._options.context.terminated.set()
            for server in servers:
                server.close()
            self.connections.close(ConnectionEnd.SHUTDOWN, only_idle=True)
            try:
                with anyio.move_on_after(self._config.graceful_timeout):
                    while self._tasks:
                        await anyio.sleep(POLL_INTERVAL_S)
            finally:
                self.connections.close(ConnectionEnd.SHUTDOWN, only_idle=False)
                for task in self._tasks:
                    task.cancel()

    async def _listen(self) -> list[asyncio.Server]:
        loop = asyncio.get_running_loop()
        servers = []
        for listening in self._config.create_sockets().insecure_sockets:
            server = await loop.create_server(
                self._create_protocol,
                sock=listening,
                backlog=self._config.backlog,
            )
            servers.append(server)
            host, port = listening.getsockname()[:2]
            _logger.info("listening", extra={"host": host, "port": port})
        return servers

    def _create_protocol(self) -> asyncio.Protocol:
        loop = asyncio.get_running_loop()
        reader = ReceivedBytes(loop)

        async def serve(
            reader_: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connection = ServerConnection(self._options, reader, writer)
            self.connections.add(connection)
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await connection.run()

        return asyncio.StreamReaderProtocol(reader, serve, loop=loop)


def create_http_server(
    application: ASGIFramework, config: Config, connections: OpenConnections
) -> HttpServer:
    """Create a server for the sockets that a configuration names."""
    options = ConnectionOptions(
        ASGIWrapper(application), config, WorkerContext(None), connections.discard
    )
    return HttpServer(connections, config, options)
