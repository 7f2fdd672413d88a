"""Decisions on the requests that arrive at this entry."""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from reedspar.utils import TokenBucket

from .allocation import Allocation, allocate
from .capacity import OccupancyCorrection, ReturnCorrection, slot_credit
from .demand import DemandMeter
from .interfaces import (
    Admitted,
    DemandBoard,
    DemandKey,
    PoolCapacity,
    PoolDemand,
    Refused,
)
from .turns import find_place, retry_after_s

__all__ = [
    "AdmissionControl",
    "AdmissionCounts",
    "AdmissionRules",
    "CapacitySource",
    "RequestFacts",
    "create_admission_control",
]

UPDATE_INTERVAL_S = 0.2
"""Least time between two computations of a pool's thresholds."""
EXTRAPOLATED_UPDATE_INTERVAL_S = 0.5
"""The same while demand is extrapolated, which averages over a second anyway."""
REFUSAL_MEMORY_S = 1.0
"""Time after a refusal for which a pool counts as overloaded."""
IDLE_POOL_S = 30.0
"""Time without a request after which a pool's state is removed."""
RANK_MAX = 9
LABELS_MAX = 64
"""Maximum number of workspaces that metrics tell apart."""
OTHER_LABEL = "(others)"
WORK_MIN_FRACTION = 0.2
"""Least part of the targets' capacity that is shared out, however full they are."""
CONSIDERABLE_CHANGE = 0.1
"""Change of a rank's threshold that is logged."""
LOG_LINES_PER_S = 0.5
LOG_LINES_BURST = 10.0

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AdmissionRules:
    """What operators decide."""

    floor: float = 0.1
    """Least fraction of each rank's work that is admitted."""
    weights: Mapping[str, float] = field(default_factory=dict)
    """Shares of workspaces relative to each other; 1 for those that are not named."""


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What decides on a request."""

    pool: str
    rank: int
    workspace: str
    fingerprint: str
    work_s: float
    """Expected work, in seconds of a target's time."""
    time_left_s: float

    @property
    def key(self) -> DemandKey:
        """Return the rank and the workspace."""
        return DemandKey(max(0, min(RANK_MAX, self.rank)), self.workspace)


class CapacitySource(Protocol):
    """Knows what the targets of pools can bear."""

    def read_capacity(self, pool: str, now_s: float) -> PoolCapacity:
        """Return the present capacity of a pool."""
        ...


class AdmissionCounts:
    """Numbers of admitted and refused requests by pool, rank and workspace."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, int, str, str]] = Counter()
        self._workspaces: set[str] = set()

    def record(self, pool: str, key: DemandKey, outcome: str) -> None:
        """Count a request."""
        workspace = key.workspace
        if workspace not in self._workspaces:
            if len(self._workspaces) < LABELS_MAX:
                self._workspaces.add(workspace)
            else:
                workspace = OTHER_LABEL
        self._counts[pool, key.rank, workspace, outcome] += 1

    def read(self) -> Iterator[tuple[float, dict[str, str]]]:
        """Yield each count with its labels."""
        for (pool, rank, workspace, outcome), count in list(self._counts.items()):
            labels = {"pool": pool, "rank": str(rank)}
            yield count, labels | {"workspace": workspace, "outcome": outcome}


class _PoolState:
    """Thresholds of one pool and what they follow from."""

    def __init__(self) -> None:
        self.demand = PoolDemand()
        self.capacity = PoolCapacity(0.0)
        self.allocation = Allocation({}, {}, {})
        self.occupancy_correction = OccupancyCorrection()
        self.return_corrections: dict[int, ReturnCorrection] = {}
        self.due_s = float("-inf")
        self.used_s = float("-inf")
        self.refused_s = float("-inf")
        self.turn_began_s = float("-inf")
        self.logged: dict[int, float] = {}
        self.admitted: dict[int, float] = {}

    def update(
        self,
        demand: PoolDemand,
        capacity: PoolCapacity,
        rules: AdmissionRules,
        now_s: float,
    ) -> None:
        """Compute the thresholds anew."""
        if demand.turn != self.demand.turn:
            self.turn_began_s = now_s
        self.demand = demand
        self.capacity = capacity
        self.due_s = now_s + (
            EXTRAPOLATED_UPDATE_INTERVAL_S
            if demand.is_extrapolated
            else UPDATE_INTERVAL_S
        )
        is_refusing = now_s - self.refused_s <= REFUSAL_MEMORY_S
        correction = self.occupancy_correction
        correction.update(capacity.occupancy, is_refusing, now_s)
        offered: dict[DemandKey, float] = {}
        admitted: dict[int, float] = {}
        for key, (work, admitted_work) in demand.demands.items():
            offered[key] = work
            admitted[key.rank] = admitted.get(key.rank, 0.0) + admitted_work
        self.admitted = admitted
        # Without a usable target, the choice of a target tells what can be done.
        usable = capacity.work * correction.factor + slot_credit(capacity)
        bearable = max(usable, WORK_MIN_FRACTION * capacity.work) or float("inf")
        self.allocation = allocate(offered, bearable, rules.floor, rules.weights)
        self._update_return_corrections(now_s)

    def threshold(self, key: DemandKey) -> float:
        """Return the fraction of a workspace's requests of a rank to admit."""
        fraction = self.allocation.fraction(key)
        correction = self.return_corrections.get(key.rank)
        if fraction >= 1 or correction is None:
            return fraction
        return fraction * correction.factor

    def rank_threshold(self, rank: int) -> float:
        """Return the fraction of a rank's requests to admit."""
        fraction = self.allocation.ranks[rank].fraction
        correction = self.return_corrections.get(rank)
        return fraction if correction is None else fraction * correction.factor

    def _update_return_corrections(self, now_s: float) -> None:
        ranks = self.allocation.ranks
        is_partial = any(allocation.fraction < 1 for allocation in ranks.values())
        if not is_partial and not self.return_corrections:
            return
        for rank in self.return_corrections.keys() - ranks.keys():
            del self.return_corrections[rank]
        for rank, allocation in ranks.items():
            correction = self.return_corrections.get(rank)
            if allocation.fraction < 1:
                if correction is None:
                    correction = self.return_corrections[rank] = ReturnCorrection()
                admitted = self.admitted[rank]
                correction.update(allocation.allocated, admitted, now_s)
            elif correction is not None:
                correction.recover(now_s)


class AdmissionControl:
    """Admits or refuses requests by rank, workspace and turn."""

    def __init__(
        self,
        rules: AdmissionRules,
        meter: DemandMeter,
        board: DemandBoard,
        capacities: CapacitySource,
    ) -> None:
        self._rules = rules
        self._meter = meter
        self._board = board
        self._capacities = capacities
        self._pools: dict[str, _PoolState] = {}
        self._log_bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)
        self.counts = AdmissionCounts()

    def decide(self, facts: RequestFacts, now_s: float) -> Admitted | Refused:
        """Return whether a request that arrives now may be sent to a target."""
        state = self._find_state(facts.pool, now_s)
        state.used_s = now_s
        key = facts.key
        threshold = state.threshold(key)
        place = find_place(facts.fingerprint, state.demand.turn)
        is_admitted = threshold >= 1 or place.is_below(threshold)
        self._meter.record(facts.pool, key, facts.work_s, is_admitted, now_s)
        if is_admitted:
            self.counts.record(facts.pool, key, "admitted")
            return Admitted()
        state.refused_s = now_s
        self.counts.record(facts.pool, key, "refused")
        turn_age_s = now_s - state.turn_began_s
        return Refused(
            key,
            threshold,
            state.allocation.share_used(key),
            retry_after_s(place, threshold, key.rank, turn_age_s, facts.time_left_s),
        )

    def record_not_run(self, facts: RequestFacts, now_s: float) -> None:
        """Record that no target could run an admitted request in time."""
        state = self._find_state(facts.pool, now_s)
        state.refused_s = now_s
        self._meter.record_not_run(facts.pool, facts.key, facts.work_s, now_s)

    def share_ahead(self, pool: str, rank: int, now_s: float) -> float:
        """Return the share of the admitted work that is as urgent or more urgent."""
        admitted = self._find_state(pool, now_s).admitted
        total = sum(admitted.values())
        ahead = sum(work for other, work in admitted.items() if other <= rank)
        return ahead / total if total > 0 else 1.0

    def occupancy(self, pool: str, now_s: float) -> float | None:
        """Return the occupancy of a pool's targets, None if it is not known."""
        return self._find_state(pool, now_s).capacity.occupancy

    def read_thresholds(self) -> Iterator[tuple[float, dict[str, str]]]:
        """Yield the present threshold of each pool and rank with its labels."""
        for pool, state in list(self._pools.items()):
            for rank in state.allocation.ranks:
                labels = {"pool": pool, "rank": str(rank)}
                yield state.rank_threshold(rank), labels

    def read_sources(self) -> Iterator[tuple[float, dict[str, str]]]:
        """Yield 1 for each pool whose demand is extrapolated, 0 for the others."""
        for pool, state in list(self._pools.items()):
            yield float(state.demand.is_extrapolated), {"pool": pool}

    def remove_idle(self, now_s: float) -> None:
        """Remove the state of pools without requests."""
        for pool, state in list(self._pools.items()):
            if now_s - state.used_s > IDLE_POOL_S:
                del self._pools[pool]

    def _find_state(self, pool: str, now_s: float) -> _PoolState:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolState()
            state.used_s = now_s
        if now_s >= state.due_s:
            demand = self._board.total_demand(pool, now_s)
            capacity = self._capacities.read_capacity(pool, now_s)
            state.update(demand, capacity, self._rules, now_s)
            self._log_changes(pool, state, now_s)
        return state

    def _log_changes(self, pool: str, state: _PoolState, now_s: float) -> None:
        for rank, allocation in state.allocation.ranks.items():
            threshold = state.rank_threshold(rank)
            previous = state.logged.get(rank, 1.0)
            if abs(threshold - previous) < CONSIDERABLE_CHANGE:
                continue
            if not self._log_bucket.try_consume(1, now_s):
                return
            state.logged[rank] = threshold
            _logger.info(
                "admission threshold changed",
                extra={
                    "pool": pool,
                    "rank": rank,
                    "threshold": round(threshold, 3),
                    "previous": round(previous, 3),
                    "offered": round(allocation.offered, 2),
                    "allocated": round(allocation.allocated, 2),
                    "capacity": round(state.capacity.work, 2),
                    "correction": round(state.occupancy_correction.factor, 3),
                    "occupancy": state.capacity.occupancy,
                    "is_extrapolated": state.demand.is_extrapolated,
                },
            )


def create_admission_control(
    rules: AdmissionRules,
    meter: DemandMeter,
    board: DemandBoard,
    capacities: CapacitySource,
) -> AdmissionControl:
    """Create the control of an entry whose demand `meter` measures."""
    return AdmissionControl(rules, meter, board, capacities)
