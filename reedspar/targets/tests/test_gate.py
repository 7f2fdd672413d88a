"""Tests that the gate limits the load of a cold target."""

import random
import statistics
import unittest

from reedspar.targets import ColdStartGate, GateSettings

COLD_LIMIT = 1
FULL_LIMIT = 4


class LaggingReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = ColdStartGate(GateSettings(COLD_LIMIT, FULL_LIMIT))

    def complete_requests(self, count: int, first_byte_s: float = 0.1) -> None:
        for _ in range(count):
            self.gate.record_started()
            self.gate.record_first_byte(first_byte_s)
            self.gate.record_ended()
            self.gate.record_completed()

    def test_report_from_before_the_boot_does_not_raise_the_limit(self) -> None:
        # Guards against raising the limit of a restarted target: its boot id is
        # visible at once, but its report lags and says "warm" while the new process
        # is cold.  Two requests at once would crash it again.
        self.gate.record_boot("boot-1", 0.0)
        self.gate.record_report(is_cold=False, now_s=10.0)
        self.complete_requests(10)
        self.assertEqual(self.gate.limit, FULL_LIMIT)
        self.gate.record_boot("boot-2", 20.0)
        self.gate.record_report(is_cold=False, now_s=20.0)
        self.complete_requests(3)
        self.assertEqual(self.gate.limit, COLD_LIMIT)
        self.gate.record_report(is_cold=False, now_s=22.9)
        self.complete_requests(3)
        self.assertEqual(self.gate.limit, COLD_LIMIT)
        self.gate.record_report(is_cold=False, now_s=23.1)
        self.complete_requests(3)
        self.assertEqual(self.gate.limit, FULL_LIMIT)

    def test_unreported_cold_start_is_detected_by_late_first_bytes(self) -> None:
        # Guards against overloading a warm target that turns cold without a restart
        # while its report says "warm": if its slow answers entered the average as
        # usual ones, the limit would rise again.
        self.gate.record_boot("boot-1", 0.0)
        self.gate.record_report(is_cold=False, now_s=10.0)
        self.complete_requests(20)
        for i in range(16):
            self.gate.record_report(is_cold=False, now_s=11.0 + i / 10)
            self.gate.record_started()
            self.gate.record_first_byte(1.0)
            self.gate.record_ended()
            self.gate.record_completed()
            if i >= 7:
                self.assertEqual(self.gate.limit, COLD_LIMIT)

    def test_one_long_prompt_does_not_make_the_target_cold(self) -> None:
        self.gate.record_boot("boot-1", 0.0)
        self.gate.record_report(is_cold=False, now_s=10.0)
        self.complete_requests(20)
        self.gate.record_first_byte(1.0)
        self.assertFalse(self.gate.is_cold)
        self.complete_requests(2)
        self.assertEqual(self.gate.limit, FULL_LIMIT)

    def test_unstreamed_answers_beside_streams_do_not_make_the_target_cold(
        self,
    ) -> None:
        # Guards against mixing first byte times: streams send their first byte at
        # once, other answers only when complete.  In a mixed average most answers
        # looked ten times too late, and a healthy target was repeatedly restricted to
        # the cold limit (seen with stand_ins.load, 23 streams in a hundred).
        self.gate.record_boot("boot-1", 0.0)
        self.gate.record_report(is_cold=False, now_s=10.0)
        self.complete_requests(20, first_byte_s=0.02)
        for i in range(100):
            self.gate.record_started()
            is_streamed = i % 12 == 0
            latency_s = 0.02 if is_streamed else 0.2
            self.gate.record_first_byte(latency_s, is_streamed=is_streamed)
            self.gate.record_ended()
            self.gate.record_completed()
            self.assertEqual(self.gate.limit, FULL_LIMIT)

    def test_many_long_prompts_do_not_make_the_target_cold(self) -> None:
        # Guards against taking long prompts for a cold start.  One prompt in five is
        # six times as long as the others, so three consecutive late first bytes occur
        # about once in 125 requests; with the cold limit applied for seconds each
        # time, callers would be refused despite free capacity.
        rng = random.Random(1)
        limits = []
        for i in range(4000):
            if i % 10 == 0:
                now_s = 10.0 + i / 40
                self.gate.record_boot("boot-1", now_s)
                self.gate.record_report(is_cold=False, now_s=now_s)
            self.gate.record_started()
            self.gate.record_first_byte(0.6 if rng.random() < 0.2 else 0.1)
            self.gate.record_ended()
            self.gate.record_completed()
            limits.append(self.gate.limit)
        self.assertGreaterEqual(statistics.mean(limits), 0.75 * FULL_LIMIT)


if __name__ == "__main__":
    unittest.main()
