"""Tests that an answer which was overtaken brings nothing old back."""

import unittest

import anyio

from reedspar.platform.ordering import OrderedReads


class OrderedReadsTest(unittest.TestCase):
    def test_answer_that_was_overtaken_gives_the_later_one(self) -> None:
        # The agent's poll is under way when the engine loads a new version;
        # the read that confirms the load is faster.  Taken in after it, the
        # poll's old digest withdrew the new version, and a caller was told
        # "unknown" by an answer of sound weights (bench/random_run, seed 11).
        async def scenario() -> None:
            gates = [anyio.Event(), anyio.Event()]
            answers = iter([(gates[0], "old weights"), (gates[1], "new weights")])

            async def read() -> str:
                gate, answer = next(answers)
                await gate.wait()
                return answer

            reads = OrderedReads(read)
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
