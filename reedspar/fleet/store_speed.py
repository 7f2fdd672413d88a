"""How fast the store answers this daemon, from its short calls."""

from collections.abc import Iterator
from contextlib import contextmanager

from reedspar.timers import TimerService

__all__ = ["StoreLatencyMonitor"]

SLOW_S = 0.5
"""A short call that takes longer shows a slow store; usual ones take 5 ms."""
DOUBT_S = 2.0
"""How long a slow call casts doubt: as long as operators allow a change to take."""


class StoreLatencyMonitor:
    """Tells whether news of the store may be late.

    A slow store answers watches late, too, and a watch without news looks the same.
    An entry would tell a caller for good that there is no such route, though operators
    have added it more than two seconds before.  The renewal of the own lease, once a
    second, shows it.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._started_s: float | None = None
        self._doubt_until_s = float("-inf")

    @property
    def is_recently_slow(self) -> bool:
        """Tell whether the store is slow, or was a moment ago."""
        now_s = self._timers.now_s()
        return now_s < self._doubt_until_s or self._is_slow(now_s)

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Time a short call."""
        self._started_s = self._timers.now_s()
        try:
            yield
        finally:
            now_s = self._timers.now_s()
            if self._is_slow(now_s):
                self._doubt_until_s = now_s + DOUBT_S
            self._started_s = None

    def _is_slow(self, now_s: float) -> bool:
        started_s = self._started_s
        return started_s is not None and now_s - started_s > SLOW_S
