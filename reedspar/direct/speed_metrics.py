"""Metrics of the estimated speeds of targets."""

import statistics
from collections.abc import Callable, Iterator

from reedspar.fleet import FleetView
from reedspar.speeds import SpeedEstimate
from reedspar.telemetry import Metrics
from reedspar.timers import TimerService

from .service import DirectService
from .target_speeds import SLOW_FACTOR

__all__ = ["observe_speeds"]

Reading = tuple[float, dict[str, str]]


def observe_speeds(
    metrics: Metrics, service: DirectService, view: FleetView, timers: TimerService
) -> None:
    """Let the metrics read an entry's speed estimates, by pool."""
    speeds = service.speeds

    def read(
        compute: Callable[[list[SpeedEstimate]], float | None],
    ) -> Iterator[Reading]:
        now_s = timers.now_s()
        for pool in speeds.pools():
            estimates = [
                estimate
                for known in view.targets(pool)
                if (estimate := speeds.estimate(pool, known.record.boot_id, now_s))
            ]
            value = compute(estimates) if estimates else None
            if value is not None:
                yield value, {"pool": pool}

    metrics.target_slowdown.set_callback(lambda: read(_mean_slowdown))
    metrics.slow_targets.set_callback(lambda: read(_count_slow))
    metrics.speed_age.set_callback(lambda: read(_median_age_s))
    metrics.speed_figures.set_callback(speeds.read_counts)
    metrics.speed_news.set_callback(service.speed_news.read_counts)
    metrics.moved_requests.set_callback(speeds.read_moved)


def _mean_slowdown(estimates: list[SpeedEstimate]) -> float:
    return statistics.fmean(estimate.slowdown_factor for estimate in estimates)


def _count_slow(estimates: list[SpeedEstimate]) -> float:
    return sum(estimate.slowdown_factor >= SLOW_FACTOR for estimate in estimates)


def _median_age_s(estimates: list[SpeedEstimate]) -> float | None:
    ages_s = [item.age_s for item in estimates if item.source is not None]
    return statistics.median(ages_s) if ages_s else None
