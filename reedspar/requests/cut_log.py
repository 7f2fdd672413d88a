"""Log lines of requests that this entry passed on and did not answer whole."""

import logging
from collections import Counter

from reedspar.errors import Reason
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .drain_filter import DrainFilter
from .request import Answer, Outcome, Request

__all__ = ["CutLog"]

LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 50.0
MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class CutLog:
    """Tells of each answer that was cut when it began and who ended it."""

    def __init__(self, drain_filter: DrainFilter, timers: TimerService) -> None:
        self._drain_filter = drain_filter
        self._timers = timers
        self._limit = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self._counts: Counter[str] = Counter()

    def record(self, request: Request, answer: Answer, sent_bytes: int) -> None:
        """Record how a request ended, if its answer was cut or the drain's end met it.

        `sent_bytes` is the size of the part of its body that was sent.
        """
        failure = answer.failure
        if answer.outcome is not Outcome.UNKNOWN or failure is None:
            return
        if not answer.is_sent and failure.reason is not Reason.DRAINING:
            return
        self._counts[failure.reason.value] += 1
        now_s = self._timers.now_s()
        if not self._limit.try_consume(1, now_s):
            return
        _logger.warning(
            "answer was cut",
            extra={
                "request_id": request.caller_request_id,
                "route": request.route or request.pool,
                "targets": request.targets,
                "read_ms": _age_ms(request.arrived_s, now_s),
                "passed_on_ms": [_age_ms(at_s, now_s) for at_s in request.passed_on_s],
                "limit_ms": round((request.deadline_s - request.arrived_s) * MS_PER_S),
                "sent_bytes": sent_bytes,
                "ended_by": str(failure),
                "drain_spare_s": request.drain_spare_s,
                "drain": self._drain_filter.describe(now_s),
            },
        )

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return how many answers were cut, by reason, for the metrics."""
        return [(count, {"reason": reason}) for reason, count in self._counts.items()]


def _age_ms(at_s: float, now_s: float) -> int:
    return round((now_s - at_s) * MS_PER_S)
