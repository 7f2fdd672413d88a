"""For how long the figures of a pool hold, learned from successive figures.

The time constant is the integral of the figures' autocorrelation.
"""

import math

__all__ = ["START_TIME_CONSTANT_S", "Persistence"]

START_TIME_CONSTANT_S = 0.5
"""Time constant assumed before figures have shown another one."""
TIME_CONSTANT_MIN_S = 0.1
TIME_CONSTANT_MAX_S = 30.0
FIRST_GAP_S = 0.1
"""Upper bound of the first class of gaps; each further one is twice as long."""
GAP_CLASSES = 9
PRIOR_PAIRS = 20.0
"""Pairs of figures that the assumption counts for in each class of gaps."""
PAIRS_MAX = 200.0
"""Number of the newest pairs of a class that are remembered, about."""
CORRELATION_MIN = 0.05
"""Correlation below which longer gaps no longer count, as they are only noise."""


class Persistence:
    """Learns the time constant with which figures of a pool lose their validity."""

    def __init__(self) -> None:
        self._products = [0.0] * GAP_CLASSES
        self._squares = [0.0] * GAP_CLASSES
        self._time_constant_s = START_TIME_CONSTANT_S

    @property
    def time_constant_s(self) -> float:
        """Return the time constant of the exponential decay of a figure's weight."""
        return self._time_constant_s

    def record(
        self, gap_s: float, earlier: float, later: float, variance: float
    ) -> None:
        """Record two figures of one run as differences from what is usual.

        `variance` is that of the pool's figures.
        """
        index = _class_of_gap(gap_s)
        if index >= GAP_CLASSES:
            return
        keep = 1 - 1 / PAIRS_MAX
        self._products[index] = keep * self._products[index] + earlier * later
        squares = (earlier * earlier + later * later) / 2
        self._squares[index] = keep * self._squares[index] + squares
        self._time_constant_s = self._integrate(variance)

    def _integrate(self, variance: float) -> float:
        """Return the integral of the autocorrelation, within the bounds."""
        prior = PRIOR_PAIRS * variance
        begin_s, end_s = 0.0, FIRST_GAP_S
        integral_s = 0.0
        for products, squares in zip(self._products, self._squares, strict=True):
            if squares + prior <= 0:
                return self._time_constant_s
            assumed = math.exp(-(begin_s + end_s) / 2 / START_TIME_CONSTANT_S)
            correlation = (products + prior * assumed) / (squares + prior)
            if correlation < CORRELATION_MIN:
                break
            integral_s += (end_s - begin_s) * correlation
            begin_s, end_s = end_s, 2 * end_s
        return min(max(integral_s, TIME_CONSTANT_MIN_S), TIME_CONSTANT_MAX_S)


def _class_of_gap(gap_s: float) -> int:
    if gap_s <= FIRST_GAP_S:
        return 0
    return math.ceil(math.log2(gap_s / FIRST_GAP_S))
