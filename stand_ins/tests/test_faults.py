"""Tests of the fault injection that stand-ins share."""

import unittest

import anyio

from stand_ins.faults import ResponseGate

GATE_TIMEOUT_S = 5.0


class ResponseGateTest(unittest.TestCase):
    def test_second_block_still_releases_earlier_waiters(self) -> None:
        # Changing another setting of a silent stand-in blocks it again.  Requests
        # that already wait must still be released when the silence ends.
        async def scenario() -> None:
            gate = ResponseGate()
            gate.set(is_blocked=True)
            with anyio.fail_after(GATE_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(gate.wait)
                    await anyio.wait_all_tasks_blocked()
                    gate.set(is_blocked=True)
                    gate.set(is_blocked=False)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
