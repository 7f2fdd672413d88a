"""What a collector knows: contributions of its region's entries, sums of the others."""

from collections.abc import Mapping
from dataclasses import dataclass

from reedspar.admission import Demand

from .rows import DemandRow, DemandTable, limit_rows, sum_tables
from .sums import NEWS_TTL_S, ToldSums, choose_sums

__all__ = ["ContributionTable", "RegionTable", "merge_update"]

SUM_ROWS_MAX = 256
"""Maximum number of rows of a region's or of all regions' sums."""


def merge_update(
    known: DemandTable | None, update: DemandTable, is_whole: bool
) -> DemandTable | None:
    """Return a table after an update, None before the first whole table."""
    if is_whole:
        return update
    return None if known is None else {**known, **update}


@dataclass(frozen=True, slots=True)
class _Contribution:
    table: DemandTable
    pressure: float
    received_s: float


class ContributionTable:
    """Contributions of the entries of a region."""

    def __init__(self) -> None:
        self._by_entry: dict[str, _Contribution] = {}

    @property
    def entries(self) -> frozenset[str]:
        """Return the entries whose contributions are known."""
        return frozenset(self._by_entry)

    def record(
        self,
        entry: str,
        update: DemandTable,
        is_whole: bool,
        pressure: float,
        now_s: float,
    ) -> bool:
        """Record what an entry tells; return whether its table is known."""
        known = self._by_entry.get(entry)
        table = merge_update(known.table if known else None, update, is_whole)
        if table is not None:
            self._by_entry[entry] = _Contribution(table, pressure, now_s)
        return table is not None

    def drop_old(self, now_s: float, ttl_s: float = NEWS_TTL_S) -> None:
        """Drop contributions that have not been renewed."""
        self._by_entry = {
            entry: contribution
            for entry, contribution in self._by_entry.items()
            if now_s - contribution.received_s < ttl_s
        }

    def clear(self) -> None:
        """Drop all contributions."""
        self._by_entry.clear()

    def sums(self, now_s: float) -> ToldSums:
        """Return the sums of all contributions."""
        tables = [contribution.table for contribution in self._by_entry.values()]
        table = limit_rows(sum_tables(tables), SUM_ROWS_MAX)
        return ToldSums(table, len(tables), now_s)

    def pressures(self) -> Mapping[str, float]:
        """Return the pressure by entry."""
        return {entry: item.pressure for entry, item in self._by_entry.items()}


class RegionTable:
    """Sums of other regions, as their collectors tell them."""

    def __init__(self) -> None:
        self._by_region: dict[str, dict[str, ToldSums]] = {}

    def record(
        self,
        region: str,
        collector: str,
        update: DemandTable,
        is_whole: bool,
        contribution_count: int,
        now_s: float,
    ) -> bool:
        """Record what a collector tells; return whether the table is known."""
        by_collector = self._by_region.setdefault(region, {})
        known = by_collector.get(collector)
        table = merge_update(known.table if known else None, update, is_whole)
        if table is not None:
            by_collector[collector] = ToldSums(table, contribution_count, now_s)
        return table is not None

    def clear(self) -> None:
        """Drop the sums of all regions."""
        self._by_region.clear()

    def merge(self, own: ToldSums, now_s: float) -> ToldSums:
        """Return the sums of all regions, with those of this region.

        The age is that of the oldest part.
        """
        self._drop_old(now_s)
        parts = [own]
        for by_collector in self._by_region.values():
            chosen = choose_sums(by_collector.values(), now_s)
            if chosen is not None:
                parts.append(chosen)
        table: dict[DemandRow, Demand] = sum_tables(part.table for part in parts)
        return ToldSums(
            limit_rows(table, SUM_ROWS_MAX),
            sum(part.contribution_count for part in parts),
            now_s,
            max(now_s - part.received_s for part in parts),
        )

    def _drop_old(self, now_s: float) -> None:
        kept = {
            region: {name: sums for name, sums in known.items() if sums.is_valid(now_s)}
            for region, known in self._by_region.items()
        }
        self._by_region = {region: known for region, known in kept.items() if known}
