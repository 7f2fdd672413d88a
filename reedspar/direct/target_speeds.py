"""Speeds of the targets of all pools, as far as this entry knows them."""

import logging
from collections import Counter
from collections.abc import Callable

from reedspar.fleet import TargetRecord
from reedspar.speeds import (
    DecayingSpeedEstimates,
    MeasuredLags,
    ServiceTimes,
    SpeedEstimate,
    SpeedFigure,
    SpeedSource,
    is_news,
    raise_estimate,
)
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .loads import OwnAttempt

__all__ = ["SLOW_FACTOR", "NewsListener", "TargetSpeeds"]

SLOW_FACTOR = 1.5
"""Slowdown from which a target is called slow in log lines and metrics."""
LOG_LINES_PER_S = 1.0
LOG_LINES_BURST = 20.0
SILENCE_LIMIT_FACTOR = 4.0
"""Multiple of the expected time after which a silent plain target counts as hanging."""
SILENCE_LIMIT_MIN_S = 0.25
"""Minimum of that limit: shorter silences are found only by the next sweep."""

NewsListener = Callable[[TargetRecord, SpeedFigure], None]
"""Called with a target and a figure that differs from what was believed."""

_logger = logging.getLogger(__name__)


class TargetSpeeds:
    """Collects figures from all sources and estimates slowdowns and service times."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._estimates = DecayingSpeedEstimates()
        self._lags = MeasuredLags()
        self.service_times = ServiceTimes()
        self._listeners: list[NewsListener] = []
        self._counts: Counter[str] = Counter({s.value: 0 for s in SpeedSource})
        self._moved: Counter[str] = Counter()
        self._slow: set[str] = set()
        self._unlogged = 0
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        timers.on_pause(self._on_pause)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of figures by source, for the metrics."""
        return [(count, {"source": name}) for name, count in self._counts.items()]

    def read_moved(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of requests placed elsewhere for slowness, by pool."""
        return [(count, {"pool": pool}) for pool, count in self._moved.items()]

    def pools(self) -> list[str]:
        """Return the pools whose targets tell their speed."""
        return self._estimates.pools()

    def on_news(self, listener: NewsListener) -> None:
        """Call `listener` with figures that the other entries may not know."""
        self._listeners.append(listener)

    def estimate(self, pool: str, boot_id: str, now_s: float) -> SpeedEstimate | None:
        """Return the estimate for one run, None where no target tells its speed."""
        estimate = self._estimates.find(pool, boot_id, now_s)
        if estimate is None or not self._lags.is_any_late:
            return estimate
        return raise_estimate(estimate, self._lags.lag_factor(boot_id, now_s))

    def slowdown_factor(self, pool: str, boot_id: str, now_s: float) -> float | None:
        """Return the slowdown of `estimate` alone, which takes less time."""
        factor = self._estimates.find_factor(pool, boot_id, now_s)
        if factor is None or not self._lags.is_any_late:
            return factor
        return factor * self._lags.lag_factor(boot_id, now_s)

    def record_told(
        self,
        record: TargetRecord,
        slowdown_factor: float | None,
        source: SpeedSource,
        age_s: float = 0.0,
    ) -> None:
        """Record what a target or its agent has said; None: nothing about speed."""
        if slowdown_factor is None:
            return
        now_s = self._timers.now_s()
        believed = self._estimates.estimate(record.pool, record.boot_id, now_s)
        figure = SpeedFigure(record.boot_id, slowdown_factor, source, age_s)
        self._record(record.pool, figure, now_s)
        is_own = source is SpeedSource.ANSWER
        if is_own and is_news(slowdown_factor, believed.slowdown_factor):
            for listener in self._listeners:
                listener(record, figure)

    def record_peer(self, pool: str, figure: SpeedFigure) -> None:
        """Record a figure that another entry tells."""
        self._record(pool, figure, self._timers.now_s())

    def record_first_event(
        self,
        pool: str,
        boot_id: str,
        attempt: OwnAttempt,
        expected_s: float,
        took_s: float,
    ) -> None:
        """Record how long an answer took to begin.

        `expected_s` is what was expected under the estimate by which the target was
        chosen.  It is compared with the slower one of what the target said then and
        says now.
        """
        speed = attempt.speed
        if speed is None:
            return
        now_s = self._timers.now_s()
        told = self._estimates.estimate(pool, boot_id, now_s).slowdown_factor
        as_said = max(told, attempt.told_slowdown_factor) / speed.slowdown_factor
        self._counts[SpeedSource.MEASURED.value] += 1
        self._lags.record(pool, boot_id, expected_s * as_said, took_s, now_s)
        if attempt.is_plain:
            self.service_times.record(pool, took_s, attempt.load_factor * as_said)

    def told_slowdown_factor(self, pool: str, boot_id: str, now_s: float) -> float:
        """Return the estimate by what is said alone, without measured times."""
        return self._estimates.estimate(pool, boot_id, now_s).slowdown_factor

    def describe_attempt(
        self,
        attempt: OwnAttempt,
        speed: SpeedEstimate,
        load_factor: float,
        told_slowdown_factor: float,
        *,
        is_plain: bool,
    ) -> None:
        """Note on an attempt by which estimate its target was chosen."""
        attempt.speed = speed
        attempt.told_slowdown_factor = told_slowdown_factor
        attempt.load_factor = load_factor
        attempt.is_plain = is_plain
        if is_plain:
            attempt.silence_limit_s = max(
                SILENCE_LIMIT_MIN_S, SILENCE_LIMIT_FACTOR * attempt.expected_wait_s
            )

    def record_moved(self, pool: str) -> None:
        """Count a request that another target would get at usual speed."""
        self._moved[pool] += 1

    def _record(self, pool: str, figure: SpeedFigure, now_s: float) -> None:
        self._estimates.record(pool, figure, now_s)
        if not self._estimates.is_told(pool):
            return
        self._counts[figure.source.value] += 1
        self._log_change(pool, figure, now_s)

    def _log_change(self, pool: str, figure: SpeedFigure, now_s: float) -> None:
        """Log that a target has become slow, or usual again."""
        is_slow = figure.slowdown_factor >= SLOW_FACTOR
        if is_slow == (figure.boot_id in self._slow):
            return
        if is_slow:
            self._slow.add(figure.boot_id)
        else:
            self._slow.discard(figure.boot_id)
        if not self._bucket.try_consume(1, now_s):
            self._unlogged += 1
            return
        extra = {
            "target": _target_of(figure.boot_id),
            "pool": pool,
            "is_slow": is_slow,
            "slowdown": figure.slowdown_factor,
            "source": figure.source.value,
            "left_out": self._unlogged,
        }
        self._unlogged = 0
        _logger.info("speed of a target changed", extra=extra)

    def _on_pause(self, pause_s: float) -> None:
        """Discard figures and measured times from before a pause of this process."""
        self._estimates.forget_figures(self._timers.now_s())
        self._lags.forget()
        self._slow.clear()


def _target_of(boot_id: str) -> str:
    """Return the id of the target of which a boot id names one run."""
    return boot_id.rpartition(":")[0]
