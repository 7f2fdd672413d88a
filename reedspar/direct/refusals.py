"""What a caller is told whose request goes to no target, and when it may return."""

import random
from collections.abc import Collection

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.requests.request import Request
from reedspar.timers import TimerService

__all__ = ["RETRY_AFTER_S", "Refusals"]

RETRY_AFTER_S = 1.0
"""When a caller may come back whose request can't begin in time any more.

It is late in any case then, and callers come back just once: what counts is that the
next try is served.  Targets switch weights in 1.5 s, and a full one has worked off
its queue in one."""
NO_TARGET_RETRY_FRACTION = 0.27
"""Part of the caller's time left after which it may come back if no target can serve.

Such a gap takes seconds: the targets have to get weights, or to start.  Callers come
back once, and wait a third of their time at most."""
NO_TARGET_RETRY_JITTER = 0.2
"""Part by which that is drawn out, so that it stays below a third."""
SHORT_EXCESS_MAX_S = 0.15
"""An excess over the aimed time that is over soon enough for the same caller."""
RETRY_JITTER = 0.5
"""Part by which the time to come back is drawn out, so that callers refused in the
same moment don't return in the same moment."""


class Refusals:
    """Words refusals, and draws the times to come back."""

    def __init__(
        self, view: FleetView, timers: TimerService, rng: random.Random
    ) -> None:
        self._view = view
        self._timers = timers
        self._rng = rng

    def refuse_without_target(
        self, request: Request, tried: Collection[str]
    ) -> Failure:
        """Refuse a request that no known target can run."""
        known = sum(1 for _ in self._view.targets(request.pool))
        detail = f"none of {known} known targets of {request.pool} may be given work"
        if tried:
            detail += f", {len(tried)} were tried"
        left_s = max(0.0, request.deadline_s - self._timers.now_s())
        after_s = (
            NO_TARGET_RETRY_FRACTION
            * left_s
            * (1 + NO_TARGET_RETRY_JITTER * self._rng.random())
        )
        return Failure(
            Reason.NO_TARGET, Step.ROUTE, detail=detail, retry_after_s=after_s
        )

    def refuse_late(self, detail: str, excess_s: float) -> Failure:
        """Refuse a request whose first answer would come too late by `excess_s`."""
        return self.refuse(
            detail, excess_s if excess_s < SHORT_EXCESS_MAX_S else RETRY_AFTER_S
        )

    def refuse(self, detail: str, after_s: float) -> Failure:
        """Refuse a request that may come back after about `after_s` seconds."""
        jittered_s = after_s * (1 + RETRY_JITTER * self._rng.random())
        return Failure(
            Reason.OVERLOADED, Step.ROUTE, detail=detail, retry_after_s=jittered_s
        )
