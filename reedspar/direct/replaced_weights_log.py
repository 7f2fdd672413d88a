"""Log lines and counts of requests that began on replaced weights."""

import logging

from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .loads import OwnAttempt
from .versions import VersionRule

__all__ = ["ReplacedWeightsLog"]

LOGGED_BEFORE_BOUND_S = 1.0
"""Time before the bound from which requests on replaced weights are logged."""
LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 20.0

_logger = logging.getLogger(__name__)


class ReplacedWeightsLog:
    """Logs requests that began on replaced weights near or after the bound.

    The bound is the time by which the newer version must be in use everywhere.
    """

    def __init__(self, versions: VersionRule, timers: TimerService) -> None:
        self._versions = versions
        self._timers = timers
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self._counts = dict.fromkeys(("in_time", "near", "past"), 0)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of requests that began on replaced weights, with labels."""
        return [(count, {"when": when}) for when, count in self._counts.items()]

    def record_begun(
        self, request_id: str, target_id: str, attempt: OwnAttempt
    ) -> None:
        """Count an answer that begins now, and log it if it is near the bound."""
        if attempt.version is None:
            return
        replaced_at_s = self._versions.replaced_at_s(attempt.model, attempt.version)
        if replaced_at_s is None:
            return
        now_s = self._timers.now_s()
        left_s = replaced_at_s + self._versions.bound_s - now_s
        when = (
            "past"
            if left_s < 0
            else "near"
            if left_s < LOGGED_BEFORE_BOUND_S
            else "in_time"
        )
        self._counts[when] += 1
        if left_s >= LOGGED_BEFORE_BOUND_S or not self._bucket.try_consume(1, now_s):
            return
        _logger.info(
            "request begun on replaced weights",
            extra={
                "request": request_id,
                "target": target_id,
                "model": attempt.model,
                "version": attempt.version,
                "left_ms": round(left_s * 1000),
                "expected_ms": round(attempt.expected_wait_s * 1000),
                **attempt.times_since_ms(replaced_at_s, now_s),
            },
        )
