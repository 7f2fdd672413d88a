"""One connection of a server, from its acceptance to its end."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.typing import AppWrapper
from hypercorn.typing import ConnectionState as SharedState

from .http1 import Http1Protocol, ObservedProtocol
from .limits import RECEIVE_MAX_BYTES
from .received_bytes import ReceivedBytes, is_readable
from .states import UNANSWERED_STATES, ConnectionEnd, ConnectionState

__all__ = [
    "REQUESTS_AHEAD_KEY",
    "ConnectionOptions",
    "ServerConnection",
]

FIRST_REQUEST_S = 0.5
"""Time within which the first request on a new connection is expected."""
REQUESTS_AHEAD_KEY = "has_requests_ahead"
"""Key in the state of an ASGI scope.

Its value tells whether the client has sent further requests behind a request."""
LINGER_S = 1.0
"""Time for which bytes are read after the last answer.

A connection that closes with unread bytes is reset, and its peer may lose the answer.
"""
LAST_READ_S = 0.1
"""Time to read what has arrived on a connection just when it was idle for too long."""
WRITE_ERRORS = (ConnectionError, RuntimeError)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """What all connections of a server share."""

    application: AppWrapper
    config: Config
    context: WorkerContext
    is_draining: Callable[[], bool]
    """Whether connections end with an answer after which nothing waits on them."""


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
        self._accepted_s = self._loop.time()
        self._send_lock = asyncio.Lock()
        self._protocol: ObservedProtocol | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since_s = self._accepted_s
        self._state_at_close: ConnectionState | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_on_last_answer = False
        self._is_overdue = False
        self._crossed_bytes = 0
        self._is_broken = False
        self.end = ConnectionEnd.PEER

    @property
    def state(self) -> ConnectionState:
        """Return how far the request on the connection has come, or had at its end."""
        if self._state_at_close is not None:
            is_answered = self._state_at_close not in UNANSWERED_STATES
            has_crossed = is_answered and self._crossed_bytes
            return ConnectionState.CROSSED if has_crossed else self._state_at_close
        if self._protocol is not None and self._protocol.is_answer_due:
            is_whole = not self._is_body_due
            return ConnectionState.ANSWERING if is_whole else ConnectionState.RECEIVING
        if self._reader.unread_bytes or self._has_partial_request:
            return ConnectionState.RECEIVING
        is_fresh = not self._reader.total_bytes
        return ConnectionState.FRESH if is_fresh else ConnectionState.IDLE

    @property
    def is_pending(self) -> bool:
        """Return whether a request has arrived, if only in part, without its answer."""
        return self._state_at_close is None and self.state in UNANSWERED_STATES

    @property
    def may_close(self) -> bool:
        """Return whether nothing has arrived, or is expected, that has no answer."""
        if self._state_at_close is not None or self.is_pending:
            return False
        age_s = self.now_s - self._accepted_s
        is_expected = self.state is ConnectionState.FRESH and age_s < FIRST_REQUEST_S
        return not (is_expected or self._has_waiting_bytes)

    @property
    def now_s(self) -> float:
        """Return the time of the connection's clock."""
        return self._loop.time()

    @property
    def quiet_s(self) -> float:
        """Return for how long no bytes have arrived."""
        return self.now_s - self._reader.last_received_s

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes have arrived that the protocol has not been given."""
        return self._reader.unread_bytes

    @property
    def _http1(self) -> Http1Protocol | None:
        protocol = self._protocol.protocol if self._protocol is not None else None
        return protocol if isinstance(protocol, Http1Protocol) else None

    @property
    def _is_body_due(self) -> bool:
        return self._http1 is not None and self._http1.is_body_due

    @property
    def _is_in_request(self) -> bool:
        return self._protocol is not None and self._protocol.is_answer_due

    @property
    def _has_partial_request(self) -> bool:
        return self._http1 is not None and self._http1.has_partial_request

    @property
    def _has_waiting_bytes(self) -> bool:
        """Whether the kernel holds bytes of the peer, or its end."""
        descriptor = self._writer.get_extra_info("socket").fileno()
        return descriptor >= 0 and is_readable(descriptor)

    async def run(self) -> None:
        """Serve the connection until its end."""
        self._task = asyncio.current_task()
        try:
            async with TaskGroup(self._loop) as tasks:
                self._protocol = self._create_protocol(tasks)
                await self._protocol.initiate()
                self._begin_waiting()
                await self._read()
                self._state_at_close = self.state
                await self._protocol.handle(Closed())
        except OSError as error:
            _log_broken(error)
        finally:
            self._stop_timer()
            await self._close()

    def close(self, end: ConnectionEnd) -> None:
        """Close the connection once all that was written is sent."""
        self._begin_end(end)
        self._writer.close()

    def abort(self, end: ConnectionEnd) -> None:
        """Close the connection, without what is still to be sent."""
        self._begin_end(end)
        self._reader.release()
        self._writer.transport.abort()

    @property
    def is_replaceable(self) -> bool:
        """Return whether the connection may be closed for that of another client.

        It may without a request in progress, which a part of a head is not, with
        further ones sent ahead, and if its client does not take the last answer.
        """
        if self._state_at_close is not None:
            return self.quiet_s >= FIRST_REQUEST_S
        if self._is_in_request:
            return self._has_requests_ahead()
        return self.now_s - self._accepted_s >= FIRST_REQUEST_S

    def close_if_idle(self, end: ConnectionEnd) -> None:
        """Close the connection unless a request is here, or is expected."""
        if self.may_close:
            self.close(end)

    def _create_protocol(self, tasks: TaskGroup) -> ObservedProtocol:
        return ObservedProtocol(
            self._options.application,
            self._options.config,
            self._options.context,
            tasks,
            SharedState({REQUESTS_AHEAD_KEY: self._has_requests_ahead}),
            False,
            _host_and_port(self._writer.get_extra_info("peername")),
            _host_and_port(self._writer.get_extra_info("sockname")),
            self._send,
            "http/1.1",
            is_last_answer=self._is_last_answer,
            on_early_end=self._end_early,
        )

    def _has_requests_ahead(self) -> bool:
        """Return whether bytes have arrived behind the present request."""
        is_body_due = self._is_body_due
        has_bytes = bool(self._reader.unread_bytes) or self._has_partial_request
        return has_bytes and not is_body_due

    def _is_last_answer(self) -> bool:
        """Return whether the connection is to end after the answer that begins now."""
        if not self._options.is_draining():
            return False
        has_next = self._has_partial_request or self._reader.unread_bytes
        is_last = self._is_body_due or not (has_next or self._has_waiting_bytes)
        self._is_on_last_answer = is_last
        return is_last

    async def _read(self) -> None:
        """Pass what arrives to the protocol until the end of the connection."""
        assert self._protocol is not None
        while not self._reader.at_eof():
            try:
                data = await self._reader.read(RECEIVE_MAX_BYTES)
            except OSError as error:
                _log_broken(error)
                return
            is_over = self._is_on_last_answer and not self._is_body_due
            if self._state_at_close is None and not is_over:
                await self._protocol.handle(RawData(data))
            else:
                self._crossed_bytes += len(data)

    async def _send(self, event: Event) -> None:
        """Do what the protocol asks for: send, close, or wait for the next request."""
        assert self._protocol is not None
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._end_after_answer()
        elif isinstance(event, Updated):
            self._is_overdue = False
            # In a request, the timer looks whether its body goes on.
            self._begin_waiting()

    async def _write(self, data: bytes) -> None:
        async with self._send_lock:
            if self._is_broken:
                return
            try:
                if self._writer.is_closing() and self._state_at_close is None:
                    raise ConnectionResetError("the peer has closed the connection")
                self._writer.write(data)
                await self._writer.drain()
                return
            except WRITE_ERRORS as error:
                _log_broken(error)
                self._is_broken = True
        await self._abandon()

    async def _abandon(self) -> None:
        """Begin no request of those that were read ahead, as the connection broke."""
        self._begin_end(ConnectionEnd.PEER)
        self._reader.release()
        if self._http1 is not None:
            await self._http1.abandon()

    def _end_early(self) -> None:
        """Drop the rest of a body whose request has its answer."""
        if self._state_at_close is None:
            self._linger(ConnectionState.IDLE)

    def _end_after_answer(self) -> None:
        """Close this side, and drop what the peer still sends until it closes, too.

        A peer that has announced the end by itself sends nothing more.
        """
        if self._state_at_close is not None:
            return
        may_receive = self._is_on_last_answer or self._is_body_due
        may_receive = may_receive or self.state is ConnectionState.RECEIVING
        if not (may_receive or self._has_waiting_bytes):
            self.close(ConnectionEnd.LAST_ANSWER)
            return
        self._linger(self.state)

    def _linger(self, state: ConnectionState) -> None:
        """Close this side, and read until the peer has closed the other one."""
        self._begin_end(ConnectionEnd.LAST_ANSWER, state)
        try:
            self._writer.write_eof()
        except OSError as error:
            _log_broken(error)
        self._start_timer(LINGER_S)

    def _begin_end(
        self, end: ConnectionEnd, state: ConnectionState | None = None
    ) -> None:
        self._stop_timer()
        if self._state_at_close is None:
            self._state_at_close = state or self.state
            self.end = end

    def _begin_waiting(self) -> None:
        self._idle_since_s = self.now_s
        self._start_timer(self._options.config.keep_alive_timeout)

    def _start_timer(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_s, self._end_waiting)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_waiting(self) -> None:
        """Close the connection after its timeout, unless bytes have just arrived.

        In a request, do so only if its body has stopped arriving.  The timeout may have
        grown since the timer began.
        """
        timeout_s = self._options.config.keep_alive_timeout
        if self._state_at_close is None:
            if self._is_in_request and not self._is_body_due:
                return
            waited_s = (
                self.quiet_s if self._is_in_request else self.now_s - self._idle_since_s
            )
            if waited_s < timeout_s:
                self._start_timer(timeout_s - waited_s)
                return
        has_arrived = self._reader.unread_bytes or self._has_waiting_bytes
        if self._state_at_close is None and has_arrived and not self._is_overdue:
            self._is_overdue = True
            self._start_timer(LAST_READ_S)
            return
        self.close(ConnectionEnd.IDLE_TIMEOUT)
        if self._task is not None:
            # The protocol may wait for an application that reads no more.
            self._task.cancel()

    async def _close(self) -> None:
        """Close the connection, and wait until what was written is sent."""
        try:
            self._writer.close()
            await self._writer.wait_closed()
        except OSError as error:
            _log_broken(error)


def _host_and_port(address: Any) -> tuple[str, int] | None:
    """Return the first two parts of a socket's address; IPv6 has more."""
    return tuple(address[:2]) if address else None


def _log_broken(error: Exception) -> None:
    _logger.debug("connection broke", extra={"error": repr(error)})
