"""One order for the events of many processes.

Wall clocks differ between machines and may be stepped.  Within a process the
sequence numbers give the true order, so they go before the clock: where a
clock was stepped back, the events before the step count as no later than the
first one after it, since a step corrects a clock that was ahead.
"""

from collections import defaultdict
from collections.abc import Iterable

from .events import Event

__all__ = ["merge_events"]


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events by wall time, each process's own order kept.

    An event that was read twice appears once.
    """
    by_process: defaultdict[str, dict[tuple[int, int], Event]] = defaultdict(dict)
    for event in events:
        by_process[event.process][event.incarnation, event.sequence] = event
    keyed: list[tuple[float, Event]] = []
    for own in by_process.values():
        ordered = [own[key] for key in sorted(own)]
        keyed.extend(zip(_effective_times(ordered), ordered, strict=True))
    keyed.sort(
        key=lambda pair: (
            pair[0],
            pair[1].process,
            pair[1].incarnation,
            pair[1].sequence,
        )
    )
    return [event for _, event in keyed]


def _effective_times(ordered: list[Event]) -> list[float]:
    """Return times that never fall, each at most the event's own."""
    times = [event.time_s for event in ordered]
    for i in range(len(times) - 2, -1, -1):
        times[i] = min(times[i], times[i + 1])
    return times
