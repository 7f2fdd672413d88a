"""Rate limit of the claim writes to the key-value service."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from reedspar.timers import TimerService

from .claim_locations import UNDATED, partition_of

__all__ = ["WriteRateLimiter", "WriteRateOptions"]


@dataclass(frozen=True, slots=True)
class WriteRateOptions:
    """Rate limits of claim writes."""

    write_interval_s: float = 0.04
    """Minimum time between two writes to one partition."""
    undated_writes_per_s: float = 200.0
    """Maximum write rate for undated keys, from all entries together."""
    undated_wait_max_s: float = 0.5
    """Expected wait above which the claim of an undated key is refused at once."""


class WriteRateLimiter:
    """Limits the rate at which one entry writes claims."""

    def __init__(
        self,
        timers: TimerService,
        options: WriteRateOptions,
        count_entries: Callable[[], int],
    ) -> None:
        self._timers = timers
        self._options = options
        self._count_entries = count_entries
        self._next_write_s: dict[str, float] = {}
        self._undated_waiting: set[str] = set()

    def try_enqueue(self, location: str) -> bool:
        """Queue a claim, or return False if it would wait too long.

        Such a claim would time out in the queue after several seconds, and would
        delay the claims behind it.
        """
        if partition_of(location) != UNDATED:
            return True
        turn_s = self._next_write_s.get(UNDATED, 0.0)
        queued_s = len(self._undated_waiting) * self._interval_s(UNDATED)
        wait_s = max(0.0, turn_s - self._timers.now_s()) + queued_s
        if wait_s > self._options.undated_wait_max_s:
            return False
        self._undated_waiting.add(location)
        return True

    async def wait(self, location: str) -> None:
        """Wait until the location's partition may be written again."""
        partition = partition_of(location)
        now_s = self._timers.now_s()
        turn_s = max(now_s, self._next_write_s.get(partition, 0.0))
        self._next_write_s[partition] = turn_s + self._interval_s(partition)
        if turn_s > now_s:
            await anyio.sleep(turn_s - now_s)
        self._undated_waiting.discard(location)

    def _interval_s(self, partition: str) -> float:
        """Return the minimum time between two writes to a partition.

        Each undated key has its own value, so its claim can't share a write with
        others.  It is written by the entry that has the request, so the total
        rate is divided evenly among the entries.
        """
        if partition != UNDATED:
            return self._options.write_interval_s
        return max(1, self._count_entries()) / self._options.undated_writes_per_s
