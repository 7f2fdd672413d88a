"""One log line for each request that ended badly, and a sample of the others."""

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
"""Of answered requests, one in so many gets a line of its own: 0.5 a second at the
25 requests a second of the busiest entry."""
LINES_PER_S = 20.0
LINES_BURST = 100.0
"""Bound on lines of requests that ended badly, about 10 KB a second; the rest is
counted in the next summary."""
SUMMARY_S = 5.0
FAILED_STATUS = 400

_logger = logging.getLogger(__name__)


class RequestLog:
    """Logs and counts the endings of requests (the first filter)."""

    def __init__(self, view: FleetView, timers: TimerService, metrics: Metrics) -> None:
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._bucket = TokenBucket(LINES_PER_S, LINES_BURST)
        self._endings: Counter[str] = Counter()
        self._left_out = 0
        self._answered = 0
        self._in_flight = 0
        metrics.in_flight.set_callback(lambda: self._in_flight)
        timers.call_every(SUMMARY_S, self._summarize)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Let the request proceed, and log how it ended."""
        self._in_flight += 1
        try:
            answer = await proceed(request)
        except anyio.get_cancelled_exc_class():
            self._note(request, "abandoned", self._describe(request))
            raise
        finally:
            self._in_flight -= 1
        self._note_answer(request, answer)
        return answer

    def _note_answer(self, request: Request, answer: Answer) -> None:
        ending = answer.outcome.value
        fields = self._describe(request) | {"status": answer.status}
        failure = answer.failure
        if failure is not None:
            ending = f"{ending} {failure.reason.value}"
            fields |= {"failure": str(failure), "retry_after_s": failure.retry_after_s}
            labels = {"reason": failure.reason.value, "step": failure.step.value}
            self._metrics.refusals.add(1, labels)
        elif answer.status >= FAILED_STATUS:
            ending = f"{ending} {answer.status}"
        labels = {"outcome": answer.outcome.value, "pool": request.pool}
        self._metrics.requests.add(1, labels)
        seconds = self._timers.now_s() - request.arrived_s
        self._metrics.request_duration.record(seconds, {"pool": request.pool})
        self._note(request, ending, fields)

    def _note(self, request: Request, ending: str, fields: dict[str, object]) -> None:
        self._endings[ending] += 1
        if ending == Outcome.ANSWERED.value:
            self._answered += 1
            if self._answered % SAMPLE_EVERY != 1:
                return
        elif not self._take_line():
            self._left_out += 1
            return
        _logger.info("request %s", ending, extra=fields)

    def _take_line(self) -> bool:
        now_s = self._timers.now_s()
        if not self._bucket.is_ready(now_s):
            return False
        self._bucket.take(1, now_s)
        return True

    def _describe(self, request: Request) -> dict[str, object]:
        """Return what decided the request: its own data, and the table's version."""
        table = self._view.routes
        now_s = self._timers.now_s()
        return {
            "request_id": request.caller_request_id,
            "host": request.host,
            "path": request.path,
            "pool": request.pool,
            "workspace": request.workspace,
            "model": request.model,
            "prompt_tokens": request.prompt_tokens,
            "allowed_ms": round((request.deadline_s - request.arrived_s) * 1000),
            "elapsed_ms": round((now_s - request.arrived_s) * 1000),
            "targets": request.targets,
            "routes_version": table.version if table is not None else None,
        }

    def _summarize(self) -> None:
        """Tell how many requests ended how since the last summary."""
        if not self._endings:
            return
        _logger.info(
            "requests ended",
            extra={
                "endings": dict(self._endings),
                "left_out": self._left_out,
                "in_flight": self._in_flight,
                "period_s": SUMMARY_S,
            },
        )
        self._endings.clear()
        self._left_out = 0
