"""One connection of a server, from its acceptance to its end."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.typing import AppWrapper
from hypercorn.typing import ConnectionState as SharedState

from .http1 import Http1Protocol, ObservedProtocol
from .received_bytes import ReceivedBytes

__all__ = ["ConnectionEnd", "ConnectionState", "ServerConnection"]

RECEIVE_MAX_BYTES = 64 * 1024
WRITE_ERRORS = (ConnectionError, RuntimeError)

_logger = logging.getLogger(__name__)


class ConnectionState(Enum):
    """How far the request on a connection has come."""

    FRESH = "fresh"
    """Nothing has arrived yet."""
    IDLE = "idle"
    """All requests that have arrived have their answers."""
    RECEIVING = "receiving"
    """A part of a request has arrived, or bytes that were not read yet."""
    ANSWERING = "answering"
    """A whole request has no whole answer yet."""


class ConnectionEnd(Enum):
    """Why a connection ended."""

    PEER = "peer"
    """The peer has closed it, or it broke."""
    LAST_ANSWER = "last-answer"
    """The last answer on it has been sent."""
    IDLE_TIMEOUT = "idle-timeout"
    """Nothing was asked for too long."""
    SHUTDOWN = "shutdown"
    """The server shuts down."""


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """What all connections of a server share."""

    application: AppWrapper
    config: Config
    context: WorkerContext
    on_end: Callable[["ServerConnection", ConnectionState], None]


class ServerConnection:
    """Reads requests from one connection, and writes their answers."""

    def __init__(
        self,
        options: ConnectionOptions,
        reader: ReceivedBytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._options = options
        self._reader = reader
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._send_lock = asyncio.Lock()
        self._protocol: ObservedProtocol | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._state_at_close: ConnectionState | None = None
        self.end = ConnectionEnd.PEER

    @property
    def state(self) -> ConnectionState:
        """Return how far the request on the connection has come."""
        protocol = self._protocol.protocol if self._protocol is not None else None
        if self._protocol is not None and self._protocol.is_answer_due:
            is_body_due = isinstance(protocol, Http1Protocol) and protocol.is_body_due
            if is_body_due:
                return ConnectionState.RECEIVING
            return ConnectionState.ANSWERING
        is_partial = isinstance(protocol, Http1Protocol) and (
            protocol.has_partial_request
        )
        if is_partial or self._reader.unread_bytes:
            return ConnectionState.RECEIVING
        is_fresh = not self._reader.total_bytes
        return ConnectionState.FRESH if is_fresh else ConnectionState.IDLE

    @property
    def quiet_s(self) -> float:
        """Return for how long no bytes have arrived."""
        return self._loop.time() - self._reader.last_received_s

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes have arrived that the protocol has not been given."""
        return self._reader.unread_bytes

    async def run(self) -> None:
        """Serve the connection until its end."""
        try:
            async with TaskGroup(self._loop) as tasks:
                self._protocol = self._create_protocol(tasks)
                await self._protocol.initiate()
                self._start_idle_timer()
                await self._read()
                self._state_at_close = self._state_at_close or self.state
                await self._protocol.handle(Closed())
        except OSError as error:
            _logger.debug("connection broke", extra={"error": repr(error)})
        finally:
            self._stop_idle_timer()
            self._options.on_end(self, self._state_at_close or self.state)
            await self._close()

    def close(self, end: ConnectionEnd) -> None:
        """Close the connection; further bytes of its peer are lost."""
        if self._state_at_close is None:
            self._state_at_close = self.state
            self.end = end
            self._writer.close()

    def _create_protocol(self, tasks: TaskGroup) -> ObservedProtocol:
        return ObservedProtocol(
            self._options.application,
            self._options.config,
            self._options.context,
            tasks,
            SharedState({}),
            False,
            self._writer.get_extra_info("peername"),
            self._writer.get_extra_info("sockname"),
            self._send,
            "http/1.1",
        )

    async def _read(self) -> None:
        """Pass what arrives to the protocol until the end of the connection."""
        assert self._protocol is not None
        while not self._reader.at_eof():
            try:
                data = await self._reader.read(RECEIVE_MAX_BYTES)
            except OSError as error:
                _logger.debug("connection broke", extra={"error": repr(error)})
                return
            await self._protocol.handle(RawData(data))

    async def _send(self, event: Event) -> None:
        """Do what the protocol asks for: send, close, or wait for the next request."""
        assert self._protocol is not None
        if isinstance(event, RawData):
            async with self._send_lock:
                try:
                    self._writer.write(event.data)
                    await self._writer.drain()
                except WRITE_ERRORS as error:
                    _logger.debug("connection broke", extra={"error": repr(error)})
                    await self._protocol.handle(Closed())
        elif isinstance(event, Closed):
            self.close(ConnectionEnd.LAST_ANSWER)
        elif isinstance(event, Updated):
            if event.idle:
                self._start_idle_timer()
            else:
                self._stop_idle_timer()

    def _start_idle_timer(self) -> None:
        self._stop_idle_timer()
        timeout_s = self._options.config.keep_alive_timeout
        self._idle_timer = self._loop.call_later(timeout_s, self._end_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _end_idle(self) -> None:
        self.close(ConnectionEnd.IDLE_TIMEOUT)

    async def _close(self) -> None:
        """Close the connection, and wait until what was written is sent."""
        try:
            self._writer.close()
            await self._writer.wait_closed()
        except OSError as error:
            _logger.debug("connection broke", extra={"error": repr(error)})
