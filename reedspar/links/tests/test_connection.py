"""Tests of when a connection writes what is queued."""

import unittest
from collections.abc import Sequence
from typing import Any, cast
from unittest.mock import patch

import anyio
from anyio.abc import ByteStream

from reedspar.links import Priority
from reedspar.links.connection import FrameBuffer, FrameConnection


class RecordingStream:
    """A stream that keeps what is written, write by write."""

    def __init__(self) -> None:
        self.writes: list[list[bytes]] = []

    async def send(self, data: bytes) -> None:
        frames = FrameBuffer().feed(data)
        assert isinstance(frames, list)
        self.writes.append(frames)


def join(messages: Sequence[Any]) -> bytes:
    return b"+".join(messages)


class WriteTest(unittest.TestCase):
    def test_tokens_wait_for_others_but_nothing_else_waits_for_them(self) -> None:
        # Tokens of many answers come faster than they are worth a write each.
        # An answer's end behind them must not wait, nor go out before them; the
        # first token after a quiet moment must not wait either.
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

        with patch("reedspar.links.connection.LINGER_S", 3600.0):
            anyio.run(main)

    def test_tokens_that_wait_go_out_after_a_moment(self) -> None:
        # No other frame comes.  The caller would wait for its token for good.
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
