"""Which figures the other entries don't know yet, and when they are told.

It answers many entries that each see a target every few seconds only.
"""

from collections import defaultdict
from dataclasses import dataclass

from reedspar.utils import TokenBucket

from .interfaces import SpeedFigure

__all__ = ["FIGURES_MAX", "SpeedNewsQueue", "is_news"]

DIFFERENCE_MIN = 0.3
"""Relative difference from what was believed from which a figure is news."""
FIGURES_PER_S = 25.0
FIGURES_BURST = 50.0
"""Limit of the figures that one entry tells."""
FIGURES_MAX = 32
"""Maximum number of figures in one message."""
BATCH_INTERVAL_S = 0.05
"""Minimum time between two messages to the same peers."""


def is_news(slowdown_factor: float, believed: float) -> bool:
    """Return whether a figure differs from what was believed by more than the bound."""
    difference = abs(slowdown_factor - believed)
    return difference >= DIFFERENCE_MIN * min(slowdown_factor, believed)


@dataclass(frozen=True, slots=True)
class _Pending:
    figure: SpeedFigure
    arrived_s: float


class SpeedNewsQueue:
    """Collects figures until the next message; a newer one of a run replaces it."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, str], dict[str, _Pending]] = defaultdict(dict)
        self._bucket = TokenBucket(FIGURES_PER_S, FIGURES_BURST)
        self._sent_s = float("-inf")
        self.dropped_count = 0
        """Figures left out for the limit."""

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self._pending

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next message may be sent."""
        return max(0.0, self._sent_s + BATCH_INTERVAL_S - now_s)

    def add(self, region: str, pool: str, figure: SpeedFigure, now_s: float) -> bool:
        """Queue a figure of a target in a region; return False if it is dropped."""
        of_pool = self._pending.get((region, pool), {})
        is_full = len(of_pool) >= FIGURES_MAX and figure.boot_id not in of_pool
        if is_full or not self._bucket.try_consume(1, now_s):
            self.dropped_count += 1
            return False
        self._pending[region, pool][figure.boot_id] = _Pending(figure, now_s)
        return True

    def take(self, now_s: float) -> list[tuple[str, str, list[SpeedFigure]]]:
        """Return region, pool and figures of each message, with their present ages."""
        taken = [
            (
                region,
                pool,
                [
                    SpeedFigure(
                        item.figure.boot_id,
                        item.figure.slowdown_factor,
                        item.figure.source,
                        item.figure.age_s + now_s - item.arrived_s,
                    )
                    for item in of_pool.values()
                ],
            )
            for (region, pool), of_pool in self._pending.items()
        ]
        self._pending.clear()
        self._sent_s = now_s
        return taken
