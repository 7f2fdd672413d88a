"""Log lines of failed requests, a sample of the answered ones, and summaries."""

import logging
from collections import Counter

import anyio

from reedspar.fleet import FleetView
from reedspar.requests.request import Answer, Outcome, Proceed, Request
from reedspar.telemetry import Metrics
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

__all__ = ["RequestLog"]

SAMPLE_EVERY = 50
"""One in this many answered requests is logged: 0.5 lines a second at the 25 requests a
second of the busiest entry."""
LOG_LINES_PER_S = 20.0
LOG_LINES_BURST = 100.0
"""Limit of log lines of failed requests, about 10 KB a second; the others are counted
in the next summary."""
LATE_LINES_PER_S = 1.0
LATE_LINES_BURST = 10.0
"""Limit of log lines of late answers whose targets were chosen by their speed."""
SPEED_ESTIMATES_MAX = 4
"""Maximum number of speed estimates in a log line, the newest ones."""
SUMMARY_INTERVAL_S = 5.0
ERROR_STATUS_MIN = 400

_logger = logging.getLogger(__name__)


class RequestLog:
    """Filter that logs and counts how requests end; the first of the chain."""

    def __init__(self, view: FleetView, timers: TimerService, metrics: Metrics) -> None:
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self._late_bucket = TokenBucket(LATE_LINES_PER_S, LATE_LINES_BURST)
        self._endings: Counter[str] = Counter()
        self._unlogged = 0
        self._answered = 0
        self._in_flight = 0
        metrics.in_flight.set_callback(lambda: self._in_flight)
        timers.call_every(SUMMARY_INTERVAL_S, self._log_summary)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Pass the request on and log how it ended."""
        self._in_flight += 1
        try:
            answer = await proceed(request)
        except anyio.get_cancelled_exc_class():
            ending = "abandoned" if request.is_abandoned else "aborted"
            self._log_ending(request, ending, self._make_log_fields(request))
            raise
        finally:
            self._in_flight -= 1
        self._log_answer(request, answer)
        return answer

    def _log_answer(self, request: Request, answer: Answer) -> None:
        ending = answer.outcome.value
        refusal = request.refusal
        fields = self._make_log_fields(request) | {"status": answer.status}
        failure = answer.failure
        if failure is not None:
            ending = f"{ending} {failure.reason.value}"
            fields |= {"failure": str(failure), "retry_after_s": failure.retry_after_s}
            labels = {"reason": failure.reason.value, "step": failure.step.value}
            self._metrics.refusals.add(1, labels)
        elif answer.status >= ERROR_STATUS_MIN:
            ending = f"{ending} {answer.status}"
        if refusal is not None:
            fields |= {
                "rank": refusal.key.rank,
                "threshold": round(refusal.threshold, 3),
                "share_used": round(refusal.share_used, 3),
            }
        labels = {"outcome": answer.outcome.value, "pool": request.pool}
        self._metrics.requests.add(1, labels)
        seconds = self._timers.now_s() - request.arrived_s
        self._metrics.request_duration.record(seconds, {"pool": request.pool})
        self._log_ending(request, ending, fields)

    def _log_ending(
        self, request: Request, ending: str, fields: dict[str, object]
    ) -> None:
        self._endings[ending] += 1
        if ending == Outcome.ANSWERED.value:
            self._answered += 1
            is_sampled = self._answered % SAMPLE_EVERY == 1
            if not is_sampled and not self._should_log_late(request):
                return
        elif not self._acquire_log_line():
            self._unlogged += 1
            return
        _logger.info("request %s", ending, extra=fields)

    def _should_log_late(self, request: Request) -> bool:
        """Return whether to log a late answer for the speed estimates behind it."""
        if not request.is_late or not request.speed_estimates:
            return False
        return self._late_bucket.try_consume(1, self._timers.now_s())

    def _acquire_log_line(self) -> bool:
        now_s = self._timers.now_s()
        return self._bucket.try_consume(1, now_s)

    def _make_log_fields(self, request: Request) -> dict[str, object]:
        """Return the log fields of a request and the version of the route table."""
        table = self._view.routes
        now_s = self._timers.now_s()
        fields: dict[str, object] = {
            "request_id": request.caller_request_id,
            "host": request.host,
            "path": request.path,
            "pool": request.pool,
            "workspace": request.workspace,
            "fingerprint": request.fingerprint,
            "model": request.model,
            "prompt_parts": request.prompt_parts,
            "prompt_tokens": request.prompt_tokens,
            "allowed_ms": _allowed_ms(request),
            "elapsed_ms": round((now_s - request.arrived_s) * 1000),
            "targets": request.targets,
            "routes_version": table.version if table is not None else None,
        }
        if request.speed_estimates:
            fields["speed_estimates"] = request.speed_estimates[-SPEED_ESTIMATES_MAX:]
            fields["is_late"] = request.is_late
        return fields

    def _log_summary(self) -> None:
        """Log the counts of endings since the last summary."""
        if not self._endings:
            return
        _logger.info(
            "requests ended",
            extra={
                "endings": dict(self._endings),
                "left_out": self._unlogged,
                "in_flight": self._in_flight,
                "period_s": SUMMARY_INTERVAL_S,
            },
        )
        self._endings.clear()
        self._unlogged = 0


def _allowed_ms(request: Request) -> int | None:
    """Return the time that a request had, None if it ended before that was known."""
    if not request.deadline_s:
        return None
    return round((request.deadline_s - request.arrived_s) * 1000)
