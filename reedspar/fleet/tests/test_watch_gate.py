"""Tests of a gate that suspends and cancels calls."""

import unittest

import anyio

from reedspar.fleet.watch_gate import WatchGate
from reedspar.requests.tests.virtual_time import run_virtual


class GateTest(unittest.TestCase):
    def test_closing_gate_cancels_call_until_reopened(self) -> None:
        run_virtual(self._check)

    async def _check(self) -> None:
        gate = WatchGate()
        results: list[str | None] = []

        async def call() -> str:
            await anyio.sleep(1.0)
            return "result"

        async def follow() -> None:
            while len(results) < 2:
                results.append(await gate.run(call))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await anyio.sleep(0.5)
            gate.set_open(False)
            await anyio.sleep(5.0)
            self.assertEqual(results, [None])
            gate.set_open(True)
            gate.set_open(False)
            await anyio.sleep(5.0)
            self.assertEqual(results, [None])
            gate.set_open(True)
        self.assertEqual(results, [None, "result"])


if __name__ == "__main__":
    unittest.main()
