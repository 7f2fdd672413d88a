"""The largest of the values of a period."""

from collections import deque

__all__ = ["RecentMaximum"]


class RecentMaximum:
    """Keeps the largest value that was in force within the last `period_s`."""

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._values: deque[tuple[float, float]] = deque()
        """Time until which each value was in force, and the value, the largest first.

        The last one is in force now."""

    def record(self, value: float, now_s: float) -> None:
        """Set the value that is in force from now on."""
        if self._values:
            self._values[-1] = (now_s, self._values[-1][1])
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now_s, value))

    def read(self, now_s: float) -> float:
        """Return the largest value, 0 if none was recorded."""
        while len(self._values) > 1 and self._values[0][0] < now_s - self._period_s:
            self._values.popleft()
        return self._values[0][1] if self._values else 0.0
