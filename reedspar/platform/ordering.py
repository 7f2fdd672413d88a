"""Keep answers in the order in which they were asked for."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

__all__ = ["OrderedReads"]

ResultT = TypeVar("ResultT")


class OrderedReads(Generic[ResultT]):
    """Reads of something that changes, of which an older answer never counts.

    Two reads may be under way at once, and the answer to the first may come
    last: it tells of a time before the second.  Taken in as it comes, it would
    bring back a state that has ended, such as weights that were replaced.
    """

    def __init__(self, read: Callable[[], Awaitable[ResultT]]) -> None:
        self._read = read
        self._tickets = itertools.count(1)
        self._latest: tuple[int, ResultT] | None = None

    async def read(self) -> ResultT:
        """Return the answer, or that of a later read if one has come already."""
        ticket = next(self._tickets)
        result = await self._read()
        if self._latest is None or ticket > self._latest[0]:
            self._latest = (ticket, result)
        return self._latest[1]
