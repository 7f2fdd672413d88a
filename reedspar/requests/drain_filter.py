"""Filter that refuses, during a drain, what may not end before the entry stops."""

from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .draining import DrainPhase
from .outcome_encoding import make_not_run
from .request import Answer, Proceed, Request

__all__ = ["DrainFilter"]

DELIVERY_MARGIN_S = 0.1
"""Time between the end of a request and the last byte at its caller."""
RETRY_AFTER_S = 0.1
"""Other entries take requests now; each wait of the caller counts to its latency."""
MS_PER_S = 1000


class DrainFilter:
    """Admits a request if its time limit ends before the entry stops.

    How long earlier answers took is no bound: targets slow down and callers gather
    while entries stop, and an answer that was begun can't be refused any more.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
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
        if self._stops_at_s is not None:
            spare_s = self._stops_at_s - DELIVERY_MARGIN_S - request.deadline_s
            if spare_s < 0:
                return _refuse()
            request.drain_spare_s = spare_s
        self.last_admitted_s = self._timers.now_s()
        return await proceed(request)


def _refuse() -> Answer:
    detail = "this entry stops before the request must end; use another address"
    failure = Failure(
        Reason.DRAINING, Step.DRAIN, detail=detail, retry_after_s=RETRY_AFTER_S
    )
    return make_not_run(failure)
