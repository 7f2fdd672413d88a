"""Call counts: totals, and one count for each recent second."""

import time
from collections import Counter, deque

__all__ = ["CallCounter"]

RETAINED_SECONDS = 120


class CallCounter:
    """Counts calls by kind."""

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._seconds: deque[tuple[int, Counter[str]]] = deque(maxlen=RETAINED_SECONDS)

    def add(self, kind: str, amount: int = 1) -> None:
        """Count `amount` calls of a kind in the current second."""
        second = int(time.time())
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, Counter()))
        self._seconds[-1][1][kind] += amount
        self._totals[kind] += amount

    def total(self, kind: str) -> int:
        """Return the total for a kind."""
        return self._totals[kind]

    def per_second(self, kind: str) -> int:
        """Return the count of a kind in the current second."""
        if not self._seconds or self._seconds[-1][0] != int(time.time()):
            return 0
        return self._seconds[-1][1][kind]

    def describe(self) -> dict[str, object]:
        """Return the totals, and the counts of recent seconds keyed by Unix time."""
        return {
            "totals": dict(self._totals),
            "per_second": {
                str(second): dict(counts) for second, counts in self._seconds
            },
        }
