"""The open connections of a server, and how a shutdown ends them."""

import logging
import random
import time
from collections import Counter

import anyio

from reedspar.utils import TokenBucket

from .connection import ServerConnection
from .limits import ReadAhead, ServerLimits, create_server_limits
from .states import UNANSWERED_STATES, ConnectionEnd, ConnectionState

__all__ = ["OpenConnections"]

LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 50.0
CROWD_LOG_LINES_PER_S = 1.0
SAMPLE = 16
"""Connections of which the quietest one is closed for a new one."""

_logger = logging.getLogger(__name__)


class OpenConnections:
    """Knows the open connections, and ends each when nothing is pending on it."""

    def __init__(self, limits: ServerLimits | None = None) -> None:
        self.limits = limits or create_server_limits()
        self.read_ahead = ReadAhead(self.limits.read_ahead_bytes)
        self.read_ahead.on_excess = self._end_furthest_ahead
        self._connections: set[ServerConnection] = set()
        self._ended: Counter[tuple[ConnectionEnd, ConnectionState]] = Counter()
        self._closing = anyio.Event()
        self._crowd_log_limit = TokenBucket(CROWD_LOG_LINES_PER_S, LOG_LINES_BURST)
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

    def replace_one(self) -> bool:
        """Close the quietest of some connections that are replaceable, if any is."""
        sample = random.sample(tuple(self._connections), min(SAMPLE, self.open_count))
        found = [connection for connection in sample if connection.is_replaceable]
        if not found:
            self._log_crowded("a connection is refused")
            return False
        quietest = max(found, key=lambda connection: connection.quiet_s)
        self._log_crowded("a connection is replaced")
        quietest.abort(ConnectionEnd.CROWDED)
        self.discard(quietest)
        return True

    def _end_furthest_ahead(self) -> None:
        """End the connection with the most bytes that wait to be parsed."""
        furthest = max(
            self._connections, key=lambda item: item.unread_bytes, default=None
        )
        if furthest is not None:
            self._log_crowded("the connection with most bytes ahead is closed")
            furthest.abort(ConnectionEnd.CROWDED)

    def _log_crowded(self, detail: str) -> None:
        if self._crowd_log_limit.try_consume(1, time.monotonic()):
            _logger.warning(
                "clients exceed the limits",
                extra={
                    "detail": detail,
                    "connections": self.open_count,
                    "read_ahead_bytes": self.read_ahead.total_bytes,
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
