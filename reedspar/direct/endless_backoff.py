"""Backoff from a target that sends answers without end."""

from dataclasses import dataclass

__all__ = ["EndlessBackoff"]

BACKOFF_MIN_S = 4.0
BACKOFF_MAX_S = 60.0
"""Bounds of the exponential backoff.

Such a target answers at once and takes any number of requests, each of which costs its
caller a second and this entry a megabyte."""
DOUBLINGS_MAX = 8


@dataclass(slots=True)
class EndlessBackoff:
    """Time until which a target gets no requests, longer after answers in series."""

    until_s: float = float("-inf")
    completed_s: float = float("-inf")
    """Time of the last complete answer."""
    _count: int = 0
    """Answers without end since the last complete one, those at the same time once."""

    def record_endless(self, now_s: float) -> bool:
        """Record an answer without end; return whether a backoff begins with it."""
        if now_s < self.until_s:
            return False
        self.until_s = now_s + min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self._count)
        self._count = min(self._count + 1, DOUBLINGS_MAX)
        return True

    def record_complete(self, now_s: float) -> None:
        """Record a complete answer, after which the backoff begins at its minimum."""
        self._count = 0
        self.completed_s = now_s
