"""The choice of a target for an attempt that goes straight to it."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView, KnownTarget
from reedspar.requests.attempting import ChosenTarget
from reedspar.requests.request import Answer, Outcome, Request
from reedspar.routes import EngineParameters, ServiceParameters
from reedspar.timers import TimerService

from .cold import ColdLimits
from .crashes import CrashDetector
from .estimate import (
    Calibration,
    EngineWork,
    estimate_first_event_s,
    estimate_pause_s,
)
from .fitness import Fitness, cold_rate_of
from .loads import (
    LoadReport,
    OwnAttempt,
    TargetLoad,
    TargetLoads,
    UsualLoad,
    average_load,
)
from .refusals import COME_BACK_S, Refusals
from .replaced import ReplacedWeightsLog
from .versions import VersionRule

__all__ = ["DirectChooser", "DirectTarget"]

NEAR_BEST_S = 0.02
"""Targets within this of the best estimate are as good: the estimate is no finer,
and drawing among them keeps entries from all choosing the same one."""
FAR_S = 0.03
"""What a target in another region must be better by.

The links between regions are thin and shared; a usual request and its answer are
3 KB there.  Within one region nothing is lost by it, for estimates are no finer."""
AIM_PART = 0.8
"""Part of the aimed time within which the first event must be expected.

The rest is for what other entries send meanwhile.  An answer after its aim is worth
little to its caller, and delays all behind it."""
QUEUE_SLACK_S = 0.1
"""What may wait before a request that would be late in any case: two usual prompts."""
OWN_REASONS = frozenset({Reason.SUPERSEDED, Reason.CANCELLED})
"""Ends that this entry decided on, which say nothing about the target."""
GAP_PART = 0.95
"""Part of the pause between events that callers bear which one prompt may make."""


@dataclass(frozen=True, slots=True)
class DirectTarget:
    """The target of one attempt (see `ChosenTarget`)."""

    name: str
    estimated_s: float
    """When its answer would begin, from now, by the estimate before calibration."""
    weights_digest: str = ""
    incarnation: int = 0
    version: int | None = None
    """The version of the request's model that it had when it was chosen."""
    wait_s: float = 0.0
    """When its answer would begin, from now, calibrated and with the distance."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    known: KnownTarget
    load: TargetLoad
    estimated_s: float
    expected_s: float
    """The calibrated estimate, and what the distance counts as."""
    alone_s: float = 0.0
    """What the calibrated estimate would be if no prompt waited before it."""
    pause_s: float = 0.0
    """The pause that the prompts before the request make in the streams beside it."""


class DirectChooser:
    """Chooses by the time in which a target would begin to answer."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        cold: ColdLimits,
        versions: VersionRule,
        timers: TimerService,
        zones: dict[str, str],
        region: str,
        crashes: CrashDetector,
        replaced: ReplacedWeightsLog,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._cold = cold
        self._fitness = Fitness(view, loads, cold, versions, zones)
        self._refusals = Refusals(view, timers, rng)
        self._timers = timers
        self._regions = zones
        self._region = region
        self._crashes = crashes
        self._replaced = replaced
        self._rng = rng
        self._calibrations: dict[str, Calibration] = {}

    def choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        """Return the target of the next attempt, or why there is none."""
        terms = self._terms_of(request.pool)
        now_s = self._timers.now_s()
        fit = self._fitness.list_fit(request, tried, now_s)
        if not fit:
            return self._refusals.explain_none(request, tried)
        usual = average_load((self._loads.of(k.record.id) for k in fit), now_s)
        candidates = [
            self._estimate(request, terms, known, load, usual, now_s)
            for known, load in self._fitness.list_open(fit, terms, now_s)
        ]
        candidates = [
            i
            for i in candidates
            if self._fitness.is_in_time(i.known.record, request, i.expected_s)
        ]
        if not candidates:
            detail = "every fit target is cold or about to switch"
            return self._refusals.refuse(detail, COME_BACK_S)
        candidates = [i for i in candidates if _leaves_pauses(i, request)]
        if not candidates:
            detail = "one more prompt would hold up the streams beside it"
            return self._refusals.refuse(detail, COME_BACK_S)
        best = min(candidates, key=lambda item: item.expected_s)
        best_s = best.expected_s
        excess_s = best_s - self._limit_s(request, best)
        if excess_s > 0:
            detail = f"the first answer is expected in {best_s:.2f} s"
            return self._refusals.refuse_late(detail, excess_s)
        near = [i for i in candidates if i.expected_s <= best_s + NEAR_BEST_S]
        chosen = self._rng.choice(near)
        return DirectTarget(
            chosen.known.record.id,
            chosen.estimated_s,
            request.weights_digest,
            version=chosen.known.record.weights.get(request.model),
            wait_s=chosen.expected_s,
        )

    def on_started(self, request: Request, chosen: ChosenTarget) -> None:
        """Count the attempt among this entry's own."""
        now_s = self._timers.now_s()
        load = self._loads.of(chosen.name)
        assert isinstance(chosen, DirectTarget)
        load.own[request.request_id] = OwnAttempt(
            request.prompt_tokens,
            now_s,
            chosen.estimated_s,
            model=request.model,
            version=chosen.version,
            wait_s=chosen.wait_s,
        )
        known = self._view.target(chosen.name)
        if known is not None and known.is_cold(now_s):
            rate_per_s = cold_rate_of(self._terms_of(request.pool))
            self._cold.note_sent(load, rate_per_s, now_s)

    def on_first_byte(self, request: Request, chosen: ChosenTarget) -> None:
        """Note that the prompt was read."""
        load = self._loads.of(chosen.name)
        load.note_good()
        attempt = load.own.get(request.request_id)
        if attempt is not None and not attempt.has_begun:
            attempt.has_begun = True
            took_s = self._timers.now_s() - attempt.started_s
            self._calibration(request.pool).note(attempt.expected_s, took_s)
            self._replaced.note_begun(request.request_id, chosen.name, attempt)

    def on_ended(
        self, request: Request, chosen: ChosenTarget, answer: Answer | None
    ) -> None:
        """Uncount the attempt, and learn from its end."""
        load = self._loads.of(chosen.name)
        load.own.pop(request.request_id, None)
        failure = answer.failure if answer is not None else None
        if answer is None or failure is None or failure.reason in OWN_REASONS:
            return
        now_s = self._timers.now_s()
        if answer.outcome is Outcome.UNKNOWN:
            self._crashes.note_broken(chosen.name, request.fingerprint)
        if failure.reason is Reason.CONFLICT:
            self._note_replaced(chosen.name)
        elif failure.step is Step.LINK or answer.outcome is Outcome.UNKNOWN:
            load.note_unreachable(now_s)
        elif answer.outcome is Outcome.NOT_RUN:
            load.note_full(now_s)

    def _note_replaced(self, target_id: str) -> None:
        """Send nothing more to a target that is gone: its address has another one.

        The store may tell of it for seconds.  After a loss of power all targets are
        new ones; each request went to two of the old, and was refused: 200 in three
        seconds, a twelfth of a day's.
        """
        known = self._view.target(target_id)
        if known is not None:
            self._loads.of(target_id).replaced_boot = known.record.boot_id

    def on_refused(self, chosen: ChosenTarget, failure: Failure) -> None:
        """Leave a target alone that has no address any more."""
        self._loads.of(chosen.name).note_unreachable(self._timers.now_s())

    def note_report(self, target_id: str, report: LoadReport) -> None:
        """Take in a target's own word of its load."""
        self._loads.of(target_id).note_report(report, self._timers.now_s())

    def _terms_of(self, pool: str) -> ServiceParameters | None:
        routes = self._view.routes
        return routes.services.get(pool) if routes is not None else None

    def _estimate(
        self,
        request: Request,
        terms: ServiceParameters | None,
        known: KnownTarget,
        load: TargetLoad,
        usual: UsualLoad,
        now_s: float,
    ) -> _Candidate:
        distance_s = self._distance_s(known)
        engine = terms.engine if terms is not None else None
        if engine is None:
            waiting_s = load.count(now_s) * NEAR_BEST_S
            return _Candidate(known, load, waiting_s, waiting_s + distance_s)
        work = _work_of(load, usual, engine, now_s)
        estimated_s = estimate_first_event_s(engine, work, request.prompt_tokens)
        expected_s = estimated_s * self._calibration(request.pool).factor + distance_s
        nothing_waits = EngineWork(0.0, work.writing, 0.0, work.pace)
        alone_s = estimate_first_event_s(engine, nothing_waits, request.prompt_tokens)
        alone_s = alone_s * self._calibration(request.pool).factor + distance_s
        pause_s = estimate_pause_s(engine, work)
        return _Candidate(known, load, estimated_s, expected_s, alone_s, pause_s)

    def _calibration(self, pool: str) -> Calibration:
        return self._calibrations.setdefault(pool, Calibration())

    def _distance_s(self, known: KnownTarget) -> float:
        """Return what a target's distance counts as."""
        is_near = self._regions.get(known.record.zone) == self._region
        return 0.0 if is_near else FAR_S

    def _limit_s(self, request: Request, best: _Candidate) -> float:
        """Return the time within which the first answer must be expected.

        A long prompt may take longer than the aimed time though nothing waits
        before it.  Refused for that, it would be refused at idle targets, always.
        """
        if not best.alone_s or request.latency_goal_s <= 0:
            return float("inf")
        return max(request.latency_goal_s * AIM_PART, best.alone_s + QUEUE_SLACK_S)


def _leaves_pauses(candidate: _Candidate, request: Request) -> bool:
    """Tell whether the streams beside the request go on without a long pause."""
    return not request.gap_s or candidate.pause_s <= request.gap_s * GAP_PART


def _work_of(
    load: TargetLoad, usual: UsualLoad, engine: EngineParameters, now_s: float
) -> EngineWork:
    others_waiting = load.others_waiting(now_s, usual)
    own_waiting = load.own_waiting()
    waiting = own_waiting + others_waiting
    tokens = load.own_waiting_tokens() + others_waiting * engine.typical_prompt_tokens
    pace = load.report.pace if load.report is not None else 1.0
    writing = max(0.0, load.count(now_s, usual) - waiting)
    return EngineWork(tokens, writing, waiting, max(1.0, pace))
