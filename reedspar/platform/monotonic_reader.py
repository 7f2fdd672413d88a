"""Monotonic reads: never return a state older than one returned before."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

__all__ = ["MonotonicReader"]

ResultT = TypeVar("ResultT")


class MonotonicReader(Generic[ResultT]):
    """Reads a changing value and discards results that a later read has overtaken.

    Of two concurrent reads the earlier one may finish last.  Its result describes
    an older state, such as weights that have been replaced since.
    """

    def __init__(self, read: Callable[[], Awaitable[ResultT]]) -> None:
        self._read = read
        self._sequence_numbers = itertools.count(1)
        self._latest: tuple[int, ResultT] | None = None

    async def read(self) -> ResultT:
        """Return the result, or that of a later read which has finished already."""
        number = next(self._sequence_numbers)
        result = await self._read()
        if self._latest is None or number > self._latest[0]:
            self._latest = (number, result)
        return self._latest[1]
