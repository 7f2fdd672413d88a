"""When a periodic message is due, and when a change may be told early."""

from reedspar.utils import TokenBucket

__all__ = ["SendSchedule"]

SEND_RATE_PER_S = 4.0
SEND_BURST = 2.0
GAP_MIN_S = 0.08
"""Minimum time between two messages: slightly less than a tick of the timers."""
TICK_TOLERANCE_S = 0.02


class SendSchedule:
    """Lets a message through at an interval, and earlier after a change.

    On average there are at most four messages a second, or `stretch` times fewer.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._bucket = TokenBucket(SEND_RATE_PER_S, SEND_BURST)
        self._sent_s = float("-inf")

    def take(self, now_s: float, has_changed: bool, stretch: float = 1.0) -> bool:
        """Return whether to send now, and count the message if so."""
        self._bucket.set_rate(SEND_RATE_PER_S / stretch, now_s)
        gap_s = now_s - self._sent_s
        is_due = gap_s >= self._interval_s * stretch - TICK_TOLERANCE_S
        may_hurry = has_changed and gap_s >= GAP_MIN_S and self._bucket.is_ready(now_s)
        if not is_due and not may_hurry:
            return False
        self._bucket.consume(1.0, now_s)
        self._sent_s = now_s
        return True
