"""Tests of timers and pause detection."""

import unittest

from reedspar.supervision import UnexpectedErrors, install_unexpected_errors
from reedspar.timers import TimerService, VirtualClock


class TimerServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock)
        self.calls: list[str] = []

    def advance(self, by_s: float) -> None:
        self.clock.advance(by_s)
        self.timers.run_due()

    def test_interval_repeats_until_cancelled(self) -> None:
        timer = self.timers.call_every(0.5, lambda: self.calls.append("tick"))
        for _ in range(4):
            self.advance(0.25)
        self.assertEqual(self.calls, ["tick", "tick"])
        timer.cancel()
        self.advance(0.9)
        self.assertEqual(self.calls, ["tick", "tick"])

    def test_callback_that_raises_stops_no_timer(self) -> None:
        # Guards against an error in one part's timer that ends the daemon.
        errors = UnexpectedErrors()
        self.addCleanup(install_unexpected_errors, install_unexpected_errors(errors))
        self.timers.call_every(0.1, lambda: [][0])
        self.timers.call_every(0.1, lambda: self.calls.append("tick"))
        self.timers.on_pause(lambda gap_s: [][0])
        self.advance(0.1)
        self.advance(5.0)
        self.assertEqual(self.calls, ["tick", "tick", "tick"])
        self.assertEqual(errors.counts, {"timer": 3, "pause listener": 1})

    def test_delay_fires_once(self) -> None:
        self.timers.call_after(0.2, lambda: self.calls.append("once"))
        self.advance(0.3)
        self.advance(0.3)
        self.assertEqual(self.calls, ["once"])

    def test_pause_listeners_run_before_timers(self) -> None:
        # The process is stopped for ten seconds and continued.  A timer that ran
        # before the pause listeners would act on a lease that has expired.
        self.timers.on_pause(lambda gap_s: self.calls.append(f"pause {gap_s:g}"))
        self.timers.call_every(0.1, lambda: self.calls.append("tick"))
        self.advance(10.0)
        self.assertEqual(self.calls[0], "pause 10")
        self.assertEqual(self.timers.pause_count, 1)
        self.assertEqual(self.calls[1:], ["tick", "tick"])


if __name__ == "__main__":
    unittest.main()
