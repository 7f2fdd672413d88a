"""Limits on what the clients of a server may make it keep."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "CONNECTION_BYTES",
    "RECEIVE_MAX_BYTES",
    "SOCKET_BUFFER_BYTES",
    "ReadAhead",
    "ServerLimits",
    "create_server_limits",
]

CONNECTION_BYTES = 40_000
"""Memory of a connection on which nothing has arrived."""
RECEIVE_MAX_BYTES = 16 * 1024
"""Bytes that are read from a connection at once."""
SOCKET_BUFFER_BYTES = 64 * 1024
"""Bytes that the kernel buffers for a connection in each direction."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files."""
CONNECTIONS_DESCRIPTOR_SHARE = 0.75
"""Share of the other descriptors for clients; the rest is for targets and peers."""
CONNECTIONS_MEMORY_SHARE = 0.25
READ_AHEAD_MEMORY_SHARE = 0.1
READ_AHEAD_DEFAULT_BYTES = 32_000_000
CONNECTIONS_DEFAULT = 10_000
"""Most connections of a process whose memory is not limited."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What all clients of a server together may have."""

    connections: int
    read_ahead_bytes: int
    """Bytes that have been read from connections and wait to be parsed."""


class ReadAhead:
    """Counts the bytes that wait on all connections, and tells when they exceed."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.total_bytes = 0
        self.on_excess: Callable[[], None] | None = None
        """Called as long as the bytes exceed the limit and calls reduce them."""

    def add(self, size_bytes: int) -> None:
        """Count bytes that have arrived."""
        self.total_bytes += size_bytes
        while self.total_bytes > self._limit_bytes and self.on_excess is not None:
            before_bytes = self.total_bytes
            self.on_excess()
            if self.total_bytes >= before_bytes:
                return

    def remove(self, size_bytes: int) -> None:
        """Stop counting bytes that were taken or dropped."""
        self.total_bytes -= size_bytes


def create_server_limits(
    memory_mb: float | None = None,
    descriptors: int | None = None,
    connections: int | None = None,
) -> ServerLimits:
    """Return limits for a process, by default by its memory and descriptors.

    `connections` replaces the number that follows from both.
    """
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    free = max(1, descriptors - RESERVED_DESCRIPTORS)
    by_default = min(CONNECTIONS_DEFAULT, int(free * CONNECTIONS_DESCRIPTOR_SHARE))
    read_ahead_bytes = READ_AHEAD_DEFAULT_BYTES
    if memory_mb is not None:
        memory_bytes = memory_mb * 1_000_000
        in_memory = memory_bytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
        by_default = min(by_default, int(in_memory))
        read_ahead_bytes = int(memory_bytes * READ_AHEAD_MEMORY_SHARE)
    return ServerLimits(connections or max(1, by_default), read_ahead_bytes)
