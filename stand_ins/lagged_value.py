"""A value that is reported with a lag."""

import time
from collections import deque
from typing import Generic, TypeVar

__all__ = ["LaggedValue"]

ValueT = TypeVar("ValueT")


class LaggedValue(Generic[ValueT]):
    """Reports a value as it was `lag_s` ago."""

    def __init__(self, initial: ValueT, lag_s: float) -> None:
        self.lag_s = lag_s
        self._visible = initial
        self._pending: deque[tuple[float, ValueT]] = deque()

    def set(self, value: ValueT) -> None:
        """Record the current value."""
        self._pending.append((time.monotonic() + self.lag_s, value))
        self.get()

    def get(self) -> ValueT:
        """Return the value as it was `lag_s` ago."""
        now_s = time.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            self._visible = self._pending.popleft()[1]
        return self._visible
