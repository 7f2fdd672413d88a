"""The open connections of a server."""

import logging
from collections import Counter

from .connection import ConnectionEnd, ConnectionState, ServerConnection

__all__ = ["OpenConnections"]

UNANSWERED_STATES = (ConnectionState.RECEIVING, ConnectionState.ANSWERING)

_logger = logging.getLogger(__name__)


class OpenConnections:
    """Knows the open connections, and what was left on those that have ended."""

    def __init__(self) -> None:
        self._connections: set[ServerConnection] = set()
        self._ended: Counter[tuple[ConnectionEnd, ConnectionState]] = Counter()

    @property
    def open_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def add(self, connection: ServerConnection) -> None:
        """Record a new connection."""
        self._connections.add(connection)

    def discard(self, connection: ServerConnection, state: ConnectionState) -> None:
        """Record the end of a connection, and its state at that time."""
        self._connections.discard(connection)
        self._ended[connection.end, state] += 1
        if connection.end is ConnectionEnd.PEER or state not in UNANSWERED_STATES:
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

    def count_states(self) -> Counter[ConnectionState]:
        """Return how many connections are in each state."""
        return Counter(connection.state for connection in self._connections)

    def close(self, end: ConnectionEnd, *, only_idle: bool) -> None:
        """Close all connections, or those on which no answer is due."""
        for connection in list(self._connections):
            if not only_idle or connection.state not in UNANSWERED_STATES:
                connection.close(end)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the connections that ended by cause and state, for the metrics."""
        return [
            (count, {"end": end.value, "request": state.value})
            for (end, state), count in self._ended.items()
        ]
