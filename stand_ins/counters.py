"""Counts of calls, in all and for each of the last seconds."""

import time
from collections import Counter, deque

__all__ = ["CallCounter"]

KEPT_SECONDS = 120


class CallCounter:
    """Count calls by kind."""

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._seconds: deque[tuple[int, Counter[str]]] = deque(maxlen=KEPT_SECONDS)

    def add(self, kind: str, amount: int = 1) -> None:
        """Count calls of a kind now."""
        second = int(time.time())
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, Counter()))
        self._seconds[-1][1][kind] += amount
        self._totals[kind] += amount

    def total(self, kind: str) -> int:
        """Return the count of a kind."""
        return self._totals[kind]

    def per_second(self, kind: str) -> int:
        """Return the count of a kind in the running second."""
        if not self._seconds or self._seconds[-1][0] != int(time.time()):
            return 0
        return self._seconds[-1][1][kind]

    def describe(self) -> dict[str, object]:
        """Return totals, and the counts of the last seconds by Unix time."""
        return {
            "totals": dict(self._totals),
            "per_second": {
                str(second): dict(counts) for second, counts in self._seconds
            },
        }
