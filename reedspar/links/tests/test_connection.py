"""Tests of when a connection writes its queued frames."""

import unittest
from collections.abc import Sequence
from typing import Any, cast
from unittest.mock import patch

import anyio
from anyio.abc import ByteStream

from reedspar.links import Priority
from reedspar.links.connection import FrameBuffer, FrameConnection


class RecordingStream:
    """A stream that records the frames of each write."""

    def __init__(self) -> None:
        self.writes: list[list[bytes]] = []

    async def send(self, data: bytes) -> None:
        frames = FrameBuffer().feed(data)
        assert isinstance(frames, list)
        self.writes.append(frames)


def join(messages: Sequence[Any]) -> bytes:
    return b"+".join(messages)


class WriteTest(unittest.TestCase):
    def test_only_writes_of_a_lone_batch_are_delayed(self) -> None:
        # Tokens of many answers arrive too fast for a write each, so they are delayed
        # and batched.  The end of an answer must neither be delayed behind them nor
        # overtake them, and the first token after an idle time must not be delayed.
        stream = RecordingStream()

        async def main() -> None:
            connection = FrameConnection(cast(ByteStream, stream), join)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.write_frames)
                await anyio.wait_all_tasks_blocked()
                connection.send_in_batch(b"a", 1)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(stream.writes, [[b"a"]])
                for token in (b"b", b"c"):
                    connection.send_in_batch(token, 1)
                    await anyio.wait_all_tasks_blocked()
                self.assertEqual(len(stream.writes), 1)
                connection.send(b"end", Priority.LIVE)
                connection.send_in_batch(b"d", 1)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(stream.writes[1:], [[b"b+c", b"end", b"d"]])
                tasks.cancel_scope.cancel()

        with patch("reedspar.links.connection.BATCH_WRITE_INTERVAL_S", 3600.0):
            anyio.run(main)

    def test_delayed_tokens_are_written_without_further_frames(self) -> None:
        # If only another frame could end the delay, a caller might never receive its
        # last token.
        stream = RecordingStream()

        async def main() -> None:
            connection = FrameConnection(cast(ByteStream, stream), join)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.write_frames)
                with anyio.fail_after(20.0):
                    for i in range(100):
                        connection.send_in_batch(b"%d" % i, 1)
                        await anyio.sleep(0)
                    while (
                        sum(f.count(b"+") + 1 for w in stream.writes for f in w) < 100
                    ):
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()
            tokens = [
                t for write in stream.writes for f in write for t in f.split(b"+")
            ]
            self.assertEqual(tokens, [b"%d" % i for i in range(100)])

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
