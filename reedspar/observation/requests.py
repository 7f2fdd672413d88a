"""Events and metrics of callers' requests, recorded by the first filter."""

import time
from collections.abc import Callable

import anyio

from reedspar.attempts import AttemptHead
from reedspar.messages import Sender
from reedspar.requests import Answer, Outcome, Request
from reedspar.requests.request import Proceed
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder, format_caller_id

from .network import ObservedNetwork

__all__ = ["RequestObserver"]

UNKNOWN_POOL_LABEL = "unknown"
OUTCOME_EVENTS = {
    Outcome.ANSWERED: EventKind.REQUEST_ANSWERED,
    Outcome.NOT_RUN: EventKind.REQUEST_NOT_RUN,
    Outcome.UNKNOWN: EventKind.REQUEST_OUTCOME_UNKNOWN,
}


class RequestObserver:
    """Record the receipt and the outcome of each request."""

    def __init__(
        self,
        network: ObservedNetwork,
        metrics: Metrics,
        recorder: EventRecorder,
        is_known_pool: Callable[[str], bool],
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._is_known_pool = is_known_pool
        self._clock = clock
        self._awaiting_head: dict[str, tuple[float, str]] = {}
        self._in_flight = 0
        metrics.in_flight.set_callback(lambda: self._in_flight)
        network.subscribe(AttemptHead, self._on_head)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Pass the request on, and record its outcome."""
        # The pool's name comes from the caller.  Used as a label unchecked, each
        # misspelt name would take memory in the metrics forever.
        pool = request.pool if self._is_known_pool(request.pool) else UNKNOWN_POOL_LABEL
        started_s = self._clock()
        request_id = request.request_id
        detail = f"{request.method} pool {pool}"
        if request.caller_request_id not in ("", request_id):
            detail += " " + format_caller_id(request.caller_request_id)
        self._recorder.record(
            EventKind.REQUEST_RECEIVED, request_id=request_id, detail=detail
        )
        self._awaiting_head[request_id] = (started_s, pool)
        self._in_flight += 1
        try:
            answer = await proceed(request)
        except anyio.get_cancelled_exc_class():
            self._recorder.record(EventKind.REQUEST_ABANDONED, request_id=request_id)
            raise
        finally:
            self._in_flight -= 1
            self._awaiting_head.pop(request_id, None)
        self._record_outcome(request, pool, answer)
        self._metrics.request_duration.record(self._clock() - started_s, {"pool": pool})
        return answer

    def _record_outcome(self, request: Request, pool: str, answer: Answer) -> None:
        labels = {"outcome": answer.outcome.value, "pool": pool}
        self._metrics.requests.add(1, labels)
        detail = f"status {answer.status}" if answer.status else ""
        failure = answer.failure
        if failure is not None:
            reason = {"reason": failure.reason.value, "step": failure.step.value}
            self._metrics.refusals.add(1, reason)
            detail = str(failure)
        self._recorder.record(
            OUTCOME_EVENTS[answer.outcome],
            request_id=request.request_id,
            version=answer.weights_digest,
            detail=detail,
        )

    def _on_head(self, sender: Sender, message: AttemptHead) -> None:
        waiting = self._awaiting_head.pop(message.request_id, None)
        if waiting is not None:
            started_s, pool = waiting
            self._metrics.first_byte.record(self._clock() - started_s, {"pool": pool})
