"""Clocks: the machine's monotonic one, and a virtual one for decisions under test."""

import time
from typing import Protocol

__all__ = ["Clock", "MonotonicClock", "VirtualClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""
        ...


class MonotonicClock:
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class VirtualClock:
    """A clock that moves only when told to."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the time it was last set to."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Move forward; a negative step is refused."""
        if by_s < 0:
            raise ValueError(f"time cannot go back by {-by_s} s")
        self._now_s += by_s
