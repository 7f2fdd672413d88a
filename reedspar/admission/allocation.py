"""Division of a pool's capacity among ranks, and within a rank among workspaces."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .interfaces import DemandKey

__all__ = ["Allocation", "RankAllocation", "allocate"]

OVERALL_FLOOR_FRACTION = 0.35
"""Least fraction of a rank, by the fraction of all ranks together.

No kind of request may be served less than a quarter as often as all; the rest is a
reserve for what the choice of a target refuses later."""
WORKSPACE_FLOOR_FRACTION = 0.3
"""Least fraction of a workspace, by that of its rank, for the same reason."""
FLOORS_MAX = 0.5
"""Part of the capacity that floors take at most; the rest goes to the urgent first."""
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class RankAllocation:
    """What one rank is offered and may use, in seconds of a target's time a second."""

    offered: float
    allocated: float
    weight_sum: float
    """Sum of the workspaces' weights; 0 if all are admitted."""
    level: float
    """Work that a workspace of weight 1 may use; infinite if all are admitted."""

    @property
    def fraction(self) -> float:
        """Return the fraction of the rank's work that is admitted."""
        return min(1.0, self.allocated / self.offered) if self.offered else 1.0


@dataclass(frozen=True, slots=True)
class Allocation:
    """Division of a pool's capacity."""

    ranks: Mapping[int, RankAllocation]
    offered: Mapping[DemandKey, float]
    weights: Mapping[str, float]

    def fraction(self, key: DemandKey) -> float:
        """Return the fraction of a workspace's requests of a rank that is admitted.

        A workspace without known demand gets its rank's fraction, a rank without known
        demand the least one of those that are more urgent.
        """
        rank = self.ranks.get(key.rank)
        if rank is None:
            more_urgent = (a.fraction for r, a in self.ranks.items() if r < key.rank)
            return min(more_urgent, default=1.0)
        offered = self.offered.get(key, 0.0)
        if offered <= 0:
            return rank.fraction
        floor = WORKSPACE_FLOOR_FRACTION * rank.fraction
        share = rank.level * self._weight(key.workspace) / offered
        return min(1.0, max(floor, share))

    def share_used(self, key: DemandKey) -> float:
        """Return the work that a workspace offers, by its share of its rank's."""
        rank = self.ranks.get(key.rank)
        if rank is None or not rank.allocated or not rank.weight_sum:
            return 0.0
        share = rank.allocated * self._weight(key.workspace) / rank.weight_sum
        return self.offered.get(key, 0.0) / share

    def _weight(self, workspace: str) -> float:
        return self.weights.get(workspace, DEFAULT_WEIGHT)


def allocate(
    offered: Mapping[DemandKey, float],
    capacity: float,
    floor: float,
    weights: Mapping[str, float],
) -> Allocation:
    """Divide `capacity`: a floor for each rank first, then the more urgent first.

    `floor` is a fraction of each rank's demand.
    """
    totals: dict[int, float] = {}
    for key, work in offered.items():
        totals[key.rank] = totals.get(key.rank, 0.0) + work
    allocated = _divide_among_ranks(totals, capacity, floor)
    pairs: dict[int, list[tuple[float, float]]] = {
        rank: [] for rank, total in totals.items() if allocated[rank] < total
    }
    if pairs:
        for key, work in offered.items():
            if key.rank in pairs:
                weight = weights.get(key.workspace, DEFAULT_WEIGHT)
                pairs[key.rank].append((work, weight))
    ranks = {
        rank: RankAllocation(
            total,
            allocated[rank],
            sum(weight for _, weight in pairs.get(rank, ())),
            (
                _find_level(pairs[rank], allocated[rank] / total, allocated[rank])
                if rank in pairs
                else math.inf
            ),
        )
        for rank, total in totals.items()
    }
    return Allocation(ranks, offered, weights)


def _divide_among_ranks(
    totals: Mapping[int, float], capacity: float, floor: float
) -> dict[int, float]:
    total = sum(totals.values())
    if total <= capacity:
        return dict(totals)
    overall = capacity / total
    floor = min(FLOORS_MAX * overall, max(floor, OVERALL_FLOOR_FRACTION * overall))
    allocated = {rank: floor * offered for rank, offered in totals.items()}
    left = capacity - floor * total
    for rank in sorted(totals):
        missing = totals[rank] - allocated[rank]
        if missing <= left:
            allocated[rank] = totals[rank]
            left -= missing
        else:
            allocated[rank] += max(0.0, left)
            left = 0.0
    return allocated


def _find_level(
    pairs: list[tuple[float, float]], fraction: float, allocated: float
) -> float:
    """Return the weighted max-min level of (offered work, weight) pairs.

    Workspaces that offer so much that the level is below their floor get the floor, and
    the others divide the rest.
    """
    floor = WORKSPACE_FLOOR_FRACTION * fraction
    while True:
        level = _divide(pairs, allocated)
        above = [(work, w) for work, w in pairs if level * w >= floor * work]
        if len(above) in (0, len(pairs)):
            return level
        allocated -= floor * (
            sum(work for work, _ in pairs) - sum(work for work, _ in above)
        )
        pairs = above


def _divide(pairs: list[tuple[float, float]], allocated: float) -> float:
    left = allocated
    weight_left = sum(weight for _, weight in pairs)
    for work, weight in sorted(pairs, key=lambda pair: pair[0] / pair[1]):
        level = left / weight_left
        if work / weight >= level:
            return level
        left -= work
        weight_left -= weight
    return math.inf
