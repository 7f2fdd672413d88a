"""HTTP/1.1 on one connection, with what is known of the requests on it."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import h11
from hypercorn.events import Closed
from hypercorn.events import Event as ConnectionEvent
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import EndBody, Event, Request, Response
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

LENGTH_HEADER = b"content-length"
SHORT_ANSWER_MAX_BYTES = 64 * 1024
CLOSE_HEADER = (b"connection", b"close")
HTTP_VERSIONS = (b"1.0", b"1.1")
VERSION_NOT_SUPPORTED = 505

__all__ = ["Http1Protocol", "ObservedProtocol"]


class _EndedConnection:
    """Stands in for the state of a connection on which nothing is read any more."""

    our_state = None
    their_state = None
    they_are_waiting_for_100_continue = False
    trailing_data = (b"", False)

    def receive_data(self, data: bytes) -> None:
        """Drop what arrives."""

    def next_event(self) -> type[h11.NEED_DATA]:
        """Return that no request has arrived."""
        return h11.NEED_DATA

    def send(self, event: object) -> bytes:
        """Return nothing to send."""
        return b""


class Http1Protocol(H11Protocol):
    """Tells what has arrived, and marks the last answer on a connection.

    It speaks nothing but HTTP/1: the limits on a connection hold for one request at a
    time, and requests to upgrade are answered as any other.
    """

    def __init__(
        self,
        *args: Any,
        is_last_answer: Callable[[], bool],
        on_early_end: Callable[[], None],
    ) -> None:
        super().__init__(*args)
        self._is_last_answer = is_last_answer
        self._on_early_end = on_early_end
        """Called when an answer has ended before its request's body."""

    @property
    def is_body_due(self) -> bool:
        """Return whether a part of the present request's body is still to come."""
        return self.connection.their_state is h11.SEND_BODY

    @property
    def has_partial_request(self) -> bool:
        """Return whether bytes were read of a request that has not begun."""
        if not isinstance(self.connection, h11.Connection) or self.is_body_due:
            return False
        return bool(self.connection.trailing_data[0])

    async def handle(self, event: ConnectionEvent) -> None:
        """Process what has arrived, with the limit on heads that is in force now."""
        if isinstance(self.connection, h11.Connection):
            # The constructor alone takes the limit, which may change afterwards.
            limit_bytes = self.config.h11_max_incomplete_size
            self.connection._max_incomplete_event_size = limit_bytes
        await super().handle(event)

    async def abandon(self) -> None:
        """Begin no further request, as nobody can be answered any more."""
        self.connection = _EndedConnection()  # type: ignore[assignment]
        await self.can_read.set()
        await self.handle(Closed())

    async def _check_protocol(self, event: h11.Request) -> None:
        """Upgrade to no other protocol."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Begin to serve a request."""
        if request.http_version not in HTTP_VERSIONS:
            await self._send_error_response(VERSION_NOT_SUPPORTED)
            await self.send(Closed())
            return
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1
        await self.context.mark_request()

    async def stream_send(self, event: Event) -> None:
        """Send a part of an answer; the head of the last one says that it is that.

        Only a short answer is marked, as its body follows at once.  Requests that
        arrive during a long one would be lost with its connection.
        """
        if isinstance(event, Response):
            may_mark = _is_short(event) or self.is_body_due
            if may_mark and self._is_last_answer():
                event = replace(event, headers=[*event.headers, CLOSE_HEADER])
        await super().stream_send(event)
        if isinstance(event, EndBody) and self.is_body_due:
            self._on_early_end()


def _is_short(response: Response) -> bool:
    """Return whether the body is known to fit the buffers of a connection."""
    sizes = [value for name, value in response.headers if name == LENGTH_HEADER]
    return bool(sizes) and int(sizes[0]) <= SHORT_ANSWER_MAX_BYTES


class ObservedProtocol(ProtocolWrapper):
    """The protocol of a connection, which is always HTTP/1."""

    def __init__(
        self,
        *args: Any,
        is_last_answer: Callable[[], bool],
        on_early_end: Callable[[], None],
    ) -> None:
        super().__init__(*args)
        if isinstance(self.protocol, H11Protocol):
            self.protocol = Http1Protocol(
                self.app,
                self.config,
                self.context,
                self.task_group,
                self.state,
                self.ssl,
                self.client,
                self.server,
                self.send,
                is_last_answer=is_last_answer,
                on_early_end=on_early_end,
            )

    @property
    def is_answer_due(self) -> bool:
        """Return whether a request was read whose answer has not ended."""
        protocol = self.protocol
        return isinstance(protocol, H11Protocol) and protocol.stream is not None
