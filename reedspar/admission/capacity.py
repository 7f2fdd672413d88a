"""Corrections of what the model of work misses."""

import math

from .interfaces import PoolCapacity

__all__ = ["OccupancyCorrection", "ReturnCorrection", "slot_credit"]

OCCUPANCY_GOAL = 0.9
"""Requests at targets by their slots that are aimed at under overload.

The rest is a reserve for the uneven choice of many entries: without a free slot a
request waits for the end of another one's answer."""
CORRECTION_MIN = 0.5
CORRECTION_MAX = 1.5
OCCUPANCY_GAIN_PER_S = 0.2
CREDIT_HORIZON_S = 1.0
"""Time within which free slots are filled, or what waits beyond the slots is run.

It is about the age of the news of demand and occupancy; a shorter one would let the
entries swing together."""
RECOVERY_S = 3.0
"""Time constant with which a correction goes back to 1 while nothing is refused."""
RETURN_CORRECTION_MIN = 0.2
RETURN_GAIN_PER_S = 0.7
RATIO_MAX = 4.0
STEP_MAX_S = 0.5
"""Longest time for which one reading counts, for instance after a pause."""


class OccupancyCorrection:
    """Factor of a pool's capacity, from the occupancy of its targets' slots."""

    def __init__(self) -> None:
        self._factor = 1.0
        self._updated_s: float | None = None

    @property
    def factor(self) -> float:
        """Return the factor of the capacity."""
        return self._factor

    def update(self, occupancy: float | None, is_refusing: bool, now_s: float) -> None:
        """Process the present occupancy; None if there are no recent reports."""
        elapsed_s = _elapsed_s(self._updated_s, now_s)
        self._updated_s = now_s
        if not is_refusing:
            self._factor = _recover(self._factor, elapsed_s)
        elif occupancy is not None:
            gap = max(-1.0, min(1.0, OCCUPANCY_GOAL - occupancy))
            changed = self._factor * math.exp(OCCUPANCY_GAIN_PER_S * elapsed_s * gap)
            self._factor = min(CORRECTION_MAX, max(CORRECTION_MIN, changed))


class ReturnCorrection:
    """Factor of a rank's threshold, from what was admitted of what should be.

    Refused callers return when their turn comes, so more than an even part of those
    that arrive is below the threshold.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._updated_s: float | None = None

    @property
    def factor(self) -> float:
        """Return the factor of the threshold."""
        return self._factor

    def update(self, allocated: float, admitted: float, now_s: float) -> None:
        """Process the work that a rank may use and what was admitted of it."""
        elapsed_s = _elapsed_s(self._updated_s, now_s)
        self._updated_s = now_s
        if allocated <= 0 or admitted <= 0:
            self._factor = _recover(self._factor, elapsed_s)
            return
        ratio = max(1 / RATIO_MAX, min(RATIO_MAX, allocated / admitted))
        changed = self._factor * ratio ** (RETURN_GAIN_PER_S * elapsed_s)
        self._factor = min(1.0, max(RETURN_CORRECTION_MIN, changed))

    def recover(self, now_s: float) -> None:
        """Go back towards 1 while the rank is admitted as a whole."""
        elapsed_s = _elapsed_s(self._updated_s, now_s)
        self._updated_s = now_s
        self._factor = _recover(self._factor, elapsed_s)


def slot_credit(capacity: PoolCapacity) -> float:
    """Return the work a second that free slots take now, negative if requests wait.

    The demand of a second varies by chance; free slots and short queues even it out.
    """
    if capacity.occupancy is None:
        return 0.0
    free = max(-1.0, OCCUPANCY_GOAL - capacity.occupancy)
    return free * capacity.slot_work / CREDIT_HORIZON_S


def _elapsed_s(updated_s: float | None, now_s: float) -> float:
    return 0.0 if updated_s is None else min(STEP_MAX_S, max(0.0, now_s - updated_s))


def _recover(factor: float, elapsed_s: float) -> float:
    return 1.0 + (factor - 1.0) * math.exp(-elapsed_s / RECOVERY_S)
