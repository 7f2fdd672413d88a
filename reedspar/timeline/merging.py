"""Merging of the events of many processes into one order.

Wall clocks differ between machines and may be stepped.  Within a process the
sequence numbers give the true order, so they take precedence over the clock.  If a
clock was stepped back, the events before the step are treated as no later than the
first one after it, because such a step corrects a clock that was ahead.
"""

from collections import defaultdict
from collections.abc import Iterable

from .events import Event

__all__ = ["merge_events"]


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events by wall time, preserving the order within each process.

    Duplicates are removed.
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
    """Return non-decreasing times, each at most the event's own time."""
    times = [event.time_s for event in ordered]
    for i in range(len(times) - 2, -1, -1):
        times[i] = min(times[i], times[i + 1])
    return times
