"""The retries of one request, until all of them have arrived."""

import logging

from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .hand_over import HandOver, Settlement
from .request import Request
from .retry_budgets import RetryBudget, RetryBudgets

__all__ = ["RequestRetries", "RetryLog"]

LOG_LINES_PER_S = 2.0
LOG_LINES_BURST = 50.0
MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class RetryLog:
    """Logs when a retry was chosen, written and settled, for a limited number."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._limit = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)

    def record(self, request: Request, target: str, hand_over: HandOver) -> None:
        """Log a retry that can't arrive any more."""
        if not self._limit.try_consume(1, self._timers.now_s()):
            return
        settlement = hand_over.settlement
        _logger.info(
            "retry settled",
            extra={
                "request_id": request.caller_request_id,
                "pool": request.pool,
                "target": target,
                "chosen_s": round(hand_over.opened_s, 3),
                "written_ms": _since(hand_over, hand_over.written_s),
                "settled_ms": _since(hand_over, hand_over.settled_s),
                "settlement": settlement.value if settlement is not None else "",
            },
        )


class RequestRetries:
    """Holds the tokens of a request's retries until no further attempt can arrive.

    Of the attempts that may still arrive, one needs no token if none has arrived yet.
    It need not be the first one that was made: that may arrive last.
    """

    def __init__(self, request: Request, budgets: RetryBudgets, log: RetryLog) -> None:
        self._request = request
        self._budgets = budgets
        self._log = log
        self._held = 0
        self._pending: list[HandOver] = []

    @property
    def _budget(self) -> RetryBudget:
        """Return the budget, which is made for pools that have had a target."""
        return self._budgets.for_pool(self._request.pool)

    def try_spend(self) -> bool:
        """Hold the token for one retry; return whether there was one."""
        if not self._budget.try_hold():
            return False
        self._held += 1
        return True

    def on_opened(self, target: str, hand_over: HandOver) -> None:
        """Follow an attempt that was handed over."""
        self._pending.append(hand_over)
        is_retry = self._held > 0

        def end(settled: HandOver) -> None:
            if is_retry:
                self._log.record(self._request, target, settled)
            self._pending.remove(settled)
            self._release(settled.settlement or Settlement.CLOSED)

        hand_over.on_settled = end

    def on_refused(self) -> None:
        """Give back the token of an attempt that was not handed over."""
        self._release(Settlement.UNSENT)

    def on_ended(self) -> None:
        """Let go of attempts that are no retries, as the request has ended."""
        if self._held:
            return
        for hand_over in self._pending:
            hand_over.on_settled = None
        self._pending.clear()

    def _release(self, settlement: Settlement) -> None:
        while self._held > len(self._pending):
            self._held -= 1
            self._budget.release(settlement)


def _since(hand_over: HandOver, at_s: float | None) -> int | None:
    """Return the time since an attempt was made, ms."""
    return None if at_s is None else round((at_s - hand_over.opened_s) * MS_PER_S)
