"""Monitors the store's latency by calls that it normally answers at once."""

from collections.abc import Iterator
from contextlib import contextmanager

from reedspar.timers import TimerService

__all__ = ["StoreLatencyMonitor"]

SLOW_CALL_S = 0.5
"""Duration of such a call above which the store counts as slow; 5 ms is usual."""
SLOW_STATE_DURATION_S = 2.0
"""How long the store counts as slow after a slow call.

It equals the time that operators allow a change to take."""


class StoreLatencyMonitor:
    """Detects that changes from the store may arrive late.

    A slow store also answers watches late, which can't be distinguished from a watch
    without changes.  An entry would then give a caller the final answer that a route
    does not exist, though operators added it more than two seconds before.  The renewal
    of this daemon's lease, once a second, reveals a slow store.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._started_s: float | None = None
        self._slow_until_s = float("-inf")

    @property
    def is_recently_slow(self) -> bool:
        """Return whether the store is slow or was within SLOW_STATE_DURATION_S."""
        now_s = self._timers.now_s()
        return now_s < self._slow_until_s or self._is_call_slow(now_s)

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Measure the duration of a call that the store normally answers at once."""
        self._started_s = self._timers.now_s()
        try:
            yield
        finally:
            now_s = self._timers.now_s()
            if self._is_call_slow(now_s):
                self._slow_until_s = now_s + SLOW_STATE_DURATION_S
            self._started_s = None

    def _is_call_slow(self, now_s: float) -> bool:
        started_s = self._started_s
        return started_s is not None and now_s - started_s > SLOW_CALL_S
