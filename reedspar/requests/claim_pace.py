"""Decision: when the next claims are written, within what the service bears."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from reedspar.timers import TimerService

from .claim_places import UNDATED, partition_of

__all__ = ["WritePace", "WritePaceOptions"]


@dataclass(frozen=True, slots=True)
class WritePaceOptions:
    """Rates of the writes of claims."""

    write_interval_s: float = 0.04
    """Least time between two writes of one partition."""
    undated_writes_per_s: float = 200.0
    """Writes of undated keys that all entries together may make."""
    undated_wait_s: float = 0.5
    """Wait for such a write beyond which the claim is refused at once."""


class WritePace:
    """The turns of one entry to write."""

    def __init__(
        self,
        timers: TimerService,
        terms: WritePaceOptions,
        count_entries: Callable[[], int],
    ) -> None:
        self._timers = timers
        self._terms = terms
        self._count_entries = count_entries
        self._next_write_s: dict[str, float] = {}
        self._undated_waiting: set[str] = set()

    def try_enter(self, location: str) -> bool:
        """Queue a claim, unless it would wait too long to be of use.

        It would time out in the queue instead, after seconds in which the
        caller hears nothing, and hold up those behind it.
        """
        if partition_of(location) != UNDATED:
            return True
        turn_s = self._next_write_s.get(UNDATED, 0.0)
        queued_s = len(self._undated_waiting) * self._interval_s(UNDATED)
        wait_s = max(0.0, turn_s - self._timers.now_s()) + queued_s
        if wait_s > self._terms.undated_wait_s:
            return False
        self._undated_waiting.add(location)
        return True

    async def wait(self, location: str) -> None:
        """Wait for the next turn of the location's partition."""
        partition = partition_of(location)
        now_s = self._timers.now_s()
        turn_s = max(now_s, self._next_write_s.get(partition, 0.0))
        self._next_write_s[partition] = turn_s + self._interval_s(partition)
        if turn_s > now_s:
            await anyio.sleep(turn_s - now_s)
        self._undated_waiting.discard(location)

    def _interval_s(self, partition: str) -> float:
        """Return the least time between two writes of a partition.

        Undated keys have a value each, which no other order's write can share.
        Their owner is whichever entry has the request, so the writes that the
        key-value service bears are divided by the number of entries.
        """
        if partition != UNDATED:
            return self._terms.write_interval_s
        return max(1, self._count_entries()) / self._terms.undated_writes_per_s
