"""Sums of demands that collectors tell, and the choice among several of them."""

from collections.abc import Iterable
from dataclasses import dataclass

from .rows import DemandTable

__all__ = ["NEWS_TTL_S", "ToldSums", "choose_sums"]

NEWS_TTL_S = 1.5
"""Age at which news of entries, regions and targets is dropped."""
SIMILAR_COUNT_FRACTION = 0.9
"""Sums of nearly as many entries as the best ones are chosen by their age."""


@dataclass(frozen=True, slots=True)
class ToldSums:
    """Sums of demands as a collector tells them."""

    table: DemandTable
    contribution_count: int
    """Number of entries whose demands are in the sums."""
    received_s: float
    age_s: float = 0.0
    """Age of the oldest part of the sums when they were received."""

    def is_valid(self, now_s: float) -> bool:
        """Return whether the sums are new enough."""
        return now_s - self.received_s < NEWS_TTL_S


def choose_sums(candidates: Iterable[ToldSums], now_s: float) -> ToldSums | None:
    """Return the newest of the sums that cover the most entries, None without any.

    A collector that was just started or is partly cut off knows few entries.
    """
    valid = [sums for sums in candidates if sums.is_valid(now_s)]
    if not valid:
        return None
    count = max(sums.contribution_count for sums in valid) * SIMILAR_COUNT_FRACTION
    complete = [sums for sums in valid if sums.contribution_count >= count]
    return max(complete, key=lambda sums: sums.received_s)
