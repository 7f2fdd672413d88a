"""Tests that a read overtaken by a later one returns the later result."""

import unittest

import anyio

from reedspar.platform.monotonic_reader import MonotonicReader


class MonotonicReaderTest(unittest.TestCase):
    def test_overtaken_read_returns_the_later_result(self) -> None:
        # Guards against withdrawing a version that has just been loaded.  The agent
        # polls while the engine loads, and the read that confirms the load finishes
        # first.  The poll's older digest then withdrew the new version, and a valid
        # answer was reported as "unknown" (bench/random_run, seed 11).
        async def scenario() -> None:
            gates = [anyio.Event(), anyio.Event()]
            answers = iter([(gates[0], "old weights"), (gates[1], "new weights")])

            async def read() -> str:
                gate, answer = next(answers)
                await gate.wait()
                return answer

            reads = MonotonicReader(read)
            results: list[str] = []

            async def read_once() -> None:
                results.append(await reads.read())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_once)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(read_once)
                gates[1].set()
                await anyio.wait_all_tasks_blocked()
                gates[0].set()
            self.assertEqual(results, ["new weights", "new weights"])

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
