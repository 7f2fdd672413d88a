"""Tests of an agent whose target asks for a pause when it refuses a request."""

import unittest

from reedspar.attempts import AttemptRefused, TargetReport, TargetStatus
from reedspar.errors import Reason
from reedspar.platform import EngineState
from reedspar.targets.pause import read_pause_s
from reedspar.targets.tests.cases import ControllerTestCase
from reedspar.targets.tests.fakes import DIGEST, make_start


class TargetPauseTest(ControllerTestCase):
    def refuse_with_pause(self, seconds: str) -> None:
        """Let the target refuse requests and ask for a pause."""
        self.target.status = 503
        self.target.headers = (("Retry-After", seconds),)

    def test_target_that_asked_for_a_pause_gets_no_attempts(self) -> None:
        # Guards against requests to a target within the time that it wants none.
        async def scenario() -> None:
            self.refuse_with_pause("3")
            await self.deliver(make_start("r1"))
            await self.deliver(make_start("queued"))
            await self.release()
            await self.deliver(make_start("r2"))
            self.assertEqual(self.target.runs, ["r1.1"])
            refusals = self.network.sent_of(AttemptRefused)
            self.assertEqual([r.request_id for r in refusals], ["queued", "r2"])
            for refusal in refusals:
                self.assertIs(refusal.reason, Reason.OVERLOADED)
                self.assertEqual(refusal.retry_after_s, 3.0)

        self.run_scenario(scenario)

    def test_pause_and_its_end_are_reported_to_the_entries(self) -> None:
        # Guards against entries that choose a target during its pause, or never again.
        async def scenario() -> None:
            self.refuse_with_pause("1.5")
            self.target.release.set()
            await self.deliver(make_start("r1"))
            self.assertIs(self.last_status(), TargetStatus.DOWN)
            await self.advance(1.6)
            self.assertIs(self.last_status(), TargetStatus.COLD)
            self.target.status = 200
            await self.deliver(make_start("r2"))
            self.assertEqual(self.target.runs, ["r1.1", "r2.1"])

        self.run_scenario(scenario)

    def test_restart_of_the_target_ends_its_pause(self) -> None:
        async def scenario() -> None:
            self.refuse_with_pause("60")
            self.target.release.set()
            await self.deliver(make_start("r1"))
            self.target.state = EngineState("boot-2", loaded={"quotes": DIGEST})
            await self.advance(1.1)
            await self.deliver(make_start("r2"))
            self.assertEqual(self.target.runs, ["r1.1", "r2.1"])

        self.run_scenario(scenario)

    def last_status(self) -> TargetStatus:
        status: TargetStatus = self.network.sent_of(TargetReport)[-1].status
        return status


class ReadPauseTest(unittest.TestCase):
    def test_only_seconds_of_an_unavailable_target_are_read(self) -> None:
        cases = [
            (503, "2.5", 2.5),
            (503, "0", 0.0),
            (429, "2", None),
            (200, "2", None),
            (503, "soon", None),
            (503, "-1", None),
            (503, "inf", None),
        ]
        for status, text, expected in cases:
            pause_s = read_pause_s(status, [("Retry-After", text)])
            self.assertEqual(pause_s, expected, (status, text))
        self.assertIsNone(read_pause_s(503, []))


if __name__ == "__main__":
    unittest.main()
