"""Clocks: the machine's monotonic clock, and a virtual clock for tests."""

import time
from typing import Protocol

__all__ = ["Clock", "MonotonicClock", "VirtualClock"]


class Clock(Protocol):
    """A source of monotonic time."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""
        ...


class MonotonicClock:
    """The machine's monotonic clock."""

    def now_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class VirtualClock:
    """A clock that advances only by calls of `advance`."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the current virtual time."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Advance the time; raise `ValueError` if `by_s` is negative."""
        if by_s < 0:
            raise ValueError(f"time cannot go back by {-by_s} s")
        self._now_s += by_s
