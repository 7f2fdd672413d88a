"""Reader of a connection that tells what has arrived and was not read yet."""

import asyncio
import select

from .limits import ReadAhead

__all__ = ["ReceivedBytes", "is_readable"]


LIMIT_BYTES = 8 * 1024
"""Bytes unread at which the transport reads on; it stops at twice as many."""


class ReceivedBytes(asyncio.StreamReader):
    """Counts the bytes that have arrived and that nobody has read."""

    def __init__(self, loop: asyncio.AbstractEventLoop, read_ahead: ReadAhead) -> None:
        super().__init__(limit=LIMIT_BYTES, loop=loop)
        self._read_ahead = read_ahead
        self._now_s = loop.time
        self.unread_bytes = 0
        self.total_bytes = 0
        self.last_received_s = loop.time()
        """Time of the last bytes, or of the connection if none have arrived."""

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        """Take bytes from the transport."""
        self.unread_bytes += len(data)
        self.total_bytes += len(data)
        self.last_received_s = self._now_s()
        super().feed_data(data)
        self._read_ahead.add(len(data))

    async def read(self, n: int = -1) -> bytes:
        """Return the next bytes, none at the end."""
        data = await super().read(n)
        self._take(len(data))
        return data

    def release(self) -> None:
        """Stop counting what nobody will read; further calls have no effect."""
        self._take(self.unread_bytes)

    def _take(self, size_bytes: int) -> None:
        taken = min(size_bytes, self.unread_bytes)
        self.unread_bytes -= taken
        self._read_ahead.remove(taken)


def is_readable(descriptor: int) -> bool:
    """Return whether the kernel holds bytes, an end, or a connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))
