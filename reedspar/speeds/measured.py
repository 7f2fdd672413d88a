"""How much slower targets are than they say, by the times of their answers.

It answers a target that calls itself fast and isn't.  It raises estimates only.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

__all__ = ["MeasuredLags"]

ANSWERS = 7
"""Newest answers of a run that count, by their median.

All of them must be there, and four must be late, before an estimate is raised."""
POOL_ANSWERS = 64
"""Newest answers of a pool by which its answers are late on average."""
LAG_MIN = 1.8
"""Lag from which a run counts as slower than it says; less is noise."""
LAG_MAX = 5.0
FORGET_TIME_S = 10.0
"""Time constant with which a lag is forgotten, so that the target is tried again."""
ANSWER_AGE_MAX_S = 60.0
RUNS_MAX = 1024


@dataclass(slots=True)
class _Run:
    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=ANSWERS))
    newest_s: float = float("-inf")
    lag: float = 1.0


class MeasuredLags:
    """Lags of runs of targets behind what they say, by the times of their answers."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}
        self._pools: dict[str, deque[float]] = {}
        self._late: set[str] = set()

    @property
    def is_any_late(self) -> bool:
        """Return whether any run is known to be slower than it says."""
        return bool(self._late)

    def lag_factor(self, boot_id: str, now_s: float) -> float:
        """Return by which factor a run is slower than it says, at least 1."""
        run = self._runs.get(boot_id)
        if run is None or run.lag <= 1:
            return 1.0
        return 1 + (run.lag - 1) * math.exp((run.newest_s - now_s) / FORGET_TIME_S)

    def record(
        self, pool: str, boot_id: str, expected_s: float, took_s: float, now_s: float
    ) -> None:
        """Record the time of an answer and what it should have been as the run says."""
        if expected_s <= 0:
            return
        ratio = took_s / expected_s
        of_pool = self._pools.setdefault(pool, deque(maxlen=POOL_ANSWERS))
        of_pool.append(ratio)
        run = self._find_or_add(boot_id)
        if now_s - run.newest_s > ANSWER_AGE_MAX_S:
            run.ratios.clear()
        run.ratios.append(ratio)
        run.newest_s = now_s
        run.lag = 1.0
        if len(run.ratios) == ANSWERS:
            lag = statistics.median(run.ratios) / max(1.0, statistics.median(of_pool))
            run.lag = min(lag, LAG_MAX) if lag >= LAG_MIN else 1.0
        if run.lag > 1:
            self._late.add(boot_id)
        else:
            self._late.discard(boot_id)

    def forget(self) -> None:
        """Discard all measured times."""
        self._runs.clear()
        self._late.clear()

    def _find_or_add(self, boot_id: str) -> _Run:
        run = self._runs.get(boot_id)
        if run is None:
            if len(self._runs) >= RUNS_MAX:
                oldest = min(self._runs, key=lambda key: self._runs[key].newest_s)
                del self._runs[oldest]
                self._late.discard(oldest)
            run = self._runs[boot_id] = _Run()
        return run
