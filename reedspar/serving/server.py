"""Listens on ports, and serves the connections to them until it is told to stop."""

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from .connection import ConnectionOptions, ServerConnection
from .limits import RECEIVE_MAX_BYTES
from .listener import Listener
from .open_connections import OpenConnections
from .received_bytes import ReceivedBytes
from .states import ConnectionEnd

__all__ = ["HttpServer", "create_http_server"]

CLOSING_INTERVAL_S = 0.02
"""Time between two looks at what is still open."""
WRITE_BUFFER_BYTES = 16 * 1024
"""Bytes of an answer beyond which its sender waits for its reader."""
END_TIMEOUT_S = 1.0
"""Time for connections that were cancelled to end."""

_logger = logging.getLogger(__name__)


@dataclass
class HttpServer:
    """Serves an ASGI application over HTTP."""

    connections: OpenConnections
    _config: Config
    _options: ConnectionOptions
    _prepare: Callable[[socket.socket], None]
    _listeners: list[Listener] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, and then until all answers due have been sent.

        They may take the configured grace period.  Connections without a request are
        closed earlier, once `connections` are to be closed.
        """
        self._listen()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._close_on, stop, tasks.cancel_scope)
                await self.connections.wait_closing()
                await self._close_idle()
                tasks.cancel_scope.cancel()
        finally:
            await self._end()

    async def _close_on(self, stop: anyio.Event, waiting: anyio.CancelScope) -> None:
        """End the wait for what is open some time after `stop`."""
        await stop.wait()
        self.connections.begin_closing()
        await anyio.sleep(self._config.graceful_timeout)
        await self._end()
        await anyio.sleep(END_TIMEOUT_S)
        waiting.cancel()

    async def _close_idle(self) -> None:
        """Close all on which nothing is pending, until nothing is open."""
        self._close_ports()
        while self._tasks:
            self.connections.close_idle()
            await anyio.sleep(CLOSING_INTERVAL_S)
        self.connections.is_closed = True

    async def _end(self) -> None:
        """Close all that is open."""
        await self._options.context.terminated.set()
        self._close_ports()
        self.connections.abort()
        for task in self._tasks:
            task.cancel()

    def _close_ports(self) -> None:
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def _listen(self) -> None:
        for listening in self._config.create_sockets().insecure_sockets:
            listener = Listener(listening, self._accept)
            listener.start(self._config.backlog)
            self._listeners.append(listener)

    def _accept(self, connected: socket.socket) -> None:
        is_full = len(self._tasks) >= self.connections.limits.connections
        if is_full and not self.connections.replace_one():
            connected.close()
            return
        self._prepare(connected)
        task = asyncio.create_task(self._serve(connected))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = ReceivedBytes(loop, self.connections.read_ahead)
        transport, protocol = await loop.connect_accepted_socket(
            lambda: asyncio.StreamReaderProtocol(reader, loop=loop), connected
        )
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        transport.max_size = RECEIVE_MAX_BYTES  # type: ignore[attr-defined]
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        connection = ServerConnection(self._options, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            # The peer's bytes may have caused it; requests report errors of their own.
            _logger.warning("connection failed", extra={"error": repr(error)})
            connection.abort(ConnectionEnd.ERROR)
        finally:
            reader.release()
            self.connections.discard(connection)


def _prepare_nothing(connected: socket.socket) -> None:
    """Leave a socket as it is."""


def create_http_server(
    application: ASGIFramework,
    config: Config,
    connections: OpenConnections,
    prepare: Callable[[socket.socket], None] = _prepare_nothing,
) -> HttpServer:
    """Create a server for the sockets that a configuration names.

    `prepare` sets the options of each socket that was accepted.
    """
    options = ConnectionOptions(
        ASGIWrapper(application),
        config,
        WorkerContext(None),
        lambda: connections.is_draining,
    )
    return HttpServer(connections, config, options, prepare)
