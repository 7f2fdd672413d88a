"""Log lines for answers that begin at targets that leave."""

import logging

from reedspar.fleet import FleetChange, FleetView, TargetChange, TargetState
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .loads import OwnAttempt
from .notices import TargetNotice

__all__ = ["LeavingTargetsLog"]

LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 20.0
RETENTION_S = 30.0
"""Time for which a departure is kept; a target that leaves ends within seconds."""

_logger = logging.getLogger(__name__)


class LeavingTargetsLog:
    """Logs, relative to the news of a departure, when a request was sent and begun."""

    def __init__(self, view: FleetView, timers: TimerService) -> None:
        self._timers = timers
        self._left_at_s: dict[str, float] = {}
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        view.on_change(self._record_change)

    def record_begun(
        self, request_id: str, target_id: str, attempt: OwnAttempt
    ) -> None:
        """Log an answer that begins now if its target leaves."""
        left_at_s = self._left_at_s.get(target_id)
        now_s = self._timers.now_s()
        if left_at_s is None or not self._bucket.try_consume(1, now_s):
            return
        _logger.info(
            "request begun at a target that leaves",
            extra={
                "request": request_id,
                "target": target_id,
                **attempt.times_since_ms(left_at_s, now_s),
            },
        )

    def record_notice(self, notice: TargetNotice) -> None:
        """Record a departure that a target announces in an answer."""
        if notice.is_leaving:
            self._record_departure(notice.target_id)

    def _record_change(self, change: FleetChange) -> None:
        if not isinstance(change, TargetChange):
            return
        record = change.record
        if record is not None and record.state is TargetState.READY:
            self._left_at_s.pop(change.target_id, None)
            return
        self._record_departure(change.target_id)

    def _record_departure(self, target_id: str) -> None:
        now_s = self._timers.now_s()
        self._left_at_s = {
            known_id: left_at_s
            for known_id, left_at_s in self._left_at_s.items()
            if now_s - left_at_s < RETENTION_S
        }
        self._left_at_s.setdefault(target_id, now_s)
