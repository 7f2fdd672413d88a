"""What the usable targets of a pool can bear, by what this entry knows of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from reedspar.admission import CapacitySource, PoolCapacity, request_work_s
from reedspar.fleet import FleetView, KnownTarget
from reedspar.routes import EngineParameters, ServiceParameters

from .actual_engines import find_actual_engine
from .eligibility import ineligibility_reason
from .loads import TargetLoad, TargetLoads
from .notices import TargetNotices
from .target_speeds import TargetSpeeds
from .versions import VersionRule

__all__ = ["FleetCapacity"]

RECENT_WEIGHT_MIN = 0.25
"""Weight from which a report counts as recent (see `TargetLoad.report_weight`)."""
CAPACITY_TTL_S = 0.5
"""Time for which a computed capacity is used if no target changes."""
LISTING_TTL_S = 1.0
"""Time for which a listing of the targets that may serve is used if none changes."""


@dataclass(frozen=True, slots=True)
class _Listing:
    """Targets of a pool that may serve by their records."""

    targets: list[tuple[KnownTarget, TargetLoad]]
    expires_s: float


class FleetCapacity(CapacitySource):
    """Computes the capacity of pools of model engines."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        notices: TargetNotices,
        versions: VersionRule,
        speeds: TargetSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._view = view
        self._loads = loads
        self._notices = notices
        self._versions = versions
        self._listings: dict[str, _Listing] = {}
        self._cached: dict[str, tuple[float, PoolCapacity]] = {}
        """Capacities by pool with the times until which they are used."""
        view.on_change(lambda change: self._discard())

    def read_capacity(self, pool: str, now_s: float) -> PoolCapacity:
        """Return the capacity; 0 without routes, engine parameters or usable target."""
        routes = self._view.routes
        service = routes.services.get(pool) if routes is not None else None
        if service is None or service.engine is None:
            return PoolCapacity(0.0)
        cached = self._cached.get(pool)
        if cached is not None and now_s < cached[0]:
            return cached[1]
        capacity = self._compute_capacity(pool, service, service.engine, now_s)
        self._cached[pool] = (now_s + CAPACITY_TTL_S, capacity)
        return capacity

    def _compute_capacity(
        self,
        pool: str,
        service: ServiceParameters,
        engine: EngineParameters,
        now_s: float,
    ) -> PoolCapacity:
        usable = [
            (known, load)
            for known, load in self._list_targets(pool, now_s)
            if self._is_usable(known, load, now_s)
        ]
        work = sum(
            self._target_work(known, load, service, engine, now_s)
            for known, load in usable
        )
        loads = [load for _, load in usable]
        typical_s = request_work_s(engine, engine.typical_prompt_tokens)
        slots = sum(find_actual_engine(engine, load).slots for load in loads)
        slot_work = slots * typical_s
        return PoolCapacity(work, _read_occupancy(loads, engine, now_s), slot_work)

    def _discard(self) -> None:
        self._listings.clear()
        self._cached.clear()

    def _list_targets(
        self, pool: str, now_s: float
    ) -> list[tuple[KnownTarget, TargetLoad]]:
        listing = self._listings.get(pool)
        if listing is None or now_s >= listing.expires_s:
            targets = [
                (known, self._loads.for_target(known.record.id))
                for known in self._view.targets(pool)
                if self._may_serve(known)
            ]
            listing = _Listing(targets, now_s + LISTING_TTL_S)
            self._listings[pool] = listing
        return listing.targets

    def _may_serve(self, known: KnownTarget) -> bool:
        record = known.record
        if ineligibility_reason(record, self._view, self._loads, self._notices):
            return False
        return any(
            self._versions.may_serve(model, version)
            for model, version in record.weights.items()
        )

    def _is_usable(self, known: KnownTarget, load: TargetLoad, now_s: float) -> bool:
        if now_s < load.not_accepting_until_s:
            return False
        if load.failures and now_s < load.backoff_until_s:
            return False
        if now_s < load.endless.until_s:
            return False
        boot_id = known.record.boot_id
        return not (
            self._notices.is_leaving(boot_id)
            or self._notices.pause_left_s(boot_id, now_s)
        )

    def _target_work(
        self,
        known: KnownTarget,
        load: TargetLoad,
        service: ServiceParameters,
        engine: EngineParameters,
        now_s: float,
    ) -> float:
        """Return the work of one target, in seconds of an unhindered one's a second.

        The work of requests is that at the configured number of slots.
        """
        typical_s = request_work_s(engine, engine.typical_prompt_tokens)
        actual_engine = find_actual_engine(engine, load)
        actual_s = request_work_s(actual_engine, engine.typical_prompt_tokens)
        work = typical_s / actual_s
        work /= max(1.0, self._slowdown_factor(known, load, now_s))
        if known.is_cold(now_s) and service.cold_requests_per_s > 0:
            work = min(work, service.cold_requests_per_s * typical_s)
        return work

    def _slowdown_factor(
        self, known: KnownTarget, load: TargetLoad, now_s: float
    ) -> float:
        """Return a target's estimated slowdown, else the reported one."""
        record = known.record
        if self._speeds is not None:
            factor = self._speeds.slowdown_factor(record.pool, record.boot_id, now_s)
            if factor is not None:
                return factor
        reported = load.report.slowdown_factor if load.report is not None else None
        return reported or 1.0


def _read_occupancy(
    loads: Sequence[TargetLoad], engine: EngineParameters, now_s: float
) -> float | None:
    """Return requests by slots, the average of the recent reports by their weight."""
    slots = requests = 0.0
    for load in loads:
        newest = load.newest_report(now_s)
        if newest is not None and newest[2] >= RECENT_WEIGHT_MIN:
            report, _, weight = newest
            slots += weight * (report.slots or engine.slots)
            requests += weight * (report.running + report.waiting)
    return requests / slots if slots else None
