"""Tests of the verification of staged chunks before a load."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService
from reedspar.weights.staged_version import StagingOrder
from reedspar.weights.verification import (
    VERIFICATION_TTL_S,
    VERIFY_AHEAD_S,
    StagedVerifier,
)

from .staged_cases import make_staged_version

MODEL = "quotes"
CHUNKS = 96
CHUNK_BYTES = 8
READ_DURATION_S = 0.006
"""Time to read a chunk back on an agent's share of a core."""
CHUNK_INTERVAL_S = 0.06
"""Time between two chunks on a target's link."""
CHECK_MAX_S = 0.1


class FakeEngine:
    """Holds staged chunks, which tests can corrupt, and records reads."""

    def __init__(self) -> None:
        self.chunks: dict[int, bytes] = {}
        self.reads: list[int] = []

    async def list_staged(self, model: str) -> tuple[int, ...]:
        return tuple(self.chunks)

    async def read_staged(self, model: str, index: int) -> bytes:
        self.reads.append(index)
        await anyio.sleep(READ_DURATION_S)
        return self.chunks[index]


class VerificationTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            self.create_verifier()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.verifier.run)
                await scenario()
                tasks.cancel_scope.cancel()

        run_virtual(run)

    def create_verifier(self) -> None:
        self.chunks = [i.to_bytes(CHUNK_BYTES, "big") for i in range(CHUNKS)]
        self.staged = make_staged_version(MODEL, self.chunks)
        self.engine = FakeEngine()
        self.timers = TimerService(LoopClock())
        self.corrupt: list[int] = []
        self.verifier = StagedVerifier(
            self.engine,
            self.timers,
            {MODEL: self.staged},
            lambda root: self.left_s(),
            lambda staged, index: self.corrupt.append(index),
        )

    def left_s(self) -> float:
        return CHUNK_INTERVAL_S * (CHUNKS - len(self.engine.chunks))

    def stage(self, index: int) -> None:
        self.engine.chunks[index] = self.chunks[index]
        digest = self.staged.chunk_digests[index]
        order = StagingOrder(MODEL, self.staged.root_digest, index, digest, "1")
        self.staged.mark_staged(order, self.timers.now_s())
        self.verifier.record_staged(self.staged)

    async def stage_at_link_rate(self, first: int, last: int) -> None:
        for index in range(first, last):
            self.stage(index)
            await anyio.sleep(CHUNK_INTERVAL_S)

    def test_check_before_load_is_short_after_last_chunk(self) -> None:
        # Guards against a target serving nothing while every chunk is read back.
        async def scenario() -> None:
            await self.stage_at_link_rate(0, CHUNKS - 10)
            await anyio.sleep(5.0)
            await self.stage_at_link_rate(CHUNKS - 10, CHUNKS)
            start_s = anyio.current_time()
            self.assertEqual(await self.verifier.find_corrupt(self.staged), [])
            self.assertLessEqual(anyio.current_time() - start_s, CHECK_MAX_S)
            self.assertEqual(self.corrupt, [])

        self.run_scenario(scenario)

    def test_nothing_is_read_back_while_many_chunks_are_missing(self) -> None:
        async def scenario() -> None:
            await self.stage_at_link_rate(
                0, CHUNKS - round(VERIFY_AHEAD_S / CHUNK_INTERVAL_S) - 1
            )
            self.assertEqual(self.engine.reads, [])

        self.run_scenario(scenario)

    def test_corrupt_chunk_is_found_before_last_chunk_arrives(self) -> None:
        async def scenario() -> None:
            await self.stage_at_link_rate(0, CHUNKS - 10)
            self.engine.chunks[3] = b"?"
            await anyio.sleep(5.0)
            await self.stage_at_link_rate(CHUNKS - 10, CHUNKS)
            self.assertIn(3, self.corrupt)

        self.run_scenario(scenario)

    def test_chunk_corrupted_after_verification_is_found(self) -> None:
        # Guards against loading a chunk that was corrupted after its verification.
        async def scenario() -> None:
            await self.stage_at_link_rate(0, CHUNKS)
            self.engine.chunks[3] = b"?"
            await anyio.sleep(VERIFICATION_TTL_S)
            self.assertEqual(await self.verifier.find_corrupt(self.staged), [3])

        self.run_scenario(scenario)

    def test_all_chunks_are_read_back_after_pause(self) -> None:
        # Guards against trusting reads from before a suspend.  The clock stops during a
        # suspend, so these reads do not expire by age.
        async def scenario() -> None:
            await self.stage_at_link_rate(0, CHUNKS)
            self.engine.chunks[CHUNKS - 1] = b"?"
            self.staged.expire_verified(self.timers.now_s())
            found = await self.verifier.find_corrupt(self.staged)
            self.assertEqual(found, [CHUNKS - 1])

        self.run_scenario(scenario)

    def test_read_that_began_before_a_pause_does_not_count(self) -> None:
        # Guards against trusting a chunk whose read was under way when the machine
        # was suspended.
        async def scenario() -> None:
            await self.stage_at_link_rate(0, CHUNKS)
            read_s = self.timers.now_s()
            await anyio.sleep(READ_DURATION_S)
            self.staged.expire_verified(self.timers.now_s())
            self.staged.record_verified(3, read_s)
            self.engine.chunks[3] = b"?"
            self.assertEqual(await self.verifier.find_corrupt(self.staged), [3])

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
