"""In-memory ring buffer of a process's latest events."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from .events import Event, EventKind, event_to_json

__all__ = ["EventPage", "EventRecorder", "create_event_recorder"]

DEFAULT_CAPACITY_EVENTS = 8192
DEFAULT_PAGE_EVENTS = 2000
DEBUG_LEVEL_GROUPS = frozenset({"request", "attempt"})

logger = logging.getLogger("reedspar.timeline")


@dataclass(frozen=True, slots=True)
class EventPage:
    """Events after a sequence number, with the position of the next page."""

    events: tuple[Event, ...]
    next_after: int
    """The `sequence` argument that returns the next page."""
    lost_count: int
    """Events after the given sequence number that the buffer no longer holds."""
    oldest_s: float | None = None
    """Wall time of the oldest event held, if earlier ones were overwritten."""


class EventRecorder:
    """Keeps the latest events of this process in memory.

    Each event is also logged, so that a timeline can be made from the logs of
    processes that have ended.  The level is INFO, or DEBUG for the frequent events
    of requests and attempts.
    """

    def __init__(
        self,
        process: str,
        incarnation: int,
        *,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._capacity = capacity
        self._wall_clock = wall_clock
        self._ring: list[Event] = []
        self._last_sequence = 0

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return self._process

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the process."""
        return self._incarnation

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the latest event; 0 before the first."""
        return self._last_sequence

    def record(
        self,
        kind: EventKind,
        *,
        request_id: str = "",
        attempt: int | None = None,
        target: str = "",
        model: str = "",
        version: str | int = "",
        detail: str = "",
    ) -> None:
        """Record an event, which overwrites the oldest one once the buffer is full."""
        self._last_sequence += 1
        event = Event(
            self._wall_clock(),
            self._process,
            self._incarnation,
            self._last_sequence,
            kind,
            request_id,
            attempt,
            target,
            model,
            str(version),
            detail,
        )
        if len(self._ring) < self._capacity:
            self._ring.append(event)
        else:
            self._ring[(event.sequence - 1) % self._capacity] = event
        level = logging.DEBUG if kind.group in DEBUG_LEVEL_GROUPS else logging.INFO
        if logger.isEnabledFor(level):
            logger.log(level, kind.value, extra={"event": event_to_json(event)})

    def after(self, sequence: int, limit: int = DEFAULT_PAGE_EVENTS) -> EventPage:
        """Return up to `limit` events after `sequence`, oldest first."""
        oldest = self._last_sequence - len(self._ring) + 1
        start = max(sequence + 1, oldest)
        stop = min(self._last_sequence + 1, start + limit)
        events = tuple(
            self._ring[(number - 1) % self._capacity] for number in range(start, stop)
        )
        next_after = max(stop - 1, 0)
        lost_count = max(0, oldest - sequence - 1)
        if not lost_count:
            return EventPage(events, next_after, 0)
        oldest_s = self._ring[(oldest - 1) % self._capacity].time_s
        return EventPage(events, next_after, lost_count, oldest_s)


def create_event_recorder(
    process: str, incarnation: int, *, capacity: int = DEFAULT_CAPACITY_EVENTS
) -> EventRecorder:
    """Create a recorder that uses the machine's wall clock."""
    return EventRecorder(process, incarnation, capacity=capacity)
