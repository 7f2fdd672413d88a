"""A TCP connection that carries frames, with live messages sent before bulk ones."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import ByteStream

from reedspar.errors import Failure, Reason, Step

from .network import Priority

__all__ = ["FRAME_SIZE_MAX_BYTES", "FrameBuffer", "FrameConnection"]

LENGTH_PREFIX_BYTES = 4
FRAME_SIZE_MAX_BYTES = 4 * 1024 * 1024
HELLO_MAX_BYTES = 16 * 1024
"""Maximum size of the first frame, which tells whose connection it is."""
RECEIVE_SIZE_BYTES = 256 * 1024
BULK_WRITE_MAX_BYTES = 128 * 1024
LIVE_BACKLOG_MAX_BYTES = 16 * 1024 * 1024
BULK_BACKLOG_MAX_BYTES = 512 * 1024
BATCH_MAX_BYTES = 256 * 1024
BATCH_WRITE_INTERVAL_S = 0.002
"""Minimum time between a write and the next one, if that contains only a batch.

Messages queued within this time, such as the tokens of answers, share a write and a
frame.  An idle link writes without delay.
"""


class FrameBuffer:
    """Splits a byte stream into frames, each prefixed by its big-endian length."""

    def __init__(self, first_max_bytes: int = FRAME_SIZE_MAX_BYTES) -> None:
        self._data = bytearray()
        self._max_bytes = first_max_bytes

    def feed(self, data: bytes) -> list[bytes] | Failure:
        """Return the frames that `data` completes; the first has a limit of its own.

        A length above the limit means that the stream is no longer in sync.  The
        connection must be closed then, as every later frame would be misread.
        """
        self._data += data
        frames = []
        start = 0
        while len(self._data) - start >= LENGTH_PREFIX_BYTES:
            prefix_end = start + LENGTH_PREFIX_BYTES
            size = int.from_bytes(self._data[start:prefix_end], "big")
            if size > self._max_bytes:
                return Failure(Reason.CORRUPT, Step.LINK, detail=f"frame of {size} B")
            if len(self._data) - prefix_end < size:
                break
            frames.append(bytes(self._data[prefix_end : prefix_end + size]))
            start = prefix_end + size
            self._max_bytes = FRAME_SIZE_MAX_BYTES
        del self._data[:start]
        return frames


@dataclass(slots=True)
class _Batch:
    """Messages that are encoded as one frame when they are written."""

    messages: list[Any] = field(default_factory=list)
    size_bytes: int = 0


class FrameConnection:
    """A connection that combines queued frames into one write."""

    def __init__(
        self, stream: ByteStream, encode_batch: Callable[[Sequence[Any]], bytes]
    ) -> None:
        self._stream = stream
        self._encode_batch = encode_batch
        self._live: deque[bytes | _Batch] = deque()
        self._bulk: deque[bytes] = deque()
        self._live_bytes = 0
        self._bulk_bytes = 0
        self._wake = anyio.Event()
        self._is_batch_delayed = False
        self._last_write_s = float("-inf")
        self._is_closed = False

    @property
    def bulk_backlog_bytes(self) -> int:
        """Return the size of the queued bulk frames."""
        return self._bulk_bytes

    def send(self, frame: bytes, priority: Priority) -> Failure | None:
        """Queue a frame; fail if the connection is closed or the queue is full."""
        if self._is_closed:
            return Failure(Reason.UNAVAILABLE, Step.LINK, detail="closed")
        size = len(frame) + LENGTH_PREFIX_BYTES
        if priority is Priority.BULK:
            if self._bulk_bytes + size > BULK_BACKLOG_MAX_BYTES:
                return Failure(Reason.OVERLOADED, Step.LINK, detail="bulk backlog")
            self._bulk.append(frame)
            self._bulk_bytes += size
        else:
            if self._live_bytes + size > LIVE_BACKLOG_MAX_BYTES:
                return Failure(Reason.OVERLOADED, Step.LINK, detail="live backlog")
            self._live.append(frame)
            self._live_bytes += size
        self._wake.set()
        return None

    def send_in_batch(self, message: Any, size_bytes: int) -> Failure | None:
        """Queue a live message to share a frame with adjacent messages in the queue.

        The order of messages is preserved: a message that follows a frame of another
        kind starts a new batch.
        """
        if self._is_closed:
            return Failure(Reason.UNAVAILABLE, Step.LINK, detail="closed")
        if self._live_bytes + size_bytes > LIVE_BACKLOG_MAX_BYTES:
            return Failure(Reason.OVERLOADED, Step.LINK, detail="live backlog")
        batch = self._live[-1] if self._live else None
        if (
            not isinstance(batch, _Batch)
            or batch.size_bytes + size_bytes > BATCH_MAX_BYTES
        ):
            batch = _Batch()
            self._live.append(batch)
        batch.messages.append(message)
        batch.size_bytes += size_bytes
        self._live_bytes += size_bytes
        if not self._is_batch_delayed:
            self._wake.set()
        return None

    async def read_frames(self, handle: Callable[[bytes], bool]) -> None:
        """Pass frames to `handle` until it returns False or the connection ends."""
        buffer = FrameBuffer(HELLO_MAX_BYTES)
        while not self._is_closed:
            try:
                data = await self._stream.receive(RECEIVE_SIZE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            except anyio.ClosedResourceError:
                return
            frames = buffer.feed(data)
            if isinstance(frames, Failure):
                return
            for frame in frames:
                if not handle(frame):
                    return

    async def write_frames(self) -> None:
        """Write queued frames until the connection ends."""
        while not self._is_closed:
            if not self._live and not self._bulk:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._delay_batch()
            data = self._dequeue()
            if not data:
                continue
            self._last_write_s = anyio.current_time()
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    async def close(self) -> None:
        """Close the connection; further calls have no effect."""
        if self._is_closed:
            return
        self._is_closed = True
        self._wake.set()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _delay_batch(self) -> None:
        """Wait for more messages if the next write would contain only a batch."""
        remaining_s = self._last_write_s + BATCH_WRITE_INTERVAL_S - anyio.current_time()
        if remaining_s <= 0 or self._bulk or self._is_closed:
            return
        if len(self._live) != 1 or not isinstance(self._live[0], _Batch):
            return
        self._wake = anyio.Event()
        self._is_batch_delayed = True
        with anyio.move_on_after(remaining_s):
            await self._wake.wait()
        self._is_batch_delayed = False

    def _dequeue(self) -> bytes:
        """Return the next write: all live frames, then bulk frames up to a limit."""
        parts: list[bytes] = []
        for item in self._live:
            if isinstance(item, _Batch):
                frame = self._encode_batch(item.messages)
            else:
                frame = item
            parts += (len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big"), frame)
        self._live.clear()
        self._live_bytes = 0
        bulk_bytes = 0
        while self._bulk and bulk_bytes < BULK_WRITE_MAX_BYTES:
            frame = self._bulk.popleft()
            parts += (len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big"), frame)
            bulk_bytes += len(frame) + LENGTH_PREFIX_BYTES
        self._bulk_bytes -= bulk_bytes
        return b"".join(parts)
