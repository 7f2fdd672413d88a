"""What an entry knows of the demand at all entries, and of the pressure at each."""

from collections.abc import Mapping
from dataclasses import dataclass

from reedspar.admission import Demand, DemandKey, PoolDemand

from .contributions import merge_update
from .interfaces import EntryContribution
from .messages import PoolStateNews, decode_demands, identify_entry
from .rows import DemandTable
from .sums import NEWS_TTL_S, ToldSums, choose_sums

__all__ = ["StateBoard"]

COVERAGE_MIN = 0.5
"""Fraction of the known entries that sums must cover to be used."""
SEQUENCE_TTL_S = 0.6
"""Time without a message after which a collector may begin its sequence anew."""


@dataclass(slots=True)
class _CollectorState:
    sequence: int
    received_s: float
    sums: ToldSums | None = None


class StateBoard:
    """Sums and pressures that the collectors of the region tell."""

    def __init__(self) -> None:
        self._by_collector: dict[str, _CollectorState] = {}
        self._pressures: dict[int, tuple[float, float]] = {}
        self._entry_ids: dict[str, int] = {}

    def is_new(self, message: PoolStateNews, now_s: float) -> bool:
        """Return whether a message is newer than the collector's last one."""
        known = self._by_collector.get(message.collector)
        if known is None or now_s - known.received_s >= SEQUENCE_TTL_S:
            return True
        return message.sequence > known.sequence

    def record(self, message: PoolStateNews, now_s: float) -> bool:
        """Record a message; return whether the table that it builds on is known.

        Raises `ValueError` if the message is damaged.
        """
        update = decode_demands(message.demands)
        known = self._by_collector.get(message.collector)
        before = known.sums.table if known and known.sums else None
        table = merge_update(before, update, message.demands.is_whole)
        sums = (
            ToldSums(table, message.contribution_count, now_s, message.age_ms / 1000)
            if table is not None
            else None
        )
        state = _CollectorState(message.sequence, now_s, sums)
        self._by_collector[message.collector] = state
        for entry_id, percent in zip(
            message.entry_ids, message.pressure_percents, strict=True
        ):
            self._pressures[entry_id] = (percent / 100, now_s)
        return sums is not None

    def drop_old(self, now_s: float) -> None:
        """Drop what has not been renewed."""
        self._by_collector = {
            name: state
            for name, state in self._by_collector.items()
            if now_s - state.received_s < NEWS_TTL_S
        }
        self._pressures = {
            entry_id: known
            for entry_id, known in self._pressures.items()
            if now_s - known[1] < 2 * NEWS_TTL_S
        }

    def clear(self) -> None:
        """Drop everything, as its age is unknown."""
        self._by_collector.clear()
        self._pressures.clear()
        self._entry_ids.clear()

    def sums(self, now_s: float) -> ToldSums | None:
        """Return the sums in force, None without any."""
        told = [state.sums for state in self._by_collector.values() if state.sums]
        return choose_sums(told, now_s)

    def pressure(self, entry: str, now_s: float) -> float | None:
        """Return the pressure at an entry, None if it is unknown or old."""
        entry_id = self._entry_ids.get(entry)
        if entry_id is None:
            entry_id = self._entry_ids[entry] = identify_entry(entry)
        pressure, told_s = self._pressures.get(entry_id, (0.0, float("-inf")))
        return pressure if now_s - told_s < 2 * NEWS_TTL_S else None

    def total_demand(
        self,
        pool: str,
        own: EntryContribution,
        entry_count: int,
        turn: int,
        now_s: float,
    ) -> PoolDemand:
        """Return the demand for a pool at all entries.

        If the sums are missing or cover too few entries, this entry's own demand
        stands for that of each of the `entry_count` known entries.
        """
        own_demands = own.demands.get(pool, {})
        sums = self.sums(now_s)
        if sums is None or sums.contribution_count < COVERAGE_MIN * entry_count:
            factor = max(1, entry_count)
            extrapolated = {
                key: Demand(factor * demand.offered, factor * demand.admitted)
                for key, demand in own_demands.items()
            }
            return PoolDemand(extrapolated, turn, is_extrapolated=True)
        return PoolDemand(_with_own(sums.table, pool, own_demands), turn)


def _with_own(
    table: DemandTable, pool: str, own: Mapping[DemandKey, Demand]
) -> dict[DemandKey, Demand]:
    """Return the demands of a pool, each at least what this entry sees itself."""
    demands = {key: demand for (name, key), demand in table.items() if name == pool}
    for key, demand in own.items():
        known = demands.get(key, Demand())
        demands[key] = Demand(
            max(known.offered, demand.offered), max(known.admitted, demand.admitted)
        )
    return demands
