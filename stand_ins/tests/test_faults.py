"""Tests of the faults that stand-ins share."""

import unittest

import anyio

from stand_ins.faults import Silence

PATIENCE_S = 5.0


class SilenceTest(unittest.TestCase):
    def test_silence_set_twice_ends_for_all_that_wait(self) -> None:
        # A control sets a silent stand-in silent once more, as any change of
        # its other settings does.  Requests held from before must not hang for
        # good once the silence ends.
        async def scenario() -> None:
            silence = Silence()
            silence.set(is_silent=True)
            with anyio.fail_after(PATIENCE_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(silence.wait)
                    await anyio.wait_all_tasks_blocked()
                    silence.set(is_silent=True)
                    silence.set(is_silent=False)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
