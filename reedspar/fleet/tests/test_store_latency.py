"""Tests of detecting that the store is slow."""

import unittest

from reedspar.fleet.store_latency import StoreLatencyMonitor
from reedspar.timers import TimerService, VirtualClock


class StoreLatencyMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.store_latency = StoreLatencyMonitor(TimerService(self.clock))

    def call(self, duration_s: float) -> None:
        with self.store_latency.measure():
            self.clock.advance(duration_s)

    def test_fast_call_is_not_slow(self) -> None:
        self.call(0.1)
        self.assertFalse(self.store_latency.is_recently_slow)

    def test_pending_call_counts_as_slow_before_its_end(self) -> None:
        with self.store_latency.measure():
            self.clock.advance(0.4)
            self.assertFalse(self.store_latency.is_recently_slow)
            self.clock.advance(0.2)
            self.assertTrue(self.store_latency.is_recently_slow)

    def test_store_counts_as_slow_for_two_seconds_after_slow_call(self) -> None:
        self.call(0.8)
        self.clock.advance(1.9)
        self.assertTrue(self.store_latency.is_recently_slow)
        self.clock.advance(0.2)
        self.assertFalse(self.store_latency.is_recently_slow)


if __name__ == "__main__":
    unittest.main()
