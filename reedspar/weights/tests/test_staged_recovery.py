"""Tests of recovering the staged chunks when an agent starts."""

import unittest
from collections.abc import Callable

import anyio

from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService
from reedspar.weights.staged_recovery import StagedRecovery
from reedspar.weights.verification import StagedVerifier

from .staged_cases import make_staged_version

MODEL = "quotes"
CHUNK_COUNT = 96
CHUNK_BYTES = 8
READ_DURATION_S = 0.008
CORRUPT_INDEX = 7


class FakeReader:
    """Serves staged chunks from memory and counts the reads."""

    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks = chunks
        self.reads = 0
        self.on_read: Callable[[int], None] = lambda index: None

    async def list_staged(self, model: str) -> tuple[int, ...]:
        return tuple(range(len(self.chunks)))

    async def read_staged(self, model: str, index: int) -> bytes:
        self.reads += 1
        await anyio.sleep(READ_DURATION_S)
        self.on_read(index)
        return self.chunks[index]


class StagedRecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        chunks = [i.to_bytes(CHUNK_BYTES, "big") for i in range(CHUNK_COUNT)]
        self.staged = make_staged_version(MODEL, chunks)
        self.digests = self.staged.chunk_digests
        self.reader = FakeReader(chunks)
        self.held: list[str] = []
        self.boots = 1

    def recover(self) -> int:
        """Run the recovery; return how many chunks are read again before a load."""

        async def run() -> int:
            timers = TimerService(LoopClock())
            recovery = StagedRecovery(
                self.reader,
                lambda digest, data: self.held.append(digest),
                timers.now_s,
                lambda: str(self.boots),
            )
            await recovery.run(self.staged, lambda: True)
            verifier = StagedVerifier(
                self.reader, timers, {}, lambda root: 0.0, lambda staged, index: None
            )
            recovery_reads = self.reader.reads
            self.assertEqual(await verifier.find_corrupt(self.staged), [])
            return self.reader.reads - recovery_reads

        return run_virtual(run)

    def test_recovered_chunks_are_neither_staged_nor_read_again(self) -> None:
        # Guards against a delayed load after a power loss: chunks that were verified
        # during recovery must not be staged or verified a second time.
        self.assertEqual(self.recover(), 0)
        self.assertTrue(self.staged.is_fully_staged)
        self.assertEqual(self.held, list(self.digests))
        orders = [o for d in self.digests for o in self.staged.orders_for(d, "1")]
        self.assertEqual(orders, [])

    def test_corrupt_chunk_must_be_staged_again(self) -> None:
        self.reader.chunks[CORRUPT_INDEX] = b"?"
        self.recover()
        self.assertFalse(self.staged.is_fully_staged)
        self.assertTrue(self.staged.needs(self.digests[CORRUPT_INDEX]))

    def test_chunk_read_from_an_earlier_boot_must_be_staged_again(self) -> None:
        # Guards against counting chunks as staged that the engine had before a restart.
        def restart(index: int) -> None:
            self.boots += index == CORRUPT_INDEX

        self.reader.on_read = restart
        self.recover()
        self.assertTrue(self.staged.needs(self.digests[CORRUPT_INDEX]))
        self.assertFalse(self.staged.needs(self.digests[CORRUPT_INDEX + 1]))


if __name__ == "__main__":
    unittest.main()
