"""When a caller that takes nothing of its answer is given up.

The load is that of callers that stop reading.  The limits are the operator's: the idle
time of callers, and the deadline that follows from the route's timeout.
"""

import logging
from collections import Counter
from collections.abc import Iterable

from reedspar.utils import TokenBucket

from .answer_buffers import AnswerBuffers, GiveUpLimit, RequestHold

__all__ = ["SlowReaders", "find_exceeded_limit"]

STALLED_AFTER_DEADLINE_S = 1.0
"""Time without reading after which a caller is given up once its deadline has passed.

A caller that still reads then gets the rest of its answer."""
LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 20.0
_logger = logging.getLogger(__name__)


def find_exceeded_limit(
    unread_s: float, *, is_past_deadline: bool, idle_timeout_s: float
) -> GiveUpLimit | None:
    """Return the limit that a reader exceeds, None if it is to be waited for."""
    if unread_s >= idle_timeout_s:
        return GiveUpLimit.IDLE
    if is_past_deadline and unread_s >= STALLED_AFTER_DEADLINE_S:
        return GiveUpLimit.DEADLINE
    return None


class SlowReaders:
    """Gives up readers at their limits, and reports them."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self._now_s = 0.0
        self._given_up: Counter[GiveUpLimit] = Counter()
        self._unlogged = 0
        self._reported_refusals = 0
        buffers.on_given_up = self._record

    def sweep(self, now_s: float, idle_timeout_s: float) -> None:
        """Give up the readers that exceed a limit, if the daemon's memory has one."""
        self._now_s = now_s
        if not self._buffers.is_limited:
            return
        for hold in list(self._buffers.list_sending()):
            limit = find_exceeded_limit(
                hold.unread_s(now_s),
                is_past_deadline=now_s >= hold.deadline_s,
                idle_timeout_s=idle_timeout_s,
            )
            if limit is not None:
                hold.give_up(limit)
        self._log_refusals()

    def read_counts(self) -> Iterable[tuple[float, dict[str, str]]]:
        """Return how many readers were given up, by limit."""
        return [
            (self._given_up[limit], {"limit": limit.value}) for limit in GiveUpLimit
        ]

    def read_held(self) -> Iterable[tuple[float, dict[str, str]]]:
        """Return the bytes held, by kind."""
        return [
            (self._buffers.answer_bytes, {"kind": "answers"}),
            (self._buffers.body_bytes, {"kind": "bodies"}),
        ]

    def _record(self, hold: RequestHold, limit: GiveUpLimit) -> None:
        self._given_up[limit] += 1
        if not self._bucket.try_consume(1, self._now_s):
            self._unlogged += 1
            return
        _logger.warning(
            "slow reader given up",
            extra={
                "request_id": hold.caller_request_id,
                "limit": limit.value,
                "held_bytes": hold.held_bytes,
                "unread_s": round(hold.unread_s(self._now_s), 3),
                "left_out": self._unlogged,
            },
        )
        self._unlogged = 0

    def _log_refusals(self) -> None:
        refused = self._buffers.refused - self._reported_refusals
        if not refused or not self._bucket.try_consume(1, self._now_s):
            return
        self._reported_refusals = self._buffers.refused
        _logger.warning(
            "requests refused for memory",
            extra={
                "count": refused,
                "answer_bytes": self._buffers.answer_bytes,
                "body_bytes": self._buffers.body_bytes,
            },
        )
