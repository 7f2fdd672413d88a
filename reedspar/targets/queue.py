"""Priority queue of admitted attempts.

The highest priority number is first; within a priority, the order is first in, first
out.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from .table import AttemptRecord

__all__ = ["AttemptQueue"]


@dataclass(order=True, slots=True)
class _QueuedAttempt:
    rank: int
    order: int
    record: AttemptRecord = field(compare=False)


class AttemptQueue:
    """Attempts that were admitted but not yet sent to the target."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._heap: list[_QueuedAttempt] = []
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def is_full(self) -> bool:
        """Return whether the queue is at its capacity."""
        return len(self._heap) >= self._capacity

    def push(self, record: AttemptRecord) -> None:
        """Add an attempt."""
        assert record.start is not None
        rank = -record.start.priority
        heapq.heappush(
            self._heap, _QueuedAttempt(rank, next(self._arrival_numbers), record)
        )

    def pop(self) -> AttemptRecord | None:
        """Remove and return the next attempt, or None if the queue is empty."""
        return heapq.heappop(self._heap).record if self._heap else None

    def remove(self, record: AttemptRecord) -> bool:
        """Remove an attempt; return whether it was queued."""
        remaining = [waiting for waiting in self._heap if waiting.record is not record]
        if len(remaining) == len(self._heap):
            return False
        heapq.heapify(remaining)
        self._heap = remaining
        return True

    def pop_expired(self, now_s: float) -> list[AttemptRecord]:
        """Remove and return the attempts whose deadline has passed."""
        expired = [w.record for w in self._heap if w.record.deadline_s <= now_s]
        for record in expired:
            self.remove(record)
        return expired
