"""Choice of a target by the estimated time to the first event of the answer."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from reedspar.attempts import CRASH_AFTER_BEGIN_MAX_S, CrashSuspect
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.requests.relay_interfaces import ChosenTarget
from reedspar.requests.request import Answer, Outcome, Request
from reedspar.routes import ServiceParameters
from reedspar.speeds import SpeedEstimate, SpeedSource
from reedspar.timers import TimerService

from .candidates import (
    ESTIMATE_TOLERANCE_S,
    Candidate,
    CandidateEstimator,
    list_proven,
)
from .choice_interfaces import BegunAttemptLog, RankShares
from .crashes import CrashDetector
from .eligibility import TargetEligibility
from .endless_news import EndlessNews
from .loads import (
    AverageRule,
    LoadReport,
    OwnAttempt,
    TargetLoads,
    compute_average_load,
)
from .memory_room import MemoryRoom
from .notices import TargetNotices
from .refusals import RETRY_AFTER_S, Refusals
from .send_limits import SendLimits
from .target_speeds import TargetSpeeds
from .versions import VersionRule

__all__ = ["DirectChooser", "DirectTarget"]

LATENCY_GOAL_FRACTION = 0.8
"""Fraction of the latency goal within which the first event must be expected.

The rest is a reserve for requests that other entries send meanwhile.  An answer after
the goal is worth little to its caller and delays the requests behind it."""
LONG_PROMPT_QUEUE_MAX_S = 0.1
"""Maximum queueing time, that of about two typical prompts, before a request whose
prompt alone exceeds the latency goal."""
LOCAL_REASONS = frozenset({Reason.SUPERSEDED, Reason.CANCELLED})
"""Failures caused by this entry, which say nothing about the target."""
GAP_FRACTION = 0.95
"""Fraction of the acceptable gap between two events for which queued prompts may pause
a stream."""


@dataclass(frozen=True, slots=True)
class DirectTarget:
    """The target of one attempt (see `ChosenTarget`)."""

    name: str
    boot_id: str
    """Run of the target's process for which it was chosen."""
    zone: str
    raw_estimate_s: float
    """Estimated time to the first event, before calibration."""
    weights_digest: str = ""
    incarnation: int = 0
    version: int | None = None
    """Version of the request's model at the target when it was chosen."""
    expected_wait_s: float = 0.0
    """Expected time to the first event, calibrated and with the region penalty."""
    speed: SpeedEstimate | None = None
    """Estimate of the target's speed, None where none is told."""
    load_factor: float = 1.0
    """Expected time of a plain request relative to that at a free target."""


class DirectChooser:
    """Chooses the target with the shortest expected time to the first event."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        notices: TargetNotices,
        send_limits: SendLimits,
        versions: VersionRule,
        timers: TimerService,
        region_by_zone: dict[str, str],
        region: str,
        crashes: CrashDetector,
        endless_news: EndlessNews,
        begun_attempt_logs: Sequence[BegunAttemptLog],
        rng: random.Random,
        average_rule: AverageRule = compute_average_load,
        ranks: RankShares | None = None,
        speeds: TargetSpeeds | None = None,
    ) -> None:
        self._ranks = ranks
        self._view = view
        self._speeds = speeds
        self._average_rule = average_rule
        self._loads = loads
        self._send_limits = send_limits
        self._eligibility = TargetEligibility(
            view, loads, notices, send_limits, versions, region_by_zone
        )
        self._refusals = Refusals(view, timers, rng)
        self._timers = timers
        self.memory_room = MemoryRoom()
        self._estimator = CandidateEstimator(region_by_zone, region, speeds)
        self._crashes = crashes
        self.endless_news = endless_news
        self._begun_attempt_logs = begun_attempt_logs
        self._rng = rng

    def choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        """Return the target of the next attempt, or a failure if there is none."""
        service = self._find_service(request.pool)
        now_s = self._timers.now_s()
        excess = self.memory_room.find_excess(request, service)
        if excess:
            return self._refusals.refuse_for_good(excess)
        eligible = self._eligibility.list_eligible(request, tried, now_s)
        if not eligible:
            return self._refusals.refuse_without_target(request, tried)
        loads = [self._loads.for_target(known.record.id) for known in eligible]
        average = self._average_rule(loads, now_s, self._loads.entry_count)
        share_ahead = self._ranks.share_ahead(request, now_s) if self._ranks else None
        candidates = [
            self._estimator.estimate(
                request, service, known, load, average, now_s, share_ahead
            )
            for known, load in self._eligibility.list_available(
                eligible, service, now_s
            )
        ]
        candidates = [
            candidate
            for candidate in candidates
            if self._eligibility.can_begin_in_time(
                candidate.known.record, request, candidate.expected_wait_s
            )
        ]
        if not candidates:
            pause_s = self._eligibility.common_pause_s(eligible, now_s)
            if pause_s:
                detail = f"every fit target wants no requests for {pause_s:.2f} s"
                return self._refusals.refuse(detail, pause_s)
            detail = "every fit target is cold, at its limit, pauses or is to switch"
            return self._refusals.refuse(detail, RETRY_AFTER_S)
        candidates = [
            candidate
            for candidate in candidates
            if _keeps_stream_pauses_short(candidate, request)
        ]
        if not candidates:
            detail = "one more prompt would hold up the streams beside it"
            return self._refusals.refuse(detail, RETRY_AFTER_S)
        candidates = self.memory_room.filter(
            candidates, request, service, average, now_s
        )
        if not candidates:
            detail = "no target has memory for one more request of this size"
            return self._refusals.refuse(detail, RETRY_AFTER_S)
        if request.met_endless_answer:
            candidates = list_proven(candidates)
        best = min(candidates, key=lambda item: item.expected_wait_s)
        best_s = best.expected_wait_s
        excess_s = best_s - self._wait_limit_s(request, best)
        if excess_s > 0:
            self._note_estimate(request, best, now_s, is_refused=True)
            detail = f"the first answer is expected in {best_s:.2f} s"
            occupancy = (
                self._ranks.occupancy(request.pool, now_s) if self._ranks else None
            )
            return self._refusals.refuse_late(detail, excess_s, occupancy)
        nearly_best = [
            candidate
            for candidate in candidates
            if candidate.expected_wait_s <= best_s + ESTIMATE_TOLERANCE_S
        ]
        chosen = self._rng.choice(nearly_best)
        speed = self._note_estimate(request, chosen, now_s)
        if speed is not None and _is_moved(chosen, candidates):
            assert self._speeds is not None
            self._speeds.record_moved(request.pool)
        return DirectTarget(
            chosen.known.record.id,
            chosen.known.record.boot_id,
            chosen.known.record.zone,
            chosen.raw_estimate_s,
            request.weights_digest,
            version=chosen.known.record.weights.get(request.model),
            expected_wait_s=chosen.expected_wait_s,
            speed=speed,
            load_factor=chosen.load_factor,
        )

    def _note_estimate(
        self,
        request: Request,
        candidate: Candidate,
        now_s: float,
        *,
        is_refused: bool = False,
    ) -> SpeedEstimate | None:
        """Return the speed estimate that decided, and note it for the log line."""
        if self._speeds is None or candidate.slowdown_factor is None:
            return None
        record = candidate.known.record
        speed = self._speeds.estimate(record.pool, record.boot_id, now_s)
        if speed is None:
            return None
        note: dict[str, object] = {
            "target": record.id,
            "slowdown": round(speed.slowdown_factor, 2),
            "uncertainty": round(speed.uncertainty, 2),
            "source": speed.source.value if speed.source is not None else "usual",
            "expected_ms": round(candidate.expected_wait_s * 1000),
        }
        if speed.source is not None:
            note["age_ms"] = round(speed.age_s * 1000)
        if is_refused:
            note["is_refused"] = True
        request.speed_estimates.append(note)
        return speed

    def on_started(self, request: Request, chosen: ChosenTarget) -> None:
        """Add the attempt to this entry's own attempts at the target."""
        now_s = self._timers.now_s()
        load = self._loads.for_target(chosen.name)
        assert isinstance(chosen, DirectTarget)
        attempt = load.own_attempts[request.request_id] = OwnAttempt(
            request.prompt_tokens,
            now_s,
            chosen.raw_estimate_s,
            model=request.model,
            version=chosen.version,
            expected_wait_s=chosen.expected_wait_s,
            rank=request.priority,
            answer_tokens=request.answer_tokens,
        )
        service = self._find_service(request.pool)
        if self._speeds is not None and chosen.speed is not None:
            self._speeds.describe_attempt(
                attempt,
                chosen.speed,
                chosen.load_factor,
                self._speeds.told_slowdown_factor(request.pool, chosen.boot_id, now_s),
                is_plain=service is None or service.engine is None,
            )
        self._send_limits.record_sent(
            self._view.target(chosen.name),
            load,
            service,
            now_s,
        )

    def on_first_byte(self, request: Request, chosen: ChosenTarget) -> None:
        """Record the end of the prompt's prefill."""
        load = self._loads.for_target(chosen.name)
        load.record_success()
        attempt = load.own_attempts.get(request.request_id)
        if attempt is not None and not attempt.has_begun:
            attempt.has_begun = True
            now_s = self._timers.now_s()
            took_s = now_s - attempt.started_s
            if 0 < request.latency_goal_s < now_s - request.arrived_s:
                request.is_late = True
            if self._speeds is not None:
                assert isinstance(chosen, DirectTarget)
                expected_s = self._estimator.expected_s(request.pool, attempt)
                self._speeds.record_first_event(
                    request.pool, chosen.boot_id, attempt, expected_s, took_s
                )
            self._estimator.record_first_event(
                request.pool, attempt.raw_estimate_s, took_s
            )
            for log in self._begun_attempt_logs:
                log.record_begun(request.request_id, chosen.name, attempt)

    def on_silent(self, request: Request, chosen: ChosenTarget) -> None:
        """Back off from a target that may hang, and find out whether it has crashed."""
        load = self._loads.for_target(chosen.name)
        attempt = load.own_attempts.get(request.request_id)
        self._record_broken(request, chosen, attempt, is_timeout=True)
        load.record_unreachable(self._timers.now_s())

    def on_ended(
        self, request: Request, chosen: ChosenTarget, answer: Answer | None
    ) -> None:
        """Remove the attempt and update the target's state from its failure, if any."""
        load = self._loads.for_target(chosen.name)
        attempt = load.own_attempts.pop(request.request_id, None)
        failure = answer.failure if answer is not None else None
        if answer is not None and answer.outcome is Outcome.ANSWERED:
            load.endless.record_complete(self._timers.now_s())
        if answer is None or failure is None or failure.reason in LOCAL_REASONS:
            return
        now_s = self._timers.now_s()
        if failure.reason is Reason.CORRUPT:
            # Its connection is alive, so the request has not crashed the target.
            request.met_endless_answer = True
            assert isinstance(chosen, DirectTarget)
            self.endless_news.record(request.pool, chosen.name, chosen.boot_id)
            return
        if answer.outcome is Outcome.UNKNOWN:
            is_timeout = failure.reason is Reason.TIMEOUT
            self._record_broken(request, chosen, attempt, is_timeout=is_timeout)
        if failure.reason is Reason.CONFLICT:
            self._mark_replaced(chosen.name)
        elif failure.step is Step.LINK or answer.outcome is Outcome.UNKNOWN:
            load.record_unreachable(now_s)
        elif answer.outcome is Outcome.NOT_RUN:
            load.record_full(now_s)

    def _record_broken(
        self,
        request: Request,
        chosen: ChosenTarget,
        attempt: OwnAttempt | None,
        *,
        is_timeout: bool,
    ) -> None:
        """Record an attempt as broken off, unless it cannot have crashed the target."""
        assert isinstance(chosen, DirectTarget)
        now_s = self._timers.now_s()
        begun_s = attempt.first_data_s if attempt is not None else None
        if begun_s is not None and now_s - begun_s >= CRASH_AFTER_BEGIN_MAX_S:
            return
        self._crashes.record_broken(
            chosen.name,
            chosen.boot_id,
            CrashSuspect(request.fingerprint, request.prompt_parts, request.request_id),
            is_timeout=is_timeout,
        )

    def _mark_replaced(self, target_id: str) -> None:
        """Exclude a listed target whose address now belongs to another one."""
        known = self._view.target(target_id)
        if known is not None:
            self._loads.for_target(target_id).replaced_boot_id = known.record.boot_id

    def on_refused(self, chosen: ChosenTarget, failure: Failure) -> None:
        """Back off from a target that no longer has an address."""
        self._loads.for_target(chosen.name).record_unreachable(self._timers.now_s())

    def record_report(
        self,
        target_id: str,
        report: LoadReport,
        age_s: float = 0.0,
        source: SpeedSource = SpeedSource.ANSWER,
    ) -> None:
        """Process what a target, or the agent beside it, reported `age_s` ago."""
        now_s = self._timers.now_s()
        load = self._loads.for_target(target_id)
        if source is SpeedSource.AGENT:
            load.record_shared(report, now_s, age_s)
        else:
            load.record_report(report, now_s, age_s)
        known = self._view.target(target_id)
        if self._speeds is not None and known is not None:
            self._speeds.record_told(
                known.record, report.slowdown_factor, source, age_s
            )

    def _find_service(self, pool: str) -> ServiceParameters | None:
        routes = self._view.routes
        return routes.services.get(pool) if routes is not None else None

    def _wait_limit_s(self, request: Request, best: Candidate) -> float:
        """Return the longest acceptable expected time to the first event.

        A long prompt may exceed the latency goal even at an idle target.  With the
        goal as the only limit it would always be refused.
        """
        if not best.unqueued_wait_s or request.latency_goal_s <= 0:
            return float("inf")
        return max(
            request.latency_goal_s * LATENCY_GOAL_FRACTION,
            best.unqueued_wait_s + LONG_PROMPT_QUEUE_MAX_S,
        )


def _keeps_stream_pauses_short(candidate: Candidate, request: Request) -> bool:
    """Return whether streams already running continue without a long pause."""
    return not request.gap_s or candidate.stream_pause_s <= request.gap_s * GAP_FRACTION


def _is_moved(chosen: Candidate, candidates: Sequence[Candidate]) -> bool:
    """Return whether another target would be chosen at usual speeds."""
    usual_best_s = min([candidate.usual_wait_s for candidate in candidates])
    return chosen.usual_wait_s > usual_best_s + ESTIMATE_TOLERANCE_S
