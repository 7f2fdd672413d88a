"""Tests of noticing that the store is slow."""

import unittest

from reedspar.fleet.store_speed import StoreLatencyMonitor
from reedspar.timers import TimerService, VirtualClock


class StoreSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.store_latency = StoreLatencyMonitor(TimerService(self.clock))

    def call(self, duration_s: float) -> None:
        with self.store_latency.measure():
            self.clock.advance(duration_s)

    def test_quick_calls_cast_no_doubt(self) -> None:
        self.call(0.1)
        self.assertFalse(self.store_latency.is_recently_slow)

    def test_open_call_casts_doubt_before_it_ends(self) -> None:
        with self.store_latency.measure():
            self.clock.advance(0.4)
            self.assertFalse(self.store_latency.is_recently_slow)
            self.clock.advance(0.2)
            self.assertTrue(self.store_latency.is_recently_slow)

    def test_doubt_outlasts_a_slow_call_by_what_a_change_may_take(self) -> None:
        self.call(0.8)
        self.clock.advance(1.9)
        self.assertTrue(self.store_latency.is_recently_slow)
        self.clock.advance(0.2)
        self.assertFalse(self.store_latency.is_recently_slow)


if __name__ == "__main__":
    unittest.main()
