"""Tests of signals that a daemon receives."""

import os
import signal
import time
import unittest

from reedspar.daemon.signals import receive_signals, seconds_since

LATE_S = 0.05


class SecondsSinceTest(unittest.TestCase):
    def test_time_counts_from_the_arrival(self) -> None:
        # Guards against a grace period that begins when the event loop has time for
        # the signal.
        previous = signal.getsignal(signal.SIGUSR1)
        with receive_signals(signal.SIGUSR1, signal.SIGUSR2):
            self.assertEqual(seconds_since(signal.SIGUSR1), 0.0)
            os.kill(os.getpid(), signal.SIGUSR1)
            time.sleep(LATE_S)
            os.kill(os.getpid(), signal.SIGUSR1)
            since_s = seconds_since(signal.SIGUSR1, signal.SIGUSR2)
            self.assertGreaterEqual(since_s, LATE_S)
            self.assertEqual(seconds_since(signal.SIGUSR2), 0.0)
        signal.signal(signal.SIGUSR1, previous)

    def test_time_of_a_held_signal_counts_from_when_it_was_held(self) -> None:
        # Guards against the same for a signal that came during the first imports.
        previous = signal.getsignal(signal.SIGUSR1)
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
        held_since_s = time.monotonic() - LATE_S
        os.kill(os.getpid(), signal.SIGUSR1)
        with receive_signals(signal.SIGUSR1, held_since_s=held_since_s):
            self.assertGreaterEqual(seconds_since(signal.SIGUSR1), LATE_S)
        signal.signal(signal.SIGUSR1, previous)


if __name__ == "__main__":
    unittest.main()
