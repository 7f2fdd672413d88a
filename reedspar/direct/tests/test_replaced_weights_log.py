"""Tests of the log and counts of requests that began on replaced weights."""

import unittest

from reedspar.direct.loads import OwnAttempt
from reedspar.direct.replaced_weights_log import LOG_LINES_BURST, ReplacedWeightsLog
from reedspar.direct.versions import VersionRule
from reedspar.fleet import FleetView, WeightsChange
from reedspar.timers import TimerService, VirtualClock

LOGGER = "reedspar.direct.replaced_weights_log"
BOUND_S = 8.0


class ReplacedWeightsLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        timers = TimerService(self.clock)
        self.view = FleetView(timers)
        self.log = ReplacedWeightsLog(VersionRule(self.view, timers, BOUND_S), timers)
        self.view.apply(WeightsChange("m", 2))

    def record_begun(self, version: int | None = 1) -> None:
        now_s = self.clock.now_s()
        attempt = OwnAttempt(9, now_s - 0.9, 0.1, False, "m", version, 0.2, now_s - 0.5)
        self.log.record_begun("r1", "t1", attempt)

    def counts(self) -> dict[str, float]:
        return {labels["when"]: count for count, labels in self.log.read_counts()}

    def test_log_line_shows_the_timing(self) -> None:
        self.clock.advance(BOUND_S + 0.1)
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.record_begun()
        record = vars(logs.records[0])
        self.assertEqual(record["left_ms"], -100)
        self.assertEqual(record["chosen_ms"], 7200)
        self.assertEqual(record["handed_over_ms"], 7600)
        self.assertEqual(record["begun_ms"], 8100)
        self.assertEqual(record["expected_ms"], 200)
        self.assertEqual(self.counts(), {"in_time": 0, "near": 0, "past": 1})

    def test_only_the_last_second_is_logged(self) -> None:
        with self.assertNoLogs(LOGGER, "INFO"):
            self.record_begun()
            self.record_begun(version=2)
            self.record_begun(version=None)
        self.clock.advance(BOUND_S - 0.5)
        with self.assertLogs(LOGGER, "INFO"):
            self.record_begun()
        self.assertEqual(self.counts(), {"in_time": 1, "near": 1, "past": 0})

    def test_log_lines_are_limited_and_counts_are_not(self) -> None:
        self.clock.advance(BOUND_S)
        with self.assertLogs(LOGGER, "INFO") as logs:
            for _ in range(100):
                self.record_begun()
        self.assertEqual(len(logs.records), LOG_LINES_BURST)
        self.assertEqual(sum(self.counts().values()), 100)


if __name__ == "__main__":
    unittest.main()
