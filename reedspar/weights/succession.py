"""Decision: whether a version on its way is finished before the next one is begun.

Versions may be named faster than they travel.  Dropped half-way for the next
one, a version never serves, and the targets have nothing to serve with from
the moment at which the one before it may no longer be used.
"""

from dataclasses import dataclass

__all__ = ["LOAD_S", "SWITCH_S", "Succession", "should_finish_first"]

SWITCH_S = 1.5
"""Time in which a target switches: what runs ends, 1.2 s, and 0.3 s of loading."""
LOAD_S = 0.3
"""Time in which a target loads that has nothing left to end."""
ALIKE_S = 0.5
"""Difference below which the version on its way is finished: it may come sooner than
reckoned, and the next one later."""


@dataclass(frozen=True, slots=True)
class Succession:
    """A version on its way, and the next one; times in seconds."""

    now_s: float
    """When the next one was named."""
    left_s: float
    """From then until the version on its way has arrived, if nothing hinders it."""
    copy_s: float
    """For a whole copy of the next version."""
    served_until_s: float
    """When what is served now may no longer be used."""
    current_until_s: float
    """When the version on its way may no longer be used."""


def should_finish_first(succession: Succession) -> bool:
    """Tell which order leaves the targets without weights for less time."""
    arrived_s = succession.now_s + succession.left_s
    next_s = arrived_s + succession.copy_s + LOAD_S
    gap_s = max(0.0, arrived_s + SWITCH_S - succession.served_until_s)
    gap_s += max(0.0, next_s - succession.current_until_s)
    jumped_s = succession.now_s + succession.copy_s + SWITCH_S
    gap_if_dropped_s = max(0.0, jumped_s - succession.served_until_s)
    return gap_s <= gap_if_dropped_s + ALIKE_S
