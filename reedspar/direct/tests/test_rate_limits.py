"""Tests of the rate limits that targets name in their answers."""

import unittest

from reedspar.direct.loads import OwnAttempt, TargetLoads
from reedspar.direct.rate_limits import RateLimits
from reedspar.timers import TimerService, VirtualClock


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.loads = TargetLoads()
        self.limits = RateLimits(self.loads, TimerService(self.clock))

    def hand_over(self, request_id: str) -> None:
        now_s = self.clock.now_s()
        attempt = OwnAttempt(0, now_s, handed_over_s=now_s)
        self.loads.for_target("t1").own_attempts[request_id] = attempt

    def answer(self, request_id: str, rate_per_s: float | None) -> None:
        self.clock.advance(0.1)
        self.limits.record_answer("t1", request_id, rate_per_s)

    @property
    def rate_per_s(self) -> float | None:
        return self.loads.for_target("t1").named_limit.rate_per_s

    def test_later_answer_without_a_limit_ends_it(self) -> None:
        self.hand_over("r1")
        self.answer("r1", 1.5)
        self.assertEqual(self.rate_per_s, 1.5)
        self.hand_over("r2")
        self.answer("r2", None)
        self.assertIsNone(self.rate_per_s)
        counts = {labels["change"]: n for n, labels in self.limits.read_counts()}
        self.assertEqual(counts, {"named": 1, "ended": 1})

    def test_overtaken_answer_does_not_end_a_limit(self) -> None:
        # Guards against an answer from before the limit that arrives after the first
        # one that names it: the entry would send at the full rate again.
        self.hand_over("r1")
        self.hand_over("r2")
        self.answer("r1", 1.5)
        self.answer("r2", None)
        self.assertEqual(self.rate_per_s, 1.5)

    def test_limit_of_an_earlier_run_of_the_target_is_discarded(self) -> None:
        self.hand_over("r1")
        self.answer("r1", 1.5)
        self.loads.reset_after_restart("t1")
        self.assertIsNone(self.rate_per_s)


if __name__ == "__main__":
    unittest.main()
