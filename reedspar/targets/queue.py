"""A short queue before the target: highest priority first, then first come."""

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
    """Attempts that were admitted but not yet handed to the target."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._heap: list[_QueuedAttempt] = []
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def is_full(self) -> bool:
        """Tell whether no more may wait."""
        return len(self._heap) >= self._capacity

    def push(self, record: AttemptRecord) -> None:
        """Let an attempt wait."""
        assert record.start is not None
        rank = -record.start.priority
        heapq.heappush(
            self._heap, _QueuedAttempt(rank, next(self._arrival_numbers), record)
        )

    def pop(self) -> AttemptRecord | None:
        """Return the next attempt, or None if none waits."""
        return heapq.heappop(self._heap).record if self._heap else None

    def remove(self, record: AttemptRecord) -> bool:
        """Take an attempt out; tell whether it was waiting."""
        remaining = [waiting for waiting in self._heap if waiting.record is not record]
        if len(remaining) == len(self._heap):
            return False
        heapq.heapify(remaining)
        self._heap = remaining
        return True

    def pop_expired(self, now_s: float) -> list[AttemptRecord]:
        """Take out the attempts whose deadline has passed."""
        expired = [w.record for w in self._heap if w.record.deadline_s <= now_s]
        for record in expired:
            self.remove(record)
        return expired
