"""Refusals of requests for which no target was chosen, with their retry delays."""

import random
from collections.abc import Collection

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.requests.request import Request
from reedspar.timers import TimerService

__all__ = ["RETRY_AFTER_S", "Refusals"]

RETRY_AFTER_S = 1.0
"""Retry delay of a request that can no longer begin in time.

The request is late in any case and callers retry only once, so the retry should
succeed.  Targets switch weights in 1.5 s, and a full one empties its queue in 1 s."""
NO_TARGET_RETRY_FRACTION = 0.27
"""Retry delay, as a fraction of the caller's time left, if no target can serve.

Targets need seconds to load weights or to start.  Callers retry once and wait at most a
third of their time."""
NO_TARGET_RETRY_JITTER = 0.2
"""Maximum fraction by which that delay is extended, so that it stays below a third."""
SHORT_EXCESS_MAX_S = 0.15
"""Excess over the latency goal below which the excess itself is the retry delay."""
LATE_RETRY_MIN_S = 0.1
"""Minimum retry delay that follows from the occupancy of targets."""
RETRY_JITTER = 0.5
"""Maximum fraction by which a retry delay is extended, so that callers refused at the
same time don't retry at the same time."""


class Refusals:
    """Creates refusals with randomized retry delays."""

    def __init__(
        self, view: FleetView, timers: TimerService, rng: random.Random
    ) -> None:
        self._view = view
        self._timers = timers
        self._rng = rng

    def refuse_without_target(
        self, request: Request, tried: Collection[str]
    ) -> Failure:
        """Return the refusal of a request that no known target can run."""
        known_count = sum(1 for _ in self._view.targets(request.pool))
        detail = (
            f"none of {known_count} known targets of {request.pool} may be given work"
        )
        if tried:
            detail += f", {len(tried)} were tried"
        left_s = max(0.0, request.deadline_s - self._timers.now_s())
        retry_after_s = (
            NO_TARGET_RETRY_FRACTION
            * left_s
            * (1 + NO_TARGET_RETRY_JITTER * self._rng.random())
        )
        return Failure(
            Reason.NO_TARGET, Step.ROUTE, detail=detail, retry_after_s=retry_after_s
        )

    def refuse_for_good(self, detail: str) -> Failure:
        """Return the refusal of a request that no target can ever run."""
        return Failure(Reason.OVERLOADED, Step.BOUND, detail=detail)

    def refuse_late(
        self, detail: str, excess_s: float, occupancy: float | None = None
    ) -> Failure:
        """Return a refusal because the first event would be `excess_s` late.

        If the occupancy of the targets' slots is known, the delay is the excess, longer
        by what waits beyond the slots.
        """
        if occupancy is not None:
            delay_s = excess_s * max(1.0, occupancy)
            return self.refuse(
                detail, min(RETRY_AFTER_S, max(LATE_RETRY_MIN_S, delay_s))
            )
        return self.refuse(
            detail, excess_s if excess_s < SHORT_EXCESS_MAX_S else RETRY_AFTER_S
        )

    def refuse(self, detail: str, retry_after_s: float) -> Failure:
        """Return a refusal with a retry delay of at least `retry_after_s`."""
        jittered_s = retry_after_s * (1 + RETRY_JITTER * self._rng.random())
        return Failure(
            Reason.OVERLOADED, Step.ROUTE, detail=detail, retry_after_s=jittered_s
        )
