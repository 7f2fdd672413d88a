"""How slow each run of a target is now, by its newest figure and the figure's age."""

import math
from dataclasses import dataclass, field, replace

from .interfaces import SpeedEstimate, SpeedFigure, SpeedSource
from .persistence import Persistence

__all__ = ["DecayingSpeedEstimates", "raise_estimate"]

RUNS_MAX = 4096
"""Maximum number of runs that are kept for each pool."""
SLOWDOWN_MIN = 0.5
"""Lower bound of figures; one that promises more would attract all requests."""
USUAL_PRIOR_FIGURES = 10
"""Figures that the assumption of usual speed counts for."""
USUAL_FIGURES_MAX = 300
"""Number of the newest figures that determine what is usual, about."""
WAKE_DELAY_S = 0.25
"""Time after a pause of this process in which figures are dropped.

What arrives first was sent during the pause, and looks new."""
DIRECT_SOURCES = frozenset({SpeedSource.ANSWER, SpeedSource.AGENT})
"""Sources that tell whether or not a figure has changed."""


@dataclass(slots=True)
class _Run:
    """Newest figure of one run of a target."""

    slowdown_factor: float
    true_at_s: float
    source: SpeedSource
    direct_factor: float | None = None
    """Newest figure of a direct source."""
    direct_at_s: float = 0.0


@dataclass(slots=True)
class _Pool:
    runs: dict[str, _Run] = field(default_factory=dict)
    persistence: Persistence = field(default_factory=Persistence)
    mean: float = 1.0
    variance: float = 0.0
    count: int = USUAL_PRIOR_FIGURES

    def record_usual(self, slowdown_factor: float) -> None:
        """Add a figure to what is usual."""
        self.count = min(self.count + 1, USUAL_FIGURES_MAX)
        difference = slowdown_factor - self.mean
        self.mean += difference / self.count
        squared = difference * (slowdown_factor - self.mean)
        self.variance += (squared - self.variance) / self.count

    def make_room(self) -> None:
        """Remove the run whose figure is the oldest if there are too many."""
        if len(self.runs) >= RUNS_MAX:
            del self.runs[min(self.runs, key=lambda key: self.runs[key].true_at_s)]


class DecayingSpeedEstimates:
    """Estimates that move from the newest figure to the pool's usual slowdown.

    The weight of a figure is the probability that it still holds at its age (see
    `SpeedEstimates`).
    """

    def __init__(self) -> None:
        self._pools: dict[str, _Pool] = {}
        self._ignore_until_s = float("-inf")

    def is_told(self, pool: str) -> bool:
        """Return whether any target of a pool has told its speed."""
        return pool in self._pools

    def pools(self) -> list[str]:
        """Return the pools whose targets tell their speed."""
        return list(self._pools)

    def usual(self, pool: str) -> SpeedEstimate:
        """Return the estimate for a run that has told nothing."""
        state = self._pools.get(pool)
        if state is None:
            return SpeedEstimate()
        return SpeedEstimate(state.mean, math.sqrt(state.variance))

    def time_constant_s(self, pool: str) -> float:
        """Return for how long figures of a pool hold."""
        state = self._pools.get(pool)
        return (state.persistence if state else Persistence()).time_constant_s

    def estimate(self, pool: str, boot_id: str, now_s: float) -> SpeedEstimate:
        """Return the estimate for one run of a target."""
        return self.find(pool, boot_id, now_s) or SpeedEstimate()

    def find(self, pool: str, boot_id: str, now_s: float) -> SpeedEstimate | None:
        """Return the estimate for one run, None where no target tells its speed."""
        state = self._pools.get(pool)
        if state is None:
            return None
        run = state.runs.get(boot_id)
        if run is None:
            return SpeedEstimate(state.mean, math.sqrt(state.variance))
        age_s = max(0.0, now_s - run.true_at_s)
        weight = math.exp(-age_s / state.persistence.time_constant_s)
        difference = run.slowdown_factor - state.mean
        variance = (1 - weight) * (state.variance + weight * difference * difference)
        return SpeedEstimate(
            state.mean + weight * difference, math.sqrt(variance), age_s, run.source
        )

    def find_factor(self, pool: str, boot_id: str, now_s: float) -> float | None:
        """Return the slowdown of `find` alone, which takes less time."""
        state = self._pools.get(pool)
        if state is None:
            return None
        run = state.runs.get(boot_id)
        if run is None:
            return state.mean
        age_s = now_s - run.true_at_s
        weight = math.exp(-age_s / state.persistence.time_constant_s)
        return state.mean + weight * (run.slowdown_factor - state.mean)

    def record(self, pool: str, figure: SpeedFigure, now_s: float) -> None:
        """Record a figure that has just arrived; an older one than is known is dropped.

        An agent's figure of usual speed counts only in pools that tell their speed:
        agents send it for engines that tell none, too.
        """
        is_default = figure.source is SpeedSource.AGENT and figure.slowdown_factor == 1
        if now_s < self._ignore_until_s or (is_default and not self.is_told(pool)):
            return
        state = self._pools.setdefault(pool, _Pool())
        factor = max(SLOWDOWN_MIN, figure.slowdown_factor)
        true_at_s = now_s - max(0.0, figure.age_s)
        run = state.runs.get(figure.boot_id)
        if run is not None and true_at_s < run.true_at_s:
            return
        if run is None:
            state.make_room()
            run = _Run(factor, true_at_s, figure.source)
            state.runs[figure.boot_id] = run
        run.slowdown_factor, run.true_at_s = factor, true_at_s
        run.source = figure.source
        if figure.source in DIRECT_SOURCES:
            self._learn(state, run)

    def forget_figures(self, now_s: float) -> None:
        """Discard all figures after a pause of this process; what is usual stays."""
        self._ignore_until_s = now_s + WAKE_DELAY_S
        for state in self._pools.values():
            state.runs.clear()

    def _learn(self, state: _Pool, run: _Run) -> None:
        factor, at_s = run.slowdown_factor, run.true_at_s
        state.record_usual(factor)
        if run.direct_factor is not None:
            state.persistence.record(
                at_s - run.direct_at_s,
                run.direct_factor - state.mean,
                factor - state.mean,
                state.variance,
            )
        run.direct_factor, run.direct_at_s = factor, at_s


def raise_estimate(estimate: SpeedEstimate, lag_factor: float) -> SpeedEstimate:
    """Return the estimate for a target that is slower than it says by a factor."""
    if lag_factor <= 1:
        return estimate
    return replace(
        estimate,
        slowdown_factor=estimate.slowdown_factor * lag_factor,
        uncertainty=estimate.uncertainty * lag_factor,
        source=SpeedSource.MEASURED,
    )
