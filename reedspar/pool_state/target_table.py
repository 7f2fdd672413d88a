"""Loads of targets with their ages, and which of them to tell."""

from dataclasses import dataclass

from .interfaces import TargetLoadRow
from .sums import NEWS_TTL_S

__all__ = ["TargetTable"]

MESSAGE_ROWS_MAX = 64
"""Maximum number of targets in a message, which bounds it in large fleets."""


@dataclass(slots=True)
class _KnownLoad:
    row: TargetLoadRow
    true_s: float
    """When the load was read."""
    told_s: float = float("-inf")
    """Up to when the receivers know the load."""


class TargetTable:
    """The newest known load of each target."""

    def __init__(self) -> None:
        self._loads: dict[int, _KnownLoad] = {}

    def record(
        self, target_id: int, row: TargetLoadRow, age_s: float, now_s: float
    ) -> bool:
        """Record a load; return whether it is newer than the known one."""
        true_s = now_s - age_s
        known = self._loads.get(target_id)
        if known is None:
            self._loads[target_id] = _KnownLoad(row, true_s)
            return True
        if true_s <= known.true_s:
            return False
        known.row, known.true_s = row, true_s
        return True

    def clear(self) -> None:
        """Drop all loads."""
        self._loads.clear()

    def take_untold(self, now_s: float) -> list[tuple[int, TargetLoadRow, float]]:
        """Return ids, loads and ages that the receivers don't know yet."""
        untold = [
            item for item in self._valid(now_s) if item[1].true_s > item[1].told_s
        ]
        untold.sort(key=lambda item: item[1].told_s)
        rows = []
        for target_id, known in untold[:MESSAGE_ROWS_MAX]:
            known.told_s = known.true_s
            rows.append((target_id, known.row, now_s - known.true_s))
        return rows

    def _valid(self, now_s: float) -> list[tuple[int, _KnownLoad]]:
        self._loads = {
            target_id: known
            for target_id, known in self._loads.items()
            if now_s - known.true_s < NEWS_TTL_S
        }
        return list(self._loads.items())
