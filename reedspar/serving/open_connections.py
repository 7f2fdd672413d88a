"""The open connections of a server, and how a shutdown ends them."""

import logging
from collections import Counter

import anyio

from reedspar.utils import TokenBucket

from .connection import (
    UNANSWERED_STATES,
    ConnectionEnd,
    ConnectionState,
    ServerConnection,
)

__all__ = ["OpenConnections"]

LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 50.0

_logger = logging.getLogger(__name__)


class OpenConnections:
    """Knows the open connections, and ends each when nothing is pending on it."""

    def __init__(self) -> None:
        self._connections: set[ServerConnection] = set()
        self._ended: Counter[tuple[ConnectionEnd, ConnectionState]] = Counter()
        self._closing = anyio.Event()
        self._log_limit = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self.is_closed = False
        """Whether nothing is open, and nothing can be opened any more."""
        self.is_draining = False
        """Whether connections end with an answer after which nothing waits on them."""

    @property
    def open_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def pending_count(self) -> int:
        """Return on how many connections a request, or a part of one, has no answer."""
        return sum(connection.is_pending for connection in self._connections)

    def begin_draining(self) -> None:
        """End each connection with the next answer after which nothing waits on it."""
        self.is_draining = True

    def begin_closing(self) -> None:
        """Accept no more, and end each connection once nothing is pending on it."""
        self.is_draining = True
        self._closing.set()

    async def wait_closing(self) -> None:
        """Wait until connections are to be closed."""
        await self._closing.wait()

    def add(self, connection: ServerConnection) -> None:
        """Record a new connection."""
        self._connections.add(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Record the end of a connection; further calls have no effect."""
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        state = connection.state
        self._ended[connection.end, state] += 1
        if connection.end is ConnectionEnd.PEER or state not in UNANSWERED_STATES:
            return
        if not self._log_limit.try_consume(1, connection.now_s):
            return
        _logger.warning(
            "connection closed before an answer",
            extra={
                "end": connection.end.value,
                "request": state.value,
                "unread_bytes": connection.unread_bytes,
                "since_last_byte_ms": round(connection.quiet_s * 1000),
            },
        )

    def close_idle(self) -> None:
        """Close the connections on which no request is pending."""
        for connection in list(self._connections):
            connection.close_if_idle(ConnectionEnd.SHUTDOWN)

    def abort(self) -> None:
        """Close all connections, without what is still to be sent.

        Their ends are recorded at once, as the process may end next.
        """
        for connection in list(self._connections):
            connection.abort(ConnectionEnd.SHUTDOWN)
            self.discard(connection)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the connections that ended by cause and state, for the metrics."""
        return [
            (count, {"end": end.value, "request": state.value})
            for (end, state), count in self._ended.items()
        ]
