"""Translation of priorities at the edges; inside, rank 0 is the most urgent."""

__all__ = ["PRIORITY_MAX", "rank_from_priority"]

PRIORITY_MAX = 9
"""The most urgent priority of the system's own interface."""


def rank_from_priority(priority: int) -> int:
    """Return the rank of a priority that counts from 9, the most urgent, down."""
    return PRIORITY_MAX - max(0, min(PRIORITY_MAX, priority))
