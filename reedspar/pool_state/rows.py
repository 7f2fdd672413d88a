"""Tables of demands by pool, rank and workspace, and which of their rows to tell."""

from collections.abc import Iterable, Mapping

from reedspar.admission import Demand, DemandKey

__all__ = [
    "OTHER_WORKSPACES",
    "DemandRow",
    "DemandTable",
    "DemandTeller",
    "flatten_demands",
    "limit_rows",
    "sum_by_pool",
    "sum_tables",
]

DemandRow = tuple[str, DemandKey]
"""Pool, and rank and workspace."""
DemandTable = Mapping[DemandRow, Demand]

OTHER_WORKSPACES = ""
"""Stands for the workspaces that have no rows of their own."""
NEGLIGIBLE_DEMAND = 1e-6
ROW_FRACTION = 0.25
"""Smallest change of a row that is told, relative to a considerable change."""
_NOTHING = Demand()


def flatten_demands(
    demands: Mapping[str, Mapping[DemandKey, Demand]], row_count_max: int
) -> dict[DemandRow, Demand]:
    """Return demands by pool as one table of bounded length."""
    table = {
        (pool, key): demand
        for pool, by_key in demands.items()
        for key, demand in by_key.items()
        if demand.offered > NEGLIGIBLE_DEMAND or demand.admitted > NEGLIGIBLE_DEMAND
    }
    return limit_rows(table, row_count_max)


def limit_rows(
    table: dict[DemandRow, Demand], row_count_max: int
) -> dict[DemandRow, Demand]:
    """Return the largest rows, and one row a pool and rank for all others."""
    if len(table) <= row_count_max:
        return table
    ranked = sorted(table, key=lambda row: (-table[row].offered, row))
    limited = {row: table[row] for row in ranked[:row_count_max]}
    for pool, key in ranked[row_count_max:]:
        other = (pool, DemandKey(key.rank, OTHER_WORKSPACES))
        limited[other] = limited.get(other, _NOTHING) + table[pool, key]
    return limited


def sum_tables(tables: Iterable[DemandTable]) -> dict[DemandRow, Demand]:
    """Return the sum of some tables."""
    total: dict[DemandRow, list[float]] = {}
    for table in tables:
        for row, demand in table.items():
            known = total.get(row)
            if known is None:
                total[row] = [demand.offered, demand.admitted]
            else:
                known[0] += demand.offered
                known[1] += demand.admitted
    return {
        row: Demand(offered, admitted) for row, (offered, admitted) in total.items()
    }


def sum_by_pool(table: DemandTable) -> dict[str, float]:
    """Return the work that is offered to each pool."""
    totals: dict[str, float] = {}
    for (pool, _), demand in table.items():
        totals[pool] = totals.get(pool, 0.0) + demand.offered
    return totals


class DemandTeller:
    """Selects the rows that receivers don't know yet.

    Usually only rows that have changed are told, and all rows of a pool and rank if
    many small changes are considerable together.  The whole table is told periodically.
    """

    def __init__(self) -> None:
        self._told: DemandTable = {}
        self._told_whole_s = float("-inf")

    def reset(self) -> None:
        """Tell the whole table next, as there are new receivers."""
        self._told_whole_s = float("-inf")

    def has_changed(self, table: DemandTable, thresholds: Mapping[str, float]) -> bool:
        """Return whether the demand of a pool and rank has changed considerably.

        `thresholds` are the smallest considerable changes of each pool, in seconds of
        a target's time a second.
        """
        return bool(self._list_changed_ranks(table, thresholds))

    def take(
        self,
        table: DemandTable,
        thresholds: Mapping[str, float],
        whole_interval_s: float,
        now_s: float,
    ) -> tuple[DemandTable, bool]:
        """Return the rows to tell now, and whether they are the whole table."""
        if now_s - self._told_whole_s >= whole_interval_s:
            self._told = table
            self._told_whole_s = now_s
            return table, True
        changed = {}
        for row in {**self._told, **table}:
            demand = table.get(row, _NOTHING)
            change = _subtract(demand, self._told.get(row, _NOTHING))
            if _exceeds(change, ROW_FRACTION * thresholds.get(row[0], 0.0)):
                changed[row] = demand
        self._told = {**self._told, **changed}
        ranks = self._list_changed_ranks(table, thresholds)
        for row in {**self._told, **table} if ranks else ():
            if (row[0], row[1].rank) in ranks:
                changed[row] = table.get(row, _NOTHING)
        self._told = {**self._told, **changed}
        return changed, False

    def _list_changed_ranks(
        self, table: DemandTable, thresholds: Mapping[str, float]
    ) -> set[tuple[str, int]]:
        """Return pools and ranks whose demand differs considerably from the told."""
        changes: dict[tuple[str, int], list[float]] = {}
        for sign, rows in ((1.0, table), (-1.0, self._told)):
            for (pool, key), demand in rows.items():
                change = changes.setdefault((pool, key.rank), [0.0, 0.0])
                change[0] += sign * demand.offered
                change[1] += sign * demand.admitted
        return {
            (pool, rank)
            for (pool, rank), (offered, admitted) in changes.items()
            if _exceeds(Demand(offered, admitted), thresholds.get(pool, 0.0))
        }


def _subtract(demand: Demand, other: Demand) -> Demand:
    return Demand(demand.offered - other.offered, demand.admitted - other.admitted)


def _exceeds(change: Demand, threshold: float) -> bool:
    size = max(abs(change.offered), abs(change.admitted))
    return size > max(threshold, NEGLIGIBLE_DEMAND)
