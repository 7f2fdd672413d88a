"""Demand that arrives at this entry, and its extrapolation to all entries."""

import math
from collections.abc import Callable, Mapping

from .interfaces import Demand, DemandBoard, DemandKey, DemandSource, PoolDemand

__all__ = [
    "OTHER_WORKSPACES",
    "DemandMeter",
    "ExtrapolatingBoard",
    "create_extrapolating_board",
]

WINDOW_BUCKETS = 10
BUCKET_S = 0.1
KEYS_MAX = 512
"""Maximum number of ranks and workspaces that are told apart."""
OTHER_WORKSPACES = "(others)"
"""Workspace to which demand beyond `KEYS_MAX` is counted."""
RANK_SMOOTHING_S = 1.0
"""Time constant of a rank's extrapolated demand.

An entry sees a few requests a second, so the demand of a single second varies by a
third."""
WORKSPACE_SMOOTHING_S = 8.0
"""Time constant of the division of a rank's extrapolated demand among workspaces."""
NEGLIGIBLE_WORK = 1e-6
TURN_S = 1.0


class _Window:
    """Offered and admitted work of the last second, in buckets."""

    __slots__ = ("_admitted", "_bucket", "_offered")

    def __init__(self, bucket: int) -> None:
        self._offered = [0.0] * WINDOW_BUCKETS
        self._admitted = [0.0] * WINDOW_BUCKETS
        self._bucket = bucket

    def add(self, bucket: int, offered: float, admitted: float) -> None:
        self._advance(bucket)
        index = bucket % WINDOW_BUCKETS
        self._offered[index] += offered
        self._admitted[index] += admitted

    def read(self, now_s: float) -> Demand:
        bucket = _bucket_at(now_s)
        self._advance(bucket)
        span_s = (WINDOW_BUCKETS - 1 - bucket) * BUCKET_S + now_s
        span_s = max(span_s, (WINDOW_BUCKETS - 1) * BUCKET_S)
        admitted = max(0.0, sum(self._admitted))
        return Demand(sum(self._offered) / span_s, admitted / span_s)

    def _advance(self, bucket: int) -> None:
        passed = bucket - self._bucket
        if passed <= 0:
            return
        for step in range(min(passed, WINDOW_BUCKETS)):
            index = (bucket - step) % WINDOW_BUCKETS
            self._offered[index] = self._admitted[index] = 0.0
        self._bucket = bucket


class DemandMeter(DemandSource):
    """Measures the demand of the last second by pool, rank and workspace."""

    def __init__(self) -> None:
        self._pools: dict[str, dict[DemandKey, _Window]] = {}
        self._key_count = 0

    def record(
        self, pool: str, key: DemandKey, work_s: float, is_admitted: bool, now_s: float
    ) -> None:
        """Record a request that arrives now."""
        bucket = _bucket_at(now_s)
        window = self._find_window(pool, key, bucket)
        window.add(bucket, work_s, work_s if is_admitted else 0.0)

    def record_not_run(
        self, pool: str, key: DemandKey, work_s: float, now_s: float
    ) -> None:
        """Take back the work of an admitted request that no target ran."""
        bucket = _bucket_at(now_s)
        self._find_window(pool, key, bucket).add(bucket, 0.0, -work_s)

    def read_demands(self, now_s: float) -> Mapping[str, Mapping[DemandKey, Demand]]:
        """Return the demands by pool; idle ranks and workspaces are removed."""
        found: dict[str, dict[DemandKey, Demand]] = {}
        for pool, windows in list(self._pools.items()):
            demands = {key: window.read(now_s) for key, window in windows.items()}
            for key, demand in list(demands.items()):
                if not demand.offered:
                    del windows[key], demands[key]
                    self._key_count -= 1
            if demands:
                found[pool] = demands
            else:
                del self._pools[pool]
        return found

    def _find_window(self, pool: str, key: DemandKey, bucket: int) -> _Window:
        windows = self._pools.setdefault(pool, {})
        window = windows.get(key)
        if window is None and self._key_count >= KEYS_MAX:
            key = DemandKey(key.rank, OTHER_WORKSPACES)
            window = windows.get(key)
        if window is None:
            window = windows[key] = _Window(bucket)
            self._key_count += 1
        return window


class ExtrapolatingBoard(DemandBoard):
    """Takes this entry's demand times the number of entries for that of all.

    Turns follow `now_s` plus an offset, by which entries whose clocks differ agree.
    """

    def __init__(
        self,
        source: DemandSource,
        count_entries: Callable[[], int],
        turn_offset_s: float = 0.0,
    ) -> None:
        self._source = source
        self._count_entries = count_entries
        self._turn_offset_s = turn_offset_s
        self._pools: dict[str, _SmoothedDemand] = {}

    def total_demand(self, pool: str, now_s: float) -> PoolDemand:
        """Return the extrapolated demand for a pool."""
        own = self._source.read_demands(now_s).get(pool, {})
        smoothed = self._pools.get(pool)
        if smoothed is None:
            smoothed = self._pools[pool] = _SmoothedDemand()
        smoothed.update(own, now_s)
        demands = smoothed.extrapolate(self._count_entries())
        if not demands:
            del self._pools[pool]
        turn = int((now_s + self._turn_offset_s) / TURN_S)
        return PoolDemand(demands, turn, is_extrapolated=True)


class _SmoothedDemand:
    """Moving averages of one pool's demand at this entry."""

    def __init__(self) -> None:
        self._by_rank: dict[int, Demand] = {}
        self._by_key: dict[DemandKey, float] = {}
        self._updated_s: float | None = None

    def update(self, own: Mapping[DemandKey, Demand], now_s: float) -> None:
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        is_first = self._updated_s is None
        self._updated_s = now_s
        kept = 0.0 if is_first else math.exp(-elapsed_s / RANK_SMOOTHING_S)
        totals: dict[int, Demand] = {}
        for key, demand in own.items():
            totals[key.rank] = totals.get(key.rank, Demand()) + demand
        by_rank: dict[int, Demand] = {}
        for rank in self._by_rank.keys() | totals.keys():
            before = self._by_rank.get(rank, Demand())
            now = totals.get(rank, Demand())
            offered = kept * before.offered + (1 - kept) * now.offered
            admitted = kept * before.admitted + (1 - kept) * now.admitted
            if offered > NEGLIGIBLE_WORK:
                by_rank[rank] = Demand(offered, admitted)
        self._by_rank = by_rank
        kept = 0.0 if is_first else math.exp(-elapsed_s / WORKSPACE_SMOOTHING_S)
        by_key = {
            key: kept * work
            for key, work in self._by_key.items()
            if work > NEGLIGIBLE_WORK
        }
        for key, demand in own.items():
            by_key[key] = by_key.get(key, 0.0) + (1 - kept) * demand.offered
        if len(by_key) > KEYS_MAX:
            by_work = sorted(by_key, key=by_key.__getitem__, reverse=True)
            by_key = {key: by_key[key] for key in by_work[:KEYS_MAX]}
        self._by_key = by_key

    def extrapolate(self, entry_count: int) -> dict[DemandKey, Demand]:
        sums: dict[int, float] = {}
        for key, offered in self._by_key.items():
            sums[key.rank] = sums.get(key.rank, 0.0) + offered
        factors = {
            rank: (
                entry_count * demand.offered / sums[rank],
                entry_count * demand.admitted / sums[rank],
            )
            for rank, demand in self._by_rank.items()
            if sums.get(rank)
        }
        found: dict[DemandKey, Demand] = {}
        for key, work in self._by_key.items():
            if key.rank in factors:
                offered, admitted = factors[key.rank]
                found[key] = Demand(offered * work, admitted * work)
        return found


def create_extrapolating_board(
    source: DemandSource,
    count_entries: Callable[[], int],
    turn_offset_s: float = 0.0,
) -> DemandBoard:
    """Create a board for an entry without news of the others.

    `turn_offset_s` is the time of day less `now_s`, so that entries share their turns.
    """
    return ExtrapolatingBoard(source, count_entries, turn_offset_s)


def _bucket_at(now_s: float) -> int:
    return int(now_s / BUCKET_S)
