"""Tests of the log of answers that begin at targets that leave."""

import unittest

from reedspar.direct import TargetNotice
from reedspar.direct.leaving_targets_log import LOG_LINES_BURST, LeavingTargetsLog
from reedspar.direct.loads import OwnAttempt
from reedspar.fleet import FleetView, TargetChange, TargetState
from reedspar.fleet.tests.fakes import make_target
from reedspar.timers import TimerService, VirtualClock

LOGGER = "reedspar.direct.leaving_targets_log"


class LeavingTargetsLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        timers = TimerService(self.clock)
        self.view = FleetView(timers)
        self.log = LeavingTargetsLog(self.view, timers)
        self.apply(TargetState.READY)
        self.clock.advance(1.0)
        self.attempt = OwnAttempt(9, self.clock.now_s(), handed_over_s=101.25)

    def apply(self, state: TargetState) -> None:
        self.view.apply(TargetChange("t1", make_target("t1", state=state)))

    def record_begun(self) -> None:
        self.log.record_begun("r1", "t1", self.attempt)

    def test_times_count_from_the_first_news(self) -> None:
        self.clock.advance(0.5)
        self.apply(TargetState.LEAVING)
        self.clock.advance(1.0)
        self.view.apply(TargetChange("t1", None))
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.record_begun()
        record = vars(logs.records[0])
        self.assertEqual(record["chosen_ms"], -500)
        self.assertEqual(record["handed_over_ms"], -250)
        self.assertEqual(record["begun_ms"], 1000)

    def test_times_count_from_an_announcement_in_an_answer(self) -> None:
        self.log.record_notice(TargetNotice("t1", "t1:0", "r0", is_leaving=True))
        self.clock.advance(1.0)
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.record_begun()
        self.assertEqual(vars(logs.records[0])["begun_ms"], 1000)

    def test_answers_of_ready_targets_are_not_logged(self) -> None:
        self.apply(TargetState.LEAVING)
        self.apply(TargetState.READY)
        with self.assertNoLogs(LOGGER, "INFO"):
            self.record_begun()

    def test_log_lines_are_limited(self) -> None:
        self.apply(TargetState.LEAVING)
        with self.assertLogs(LOGGER, "INFO") as logs:
            for _ in range(100):
                self.record_begun()
        self.assertEqual(len(logs.records), LOG_LINES_BURST)


if __name__ == "__main__":
    unittest.main()
