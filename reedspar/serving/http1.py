"""HTTP/1.1 on one connection, with what is known of the requests on it."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import h11
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import EndBody, Event, Response
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol

LENGTH_HEADER = b"content-length"
SHORT_ANSWER_MAX_BYTES = 64 * 1024
CLOSE_HEADER = (b"connection", b"close")

__all__ = ["Http1Protocol", "ObservedProtocol"]


class Http1Protocol(H11Protocol):
    """Tells what has arrived, and marks the last answer on a connection."""

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
    """The protocol of a connection: HTTP/1.1 until its peer asks for another."""

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
        if isinstance(self.protocol, H2Protocol):
            return not self.protocol.idle
        return self.protocol.stream is not None
