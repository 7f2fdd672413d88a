"""Tests of what is kept and logged of targets' announcements."""

import unittest

from reedspar.direct import TargetNotice
from reedspar.direct.loads import OwnAttempt, TargetLoads
from reedspar.direct.notices import LEAVING_TTL_S, LOG_LINES_BURST, TargetNotices
from reedspar.timers import TimerService, VirtualClock

LOGGER = "reedspar.direct.notices"
BOOT = "t1:7"


class TargetNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.loads = TargetLoads()
        self.notices = TargetNotices(self.loads, TimerService(self.clock))

    def record(self, *, is_leaving: bool = False, pause_s: float | None = None) -> None:
        self.notices.record(TargetNotice("t1", BOOT, "r1", is_leaving, pause_s))

    @property
    def pause_left_s(self) -> float:
        return self.notices.pause_left_s(BOOT, self.clock.now_s())

    @property
    def counts(self) -> dict[str, float]:
        return {labels["notice"]: n for n, labels in self.notices.read_counts()}

    def test_shutdown_is_logged_once_for_each_run(self) -> None:
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.record(is_leaving=True)
            self.record(is_leaving=True)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(vars(logs.records[0])["peer"], "")
        self.assertTrue(self.notices.is_leaving(BOOT))
        self.assertFalse(self.notices.is_leaving("t1:8"))
        self.assertEqual(self.counts, {"leaving": 1, "pause": 0})

    def test_shutdown_without_evidence_is_forgotten(self) -> None:
        self.record(is_leaving=True)
        self.clock.advance(LEAVING_TTL_S)
        self.notices.record(TargetNotice("t2", "t2:1", "r2", is_leaving=True))
        self.assertFalse(self.notices.is_leaving(BOOT))

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.record(pause_s=3.0)
        self.clock.advance(0.5)
        self.record(pause_s=1.0)
        self.assertEqual(self.pause_left_s, 2.5)
        self.clock.advance(2.5)
        self.assertEqual(self.pause_left_s, 0.0)

    def test_refusal_during_a_pause_is_logged_relative_to_its_start(self) -> None:
        self.record(pause_s=3.0)
        self.clock.advance(0.1)
        attempt = OwnAttempt(0, self.clock.now_s(), handed_over_s=100.1)
        self.loads.for_target("t1").own_attempts["r1"] = attempt
        self.clock.advance(0.1)
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.record(pause_s=3.0)
        record = vars(logs.records[0])
        self.assertEqual((record["chosen_ms"], record["begun_ms"]), (100, 200))

    def test_log_lines_are_limited(self) -> None:
        with self.assertLogs(LOGGER, "INFO") as logs:
            for _ in range(100):
                self.record(pause_s=1.0)
        self.assertEqual(len(logs.records), LOG_LINES_BURST)
        self.assertEqual(self.counts["pause"], 100)


if __name__ == "__main__":
    unittest.main()
