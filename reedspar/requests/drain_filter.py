"""Filter that refuses, during a drain, what may not end before the entry stops."""

from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .answer_times import AnswerTimes
from .draining import DrainPhase
from .outcome_encoding import make_not_run
from .request import Answer, Proceed, Request, is_success

__all__ = ["DrainFilter"]

DURATION_MARGIN = 1.25
"""Factor by which an answer may take longer than the longest recent one."""
UNSEEN_TAIL_SHARE = 0.45
"""Share of its limit that an answer may take where few answers are known."""
DELIVERY_MARGIN_S = 0.1
"""Time between the end of a request and the last byte at its caller."""
RETRY_AFTER_S = 0.1
"""Other entries take requests now; each wait of the caller counts to its latency."""
MS_PER_S = 1000


class DrainFilter:
    """Admits a request if its time limit ends before the entry stops.

    A request that may be repeated is also admitted if all recent answers of its route
    would have been whole by then, as its limit is usually far longer than its answer.
    Few answers may miss that some take many times as long, so a share of the limit must
    be left, too.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._times = AnswerTimes()
        self._started: dict[str, tuple[str, float]] = {}
        """Route and arrival of each request in progress, by its id."""
        self._stops_at_s: float | None = None
        self.last_admitted_s = float("-inf")
        self.phase: DrainPhase | None = None

    def begin(self, stops_at_s: float) -> None:
        """Refuse requests that may not be answered whole before `stops_at_s`."""
        self._stops_at_s = stops_at_s

    def describe(self, now_s: float) -> dict[str, object]:
        """Return where the drain stands, as logged; empty before a drain."""
        if self._stops_at_s is None or self.phase is None:
            return {}
        left_ms = round((self._stops_at_s - now_s) * MS_PER_S)
        return {"phase": self.phase.name.lower(), "left_ms": left_ms}

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Run a request that ends in time, or refuse it at once."""
        now_s = self._timers.now_s()
        if not self._ends_in_time(request, now_s):
            return _refuse()
        self.last_admitted_s = now_s
        route = _route_of(request)
        self._started[request.request_id] = (route, request.arrived_s)
        try:
            answer = await proceed(request)
        finally:
            del self._started[request.request_id]
        if is_success(answer):
            now_s = self._timers.now_s()
            self._times.record(route, now_s - request.arrived_s, now_s)
        return answer

    def _ends_in_time(self, request: Request, now_s: float) -> bool:
        if self._stops_at_s is None:
            return True
        ends_before_s = self._stops_at_s - DELIVERY_MARGIN_S
        left_s = ends_before_s - request.arrived_s
        if request.deadline_s <= ends_before_s:
            request.admitted_by = f"limit, with {left_s:.2f} s left"
            return True
        if not request.is_idempotent:
            return False
        longest_s = self._longest_s(_route_of(request), now_s)
        if longest_s is None:
            return False
        needed_s = DURATION_MARGIN * longest_s
        if not self._times.shows_tail(_route_of(request), now_s):
            limit_s = request.deadline_s - request.arrived_s
            needed_s = max(needed_s, UNSEEN_TAIL_SHARE * limit_s)
        request.admitted_by = (
            f"answers of {longest_s:.2f} s at most, with {left_s:.2f} s left"
        )
        return request.arrived_s + needed_s <= ends_before_s

    def _longest_s(self, route: str, now_s: float) -> float | None:
        """Return the longest recent time to an answer; those in progress count."""
        longest_s = self._times.longest_s(route, now_s)
        if longest_s is None:
            return None
        running = (at_s for name, at_s in self._started.values() if name == route)
        return max([longest_s, *(now_s - at_s for at_s in running)])


def _route_of(request: Request) -> str:
    return request.route or request.pool


def _refuse() -> Answer:
    detail = "this entry stops before the request must end; use another address"
    failure = Failure(
        Reason.DRAINING, Step.DRAIN, detail=detail, retry_after_s=RETRY_AFTER_S
    )
    return make_not_run(failure)
