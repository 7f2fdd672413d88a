"""Selection of an attempt's target, by the power of two random choices.

Mitzenmacher, "The power of two choices in randomized load balancing" (IEEE
Transactions on Parallel and Distributed Systems, 2001).
"""

import random
from collections.abc import Collection

from reedspar.configuration import ConfigurationDocument, PoolKind
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

from .relay_interfaces import ChosenTarget
from .request import Answer, Outcome, Request
from .target_directory import TargetDirectory, TargetView
from .views import ConfigurationView

__all__ = ["PoolChooser", "Router"]

FULL_TARGET_LOAD = 1.0
"""Load at which a target is full; its agent queues or refuses further requests."""
QUEUE_LIMIT_LOAD = 1.5
"""Load at which a further request would wait in the queue until its deadline."""
AFFINITY_LOAD_MAX = 0.75
"""Load below which requests are sent to the target that has their prefix cached."""
AFFINITY_PREFIX_BYTES = 256
"""Length of the prompt prefix that identifies the target with the cached prefix."""
NO_TARGET_RETRY_S = 1.0
LATENCY_MIN_S = 0.001
BACKOFF_REASONS = frozenset(
    {Reason.DRAINING, Reason.ZONE_OUT, Reason.STALE, Reason.COLD}
)
BACKOFF_S = 0.25
"""Default time for which a target that refused for its own state is not used."""
BACKOFF_MAX_S = 1.0
"""Maximum of this time if the refusal gives a time to retry after."""


class Router:
    """Chooses targets for the requests of one entry."""

    def __init__(
        self, directory: TargetDirectory, zone: str, rng: random.Random
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        request: Request,
        document: ConfigurationDocument,
        tried: Collection[str] = (),
    ) -> TargetView | Failure:
        """Return the target of the next attempt, preferring the entry's own zone."""
        views = [
            view
            for view in self._directory.usable_targets(request.pool)
            if document.is_zone_in(view.report.zone) and _can_serve(view, request)
        ]
        if not views:
            return self._make_no_target(request)
        preferred = [view for view in views if view.name not in tried] or views
        views_with_room = [view for view in preferred if view.load < QUEUE_LIMIT_LOAD]
        if not views_with_room:
            return Failure(
                Reason.OVERLOADED,
                Step.ROUTE,
                detail=f"all {len(views)} targets of {request.pool} are full",
                retry_after_s=_time_to_free_slot_s(views),
            )
        return self._pick(request, views_with_room)

    def _pick(self, request: Request, views: list[TargetView]) -> TargetView:
        own_zone = [view for view in views if view.report.zone == self._zone]
        for group in (own_zone, views):
            free = [view for view in group if view.load < FULL_TARGET_LOAD]
            if free:
                return self._pick_by_affinity(request, free) or self._pick_by_load(free)
        return self._pick_by_load(views)

    def _pick_by_affinity(
        self, request: Request, views: list[TargetView]
    ) -> TargetView | None:
        """Return the target with the request's prompt prefix cached, if it has room."""
        if request.pool_kind is not PoolKind.MODEL or not request.body:
            return None
        key = request.workspace + request.body[:AFFINITY_PREFIX_BYTES].decode("latin-1")
        by_name = {view.name: view for view in views}
        first = by_name[rank_by_rendezvous(key, by_name)[0]]
        return first if first.load < AFFINITY_LOAD_MAX else None

    def _pick_by_load(self, views: list[TargetView]) -> TargetView:
        if len(views) == 1:
            return views[0]
        one, two = self._rng.sample(views, 2)
        return one if _cost(one) <= _cost(two) else two

    def _make_no_target(self, request: Request) -> Failure:
        known = self._directory.target_count(request.pool)
        detail = f"none of {known} known targets of {request.pool} may be given work"
        return Failure(
            Reason.NO_TARGET,
            Step.ROUTE,
            detail=detail,
            retry_after_s=NO_TARGET_RETRY_S,
        )


class PoolChooser:
    """Chooses among the targets that agents report (see `TargetChooser`)."""

    def __init__(
        self,
        router: Router,
        configuration: ConfigurationView,
        timers: TimerService,
    ) -> None:
        self._router = router
        self._configuration = configuration
        self._timers = timers

    def choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        """Return the target of the next attempt, or a failure if there is none."""
        document = self._configuration.document
        # Without a recent confirmation, a zone may have been taken out unnoticed,
        # and this entry would keep sending work there.
        if document is None or not self._configuration.is_fresh():
            detail = "no recent confirmation of the configuration"
            return Failure(Reason.STALE, Step.ROUTE, detail=detail, retry_after_s=1.0)
        return self._router.choose(request, document, tried)

    def on_started(self, request: Request, chosen: ChosenTarget) -> None:
        """Count the attempt as in flight from this entry."""
        assert isinstance(chosen, TargetView)
        chosen.own_in_flight += 1

    def on_first_byte(self, request: Request, chosen: ChosenTarget) -> None:
        """Do nothing, as agents report their targets' load."""

    def on_silent(self, request: Request, chosen: ChosenTarget) -> None:
        """Do nothing, as the silence of agents is noticed on their links."""

    def on_ended(
        self, request: Request, chosen: ChosenTarget, answer: Answer | None
    ) -> None:
        """Stop counting the attempt; back off from a target that refused it."""
        assert isinstance(chosen, TargetView)
        chosen.own_in_flight -= 1
        if answer is None or answer.outcome is not Outcome.NOT_RUN:
            return
        failure = answer.failure
        if failure is not None and failure.reason in BACKOFF_REASONS:
            after_s = min(failure.retry_after_s or BACKOFF_S, BACKOFF_MAX_S)
            chosen.backoff_until_s = self._timers.now_s() + after_s

    def on_refused(self, chosen: ChosenTarget, failure: Failure) -> None:
        """Back off from a target without a link."""
        assert isinstance(chosen, TargetView)
        chosen.backoff_until_s = self._timers.now_s() + BACKOFF_S


def _can_serve(view: TargetView, request: Request) -> bool:
    if request.pool_kind is not PoolKind.MODEL:
        return True
    offered = view.report.offered
    if not request.weights_digest:
        return bool(offered)
    return any(item.root_digest == request.weights_digest for item in offered)


def _cost(view: TargetView) -> float:
    """Return a relative cost of one more request: load times latency.

    A slow target with few requests may cost more than a fast one with many.
    """
    slot_share = 1 / max(1, view.report.limit)
    return (view.load + slot_share) * max(view.report.latency_s, LATENCY_MIN_S)


def _time_to_free_slot_s(views: list[TargetView]) -> float:
    """Return the shortest expected time until a full target can accept a request."""
    waits = [
        view.report.latency_s
        * max(0.0, view.load - FULL_TARGET_LOAD + 1 / view.report.limit)
        for view in views
        if view.report.limit
    ]
    return max(NO_TARGET_RETRY_S, min(waits, default=NO_TARGET_RETRY_S))
