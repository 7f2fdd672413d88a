"""Estimates of how soon each available target would begin to answer a request."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from reedspar.fleet import KnownTarget
from reedspar.requests.request import Request
from reedspar.routes import EngineParameters, ServiceParameters
from reedspar.speeds import queue_factor

from .actual_engines import find_actual_engine
from .estimate import (
    Calibration,
    EngineLoad,
    estimate_first_event_s,
    estimate_stream_pause_s,
)
from .loads import AverageLoad, OwnAttempt, TargetLoad
from .target_speeds import TargetSpeeds

__all__ = ["ESTIMATE_TOLERANCE_S", "Candidate", "CandidateEstimator", "list_proven"]

ESTIMATE_TOLERANCE_S = 0.02
"""Difference from the best estimate within which targets count as equally good.

Estimates are no more precise than this, and a random choice among these targets keeps
the entries from all choosing the same one."""
PROVEN_FRACTION = 0.25
"""Fraction of the targets from which one is chosen after an answer without end."""
OTHER_REGION_PENALTY_S = 0.03
"""Time added to the estimate of a target in another region.

Links between regions are shared and have little bandwidth, of which a typical request
and its answer use 3 KB.  Estimates are no more precise than this, so preferring targets
of the same region costs hardly any time."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An available target, and when it would begin to answer a request."""

    known: KnownTarget
    load: TargetLoad
    raw_estimate_s: float
    """Estimated time to the first event, before calibration."""
    expected_wait_s: float
    """Expected time to the first event, calibrated and with the region penalty."""
    unqueued_wait_s: float = 0.0
    """The same with no prompt queued before the request."""
    stream_pause_s: float = 0.0
    """Pause that queued prompts cause in the streams already running."""
    slowdown_factor: float | None = None
    """Estimated slowdown, None where no target of the pool tells its speed."""
    load_factor: float = 1.0
    """Expected time of a plain request relative to that at a free target."""

    @property
    def usual_wait_s(self) -> float:
        """Return the expected time if the target worked at its usual speed."""
        return self.expected_wait_s / (self.slowdown_factor or 1.0)


def list_proven(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates that have completed an answer last.

    Several targets may begin to answer without end at the same time.
    """
    newest = sorted(candidates, key=lambda c: c.load.endless.completed_s, reverse=True)
    return newest[: math.ceil(len(newest) * PROVEN_FRACTION)]


class CandidateEstimator:
    """Estimates the time to the first event at each available target."""

    def __init__(
        self,
        region_by_zone: Mapping[str, str],
        region: str,
        speeds: TargetSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._region_by_zone = region_by_zone
        self._region = region
        self._calibrations: dict[str, Calibration] = {}

    def estimate(
        self,
        request: Request,
        service: ServiceParameters | None,
        known: KnownTarget,
        load: TargetLoad,
        average: AverageLoad,
        now_s: float,
        share_ahead: float | None = None,
    ) -> Candidate:
        """Return the estimate for one target.

        `average` is the load that other entries put on the targets of the pool,
        `share_ahead` the share of it that is as urgent or more urgent than the
        request; None if requests of different ranks don't compete.
        """
        region_penalty_s = self._region_penalty_s(known)
        engine = service.engine if service is not None else None
        slowdown_factor = self._find_slowdown(known, now_s)
        if engine is None and slowdown_factor is not None:
            return self._estimate_plain(known, load, slowdown_factor, now_s)
        if engine is None:
            waiting_s = load.total_in_flight(now_s) * ESTIMATE_TOLERANCE_S
            return Candidate(known, load, waiting_s, waiting_s + region_penalty_s)
        engine = find_actual_engine(engine, load)
        engine_load = _make_engine_load(load, average, engine, now_s, slowdown_factor)
        if share_ahead is not None:
            engine_load = _keep_load_ahead(
                engine_load, load, request.priority, share_ahead, engine
            )
        factor = self._calibration(request.pool).factor
        raw_estimate_s = estimate_first_event_s(
            engine, engine_load, request.prompt_tokens
        )
        empty_queue = EngineLoad(
            0.0, engine_load.decoding, 0.0, engine_load.slowdown_factor
        )
        unqueued_wait_s = estimate_first_event_s(
            engine, empty_queue, request.prompt_tokens
        )
        return Candidate(
            known,
            load,
            raw_estimate_s,
            raw_estimate_s * factor + region_penalty_s,
            unqueued_wait_s * factor + region_penalty_s,
            estimate_stream_pause_s(engine, engine_load),
            slowdown_factor,
        )

    def _find_slowdown(self, known: KnownTarget, now_s: float) -> float | None:
        if self._speeds is None:
            return None
        record = known.record
        return self._speeds.slowdown_factor(record.pool, record.boot_id, now_s)

    def _estimate_plain(
        self, known: KnownTarget, load: TargetLoad, slowdown_factor: float, now_s: float
    ) -> Candidate:
        """Return the estimated time of the whole answer of a plain target."""
        assert self._speeds is not None
        slots = load.report.slots if load.report is not None else known.record.slots
        waiting = queue_factor(load.total_in_flight(now_s), slots)
        load_factor = waiting * slowdown_factor
        usual_s = self._speeds.service_times.usual_s(known.record.pool)
        return Candidate(
            known,
            load,
            usual_s * load_factor,
            usual_s * load_factor + self._region_penalty_s(known),
            slowdown_factor=slowdown_factor,
            load_factor=load_factor,
        )

    def expected_s(self, pool: str, attempt: OwnAttempt) -> float:
        """Return the time that was expected of an attempt, without the penalty."""
        if attempt.is_plain:
            return attempt.raw_estimate_s
        return attempt.raw_estimate_s * self._calibration(pool).factor

    def record_first_event(
        self, pool: str, raw_estimate_s: float, took_s: float
    ) -> None:
        """Record the estimated and the measured time to a first event."""
        self._calibration(pool).record(raw_estimate_s, took_s)

    def _calibration(self, pool: str) -> Calibration:
        return self._calibrations.setdefault(pool, Calibration())

    def _region_penalty_s(self, known: KnownTarget) -> float:
        """Return the penalty for a target in another region, 0 in this region."""
        is_same_region = self._region_by_zone.get(known.record.zone) == self._region
        return 0.0 if is_same_region else OTHER_REGION_PENALTY_S


def _make_engine_load(
    load: TargetLoad,
    average: AverageLoad,
    engine: EngineParameters,
    now_s: float,
    slowdown_factor: float | None = None,
) -> EngineLoad:
    others_waiting = load.others_waiting(now_s, average)
    own_waiting = load.own_waiting()
    waiting = own_waiting + others_waiting
    tokens = load.own_waiting_tokens() + others_waiting * engine.typical_prompt_tokens
    decoding = max(0.0, load.total_in_flight(now_s, average) - waiting)
    if slowdown_factor is None:
        reported = load.report.slowdown_factor if load.report is not None else None
        slowdown_factor = max(1.0, reported or 1.0)
    return EngineLoad(tokens, decoding, waiting, slowdown_factor)


def _keep_load_ahead(
    engine_load: EngineLoad,
    load: TargetLoad,
    rank: int,
    share_ahead: float,
    engine: EngineParameters,
) -> EngineLoad:
    """Return the load without the waiting requests that are less urgent.

    Engines admit the more urgent of their waiting requests first.
    """
    others_ahead = (engine_load.waiting - load.own_waiting()) * share_ahead
    own_ahead = [
        attempt.prompt_tokens
        for attempt in load.own_attempts.values()
        if not attempt.has_begun and attempt.rank <= rank
    ]
    return replace(
        engine_load,
        waiting=len(own_ahead) + others_ahead,
        waiting_tokens=sum(own_ahead) + others_ahead * engine.typical_prompt_tokens,
    )
