"""Rule that decides whether to finish a transfer before starting the next version's.

Versions may be named faster than they can be transferred.  If a transfer is dropped for
the next version, its version is never served, and the targets have nothing to serve
once the version before it has expired.  The time without a version to serve is called
the gap.
"""

from dataclasses import dataclass

__all__ = [
    "LOAD_DURATION_S",
    "SWITCH_DURATION_S",
    "Succession",
    "should_finish_current",
]

SWITCH_DURATION_S = 1.5
"""Duration of a switch: 1.2 s until running requests end, and 0.3 s of loading."""
LOAD_DURATION_S = 0.3
"""Duration of a load by a target without running requests."""
FINISH_TOLERANCE_S = 0.5
"""Accepted additional gap if the current transfer is finished: it may end earlier than
estimated, and the next one later."""


@dataclass(frozen=True, slots=True)
class Succession:
    """A version being transferred, and the next one; times in seconds."""

    next_named_at_s: float
    """When the next version was named."""
    left_s: float
    """Estimated time from then until the current version has arrived."""
    copy_s: float
    """Transfer time of the complete next version."""
    served_until_s: float
    """When the version being served expires."""
    current_until_s: float
    """When the version being transferred expires."""


def should_finish_current(succession: Succession) -> bool:
    """Return whether to finish the current version before starting the next one.

    True if the gap is then at most `FINISH_TOLERANCE_S` longer than if the current
    transfer were dropped.
    """
    arrived_s = succession.next_named_at_s + succession.left_s
    next_s = arrived_s + succession.copy_s + LOAD_DURATION_S
    gap_s = max(0.0, arrived_s + SWITCH_DURATION_S - succession.served_until_s)
    gap_s += max(0.0, next_s - succession.current_until_s)
    next_only_s = succession.next_named_at_s + succession.copy_s + SWITCH_DURATION_S
    gap_if_dropped_s = max(0.0, next_only_s - succession.served_until_s)
    return gap_s <= gap_if_dropped_s + FINISH_TOLERANCE_S
