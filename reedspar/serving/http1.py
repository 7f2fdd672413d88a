"""HTTP/1.1 on one connection, with what is known of the requests on it."""

from typing import Any

import h11
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol

__all__ = ["Http1Protocol", "ObservedProtocol"]


class Http1Protocol(H11Protocol):
    """Tells whether requests have begun to arrive, and whether answers are due."""

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


class ObservedProtocol(ProtocolWrapper):
    """The protocol of a connection: HTTP/1.1 until its peer asks for another."""

    def __init__(self, *args: Any) -> None:
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
            )

    @property
    def is_answer_due(self) -> bool:
        """Return whether a request was read whose answer has not ended."""
        if isinstance(self.protocol, H2Protocol):
            return not self.protocol.idle
        return self.protocol.stream is not None
